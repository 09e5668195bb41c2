// Package fleetsim simulates coordinators, agents and the programs they supervise in
// virtual time, under many injected faults, and checks them against the simulated state.
//
// The coordinators are rollout/replica on the real raft library, the agents
// rollout.Agent; links, disks, programs and operators are models. The same seed gives
// the same run on every machine.
package fleetsim

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"wickarch/internal/virtualtime"
	"wickarch/rollout"
	"wickarch/rollout/replica"
)

// World is one run.
type World struct {
	Scenario
	virtualtime.Scheduler
	virtualtime.Recorder
	rng *rand.Rand

	coordinators []*coordinator // indexed by ID-1, including replaced ones
	slots        []*coordinator // current coordinator of each address that agents contact
	members      []*member
	byName       map[string]*member
	cutLinks     map[[2]int]bool // directed links between two endpoints that lose all messages
	lossRate     float64
	diskReplaced bool

	haltedAt            map[string]time.Duration // time at which an operator got the confirmation of a rollout's halt
	startedRollouts     map[string]bool          // rollouts whose start was confirmed to an operator
	faultsOver          bool                     // all faults are over
	firstBadAt, startAt time.Duration
	haltLifted          map[string]bool // rollouts whose halt an operator has ordered to be lifted since
	pendingLifts        map[string]int  // number of such orders in flight
	haltVisits          map[string]*int
	Report              Report
}

// Report summarizes a run.
type Report struct {
	Faults          []string
	Events          uint64
	Orders          int // orders given to members
	Voided          int
	Rollouts        map[string]int // number of rollouts by final state
	MaxOut          int            // maximum number of members out by grant at one time
	MaxUnavailable  int            // maximum number of members out by grant or not serving at one time
	Messages        uint64         // between agents and coordinators
	Bytes           uint64
	Leaders         int
	Leaderless      time.Duration
	SimulatedTime   time.Duration // virtual time covered by the run
	BadMembers      int           // maximum number of members that ran a bad release
	Halts           []string      // texts of the halts in force at the end
	TimeToHalt      time.Duration // from the first fault of the release to the halt; -1 for never
	TimeToRollback  time.Duration // from the first fault of the release to the last member rolled back; -1 for never
	RolloutDuration time.Duration // of the first rollout; -1 if it did not end
	FailedRequests  float64       // requests refused or failed
	Requests        float64
}

// Endpoints of links: coordinators from 0 by slot, agents from firstAgentEndpoint.
const firstAgentEndpoint = 1000

// transmit delivers a message from one endpoint to another, possibly late or not at all.
func (w *World) transmit(from, to int, do func()) {
	if w.cutLinks[[2]int{from, to}] || w.lossRate > 0 && w.rng.Float64() < w.lossRate {
		return
	}
	d := time.Duration((1 + w.rng.ExpFloat64()*4) * float64(time.Millisecond))
	if w.lossRate > 0 && w.rng.IntN(20) == 0 {
		d += time.Duration(w.rng.Float64() * float64(w.MaxDelay)) // late, and overtaken by newer messages
	}
	w.After(d, func() {
		if !w.cutLinks[[2]int{from, to}] {
			do()
		}
	})
}

// clock is the clock of one machine, which runs at a rate of its own.
type clock struct{ rate float64 }

func (c clock) fromWorld(t time.Duration) time.Duration { return time.Duration(float64(t) * c.rate) }
func (c clock) toWorld(t time.Duration) time.Duration   { return time.Duration(float64(t) / c.rate) }

// coordinator is one coordinator with its disk.
type coordinator struct {
	w                 *World
	id                uint64
	slot              int
	clock             clock
	node              *replica.Replica // nil while down
	disk              disk
	removed           bool // permanently
	awaitsReplacement bool // its disk is lost, and a new coordinator is to replace it

	virtualtime.Process
}

func (c *coordinator) start() {
	if c.removed || c.node != nil {
		return
	}
	c.Start()
	stored, err := c.disk.load()
	if err != nil {
		c.w.Note("coordinator %d does not start: %v", c.id, err)
		c.removed = true
		return
	}
	r, err := replica.New(replica.Config{ID: c.id, Rollout: c.w.Config, TickInterval: c.w.RaftTick, ElectionTicks: 6, CompactAfter: 200, DecideInterval: c.w.DecideInterval},
		stored, &c.disk, c.w.Seed*31+c.id+uint64(c.Incarnation())<<40, c.clock.fromWorld(c.w.Now()))
	if err != nil {
		c.w.Note("coordinator %d does not start: %v", c.id, err)
		c.removed = true
		return
	}
	c.w.Note("coordinator %d starts", c.id)
	c.node = r
	incarnation := c.Incarnation()
	var tick func()
	tick = func() {
		if c.Incarnation() != incarnation || c.node == nil {
			return
		}
		if c.Paused() {
			c.w.At(c.ResumesAt(), tick)
			return
		}
		c.do(func() { _ = c.node.Tick(c.clock.fromWorld(c.w.Now())) }) // a permanent error is kept for Err, which do checks
		c.w.After(c.clock.toWorld(c.w.RaftTick), tick)
	}
	c.w.After(time.Duration(c.w.rng.Int64N(int64(c.w.RaftTick))), tick)
}

