package rollout

import (
	"cmp"
	"fmt"
	"time"
)

// AgentConfig configures the agent of one member.
type AgentConfig struct {
	Member         Member
	Coordinators   int           // number of coordinators
	Version        string        // version to run if none is stored
	ReportInterval time.Duration // see Timing
	BeginTimeout   time.Duration // see Timing
	DrainTimeout   time.Duration // time from standby to SIGTERM
	StopTimeout    time.Duration // time from SIGTERM to SIGKILL
	StartTimeout   time.Duration // time from the start to being ready; then the program is killed
	ProvePeriod    time.Duration // a program that stays ready for this long is proven
	MaxStarts      int           // failed starts in a row of a version on trial before the prior version is started
	Backoff        time.Duration // base delay after a failed start; doubled with each failure in a row, up to 32 times the base
}

// AgentState is what an agent persists on its disk.
type AgentState struct {
	SeenFence      uint64 `json:"seen"`  // see Report
	Index          uint64 `json:"index"` // see Report
	Term           uint64 `json:"term"`
	Grant          *Grant `json:"grant,omitempty"`
	Version        string `json:"version"`         // version to run
	Prior          string `json:"prior,omitempty"` // version that ran before it
	Trial          bool   `json:"trial,omitempty"` // Version is not proven yet; if it does not start, Prior is started instead
	RestartVersion string `json:"run,omitempty"`   // version to start if the program exits on its own; "" for the same
	Failed         string `json:"failed,omitempty"`
}

// Action is a side effect that an agent's caller has to perform. One kind is set.
type Action struct {
	Send         *Report // send to coordinator To; the outcome goes to Replied or Unanswered
	To           int
	Save         *AgentState // persist; with SaveRequired, a failure drops the actions that follow and SaveFailed is called
	SaveRequired bool
	Launch       string // start the program in this version; Exited reports a failure
	Standby      bool   // drain clients and accept no new ones
	Terminate    bool
	Kill         bool
	Log          string // message to log
}

// programState is the state of a member's program as its agent tracks it.
type programState int

const (
	serving       programState = iota
	draining                   // standby was requested
	stopping                   // termination was requested
	detached                   // exited; stays down until undrained
	launchPending              // will be started at Agent.launchAt
	starting                   // started, not ready yet
	proving                    // ready since Agent.stateSince, not proven yet
)

// Agent makes the decisions for one member. While no coordinator answers, a member in
// service stays in service, one that has begun to leave returns under its grant, one that
// is drained stays out, and no grant is begun.
type Agent struct {
	cfg          AgentConfig
	persisted    AgentState
	now          time.Duration
	state        programState
	stateSince   time.Duration // when the state was entered
	launchAt     time.Duration // when the program is started, in state launchPending
	failedStarts int           // failed starts of this version in a row
	ready        bool
	undrained    bool // the drain of the held grant was lifted

	incarnation uint64
	seq         uint64
	stamp       Stamp
	sentAt      time.Duration // when the report in flight was sent; -1 if none is
	nextReport  time.Duration
	coordinator int
	stats       Stats
	deaths      uint64
	beforeSave  *AgentState // persisted state before the save in progress
}

// Running describes a program that was already running when its agent started.
type Running struct{ Version string }

// NewAgent creates an agent from the state on its disk (zero if there is none) and the
// program that is already running, if any. The incarnation differs at each start.
func NewAgent(cfg AgentConfig, persisted AgentState, running *Running, incarnation uint64, now time.Duration) *Agent {
	a := &Agent{cfg: cfg, persisted: persisted, now: now, stateSince: now, sentAt: -1, launchAt: now,
		incarnation: incarnation, nextReport: now}
	a.persisted.Version = cmp.Or(a.persisted.Version, cfg.Version)
	a.coordinator = int(incarnation % uint64(max(1, cfg.Coordinators)))
	grant := a.persisted.Grant
	switch {
	case running != nil && grant != nil && grant.Stage == Out:
		a.state = draining
	case running != nil:
		// How the program did while no agent watched it is unknown: it must be proven again.
		a.state = starting
		if grant == nil {
			a.persisted.Version = running.Version
		}
	case grant != nil && grant.Kind == Drain && grant.Stage == Out:
		a.state = detached
	default:
		a.state = launchPending
	}
	return a
}

