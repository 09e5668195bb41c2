package rollout

import (
	"cmp"
	"fmt"
	"time"
)

// AgentConfig is what one agent goes by.
type AgentConfig struct {
	Member         Member
	Coordinators   int           // how many there are to ask
	Version        string        // to run where nothing is remembered
	ReportInterval time.Duration // see Timing
	BeginTimeout   time.Duration // see Timing
	DrainTimeout   time.Duration // from standby to SIGTERM
	StopTimeout    time.Duration // from SIGTERM to SIGKILL
	StartTimeout   time.Duration // from the start to being ready
	ProvePeriod    time.Duration // ready for so long without a break is proven
	MaxStarts      int           // starts of a version before the one before is taken again
	Backoff        time.Duration // before the second start, doubled for each further one
}

// AgentState is what an agent keeps on its disk.
type AgentState struct {
	SeenFence      uint64 `json:"seen"`  // see Report
	Index          uint64 `json:"index"` // see Report
	Term           uint64 `json:"term"`
	Grant          *Grant `json:"grant,omitempty"`
	Version        string `json:"version"`         // to run
	Prior          string `json:"prior,omitempty"` // that ran before it
	Trial          bool   `json:"trial,omitempty"` // it has not been proven yet; where it does not start, the one before is taken
	RestartVersion string `json:"run,omitempty"`   // to be started when the program ends by itself; "" for the same again
	Failed         string `json:"failed,omitempty"`
}

// Action is something that the shell of an agent has to do. One field is set.
type Action struct {
	Send         *Report // to the coordinator of the number To; Replied or Unanswered tells what came of it
	To           int
	Save         *AgentState // Must: where it fails, the actions behind it are dropped and SaveFailed is called
	SaveRequired bool
	Launch       string // start the program of a version; Started or Exited tells what came of it
	Standby      bool   // let clients go, take no new ones
	Terminate    bool
	Kill         bool
	Log          string // for the log
}

// doing is what an agent's program does.
type doing int

const (
	serving   doing = iota
	leaving         // told to let clients go
	stopping        // told to end
	away            // ended, and to stay so
	launching       // to be started at Agent.next
	starting        // started, not ready yet
	proving         // ready, since Agent.since
)

// Agent decides for one member. While no coordinator answers, one that serves goes
// on serving, one that has begun to go out comes back under its grant, one that is
// drained stays out, and nothing begins to go out.
type Agent struct {
	cfg    AgentConfig
	mem    AgentState
	now    time.Duration
	does   doing
	since  time.Duration // of what it does
	next   time.Duration // start of the program, where it waits for that
	starts int           // of this version, failed in a row
	ready  bool
	back   bool // a drain has been lifted

	incarnation uint64
	seq         uint64
	stamp       Stamp
	sent        time.Duration // when the report that is open was sent; -1 while none is
	nextReport  time.Duration
	coordinator int
	figures     Stats
	deaths      uint64
	undo        *AgentState // what was remembered before the save that is on
}

// Running is a program that ran when its agent started.
type Running struct{ Version string }

// NewAgent begins with what its disk remembers (a zero Memory for nothing) and the
// program that runs, if one does. The incarnation is new with each start.
func NewAgent(cfg AgentConfig, mem AgentState, running *Running, incarnation uint64, now time.Duration) *Agent {
	a := &Agent{cfg: cfg, mem: mem, now: now, since: now, sent: -1, next: now, incarnation: incarnation, nextReport: now}
	a.mem.Version = cmp.Or(a.mem.Version, cfg.Version)
	a.coordinator = int(incarnation % uint64(max(1, cfg.Coordinators)))
	g := a.mem.Grant
	switch {
	case running != nil && g != nil && g.Stage == Out:
		a.does = leaving
	case running != nil:
		// How it did while nobody looked is not known: it has to prove itself anew.
		a.does = starting
		if g == nil {
			a.mem.Version = running.Version
		}
	case g != nil && g.Kind == Drain && g.Stage == Out:
		a.does = away
	default:
		a.does = launching
	}
	return a
}

// MemberState is what the member does, as reports tell it.
func (a *Agent) MemberState() ServiceState {
	switch a.does {
	case serving:
		if a.ready {
			return InService
		}
	case leaving, stopping:
		return Draining
	case away:
		return Detached
	case proving:
		if a.ready {
			return Unproven
		}
	}
	return Down
}

// PersistentState is what the agent remembers.
func (a *Agent) PersistentState() AgentState { return a.mem }

// Next is when Tick has something to do.
func (a *Agent) Next() time.Duration {
	at := a.now + a.cfg.ReportInterval
	if a.sent < 0 {
		at = min(at, a.nextReport)
	}
	switch a.does {
	case leaving:
		at = min(at, a.since+a.cfg.DrainTimeout)
	case stopping:
		at = min(at, a.since+a.cfg.StopTimeout)
	case launching:
		at = min(at, a.next)
	case starting:
		at = min(at, a.since+a.cfg.StartTimeout)
	case proving:
		at = min(at, a.since+a.cfg.ProvePeriod)
	}
	return max(at, a.now)
}

