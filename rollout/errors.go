package rollout

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Fault is an error that says what an operator can do.
type Fault interface {
	error
	Remedy() string
}

// RemoteError is an error in the form that crosses a link or stands in the log.
type RemoteError struct {
	Kind   string `json:"kind"` // the type's name
	Text   string `json:"text"`
	Advice string `json:"remedy"`
}

// ToRemoteError converts an error to the form that can cross a link; nil stays nil.
func ToRemoteError(err error) *RemoteError {
	if err == nil {
		return nil
	}
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote
	}
	var f Fault
	if errors.As(err, &f) {
		kind := fmt.Sprintf("%T", f)
		return &RemoteError{kind[strings.LastIndexByte(kind, '.')+1:], err.Error(), f.Remedy()}
	}
	return &RemoteError{"Error", err.Error(), "read the coordinators' log"}
}

func (e *RemoteError) Error() string { return e.Text }

// Remedy says what an operator can do.
func (e *RemoteError) Remedy() string { return e.Advice }

// Undecided tells that it can't be told whether an order has been taken.
type Undecided struct{ Why string }

func (e *Undecided) Error() string { return "it is not known whether the order was taken: " + e.Why }

// Remedy says what an operator can do.
func (e *Undecided) Remedy() string {
	return "send it again under the same request name (the command does so by itself): it counts once"
}

// Faults lists one of each error of this package, for the page that tells them
// and the test that walks them.
func Faults() []Fault {
	return []Fault{&OverBudget{}, &NoMajority{}, &NotLeader{}, &GateFailed{}, &TooFew{}, &Stalled{}, &HaltedByOperator{}, &Lost{},
		&CannotStart{}, &TwoAgents{}, &LogWentBack{}, &StaleOrder{}, &Unknown{}, &Overlap{}, &BadRequest{}, &NotFresh{}, &Full{}, &EndedAlready{}, &Undecided{}}
}

// OverBudget tells that a budget has no room.
type OverBudget struct {
	Budget, Group, Member string
	Out, MaxOut           int
	Weight, Allowed       float64 // in the members' unit; Allowed is 0 without a bound in share
}

func (e *OverBudget) Error() string {
	s := fmt.Sprintf("budget %s", e.Budget)
	if e.Group != "" {
		s += " of " + e.Group
	}
	s += fmt.Sprintf(": %d out", e.Out)
	if e.MaxOut > 0 {
		s += fmt.Sprintf(", %d allowed", e.MaxOut)
	}
	if e.Allowed > 0 {
		s += fmt.Sprintf(", weight %.4g out, %.4g allowed", e.Weight, e.Allowed)
	}
	return s
}

// Remedy says what an operator can do.
func (e *OverBudget) Remedy() string {
	return "wait until a member is back and proven, bring back what is lost, or raise the budget in the coordinators' file; status names who is out"
}

// NoMajority tells that a coordinator has no majority behind it.
type NoMajority struct {
	SinceConfirmed time.Duration // how long ago one was confirmed; negative for never
}

func (e *NoMajority) Error() string {
	if e.SinceConfirmed < 0 {
		return "no majority of coordinators has been heard"
	}
	return fmt.Sprintf("no majority of coordinators for %v", e.SinceConfirmed.Round(100*time.Millisecond))
}

// Remedy says what an operator can do.
func (e *NoMajority) Remedy() string {
	return "start the coordinators that are down or mend the links between them; nothing new goes out until then, and what is out comes back by itself"
}

// NotLeader tells who leads.
type NotLeader struct{ Leader uint64 }

func (e *NotLeader) Error() string {
	if e.Leader == 0 {
		return "no coordinator leads"
	}
	return fmt.Sprintf("coordinator %d leads", e.Leader)
}

// Remedy says what an operator can do.
func (e *NotLeader) Remedy() string {
	return "ask the coordinator that leads; if none does for more than some seconds, see to their majority"
}

// GateFailed tells that the changed part does worse than the unchanged part.
type GateFailed struct {
	Rollout, Metric, Class string
	Changed, Unchanged     float64
	P, Bound               float64 // chance of such a difference with a good release, and the bound that it is under
}

func (e *GateFailed) Error() string {
	s := "gate: " + e.Metric
	if e.Class != "" {
		s += " of " + e.Class
	}
	return fmt.Sprintf("%s is %.4g where changed and %.4g where not (p %.2g, bound %.2g)", s, e.Changed, e.Unchanged, e.P, e.Bound)
}

// Remedy says what an operator can do.
func (e *GateFailed) Remedy() string {
	return "go back (rollout back), or, if you know the cause to be another, resume; the figure is told by class and member in status"
}

// TooFew tells that a gate had too few requests to judge by until its time was up.
type TooFew struct {
	Rollout   string
	Got, Want uint64
	Waited    time.Duration
}

func (e *TooFew) Error() string {
	return fmt.Sprintf("gate: %d requests where changed after %v, %d are wanted", e.Got, e.Waited.Round(time.Second), e.Want)
}

// Remedy says what an operator can do.
func (e *TooFew) Remedy() string {
	return "resume when there is traffic, or start the release anew with a gate that wants fewer requests or waits longer"
}

// Stalled tells that a wave made no progress in its time.
type Stalled struct {
	Rollout    string
	Waited     time.Duration
	WaitingFor []string // members, each with what is waited for
}