// MemberState returns the member's state as it stands in reports.
func (a *Agent) MemberState() ServiceState {
	switch a.state {
	case serving:
		if a.ready {
			return InService
		}
	case draining, stopping:
		return Draining
	case detached:
		return Detached
	case proving:
		if a.ready {
			return Unproven
		}
	}
	return Down
}

// PersistentState returns the state that the agent persists.
func (a *Agent) PersistentState() AgentState { return a.persisted }

// Next returns when Tick is due next.
func (a *Agent) Next() time.Duration {
	next := a.now + a.cfg.ReportInterval
	if a.sentAt < 0 {
		next = min(next, a.nextReport)
	}
	switch a.state {
	case draining:
		next = min(next, a.stateSince+a.cfg.DrainTimeout)
	case stopping:
		next = min(next, a.stateSince+a.cfg.StopTimeout)
	case launchPending:
		next = min(next, a.launchAt)
	case starting:
		next = min(next, a.stateSince+a.cfg.StartTimeout)
	case proving:
		next = min(next, a.stateSince+a.cfg.ProvePeriod)
	}
	return max(next, a.now)
}

func (a *Agent) setState(next programState) {
	a.state, a.stateSince = next, a.now
}

func (a *Agent) save(required bool) Action {
	state := a.persisted
	if a.persisted.Grant != nil {
		grant := *a.persisted.Grant
		state.Grant = &grant
	}
	return Action{Save: &state, SaveRequired: required}
}

func logAction(format string, args ...any) Action { return Action{Log: fmt.Sprintf(format, args...)} }

// Tick makes the transitions that are due, and sends a report if one is due.
func (a *Agent) Tick(now time.Duration) (actions []Action) {
	a.now = max(a.now, now)
	for range 4 { // one transition may make another one due
		before := len(actions)
		actions = a.step(actions)
		if len(actions) == before {
			break
		}
	}
	if a.sentAt < 0 && a.now >= a.nextReport {
		a.seq++
		a.sentAt = a.now
		report := Report{Member: a.cfg.Member, Incarnation: a.incarnation, Seq: a.seq, Stamp: a.stamp,
			Index: a.persisted.Index, IndexTerm: a.persisted.Term, State: a.MemberState(),
			Version: a.persisted.Version, SeenFence: a.persisted.SeenFence, Failed: a.persisted.Failed, Stats: a.stats}
		report.Stats.Deaths = a.deaths
		if g := a.persisted.Grant; g != nil {
			grant := *g
			report.HeldGrant = &grant
		}
		actions = append(actions, Action{Send: &report, To: a.coordinator})
	}
	return actions
}

func (a *Agent) step(actions []Action) []Action {
	switch elapsed := a.now - a.stateSince; a.state {
	case draining:
		if elapsed >= a.cfg.DrainTimeout {
			a.setState(stopping)
			actions = append(actions, Action{Terminate: true})
		}
	case stopping:
		if elapsed >= a.cfg.StopTimeout {
			a.setState(stopping) // restarts the timeout: the program is killed again until it exits
			actions = append(actions, logAction("the program did not exit within %v; killing it", a.cfg.StopTimeout), Action{Kill: true})
		}
	case detached:
		if a.undrained {
			actions = a.launch(actions)
		}
	case launchPending:
		if a.now >= a.launchAt {
			actions = a.launch(actions)
		}
	case starting:
		if a.ready {
			a.setState(proving)
		} else if elapsed >= a.cfg.StartTimeout {
			a.setState(starting)
			actions = append(actions, logAction("version %s is not ready after %v; killing it", a.persisted.Version, a.cfg.StartTimeout),
				Action{Kill: true})
		}
	case proving:
		if !a.ready {
			a.stateSince = a.now
		} else if elapsed >= a.cfg.ProvePeriod {
			a.setState(serving)
			a.failedStarts = 0
			if a.persisted.Grant != nil || a.persisted.Trial {
				a.persisted.Grant, a.persisted.Trial = nil, false
				actions = append(actions, logAction("back in service and proven with version %s", a.persisted.Version), a.save(false))
			}
		}
	case serving:
		if !a.ready {
			a.setState(proving) // must be proven again
		}
	}
	return actions
}

