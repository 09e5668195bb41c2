package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wickarch/internal/virtualtime"
	"wickarch/rollout"
)

// Kind is how a release behaves.
type Kind string

// The kinds of release.
const (
	Good            Kind = "good"
	CrashAtOnce     Kind = "crashes at its start"
	NeverReady      Kind = "is never ready"
	CrashLater      Kind = "ends after a minute"
	Refuses         Kind = "refuses one in ten"
	SlowLater       Kind = "gets slow after a minute"
	BadPayments     Kind = "fails payments"
	BadZone         Kind = "refuses in one zone"
	RollbackCrashes Kind = "crashes, and so does the one before" // the previous version crashes where this one has run
)

// Kinds lists all kinds of release.
var Kinds = []Kind{Good, CrashAtOnce, NeverReady, CrashLater, Refuses, SlowLater, BadPayments, BadZone, RollbackCrashes}

// Strategy is how members of the fleet are changed to a release.
type Strategy string

// The strategies. The last two serve as a comparison: they involve no coordinator.
const (
	Coordinated   Strategy = ""      // as the coordinators grant
	Uncoordinated Strategy = "alone" // each member at a random time within ChangePeriod
	FixedSchedule Strategy = "fixed" // a tenth of the members every ChangePeriod/10, whatever the effect
)

// ChangePeriod is the time in which members change with Uncoordinated and FixedSchedule.
const ChangePeriod = 5 * time.Minute

// Scenario describes one run, drawn from its seed.
type Scenario struct {
	Seed         uint64
	Coordinators int
	Ingresses    int
	Backends     int
	Zones        int
	rollout.Config
	RaftTick        time.Duration
	DecideInterval  time.Duration
	Gate            rollout.Gate
	Waves           []float64
	Releases        []Kind // of the ingresses, in order
	InjectFaults    bool   // inject faults into coordinators, agents, programs and links
	FaultsEnd       time.Duration
	End             time.Duration
	MaxDelay        time.Duration // maximum extra delay of a late message
	Strategy        Strategy      // how members are changed
	Noise           float64       // how much traffic and refusals vary jointly over all members
	CountBytes      bool          // of messages between agents and coordinators
	OperatorActions bool          // operators halt, resume, roll back and drain during the run
	AutoRollback    bool          // an operator rolls the first rollout back as soon as it halts
	FaultFactor     int           // factor of the number of faults
	FaultKinds      []string      // the kinds of fault to draw from; nil for all
}

