package rollout

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Fault is an error with advice for the operator.
type Fault interface {
	error
	Remedy() string
}

// RemoteError is an error in the form that is sent over a link or stored in the log.
type RemoteError struct {
	Kind   string `json:"kind"` // the type's name
	Text   string `json:"text"`
	Advice string `json:"remedy"`
}

// ToRemoteError converts an error to the form that is sent and stored; nil stays nil.
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

// Remedy implements Fault.
func (e *RemoteError) Remedy() string { return e.Advice }

// Undecided reports that it is unknown whether an order was applied.
type Undecided struct{ Why string }

func (e *Undecided) Error() string { return "it is unknown whether the order was applied: " + e.Why }

// Remedy implements Fault.
func (e *Undecided) Remedy() string {
	return "send it again with the same request name (the command does so by itself): it is applied only once"
}

// Faults returns a value of each error type of this package, for the test that compares
// them with the operators' page.
func Faults() []Fault {
	return []Fault{&OverBudget{}, &NoMajority{}, &NotLeader{}, &GateFailed{}, &TooFew{}, &Stalled{}, &HaltedByOperator{}, &Lost{},
		&CannotStart{}, &TwoAgents{}, &LogWentBack{}, &StaleOrder{}, &Unknown{}, &Overlap{}, &BadRequest{}, &NotFresh{}, &Full{},
		&EndedAlready{}, &Undecided{}}
}