// launch requests a start of the program.
func (a *Agent) launch(actions []Action) []Action {
	a.undrained = false
	if grant := a.persisted.Grant; grant != nil && grant.Stage == Out {
		grant.Stage = Proving
		actions = append(actions, a.save(false))
	}
	if a.persisted.RestartVersion != "" && a.persisted.Grant == nil && a.persisted.RestartVersion != a.persisted.Version &&
		a.failedStarts == 0 {
		// The program exited on its own: to return with another version takes no more of the budgets.
		a.persisted.Version, a.persisted.Prior, a.persisted.Trial, a.persisted.Failed = a.persisted.RestartVersion, a.persisted.Version, true, ""
		actions = append(actions, logAction("starting version %s in place of %s", a.persisted.Version, a.persisted.Prior), a.save(false))
	}
	a.ready = false
	a.setState(starting)
	return append(actions, Action{Launch: a.persisted.Version})
}

// Ready passes in whether the program is ready, and its stats.
func (a *Agent) Ready(now time.Duration, ready bool, stats Stats) []Action {
	a.now = max(a.now, now)
	if ready = ready && a.state != launchPending && a.state != detached; ready && !a.ready && a.state == proving {
		a.stateSince = a.now // not since it was last seen unready
	}
	a.ready = ready
	if stats.BootID != 0 {
		a.stats = stats
	}
	return a.Tick(now)
}

// Exited notes that the program has exited, or failed to start.
func (a *Agent) Exited(now time.Duration, reason string) (actions []Action) {
	a.now = max(a.now, now)
	a.ready = false
	switch a.state {
	case draining, stopping:
		if grant := a.persisted.Grant; grant != nil && grant.Kind == Drain && !a.undrained {
			a.setState(detached)
			return append(actions, logAction("drained; staying out of service"))
		}
		a.launchAt = a.now
	case detached, launchPending:
		return actions
	case serving:
		a.deaths++
		actions = append(actions, logAction("the program exited unexpectedly: %s", reason))
		a.launchAt = a.now
	default: // it started, and was not proven
		a.deaths++
		a.failedStarts++
		actions = append(actions, logAction("version %s exited before it was proven (%d times in a row): %s",
			a.persisted.Version, a.failedStarts, reason))
		if a.failedStarts >= a.cfg.MaxStarts && a.persisted.Trial {
			a.persisted.Failed = truncate(fmt.Sprintf("version %s exited %d times before it was proven: %s",
				a.persisted.Version, a.failedStarts, reason))
			// The prior version is better than no service; if it does not start either, the two alternate.
			if a.persisted.Prior != "" && a.persisted.Prior != a.persisted.Version {
				a.persisted.Version, a.persisted.Prior, a.failedStarts = a.persisted.Prior, a.persisted.Version, 0
				actions = append(actions, logAction("reverting to version %s", a.persisted.Version), a.save(false))
			}
		}
		a.launchAt = a.now + a.cfg.Backoff<<min(a.failedStarts, 5)
	}
	a.setState(launchPending)
	return actions
}

// Unanswered notes that a report got no answer in time, or reached a coordinator that does not lead.
// hint is the number of the one that does, from 0; -1 if unknown.
func (a *Agent) Unanswered(now time.Duration, seq uint64, hint int) {
	a.now = max(a.now, now)
	if seq != a.seq || a.sentAt < 0 {
		return
	}
	a.sentAt = -1
	a.nextReport = a.now + a.cfg.ReportInterval/4
	if hint >= 0 && hint < a.cfg.Coordinators && hint != a.coordinator {
		a.coordinator = hint
		return
	}
	a.coordinator = (a.coordinator + 1) % max(1, a.cfg.Coordinators)
}

