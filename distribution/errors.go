package distribution

import (
	"fmt"
	"time"
)

// Fault is an error that tells operators how to resolve it.
type Fault interface {
	error
	Remedy() string
}

// Faults returns one of each error type of this package, for the operators' page, the tests, and to
// restore a stored [Outcome].
func Faults() []Fault {
	return []Fault{&Refused{}, &Conflict{}, &Halted{}, &TooLarge{}, &NoSuchVersion{},
		&NothingChanged{}, &Unsettled{}, &WrongHash{}, &WrongBase{}, &StateDamaged{}, &Ahead{}, &BadPoll{}, &BadRequest{}, &TooMany{}, &StillThere{}, &UnknownFollower{}}
}

// Refused reports that a resource can't be used.
type Refused struct {
	Key  Key
	Line int // in the operators' file; 0: unknown
	Why  string
}

func (e *Refused) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("%s (line %d): %s", e.Key, e.Line, e.Why)
	}
	return fmt.Sprintf("%s: %s", e.Key, e.Why)
}

// bounded returns the error with its texts cut to the length that is kept.
func (e Refused) bounded() Refused {
	e.Key, e.Why = e.Key[:min(len(e.Key), maxReasonBytes)], e.Why[:min(len(e.Why), maxReasonBytes)]
	return e
}

// Remedy tells operators how to resolve the error.
func (e *Refused) Remedy() string {
	return "correct the resource in the file and push it again; this version is not active where it was refused"
}

// Conflict reports that the version that a change applies to is no longer the newest.
type Conflict struct {
	Base, Version uint64
	By            string
}

func (e *Conflict) Error() string {
	return fmt.Sprintf("the change applies to version %d, but the newest is %d, by %s", e.Base, e.Version, e.By)
}

// Remedy tells operators how to resolve the error.
func (e *Conflict) Remedy() string {
	return "see what was changed meanwhile (config status), apply your change on top of it and push again"
}

// Halted reports why a version is sent to no further follower.
type Halted struct {
	Version  uint64
	Follower string
	Refused  Refused
}

func (e *Halted) Error() string {
	return fmt.Sprintf("version %d is halted: %s refuses %v", e.Version, e.Follower, &e.Refused)
}

// Remedy tells operators how to resolve the error.
func (e *Halted) Remedy() string {
	return "push a version that corrects it, or roll back (config back); ingresses that have activated the halted version use it until then"
}

// TooLarge reports that a version exceeds the limits on its size.
type TooLarge struct{ Resources, Bytes int }

func (e *TooLarge) Error() string {
	return fmt.Sprintf("%d resources in %d bytes; at most %d in %d are allowed", e.Resources, e.Bytes, MaxResources, MaxStateBytes)
}

// Remedy tells operators how to resolve the error.
func (e *TooLarge) Remedy() string { return "remove unused resources from the file" }

// NoSuchVersion reports that a version is not kept.
type NoSuchVersion struct{ Version, Oldest, Newest uint64 }

func (e *NoSuchVersion) Error() string {
	return fmt.Sprintf("version %d is not available, only %d to %d", e.Version, e.Oldest, e.Newest)
}

// Remedy tells operators how to resolve the error.
func (e *NoSuchVersion) Remedy() string { return "push the file of that version instead" }

// NothingChanged reports that a change would result in the newest version again.
type NothingChanged struct{ Version uint64 }

func (e *NothingChanged) Error() string {
	return fmt.Sprintf("version %d has the same content already", e.Version)
}

// Remedy tells operators how to resolve the error.
func (e *NothingChanged) Remedy() string {
	return "nothing needs to be done; config status shows where it is active"
}

// Unsettled reports that too many versions have not settled yet.
type Unsettled struct{ Versions int }

func (e *Unsettled) Error() string {
	return fmt.Sprintf("%d versions are not yet active on every connected follower", e.Versions)
}

// Remedy tells operators how to resolve the error.
func (e *Unsettled) Remedy() string {
	return "push again in some seconds; if the error persists, config status shows which follower is behind: restart or forget it"
}

// WrongHash reports that the content of a version does not match its hash.
type WrongHash struct {
	Version    uint64
	Have, Want Hash
}

func (e *WrongHash) Error() string {
	return fmt.Sprintf("version %d has hash %.12s, expected %.12s", e.Version, e.Have, e.Want)
}

// Remedy tells operators how to resolve the error.
func (e *WrongHash) Remedy() string {
	return "a follower requests the full state by itself; for a push, push again with a command of the same build as the coordinators'"
}

// WrongBase reports that a difference does not apply to the follower's state.
type WrongBase struct{ Base, Version uint64 }

func (e *WrongBase) Error() string {
	return fmt.Sprintf("the difference applies to version %d, but the active version is %d", e.Base, e.Version)
}

// Remedy tells operators how to resolve the error.
func (e *WrongBase) Remedy() string {
	return "nothing: the follower polls again and reports its version"
}

// StateDamaged reports that a follower's stored configuration can't be used.
type StateDamaged struct{ Why string }

func (e *StateDamaged) Error() string { return "the stored configuration is damaged: " + e.Why }

// Remedy tells operators how to resolve the error.
func (e *StateDamaged) Remedy() string {
	return "nothing while a coordinator answers: the full state is requested again; check the disk if the error recurs"
}

// Ahead reports that a follower has a version that is not in the log.
type Ahead struct {
	Follower      string
	Version, Last uint64
}

func (e *Ahead) Error() string {
	return fmt.Sprintf("%s reports version %d, but the newest is %d", e.Follower, e.Version, e.Last)
}

// Remedy tells operators how to resolve the error.
func (e *Ahead) Remedy() string {
	return "if the coordinators were restored from older disks, push the file until the version is higher; else empty the follower's folder and restart it"
}

// BadPoll reports that a follower's poll is invalid.
type BadPoll struct{ Why string }

func (e *BadPoll) Error() string { return "a follower asks what can't be answered: " + e.Why }

// Remedy tells operators how to resolve the error.
func (e *BadPoll) Remedy() string {
	return "run ingress and coordinators of builds that know each other"
}

// BadRequest reports that an operator's request is invalid.
type BadRequest struct{ Why string }

func (e *BadRequest) Error() string { return "invalid request: " + e.Why }

// Remedy tells operators how to resolve the error.
func (e *BadRequest) Remedy() string {
	return "correct what the error names; the command of the coordinators' build sends valid requests"
}

// TooMany reports that no further follower is accepted.
type TooMany struct{ Most int }

func (e *TooMany) Error() string { return fmt.Sprintf("%d followers are known already", e.Most) }

// Remedy tells operators how to resolve the error.
func (e *TooMany) Remedy() string { return "forget those that will not come back (config forget NAME)" }

// StillThere reports that a follower can't be forgotten because it still polls.
type StillThere struct {
	Follower string
	Heard    time.Duration // time since its last poll
}

func (e *StillThere) Error() string { return fmt.Sprintf("%s last polled %v ago", e.Follower, e.Heard) }

// Remedy tells operators how to resolve the error.
func (e *StillThere) Remedy() string { return "stop the follower first" }

// UnknownFollower reports that there is no follower of that name.
type UnknownFollower struct{ Follower string }

func (e *UnknownFollower) Error() string { return fmt.Sprintf("no follower is called %q", e.Follower) }

// Remedy tells operators how to resolve the error.
func (e *UnknownFollower) Remedy() string { return "config status --all lists all followers" }