func (a *Agent) set(d doing) {
	a.does, a.since = d, a.now
}

func (a *Agent) save(must bool) Action {
	m := a.mem
	if a.mem.Grant != nil {
		g := *a.mem.Grant
		m.Grant = &g
	}
	return Action{Save: &m, SaveRequired: must}
}

func note(format string, args ...any) Action { return Action{Log: fmt.Sprintf(format, args...)} }

// Tick does what is due.
func (a *Agent) Tick(now time.Duration) (do []Action) {
	a.now = max(a.now, now)
	for range 4 { // one thing may lead to the next
		n := len(do)
		do = a.step(do)
		if len(do) == n {
			break
		}
	}
	if a.sent < 0 && a.now >= a.nextReport {
		a.seq++
		a.sent = a.now
		r := Report{Member: a.cfg.Member, Incarnation: a.incarnation, Seq: a.seq, Stamp: a.stamp, Index: a.mem.Index, IndexTerm: a.mem.Term, State: a.MemberState(),
			Version: a.mem.Version, SeenFence: a.mem.SeenFence, Failed: a.mem.Failed, Stats: a.figures}
		r.Stats.Deaths = a.deaths
		if g := a.mem.Grant; g != nil {
			held := *g
			r.HeldGrant = &held
		}
		do = append(do, Action{Send: &r, To: a.coordinator})
	}
	return do
}

func (a *Agent) step(do []Action) []Action {
	switch spent := a.now - a.since; a.does {
	case leaving:
		if spent >= a.cfg.DrainTimeout {
			a.set(stopping)
			do = append(do, Action{Terminate: true})
		}
	case stopping:
		if spent >= a.cfg.StopTimeout {
			a.set(stopping) // and again, if that does not end it
			do = append(do, note("the program did not end in %v", a.cfg.StopTimeout), Action{Kill: true})
		}
	case away:
		if a.back {
			do = a.launch(do)
		}
	case launching:
		if a.now >= a.next {
			do = a.launch(do)
		}
	case starting:
		if a.ready {
			a.set(proving)
		} else if spent >= a.cfg.StartTimeout {
			a.set(starting)
			do = append(do, note("version %s is not ready after %v", a.mem.Version, a.cfg.StartTimeout), Action{Kill: true})
		}
	case proving:
		if !a.ready {
			a.since = a.now
		} else if spent >= a.cfg.ProvePeriod {
			a.set(serving)
			a.starts = 0
			if a.mem.Grant != nil || a.mem.Trial {
				a.mem.Grant, a.mem.Trial = nil, false
				do = append(do, note("back and proven with version %s", a.mem.Version), a.save(false))
			}
		}
	case serving:
		if !a.ready {
			a.set(proving) // it has to prove itself anew
		}
	}
	return do
}

// launch starts the program.
func (a *Agent) launch(do []Action) []Action {
	a.back = false
	if g := a.mem.Grant; g != nil && g.Stage == Out {
		g.Stage = Proving
		do = append(do, a.save(false))
	}
	if a.mem.RestartVersion != "" && a.mem.Grant == nil && a.mem.RestartVersion != a.mem.Version && a.starts == 0 {
		// It is down by itself: to come back with another version takes no more room.
		a.mem.Version, a.mem.Prior, a.mem.Trial, a.mem.Failed = a.mem.RestartVersion, a.mem.Version, true, ""
		do = append(do, note("version %s is started in the place of %s", a.mem.Version, a.mem.Prior), a.save(false))
	}
	a.ready = false
	a.set(starting)
	return append(do, Action{Launch: a.mem.Version})
}

// Ready tells whether the program says that it is ready, and what it has done.
func (a *Agent) Ready(now time.Duration, ready bool, f Stats) []Action {
	a.now = max(a.now, now)
	if ready = ready && a.does != launching && a.does != away; ready && !a.ready && a.does == proving {
		a.since = a.now // and not since it was last seen unready
	}
	a.ready = ready
	if f.BootID != 0 {
		a.figures = f
	}
	return a.Tick(now)
}

// Exited tells that the program has ended, or did not start.
func (a *Agent) Exited(now time.Duration, why string) (do []Action) {
	a.now = max(a.now, now)
	a.ready = false
	switch a.does {
	case leaving, stopping:
		if g := a.mem.Grant; g != nil && g.Kind == Drain && !a.back {
			a.set(away)
			return append(do, note("out, as ordered"))
		}
		a.next = a.now
	case away, launching:
		return do
	case serving:
		a.deaths++
		do = append(do, note("the program ended unasked: %s", why))
		a.next = a.now
	default: // it started, and did not prove itself
		a.deaths++
		a.starts++
		do = append(do, note("version %s ended before it was proven (%d in a row): %s", a.mem.Version, a.starts, why))
		if a.starts >= a.cfg.MaxStarts && a.mem.Trial {
			a.mem.Failed = clip(fmt.Sprintf("version %s ended %d times before it was proven: %s", a.mem.Version, a.starts, why))
			// What it had serves better than nothing; and if that does not start either, both are tried in turn.
			if a.mem.Prior != "" && a.mem.Prior != a.mem.Version {
				a.mem.Version, a.mem.Prior, a.starts = a.mem.Prior, a.mem.Version, 0
				do = append(do, note("version %s is started again", a.mem.Version), a.save(false))
			}
		}
		a.next = a.now + a.cfg.Backoff<<min(a.starts, 5)
	}
	a.set(launching)
	return do
}