// OverBudget reports that a budget is used up.
type OverBudget struct {
	Budget, Group, Member string
	Out, MaxOut           int
	Weight, Allowed       float64 // in the unit of Member.Weight; Allowed is 0 if the budget does not limit the share
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

// Remedy implements Fault.
func (e *OverBudget) Remedy() string {
	return "wait until a member is back and proven, restore lost members, or raise the budget in the coordinators' file; status lists the members that are out"
}

// NoMajority reports that a coordinator is not confirmed by a majority.
type NoMajority struct {
	SinceConfirmed time.Duration // time since a majority last confirmed it; negative for never
}

func (e *NoMajority) Error() string {
	if e.SinceConfirmed < 0 {
		return "no majority of coordinators has answered yet"
	}
	return fmt.Sprintf("no majority of coordinators for %v", e.SinceConfirmed.Round(100*time.Millisecond))
}

// Remedy implements Fault.
func (e *NoMajority) Remedy() string {
	return "start the coordinators that are down or repair the links between them; no further member goes out until then, and those that are out come back by themselves"
}

// NotLeader reports that another coordinator leads, or none does; Leader is 0 then.
type NotLeader struct{ Leader uint64 }

func (e *NotLeader) Error() string {
	if e.Leader == 0 {
		return "no coordinator leads"
	}
	return fmt.Sprintf("coordinator %d leads", e.Leader)
}

// Remedy implements Fault.
func (e *NotLeader) Remedy() string {
	return "ask the coordinator that leads; if none does for more than a few seconds, check that a majority of them runs"
}

// GateFailed reports that the changed members do worse than the unchanged ones.
type GateFailed struct {
	Rollout, Metric, Class string
	Changed, Unchanged     float64
	P, Bound               float64 // p-value of the difference, and the significance bound that it is below
}

func (e *GateFailed) Error() string {
	s := "gate: " + e.Metric
	if e.Class != "" {
		s += " of " + e.Class
	}
	return fmt.Sprintf("%s is %.4g on changed members and %.4g on unchanged ones (p %.2g, bound %.2g)",
		s, e.Changed, e.Unchanged, e.P, e.Bound)
}

// Remedy implements Fault.
func (e *GateFailed) Remedy() string {
	return "roll back (rollout back), or resume if the cause is known to be another; status shows the metric by class and member"
}

// TooFew reports that a gate timed out with too few requests for a verdict.
type TooFew struct {
	Rollout   string
	Got, Want uint64
	Waited    time.Duration
}

func (e *TooFew) Error() string {
	return fmt.Sprintf("gate: %d requests on changed members after %v, %d are required", e.Got, e.Waited.Round(time.Second), e.Want)
}

// Remedy implements Fault.
func (e *TooFew) Remedy() string {
	return "resume when there is traffic, or start the release again with a gate that requires fewer requests or waits longer"
}

// Stalled reports that a rollout made no progress within its gate's stall timeout.
type Stalled struct {
	Rollout    string
	Waited     time.Duration
	WaitingFor []string // members, each with the reason
}

func (e *Stalled) Error() string {
	return fmt.Sprintf("no progress for %v; waiting for %s", e.Waited.Round(time.Second), strings.Join(e.WaitingFor, ", "))
}

// Remedy implements Fault.
func (e *Stalled) Remedy() string {
	return "check the members named: start their agents, lift their drains, or forget those that will not return; then resume or roll back"
}

// HaltedByOperator reports that an operator halted a rollout.
type HaltedByOperator struct{ By, Why string }

func (e *HaltedByOperator) Error() string {
	return fmt.Sprintf("halted by %s: %s", e.By, e.Why)
}

// Remedy implements Fault.
func (e *HaltedByOperator) Remedy() string {
	return "ask who halted it; then resume or roll back"
}

// Lost reports that lost members exceeded a budget for longer than Timing.OverBudgetTimeout.
type Lost struct {
	OverBudget  string // text of the OverBudget error
	LostMembers []string
	Waited      time.Duration
}

func (e *Lost) Error() string {
	return fmt.Sprintf("%s for %v, with %s lost", e.OverBudget, e.Waited.Round(time.Second), strings.Join(e.LostMembers, ", "))
}

// Remedy implements Fault.
func (e *Lost) Remedy() string {
	return "restore the lost members, or forget those that will not return; then resume or roll back"
}

// CannotStart reports that a member fails to start a version.
type CannotStart struct{ Member, Version, Why string }

func (e *CannotStart) Error() string {
	return fmt.Sprintf("%s fails to start version %s: %s", e.Member, e.Version, e.Why)
}

// Remedy implements Fault.
func (e *CannotStart) Remedy() string {
	return "read the member's log; roll back, or fix the build and install it, after which the agent tries it again by itself"
}

// TwoAgents reports that two agents use one member's name.
type TwoAgents struct{ Member string }

func (e *TwoAgents) Error() string {
	return fmt.Sprintf("two agents report as %s", e.Member)
}

// Remedy implements Fault.
func (e *TwoAgents) Remedy() string {
	return "stop one of the two agents or give it another name; the member counts as out until only one reports"
}

// LogWentBack reports that the coordinators' log lacks entries that a member was notified of.
type LogWentBack struct {
	Member                  string
	NotifiedIndex, LogIndex uint64 // indexes in the log
}

func (e *LogWentBack) Error() string {
	return fmt.Sprintf("the log is at %d, and %s was told of %d: a coordinator runs on an older disk",
		e.LogIndex, e.Member, e.NotifiedIndex)
}

// Remedy implements Fault.
func (e *LogWentBack) Remedy() string {
	return "find the coordinator that was given an older disk and replace it by a new one; look at status whether rollouts and halts are as you left them, order again what is missing, then lift the stop"
}

// StaleOrder reports that the state that an order refers to has changed.
type StaleOrder struct{ What string }

func (e *StaleOrder) Error() string { return "the order came too late: " + e.What }

// Remedy implements Fault.
func (e *StaleOrder) Remedy() string {
	return "look at status: somebody or something else was faster; order again if you still want it"
}

// Unknown reports a name that does not exist.
type Unknown struct{ Kind, Name string }

func (e *Unknown) Error() string { return fmt.Sprintf("there is no %s %q", e.Kind, e.Name) }

// Remedy implements Fault.
func (e *Unknown) Remedy() string { return "look at status for the names" }

// Overlap reports that a rollout would change members that another one changes.
type Overlap struct{ With string }

func (e *Overlap) Error() string {
	return fmt.Sprintf("rollout %s changes the same members", e.With)
}

// Remedy implements Fault.
func (e *Overlap) Remedy() string {
	return "start it with --after and the other's name, or end the other by going back or by letting it finish"
}

// BadRequest reports an invalid request.
type BadRequest struct{ What string }

func (e *BadRequest) Error() string { return "what was sent is wrong: " + e.What }

// Remedy implements Fault.
func (e *BadRequest) Remedy() string { return "mend what is named and send it again" }

// NotFresh reports that a member's last report is too old, or that the leader has had too few reports yet.
type NotFresh struct {
	Member      string
	SinceReport time.Duration // negative if it never reported to this leader
}

func (e *NotFresh) Error() string {
	if e.SinceReport < 0 {
		return fmt.Sprintf("%s has not reported to the coordinator that leads", e.Member)
	}
	return fmt.Sprintf("%s was last heard %v ago", e.Member, e.SinceReport.Round(100*time.Millisecond))
}

// Remedy implements Fault.
func (e *NotFresh) Remedy() string {
	return "check that the member, its agent and the link to the coordinators are up; it counts as out until it reports"
}

// Full reports that a limit on stored items is reached.
type Full struct {
	What string
	Max  int
}

func (e *Full) Error() string {
	return fmt.Sprintf("there are %d %s, and no more are kept", e.Max, e.What)
}

// Remedy implements Fault.
func (e *Full) Remedy() string { return "forget members that are gone, or end rollouts that are open" }

// EndedAlready reports that a rollout has already ended.
type EndedAlready struct{ Rollout, Phase string }

func (e *EndedAlready) Error() string {
	return fmt.Sprintf("rollout %s has ended: %s", e.Rollout, e.Phase)
}

// Remedy implements Fault.
func (e *EndedAlready) Remedy() string {
	return "start a new rollout, to the earlier version if you want that back"
}