// Replied handles the answer to a report.
func (a *Agent) Replied(now time.Duration, seq uint64, reply Reply) (actions []Action) {
	a.now = max(a.now, now)
	if seq != a.seq || a.sentAt < 0 {
		return nil // another report has been sent since; only its answer counts
	}
	askedAt := a.sentAt
	a.sentAt = -1
	a.nextReport = max(a.now, askedAt+a.cfg.ReportInterval)
	a.stamp = reply.Stamp
	if reply.Reset || reply.Term > a.persisted.Term || reply.Term == a.persisted.Term && reply.Index > a.persisted.Index {
		a.persisted.Index, a.persisted.Term = reply.Index, reply.Term // persisted with the next save
	}
	if reply.VoidFence > a.persisted.SeenFence && (a.persisted.Grant == nil || a.persisted.Grant.Fence != reply.VoidFence) {
		a.beforeSave = a.copyPersisted()
		a.persisted.SeenFence = reply.VoidFence
		return append(actions, a.save(true))
	}
	order := reply.Order
	if order == nil {
		if a.persisted.Grant == nil {
			a.persisted.RestartVersion = reply.RestartVersion
		}
		return actions
	}
	if grant := a.persisted.Grant; grant != nil {
		if grant.Fence == order.Fence {
			actions = a.updateOrder(actions, order)
		}
		return actions
	}
	switch {
	case order.Fence <= a.persisted.SeenFence || a.state != serving || !a.ready:
		return actions
	case a.now-askedAt > a.cfg.BeginTimeout:
		return append(actions, logAction("grant %d arrived too late to begin", order.Fence)) // the coordinators void it, or offer it again
	}
	a.beforeSave = a.copyPersisted()
	a.persisted.SeenFence, a.persisted.Prior, a.persisted.Failed, a.persisted.Trial, a.persisted.RestartVersion =
		order.Fence, a.persisted.Version, "", true, ""
	a.persisted.Grant = &Grant{Fence: order.Fence, Kind: order.Kind, Stage: Out, Version: cmp.Or(order.Version, a.persisted.Version)}
	a.persisted.Version = a.persisted.Grant.Version
	a.undrained, a.failedStarts = order.Return, 0
	actions = append(actions, a.save(true),
		logAction("leaving service under grant %d (%s), to return with version %s", order.Fence, order.Kind, a.persisted.Version),
		Action{Standby: true})
	a.setState(draining)
	return actions
}

// updateOrder handles an order for the grant that the member holds already.
func (a *Agent) updateOrder(actions []Action, order *Order) []Action {
	a.undrained = a.undrained || order.Return
	if order.Return && a.state == detached {
		return a.step(actions)
	}
	grant := a.persisted.Grant
	if order.Version == "" || order.Version == grant.Version {
		return actions
	}
	if a.persisted.Version != order.Version {
		a.persisted.Prior = a.persisted.Version
	}
	grant.Version, a.persisted.Version, a.persisted.Failed, a.persisted.Trial, a.failedStarts = order.Version, order.Version, "", true, 0
	actions = append(actions, a.save(false), logAction("returning with version %s instead", order.Version))
	switch a.state {
	case starting, proving, serving:
		grant.Stage = Out
		a.setState(stopping)
		return append(actions, Action{Terminate: true})
	case launchPending:
		a.launchAt = a.now
	}
	return actions
}

func (a *Agent) copyPersisted() *AgentState {
	state := a.persisted
	return &state
}

// SaveFailed notes that a required save failed, as on a full disk: the change is undone
// and the grant is not begun.
func (a *Agent) SaveFailed(now time.Duration, err error) []Action {
	a.now = max(a.now, now)
	if a.beforeSave == nil {
		return nil
	}
	a.persisted, a.beforeSave = *a.beforeSave, nil
	if a.state == draining {
		a.setState(serving)
	}
	return []Action{logAction("grant not begun, as the state could not be saved: %v", err)}
}

// Version returns the version that the program should run.
func (a *Agent) Version() string { return a.persisted.Version }

// Coordinator returns the number of the coordinator that the next report goes to.
func (a *Agent) Coordinator() int { return a.coordinator }

// SetCoordinator makes the next report go to a coordinator.
func (a *Agent) SetCoordinator(coordinator int) { a.coordinator = coordinator }