// Draw returns the scenario of a seed for a fleet of the given size.
func Draw(seed uint64, ingresses, backends, coordinators int) Scenario {
	rng := rand.New(rand.NewPCG(seed, 5))
	s := Scenario{Seed: seed, Coordinators: coordinators, Ingresses: ingresses, Backends: backends, Zones: 1 + rng.IntN(4),
		RaftTick: 250 * time.Millisecond, DecideInterval: time.Second, InjectFaults: true, OperatorActions: true,
		FaultsEnd: 400 * time.Second, End: 1800 * time.Second, MaxDelay: 20 * time.Second, Noise: 0.3}
	s.Timing = rollout.Timing{ReportInterval: 4 * time.Second, MaxStaleness: 12 * time.Second, LearnPeriod: 9 * time.Second, BeginTimeout: 8 * time.Second,
		OverBudgetTimeout: 30 * time.Second, WatchInterval: 10 * time.Second}
	s.Budgets = []rollout.Budget{{Name: "ingresses", Role: "ingress", MaxOut: max(2, ingresses/10)}, {Name: "backends", Role: "backend", Share: 0.25}}
	if rng.IntN(2) == 0 {
		s.Budgets = append(s.Budgets, rollout.Budget{Name: "zone", Role: "ingress", GroupBy: "zone", MaxOut: max(1, ingresses/20)})
	}
	if rng.IntN(3) == 0 {
		s.Budgets = append(s.Budgets, rollout.Budget{Name: "all", Share: 0.15})
	}
	for i := range s.Budgets { // a zone has this many ingresses, or one more
		switch b := &s.Budgets[i]; {
		case b.GroupBy == "zone":
			b.ExpectedMembers = ingresses / s.Zones
		case b.Role == "ingress":
			b.ExpectedMembers = ingresses
		case b.Role == "backend":
			b.ExpectedMembers = backends
		default:
			b.ExpectedMembers = ingresses + backends
		}
	}
	s.Gate = rollout.Gate{Soak: 30 * time.Second, MinRequests: 200, StallTimeout: 200 * time.Second, Alpha: 0.01, Margin: 0.03, MaxLatencyFactor: 1.5}
	s.Waves = [][]float64{{1, 0.1, 0.5, rollout.AllMembers}, {2, rollout.AllMembers}, {rollout.AllMembers}, {0.05, 0.3, rollout.AllMembers}}[rng.IntN(4)]
	s.Releases = []Kind{Kinds[rng.IntN(len(Kinds))], Good}
	if rng.IntN(2) == 0 {
		s.Releases = []Kind{Good}
	}
	if ingresses >= 100 { // long enough for some waves under faults; the other waves run after the faults have ended
		s.FaultsEnd, s.RaftTick, s.DecideInterval = 200*time.Second, 400*time.Millisecond, 2*time.Second
	}
	if rng.IntN(3) > 0 {
		// Few kinds of fault, and many of each: some guards are exercised only when one kind recurs.
		for range 2 + rng.IntN(4) {
			s.FaultKinds = append(s.FaultKinds, AllFaultKinds[rng.IntN(len(AllFaultKinds))])
		}
		s.FaultFactor = 1 + rng.IntN(3)
	}
	return s
}

// build creates the world with every program in service and proven.
func (w *World) build() {
	for i := range w.Coordinators {
		c := &coordinator{w: w, id: uint64(i + 1), slot: i, clock: w.drawClock(), Process: virtualtime.NewProcess(&w.Scheduler)}
		w.coordinators = append(w.coordinators, c)
	}
	w.slots = slices.Clone(w.coordinators)
	peers := map[uint64]string{}
	for _, c := range w.coordinators {
		peers[c.id] = fmt.Sprint("c", c.id)
	}
	for _, c := range w.coordinators {
		c.disk.w = w
		stored, err := initialState(peers)
		if err != nil {
			panic(err) // only plain values are encoded
		}
		c.disk.saved = stored
		c.start()
	}
	add := func(role, name string, prove time.Duration, rate float64) {
		m := &member{w: w, endpoint: firstAgentEndpoint + len(w.members), clock: w.drawClock()}
		m.cfg = rollout.AgentConfig{Member: rollout.Member{Name: name, Role: role, Zone: fmt.Sprint("z", len(w.members)%w.Zones), Weight: 1 + float64(len(w.members)%3)},
			Coordinators: w.Coordinators, Version: "v1", ReportInterval: w.Timing.ReportInterval, BeginTimeout: w.Timing.BeginTimeout, DrainTimeout: 2 * time.Second, StopTimeout: 5 * time.Second,
			StartTimeout: 10 * time.Second, ProvePeriod: prove, MaxStarts: 2, Backoff: time.Second}
		m.prog = program{running: true, bootID: w.Sequence(), version: "v1", startedAt: -time.Hour, readyAt: -time.Hour, classes: map[string]rollout.Count{}, wasServing: true,
			requestRate: rate, refusedShare: 0.01 * math.Exp(0.5*w.rng.NormFloat64())}
		w.members = append(w.members, m)
		w.byName[name] = m
		w.After(time.Duration(w.rng.Int64N(int64(w.Timing.ReportInterval))), m.startAgent)
	}
	for i := range w.Ingresses {
		add("ingress", fmt.Sprintf("n%d", i), 10*time.Second, 20*math.Exp(0.6*w.rng.NormFloat64()))
	}
	for i := range w.Backends {
		add("backend", fmt.Sprintf("b%d", i), 20*time.Second, 30)
	}
}

func (w *World) drawClock() clock { return clock{1 + 0.01*(2*w.rng.Float64()-1)} }