// Unanswered tells that no answer came to a report in time, or that who got it does not lead.
// hint is the number of the one that does, from 0; -1 if unknown.
func (a *Agent) Unanswered(now time.Duration, seq uint64, hint int) {
	a.now = max(a.now, now)
	if seq != a.seq || a.sent < 0 {
		return
	}
	a.sent = -1
	a.nextReport = a.now + a.cfg.ReportInterval/4
	if hint >= 0 && hint < a.cfg.Coordinators && hint != a.coordinator {
		a.coordinator = hint
		return
	}
	a.coordinator = (a.coordinator + 1) % max(1, a.cfg.Coordinators)
}

// Replied takes the answer to a report.
func (a *Agent) Replied(now time.Duration, seq uint64, r Reply) (do []Action) {
	a.now = max(a.now, now)
	if seq != a.seq || a.sent < 0 {
		return nil // another report has been sent since; its answer counts
	}
	asked := a.sent
	a.sent = -1
	a.nextReport = max(a.now, asked+a.cfg.ReportInterval)
	a.stamp = r.Stamp
	if r.Reset || r.Term > a.mem.Term || r.Term == a.mem.Term && r.Index > a.mem.Index {
		a.mem.Index, a.mem.Term = r.Index, r.Term // kept on disk with the next change
	}
	if r.VoidFence > a.mem.SeenFence && (a.mem.Grant == nil || a.mem.Grant.Fence != r.VoidFence) {
		a.undo = a.before()
		a.mem.SeenFence = r.VoidFence
		return append(do, a.save(true))
	}
	o := r.Order
	if o == nil {
		if a.mem.Grant == nil {
			a.mem.RestartVersion = r.RestartVersion
		}
		return do
	}
	if g := a.mem.Grant; g != nil {
		if g.Fence == o.Fence {
			do = a.again(do, o)
		}
		return do
	}
	switch {
	case o.Fence <= a.mem.SeenFence || a.does != serving || !a.ready:
		return do
	case a.now-asked > a.cfg.BeginTimeout:
		return append(do, note("grant %d came too late to begin", o.Fence)) // the coordinators void it, or hand it out again
	}
	a.undo = a.before()
	a.mem.SeenFence, a.mem.Prior, a.mem.Failed, a.mem.Trial, a.mem.RestartVersion = o.Fence, a.mem.Version, "", true, ""
	a.mem.Grant = &Grant{Fence: o.Fence, Kind: o.Kind, Stage: Out, Version: cmp.Or(o.Version, a.mem.Version)}
	a.mem.Version = a.mem.Grant.Version
	a.back, a.starts = o.Return, 0
	do = append(do, a.save(true), note("going out by grant %d (%s), to come back with version %s", o.Fence, o.Kind, a.mem.Version), Action{Standby: true})
	a.set(leaving)
	return do
}

// again takes an order for the grant that it holds.
func (a *Agent) again(do []Action, o *Order) []Action {
	a.back = a.back || o.Return
	if o.Return && a.does == away {
		return a.step(do)
	}
	g := a.mem.Grant
	if o.Version == "" || o.Version == g.Version {
		return do
	}
	if a.mem.Version != o.Version {
		a.mem.Prior = a.mem.Version
	}
	g.Version, a.mem.Version, a.mem.Failed, a.mem.Trial, a.starts = o.Version, o.Version, "", true, 0
	do = append(do, a.save(false), note("to come back with version %s instead", o.Version))
	switch a.does {
	case starting, proving, serving:
		g.Stage = Out
		a.set(stopping)
		return append(do, Action{Terminate: true})
	case launching:
		a.next = a.now
	}
	return do
}

func (a *Agent) before() *AgentState {
	m := a.mem
	return &m
}

// SaveFailed tells that what had to be saved was not, as when the disk is full: the
// grant is not begun.
func (a *Agent) SaveFailed(now time.Duration, err error) []Action {
	a.now = max(a.now, now)
	if a.undo == nil {
		return nil
	}
	a.mem, a.undo = *a.undo, nil
	if a.does == leaving {
		a.set(serving)
	}
	return []Action{note("nothing is begun, as it could not be kept: %v", err)}
}

// Version is what the program should run.
func (a *Agent) Version() string { return a.mem.Version }

// Coordinator is the number of the coordinator that the next report goes to.
func (a *Agent) Coordinator() int { return a.coordinator }

// SetCoordinator has the next report go to a coordinator.
func (a *Agent) SetCoordinator(coordinator int) { a.coordinator = coordinator }