func (c *coordinator) kill() {
	if c.node == nil {
		return
	}
	c.w.Note("coordinator %d dies", c.id)
	c.node = nil
	c.Stop()
}

// do runs f at the coordinator and sends the resulting messages.
func (c *coordinator) do(f func()) {
	if c.node == nil || c.HoldIfPaused(f) {
		return
	}
	led := c.node.IsLeader()
	f()
	if c.node == nil {
		return
	}
	if !led && c.node.IsLeader() {
		c.w.Report.Leaders++
		c.w.Note("coordinator %d leads in term %d", c.id, c.node.Term())
	}
	for _, m := range c.node.TakeMessages() {
		to := c.w.coordinator(m.To)
		if to == nil {
			continue
		}
		data := m.Data
		c.w.transmit(c.slot, to.slot, func() {
			// A refused message counts as lost; a permanent error is kept for Err.
			to.do(func() { _ = to.node.Step(to.clock.fromWorld(c.w.Now()), data) })
		})
	}
	if err := c.node.Err(); err != nil {
		c.w.Note("coordinator %d stops: %v", c.id, err)
		switch err.(type) {
		case *replica.LogBehind, *replica.LogSplit:
			c.removed = true // an operator replaces it, as the error's remedy says
			c.w.After(c.w.between(2*time.Second, 20*time.Second), func() { c.w.replace(c.slot) })
		}
		c.node = nil
		c.Stop()
	}
}

func (c *coordinator) pause(d time.Duration) {
	if c.node == nil {
		return
	}
	c.w.Note("coordinator %d is paused for %v", c.id, d)
	c.Pause(d, c.do)
}

func (w *World) coordinator(id uint64) *coordinator {
	if id == 0 || id > uint64(len(w.coordinators)) {
		return nil
	}
	return w.coordinators[id-1]
}

// leader returns the leader of the highest term, or nil.
func (w *World) leader() (lead *coordinator) {
	for _, c := range w.coordinators {
		if c.node != nil && c.node.IsLeader() && !c.Paused() && (lead == nil || c.node.Term() > lead.node.Term()) {
			lead = c
		}
	}
	return lead
}

// hasMajority reports whether enough coordinators run and reach each other for one to lead.
func (w *World) hasMajority() bool {
	up := func(c *coordinator, ids []uint64) bool {
		n := 0
		for _, id := range ids {
			o := w.coordinator(id)
			if o.node != nil && !o.Paused() && !w.cutLinks[[2]int{c.slot, o.slot}] && !w.cutLinks[[2]int{o.slot, c.slot}] {
				n++
			}
		}
		return len(ids) == 0 || n > len(ids)/2
	}
	for _, c := range w.coordinators {
		if c.node == nil {
			continue
		}
		now, before := c.node.Voters()
		if len(now) > 0 && up(c, now) && up(c, before) {
			return true
		}
	}
	return false
}

// replace puts a new coordinator, with an empty disk and a new ID, into the slot of a failed one.
func (w *World) replace(place int) {
	old := w.slots[place]
	if !old.removed && !old.disk.damaged && !old.awaitsReplacement {
		return // replaced already
	}
	lead := w.leader()
	if lead == nil || lead == old {
		w.After(2*time.Second, func() { w.replace(place) })
		return
	}
	id := uint64(len(w.coordinators) + 1)
	w.Note("coordinator %d is to replace coordinator %d", id, old.id)
	if _, there := lead.node.Peers()[old.id]; !there {
		return
	}
	c := &coordinator{w: w, id: id, slot: place, clock: old.clock, Process: virtualtime.NewProcess(&w.Scheduler)}
	c.disk.w = w
	old.kill()
	old.removed = true
	w.coordinators = append(w.coordinators, c)
	w.slots[place] = c
	c.start()
	var again func()
	again = func() {
		lead := w.leader()
		if lead != nil {
			if _, there := lead.node.Peers()[id]; there {
				return
			}
			// Repeated, whether refused or not, until the new one is a member.
			lead.do(func() { _ = lead.node.Replace(lead.clock.fromWorld(w.Now()), old.id, id, "") })
		}
		w.After(3*time.Second, again)
	}
	again()
}