// noise returns the current load factor: a part common to all members and a smaller one of the member's own.
func (w *World) noise(m *member) float64 {
	t := w.Now().Seconds()
	return math.Exp(w.Noise * (math.Sin(t/37+float64(w.Seed%7)) + 0.5*math.Sin(t/11+float64(m.endpoint))))
}

// version returns the name of the i-th release; v1 runs at the start.
func version(i int) string { return fmt.Sprint("v", i+2) }

// behaviourOf returns the faults that a version has at a member.
func (w *World) behaviourOf(m *member, v string) behaviour {
	b := behaviour{crashAt: -1, latencyFactor: 1}
	for i, kind := range w.Releases {
		if kind == RollbackCrashes && v == "v1" && m.brokenVersions["v1"] {
			b.crashAt = 100 * time.Millisecond
		}
		if version(i) != v || m.cfg.Member.Role != "ingress" {
			continue
		}
		switch kind {
		case CrashAtOnce:
			b.crashAt = 50 * time.Millisecond
		case RollbackCrashes:
			b.crashAt = 50 * time.Millisecond
			if m.brokenVersions == nil {
				m.brokenVersions = map[string]bool{}
			}
			m.brokenVersions["v1"] = m.endpoint%2 == 0 // data that the release leaves behind breaks the previous version at half of the members
		case NeverReady:
			b.neverReady = true
		case CrashLater:
			b.crashAt = 60 * time.Second
		case Refuses:
			b.refusedShare = 0.1
		case SlowLater:
			b.latencyFactor, b.startsAfter = 4, 60*time.Second
		case BadPayments:
			b.failedShare = 0.3
		case BadZone:
			if m.cfg.Member.Zone == "z0" {
				b.refusedShare = 0.2
			}
		}
	}
	return b
}

// recordFirstFault records the time of the first fault of a release.
func (w *World) recordFirstFault() {
	if w.firstBadAt == 0 {
		w.firstBadAt = w.Now()
		w.Note("first fault of a release")
	}
}

// startRollout sends an operator's order to start a rollout.
func (w *World) startRollout(id string, role string, v string, after string) {
	gate := w.Gate
	w.order(rollout.Entry{By: "op", Start: &rollout.Spec{ID: id, Role: role, Version: v, After: after, Waves: w.Waves, Gate: gate}}, func(err error) {
		w.Note("start of %s: %v", id, err)
		if err == nil {
			w.startedRollouts[id] = true
		}
	})
}

// plan schedules the releases, the faults and the operators' actions.
func (w *World) plan() {
	start := 25 * time.Second
	w.startAt = start
	if w.Strategy != Coordinated {
		for i, m := range w.members {
			if m.cfg.Member.Role == "ingress" {
				m.changeAt = start + w.between(0, ChangePeriod)
				if w.Strategy == FixedSchedule {
					m.changeAt = start + ChangePeriod/10*time.Duration(i*10/w.Ingresses)
				}
			}
		}
	}
	w.At(start, func() {
		if w.Strategy != Coordinated {
			return
		}
		before := ""
		for i := range w.Releases {
			id := fmt.Sprint("r", i+1)
			w.startRollout(id, "ingress", version(i), before)
			before = id
		}
	})
	if w.Backends > 0 && w.rng.IntN(2) == 0 && w.Strategy == Coordinated {
		w.At(start+20*time.Second, func() { w.startRollout("b1", "backend", "w2", "") })
	}
	if w.OperatorActions {
		for range w.rng.IntN(8) {
			w.At(w.between(26*time.Second, w.FaultsEnd+60*time.Second), w.operatorAction)
		}
	}
	if w.InjectFaults {
		for range (1 + w.rng.IntN(16)) * max(1, w.FaultFactor) {
			w.At(w.between(5*time.Second, w.FaultsEnd-60*time.Second), w.injectFault)
		}
	}
	w.At(w.FaultsEnd, w.endFaults)
	var look func()
	look = func() {
		if w.settled() {
			w.End = w.Now() // no rollout can progress any more
			return
		}
		w.After(5*time.Second, look)
	}
	if w.Strategy == Coordinated {
		w.At(w.FaultsEnd+20*time.Second, look)
	}
}

