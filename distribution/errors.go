package distribution

import (
	"fmt"
	"time"
)

// Fault is an error that says what an operator can do.
type Fault interface {
	error
	Remedy() string
}

// Faults lists one of each error of this package, for the page that tells them and
// the test that walks them.
func Faults() []Fault {
	return []Fault{&Refused{}, &Conflict{}, &Halted{}, &TooLarge{}, &NoSuchVersion{}, &NothingChanged{}, &Unsettled{}, &WrongHash{}, &WrongBase{},
		&StateDamaged{}, &Ahead{}, &BadPoll{}, &BadRequest{}, &TooMany{}, &StillThere{}, &UnknownFollower{}}
}

// Refused tells that a resource can't be used.
type Refused struct {
	Key  Key
	Line int // of the operators' file; 0: not known
	Why  string
}

func (e *Refused) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("%s (line %d): %s", e.Key, e.Line, e.Why)
	}
	return fmt.Sprintf("%s: %s", e.Key, e.Why)
}

// bounded is it with no more words than are kept of a stranger's.
func (e Refused) bounded() Refused {
	e.Key, e.Why = e.Key[:min(len(e.Key), maxReasonBytes)], e.Why[:min(len(e.Why), maxReasonBytes)]
	return e
}

// Remedy says what an operator can do.
func (e *Refused) Remedy() string {
	return "mend the resource in the file and push it again; nothing of this version is in force where it was refused"
}

// Conflict tells that another version was pushed since the one that a change began from.
type Conflict struct {
	Base, Version uint64
	By            string
}

func (e *Conflict) Error() string {
	return fmt.Sprintf("the change begins from version %d, and the newest is %d, of %s", e.Base, e.Version, e.By)
}

// Remedy says what an operator can do.
func (e *Conflict) Remedy() string {
	return "look at what the other has changed (config status), put your change on top of it and push again"
}

// Halted tells why a version goes to nobody else.
type Halted struct {
	Version  uint64
	Follower string
	Refused  Refused
}

func (e *Halted) Error() string {
	return fmt.Sprintf("version %d is halted: %s refuses %v", e.Version, e.Follower, &e.Refused)
}

// Remedy says what an operator can do.
func (e *Halted) Remedy() string {
	return "push a version that mends it, or go back to the one before (config back); who had begun with it decides by it until then"
}

// TooLarge tells that a version holds more than is taken.
type TooLarge struct{ Resources, Bytes int }

func (e *TooLarge) Error() string {
	return fmt.Sprintf("%d resources in %d bytes; %d in %d at most", e.Resources, e.Bytes, MaxResources, MaxStateBytes)
}

// Remedy says what an operator can do.
func (e *TooLarge) Remedy() string { return "take resources out of the file that nothing uses" }

// NoSuchVersion tells that a version is not kept.
type NoSuchVersion struct{ Version, Oldest, Newest uint64 }

func (e *NoSuchVersion) Error() string {
	return fmt.Sprintf("version %d is not kept: there are %d to %d", e.Version, e.Oldest, e.Newest)
}

// Remedy says what an operator can do.
func (e *NoSuchVersion) Remedy() string { return "push the file of that version instead" }

// NothingChanged tells that a change would give the version that there is.
type NothingChanged struct{ Version uint64 }

func (e *NothingChanged) Error() string {
	return fmt.Sprintf("version %d is just that already", e.Version)
}

// Remedy says what an operator can do.
func (e *NothingChanged) Remedy() string {
	return "nothing needs to be done; config status tells where it is in force"
}

// Unsettled tells that too many versions are not in force everywhere yet.
type Unsettled struct{ Versions int }

func (e *Unsettled) Error() string {
	return fmt.Sprintf("%d versions wait to be in force at all that are heard", e.Versions)
}

// Remedy says what an operator can do.
func (e *Unsettled) Remedy() string {
	return "push again in some seconds; where it stays so, config status names who is behind: restart or forget that one"
}

// WrongHash tells that what was made is not what was announced.
type WrongHash struct {
	Version    uint64
	Have, Want Hash
}

func (e *WrongHash) Error() string {
	return fmt.Sprintf("version %d comes out as %.12s, and should be %.12s", e.Version, e.Have, e.Want)
}

// Remedy says what an operator can do.
func (e *WrongHash) Remedy() string {
	return "a follower asks for the whole state by itself; for a push, push again with a command of the same build as the coordinators'"
}

// WrongBase tells that a difference is for another state than the follower's.
type WrongBase struct{ Base, Version uint64 }

func (e *WrongBase) Error() string {
	return fmt.Sprintf("a difference from version %d, and version %d is here", e.Base, e.Version)
}

// Remedy says what an operator can do.
func (e *WrongBase) Remedy() string { return "nothing: the follower asks again, and says what it has" }

// StateDamaged tells that what a follower kept can't be used.
type StateDamaged struct{ Why string }

func (e *StateDamaged) Error() string { return "the configuration that was kept is damaged: " + e.Why }

// Remedy says what an operator can do.
func (e *StateDamaged) Remedy() string {
	return "nothing while a coordinator answers: the whole is asked for anew; check the disk if it comes again"
}

// Ahead tells that a follower has a version that the log does not.
type Ahead struct {
	Follower      string
	Version, Last uint64
}

func (e *Ahead) Error() string {
	return fmt.Sprintf("%s tells version %d, and the newest is %d", e.Follower, e.Version, e.Last)
}

// Remedy says what an operator can do.
func (e *Ahead) Remedy() string {
	return "if the coordinators were given older disks, push the file again until the version is above that one; else empty the follower's folder and restart it"
}

// BadPoll tells that a follower's question is none.
type BadPoll struct{ Why string }

func (e *BadPoll) Error() string { return "a follower asks what can't be answered: " + e.Why }

// Remedy says what an operator can do.
func (e *BadPoll) Remedy() string {
	return "run ingress and coordinators of builds that know each other"
}

// BadRequest tells that an operator's request is none.
type BadRequest struct{ Why string }

func (e *BadRequest) Error() string { return "the request can't be taken: " + e.Why }

// Remedy says what an operator can do.
func (e *BadRequest) Remedy() string {
	return "mend what it names; the command of the coordinators' own build makes none such"
}

// TooMany tells that no further follower is taken.
type TooMany struct{ Most int }

func (e *TooMany) Error() string { return fmt.Sprintf("%d followers are known already", e.Most) }

// Remedy says what an operator can do.
func (e *TooMany) Remedy() string { return "forget those that will not come back (config forget NAME)" }

// StillThere tells that a follower is not to be forgotten, as it asks still.
type StillThere struct {
	Follower string
	Heard    time.Duration // ago
}

func (e *StillThere) Error() string { return fmt.Sprintf("%s was heard %v ago", e.Follower, e.Heard) }

// Remedy says what an operator can do.
func (e *StillThere) Remedy() string { return "stop it first" }

// UnknownFollower tells that nobody follows under a name.
type UnknownFollower struct{ Follower string }

func (e *UnknownFollower) Error() string { return fmt.Sprintf("no follower is called %q", e.Follower) }

// Remedy says what an operator can do.
func (e *UnknownFollower) Remedy() string { return "config status --all names all of them" }