// order retries an operator's order until it is decided, as the command-line tool does.
func (w *World) order(e rollout.Entry, done func(error)) {
	e.Request = fmt.Sprint("q", w.Sequence())
	place := w.rng.IntN(len(w.slots))
	var try func(n int)
	try = func(n int) {
		answered := false
		answer := func(err error) {
			if answered {
				return
			}
			answered = true
			switch f := err.(type) {
			case *rollout.NotLeader:
				if c := w.coordinator(f.Leader); c != nil {
					place = c.slot
				} else {
					place = (place + 1) % len(w.slots)
				}
			case *rollout.Undecided:
			case nil:
				if done != nil {
					done(nil)
				}
				return
			default:
				if done != nil {
					done(err)
				}
				return
			}
			if n < 200 {
				w.After(500*time.Millisecond, func() { try(n + 1) })
			}
		}
		c := w.slots[place]
		if c.node != nil && !c.Paused() {
			c.do(func() {
				c.node.Order(c.clock.fromWorld(w.Now()), e, func(err error) { w.After(time.Millisecond, func() { answer(err) }) })
			})
		}
		w.After(3*time.Second, func() {
			if !answered {
				place = (place + 1) % len(w.slots)
				answer(&rollout.Undecided{Why: "no answer"})
			}
		})
	}
	try(0)
}

func encodedSize(v any) uint64 {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only plain values are encoded
	}
	return uint64(len(b))
}

// countOut returns how many members are out by grant, and how many are out by grant or have not
// served for longer than since.
func (w *World) countOut(since time.Duration) (granted, unavailable int) {
	for _, m := range w.members {
		if m.grantFence != 0 {
			granted++
		}
		if m.grantFence != 0 || m.unavailableFor() > since {
			unavailable++
		}
	}
	return granted, unavailable
}

// maxKnowledgeAge returns the maximum age of the state that a leader relies on: the age of the last
// report plus the age of the agent's observation in it, on clocks that differ.
func (w *World) maxKnowledgeAge() time.Duration {
	return time.Duration(1.03*float64(w.Timing.MaxStaleness+w.Timing.ReportInterval)) + 10*time.Millisecond
}

// checkGrant checks the budgets at the time at which a member is given its order. Members that
// have not served for longer than slack count as out.
func (w *World) checkGrant(m *member, slack time.Duration) {
	out := map[string]bool{}
	for _, o := range w.members {
		out[o.cfg.Member.Name] = o == m || o.grantFence != 0 || o.unavailableFor() > slack
	}
	var all []rollout.Member
	for _, o := range w.members {
		all = append(all, o.cfg.Member)
	}
	for _, over := range rollout.NewLedger(w.Budgets, all, func(name string) bool { return out[name] }).Exceeded() {
		covers := false
		for _, b := range w.Budgets {
			if b.Name == over.Budget && (b.Role == "" || b.Role == m.cfg.Member.Role) &&
				(b.GroupBy != "zone" || over.Group == m.cfg.Member.Zone) && (b.GroupBy != "cell" || over.Group == m.cfg.Member.Cell) {
				covers = true
			}
		}
		if covers {
			w.Fault("grant to %s exceeds the budget: %v: %s", m.cfg.Member.Name, over, w.describeOut(slack))
		}
	}
}

func (w *World) describeOut(slack time.Duration) (s string) {
	n := 0
	for _, o := range w.members {
		if o.grantFence != 0 || o.unavailableFor() > slack {
			if n++; n < 12 {
				s += fmt.Sprintf("%s(%d,%v) ", o.cfg.Member.Name, o.grantFence, o.unavailableFor().Round(time.Millisecond))
			}
		}
	}
	return s
}

// Run runs a scenario. tell, if not nil, is called with a line for each event.
func Run(s Scenario, tell func(time.Duration, string)) Report {
	w := &World{Scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 77)), byName: map[string]*member{}, cutLinks: map[[2]int]bool{},
		haltedAt: map[string]time.Duration{}, startedRollouts: map[string]bool{},
		haltLifted: map[string]bool{}, haltVisits: map[string]*int{}, pendingLifts: map[string]int{}}
	w.Recorder = virtualtime.NewRecorder(&w.Scheduler, tell)
	w.Report = Report{TimeToHalt: -1, TimeToRollback: -1, RolloutDuration: -1, Rollouts: map[string]int{}}
	w.build()
	w.plan()
	var leaderless time.Duration
	last := time.Duration(0)
	for event, more := w.Next(w.End); more; event, more = w.Next(w.End) {
		if w.Now()-last >= 250*time.Millisecond {
			if w.leader() == nil {
				leaderless += w.Now() - last
			}
			last = w.Now()
			w.sample()
			w.trackFirstRelease()
		}
		w.Report.Events++
		event.Do()
	}
	w.Report.Leaderless, w.Report.SimulatedTime = leaderless, w.Now()
	w.finish()
	w.Report.Faults = w.Faults()
	return w.Report
}