func (e *Stalled) Error() string {
	return fmt.Sprintf("no progress for %v; waiting for %s", e.Waited.Round(time.Second), strings.Join(e.WaitingFor, ", "))
}

// Remedy says what an operator can do.
func (e *Stalled) Remedy() string {
	return "see to the members named: start their agents, lift their drains, or forget those that are gone for good; then resume or go back"
}

// HaltedByOperator tells that somebody halted a rollout.
type HaltedByOperator struct{ By, Why string }

func (e *HaltedByOperator) Error() string {
	return fmt.Sprintf("halted by %s: %s", e.By, e.Why)
}

// Remedy says what an operator can do.
func (e *HaltedByOperator) Remedy() string {
	return "ask who halted it; then resume or go back"
}

// Lost tells that losses passed a budget for longer than a rollout bears.
type Lost struct {
	OverBudget  string // the budget, as OverBudget words it
	LostMembers []string
	Waited      time.Duration
}

func (e *Lost) Error() string {
	return fmt.Sprintf("%s for %v, with %s lost", e.OverBudget, e.Waited.Round(time.Second), strings.Join(e.LostMembers, ", "))
}

// Remedy says what an operator can do.
func (e *Lost) Remedy() string {
	return "bring the lost members back, or forget those that are gone for good; then resume or go back"
}

// CannotStart tells that a member does not start a version.
type CannotStart struct{ Member, Version, Why string }

func (e *CannotStart) Error() string {
	return fmt.Sprintf("%s does not start version %s: %s", e.Member, e.Version, e.Why)
}

// Remedy says what an operator can do.
func (e *CannotStart) Remedy() string {
	return "read the member's log; go back, or mend the build and put it in place, upon which its agent tries it again by itself"
}

// TwoAgents tells that two agents report under one name.
type TwoAgents struct{ Member string }

func (e *TwoAgents) Error() string {
	return fmt.Sprintf("two agents report as %s", e.Member)
}

// Remedy says what an operator can do.
func (e *TwoAgents) Remedy() string {
	return "stop one of the two agents or give it a name of its own; the member counts as out until only one reports"
}

// LogWentBack tells that the coordinators have forgotten what a member was told.
type LogWentBack struct {
	Member                  string
	NotifiedIndex, LogIndex uint64 // log positions
}

func (e *LogWentBack) Error() string {
	return fmt.Sprintf("the log is at %d, and %s was told of %d: a coordinator runs on an older disk", e.LogIndex, e.Member, e.NotifiedIndex)
}

// Remedy says what an operator can do.
func (e *LogWentBack) Remedy() string {
	return "find the coordinator that was given an older disk and replace it by a new one; look at status whether rollouts and halts are as you left them, order again what is missing, then lift the stop"
}

// StaleOrder tells that an order meant something that is no longer so.
type StaleOrder struct{ What string }

func (e *StaleOrder) Error() string { return "the order came too late: " + e.What }

// Remedy says what an operator can do.
func (e *StaleOrder) Remedy() string {
	return "look at status: somebody or something else was faster; order again if you still want it"
}

// Unknown tells that nothing goes by a name.
type Unknown struct{ Kind, Name string }

func (e *Unknown) Error() string { return fmt.Sprintf("there is no %s %q", e.Kind, e.Name) }

// Remedy says what an operator can do.
func (e *Unknown) Remedy() string { return "look at status for the names" }

// Overlap tells that a rollout would change members that another one changes.
type Overlap struct{ With string }

func (e *Overlap) Error() string {
	return fmt.Sprintf("rollout %s changes the same members", e.With)
}

// Remedy says what an operator can do.
func (e *Overlap) Remedy() string {
	return "start it with --after and the other's name, or end the other by going back or by letting it finish"
}

// BadRequest tells what is wrong with what was sent.
type BadRequest struct{ What string }

func (e *BadRequest) Error() string { return "what was sent is wrong: " + e.What }

// Remedy says what an operator can do.
func (e *BadRequest) Remedy() string { return "mend what is named and send it again" }

// NotFresh tells that a member has not been heard lately, or that the leader knows too little yet.
type NotFresh struct {
	Member      string
	SinceReport time.Duration // ago; negative for never by this leader
}

func (e *NotFresh) Error() string {
	if e.SinceReport < 0 {
		return fmt.Sprintf("%s has not been heard by the coordinator that leads", e.Member)
	}
	return fmt.Sprintf("%s was last heard %v ago", e.Member, e.SinceReport.Round(100*time.Millisecond))
}

// Remedy says what an operator can do.
func (e *NotFresh) Remedy() string {
	return "see whether the member, its agent and the link to the coordinators are up; it counts as out until it is heard"
}

// Full tells that a bound on what is kept was reached.
type Full struct {
	What string
	Max  int
}

func (e *Full) Error() string {
	return fmt.Sprintf("there are %d %s, and no more are kept", e.Max, e.What)
}

// Remedy says what an operator can do.
func (e *Full) Remedy() string { return "forget members that are gone, or end rollouts that are open" }

// EndedAlready tells that a rollout is over.
type EndedAlready struct{ Rollout, Phase string }

func (e *EndedAlready) Error() string {
	return fmt.Sprintf("rollout %s has ended: %s", e.Rollout, e.Phase)
}

// Remedy says what an operator can do.
func (e *EndedAlready) Remedy() string {
	return "start a new rollout, to the earlier version if you want that back"
}