func (w *World) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rng.Int64N(int64(b-a)))
}

// settled reports whether each rollout has ended, halted or cannot start. On up to two calls per
// halted rollout an operator rolls it back, resumes it or leaves it halted, at random.
func (w *World) settled() bool {
	lead := w.leader()
	if lead == nil {
		return false
	}
	s := lead.node.State()
	if s.Stop != nil {
		// The operator has verified the state and lifts the stop.
		clear(w.haltedAt)
		clear(w.startedRollouts)
		w.order(rollout.Entry{By: "op", Resume: &rollout.ResumeEntry{Number: s.Stop.Number}}, nil)
		return false
	}
	done := true
	for _, r := range s.Rollouts {
		if w.haltVisits[r.ID] == nil {
			w.haltVisits[r.ID] = new(int)
		}
		if r.Halt != nil && r.Phase == rollout.InProgress && *w.haltVisits[r.ID] < 2 {
			switch *w.haltVisits[r.ID]++; w.rng.IntN(3) {
			case 0:
				w.rollBack(r.ID)
				done = false
			case 1:
				w.resumeRollout(r.ID)
				done = false
			}
		}
		done = done && (r.Phase.Ended() || r.Halt != nil || r.Phase == rollout.Waiting && w.blocked(s, r))
	}
	return done
}

// blocked reports whether the rollout that r waits for, directly or not, has ended, is halted or does not exist.
func (w *World) blocked(s *rollout.State, r *rollout.Rollout) bool {
	for r != nil && r.Phase == rollout.Waiting {
		r = s.Rollout(r.After)
	}
	return r == nil || r.Halt != nil || r.Phase.Ended()
}

// liftHalt sends an order that lifts a halt. While it is in flight, a halt that is accepted
// meanwhile may be ordered before or after it in the log.
func (w *World) liftHalt(id, what string, e rollout.Entry) {
	delete(w.haltedAt, id)
	w.haltLifted[id] = true
	w.pendingLifts[id]++
	e.By = "op"
	w.order(e, func(err error) {
		w.pendingLifts[id]--
		w.Note("%s of %s: %v", what, id, err)
	})
}

func (w *World) rollBack(id string) { w.liftHalt(id, "back", rollout.Entry{Rollback: id}) }

func (w *World) resumeRollout(id string) {
	w.liftHalt(id, "resume", rollout.Entry{Resume: &rollout.ResumeEntry{Rollout: id}})
}

// operatorAction performs one random action of an operator.
func (w *World) operatorAction() {
	id := fmt.Sprint("r", 1+w.rng.IntN(len(w.Releases)))
	m := w.members[w.rng.IntN(len(w.members))].name()
	halt := func() {
		delete(w.haltLifted, id)
		w.order(rollout.Entry{By: "op", Halt: rollout.NewHaltEntry(id, &rollout.HaltedByOperator{By: "op", Why: "to look"})}, func(err error) {
			w.Note("halt of %s: %v", id, err)
			if err == nil && !w.haltLifted[id] && w.pendingLifts[id] == 0 {
				w.haltedAt[id] = w.Now()
			}
		})
	}
	resume := func() { w.resumeRollout(id) }
	switch w.rng.IntN(10) {
	case 0:
		halt()
	case 1, 2, 3:
		halt()
		w.After(w.between(0, 60*time.Second), resume)
	case 4: // concurrent orders from two terminals, within a second
		halt()
		w.After(w.between(0, time.Second), resume)
		w.After(w.between(0, time.Second), func() { w.rollBack(id) })
	case 5:
		w.rollBack(id)
	default:
		w.order(rollout.Entry{By: "op", Drain: m}, func(err error) { w.Note("drain of %s: %v", m, err) })
		w.After(w.between(0, 150*time.Second), func() {
			w.order(rollout.Entry{By: "op", Undrain: m}, func(err error) { w.Note("undrain of %s: %v", m, err) })
		})
	}
}