// trackFirstRelease records the progress of the first release, and when it halts and is rolled back.
func (w *World) trackFirstRelease() {
	if w.Releases[0] != Good {
		n := 0
		for _, m := range w.members {
			if m.prog.running && m.prog.version == version(0) {
				n++
			}
		}
		w.Report.BadMembers = max(w.Report.BadMembers, n)
	}
	if w.Strategy != Coordinated {
		for _, m := range w.members {
			if m.changeAt > 0 && (m.persisted.SeenFence == 0 || m.persisted.Grant != nil) {
				return
			}
		}
		if w.Report.RolloutDuration < 0 {
			w.Report.RolloutDuration = w.Now() - w.startAt
		}
		return
	}
	lead := w.leader()
	if lead == nil {
		return
	}
	r := lead.node.State().Rollout("r1")
	if r == nil {
		return
	}
	if r.Halt != nil && w.Report.TimeToHalt < 0 && w.firstBadAt > 0 {
		w.Report.TimeToHalt = w.Now() - w.firstBadAt
	}
	if r.Halt != nil && w.AutoRollback && r.Phase == rollout.InProgress && !w.haltLifted[r.ID] {
		w.rollBack(r.ID)
	}
	if r.Phase.Ended() && w.Report.RolloutDuration < 0 {
		w.Report.RolloutDuration = w.Now() - w.startAt
		if r.Phase == rollout.RolledBack && w.firstBadAt > 0 {
			w.Report.TimeToRollback = w.Now() - w.firstBadAt
		}
	}
}

func (w *World) sample() {
	granted, unavailable := w.countOut(0)
	w.Report.MaxOut, w.Report.MaxUnavailable = max(w.Report.MaxOut, granted), max(w.Report.MaxUnavailable, unavailable)
}

// finish checks the final state.
func (w *World) finish() {
	if w.Strategy != Coordinated {
		return
	}
	lead := w.leader()
	if lead == nil {
		if w.hasMajority() {
			w.Fault("no leader at the end although a majority of the coordinators can communicate")
		}
		w.Report.Rollouts["no majority"]++
		return
	}
	state := lead.node.State()
	for id := range w.startedRollouts {
		if state.Rollout(id) == nil && state.Stop == nil {
			w.Fault("rollout %s was accepted but is missing from the state", id)
		}
	}
	for id, at := range w.haltedAt {
		if r := state.Rollout(id); r != nil && r.Halt == nil && !r.Phase.Ended() && state.Stop == nil {
			w.Fault("the halt of rollout %s at %v is lost", id, at)
		}
	}
	for _, r := range state.Rollouts {
		how := string(r.Phase)
		if r.Halt != nil {
			how += " halted " + r.Halt.Kind
			w.Report.Halts = append(w.Report.Halts, r.Halt.Text)
		}
		if state.Stop != nil {
			how = "stopped " + state.Stop.Kind
		}
		w.Report.Rollouts[how]++
		if !r.Phase.Ended() && r.Halt == nil && state.Stop == nil && r.Phase != rollout.Waiting {
			status, _ := lead.node.Status(lead.clock.fromWorld(w.Now()))
			w.Fault("rollout %s neither ends nor halts: %s", r.ID, statusLine(status, r.ID))
		}
	}
}

func statusLine(s rollout.Status, id string) string {
	for _, r := range s.Rollouts {
		if r.ID == id {
			return fmt.Sprintf("%s wave %d/%d done %d/%d gate %q idle %v waits %v grants blocked %q", r.Phase, r.Wave, r.Waves, r.Done, r.Total, r.Gate, r.Idle,
				r.WaitingFor[:min(3, len(r.WaitingFor))], s.GrantsBlocked)
		}
	}
	return ""
}

// Outcomes formats the number of rollouts by final state.
func (r Report) Outcomes() (s string) {
	keys := slices.SortedFunc(maps.Keys(r.Rollouts), cmp.Compare[string])
	for _, k := range keys {
		s += fmt.Sprintf("%s: %d; ", k, r.Rollouts[k])
	}
	return s
}
