// Package fleetsim plays coordinators, agents and the programs they watch in
// virtual time, under dense faults, and checks them from the world's own truth.
//
// The coordinators are rollout/replica on the real raft library, the agents
// rollout.Agent; links, disks, programs and operators are models. A seed gives the
// same run again, whatever machine plays it.
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

	coordinators []*coordinator // by number less one, those that were replaced among them
	slots        []*coordinator // by the place that agents ask
	members      []*member
	byName       map[string]*member
	cut          map[[2]int]bool // links from an end to another that carry nothing
	loss         float64
	replaced     bool

	halted         map[string]time.Duration // rollouts whose halt an operator was told to be in force
	ordered        map[string]bool          // rollouts that were started, as operators were told
	calm           bool                     // all faults are over
	badAt, startAt time.Duration
	lifted         map[string]bool // rollouts whose halt an operator has ordered lifted since
	lifting        map[string]int  // such orders on their way
	lookedAt       map[string]*int
	Report         Report
}

// Report tells what came of a run.
type Report struct {
	Faults          []string
	Events          uint64
	Orders          int // that members were given: grants in force
	Voided          int
	Rollouts        map[string]int // by how they ended
	MaxOut          int            // by grant, at once
	MaxUnavailable  int            // by grant or lost
	Messages        uint64         // between agents and coordinators
	Bytes           uint64
	Leaders         int
	Leaderless      time.Duration
	SimulatedTime   time.Duration // that was played
	BadMembers      int           // members that a bad release reached
	Halts           []string      // as they stand at the end
	TimeToHalt      time.Duration // from the first bad answer to the halt; -1 for never
	TimeToRollback  time.Duration // from the first bad answer to the last member back; -1 for never
	RolloutDuration time.Duration // the first rollout; -1 for never ended
	FailedRequests  float64       // requests refused or failed
	Requests        float64
}

// ends of links: coordinators from 0 by place, agents from agentEnd.
const agentEnd = 1000

// carry delivers something from an end to another, late or not at all.
func (w *World) carry(from, to int, do func()) {
	if w.cut[[2]int{from, to}] || w.loss > 0 && w.rng.Float64() < w.loss {
		return
	}
	d := time.Duration((1 + w.rng.ExpFloat64()*4) * float64(time.Millisecond))
	if w.loss > 0 && w.rng.IntN(20) == 0 {
		d += time.Duration(w.rng.Float64() * float64(w.Slow)) // late, and overtaken
	}
	w.After(d, func() {
		if !w.cut[[2]int{from, to}] {
			do()
		}
	})
}

// clock is one machine's: it runs at a rate of its own.
type clock struct{ rate float64 }

func (c clock) of(t time.Duration) time.Duration { return time.Duration(float64(t) * c.rate) }
func (c clock) to(t time.Duration) time.Duration { return time.Duration(float64(t) / c.rate) }

// coordinator is one, with its disk.
type coordinator struct {
	w     *World
	id    uint64
	place int
	clock clock
	r     *replica.Replica // nil while down
	disk  disk
	dead  bool // for good
	lost  bool // its disk is to be replaced

	virtualtime.Process
}

func (c *coordinator) start() {
	if c.dead || c.r != nil {
		return
	}
	c.Start()
	stored, err := c.disk.load()
	if err != nil {
		c.w.Note("coordinator %d does not start: %v", c.id, err)
		c.dead = true
		return
	}
	r, err := replica.New(replica.Config{ID: c.id, Rollout: c.w.Config, TickInterval: c.w.RaftTick, ElectionTicks: 6, CompactAfter: 200, DecideInterval: c.w.DecideInterval},
		stored, &c.disk, c.w.Seed*31+c.id+uint64(c.Incarnation())<<40, c.clock.of(c.w.Now()))
	if err != nil {
		c.w.Note("coordinator %d does not start: %v", c.id, err)
		c.dead = true
		return
	}
	c.w.Note("coordinator %d starts", c.id)
	c.r = r
	life := c.Incarnation()
	var tick func()
	tick = func() {
		if c.Incarnation() != life || c.r == nil {
			return
		}
		if c.Paused() {
			c.w.At(c.ResumesAt(), tick)
			return
		}
		c.do(func() { _ = c.r.Tick(c.clock.of(c.w.Now())) }) // a lasting fault is kept for Err, which do looks at
		c.w.After(c.clock.to(c.w.RaftTick), tick)
	}
	c.w.After(time.Duration(c.w.rng.Int64N(int64(c.w.RaftTick))), tick)
}

func (c *coordinator) kill() {
	if c.r == nil {
		return
	}
	c.w.Note("coordinator %d dies", c.id)
	c.r = nil
	c.Stop()
}

// do runs something at the coordinator, and sends what comes of it.
func (c *coordinator) do(f func()) {
	if c.r == nil || c.HoldIfPaused(f) {
		return
	}
	led := c.r.IsLeader()
	f()
	if c.r == nil {
		return
	}
	if !led && c.r.IsLeader() {
		c.w.Report.Leaders++
		c.w.Note("coordinator %d leads in term %d", c.id, c.r.Term())
	}
	for _, m := range c.r.TakeMessages() {
		to := c.w.coordinator(m.To)
		if to == nil {
			continue
		}
		data := m.Data
		c.w.carry(c.place, to.place, func() {
			// A message that is refused counts as lost; a lasting fault is kept for Err.
			to.do(func() { _ = to.r.Step(to.clock.of(c.w.Now()), data) })
		})
	}
	if err := c.r.Err(); err != nil {
		c.w.Note("coordinator %d stops: %v", c.id, err)
		switch err.(type) {
		case *replica.LogBehind, *replica.LogSplit:
			c.dead = true // its operator replaces it, as the remedy says
			c.w.After(c.w.between(2*time.Second, 20*time.Second), func() { c.w.replace(c.place) })
		}
		c.r = nil
		c.Stop()
	}
}

func (c *coordinator) pause(d time.Duration) {
	if c.r == nil {
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

// leader is the coordinator that leads in the highest term; nil for none.
func (w *World) leader() (lead *coordinator) {
	for _, c := range w.coordinators {
		if c.r != nil && c.r.IsLeader() && !c.Paused() && (lead == nil || c.r.Term() > lead.r.Term()) {
			lead = c
		}
	}
	return lead
}

// majority tells whether so many coordinators run, and hear each other, that one can lead.
func (w *World) majority() bool {
	up := func(c *coordinator, ids []uint64) bool {
		n := 0
		for _, id := range ids {
			o := w.coordinator(id)
			if o.r != nil && !o.Paused() && !w.cut[[2]int{c.place, o.place}] && !w.cut[[2]int{o.place, c.place}] {
				n++
			}
		}
		return len(ids) == 0 || n > len(ids)/2
	}
	for _, c := range w.coordinators {
		if c.r == nil {
			continue
		}
		now, before := c.r.Voters()
		if len(now) > 0 && up(c, now) && up(c, before) {
			return true
		}
	}
	return false
}

// replace puts a new coordinator, with an empty disk and a new number, in the place of one that is dead.
func (w *World) replace(place int) {
	old := w.slots[place]
	if !old.dead && !old.disk.damaged && !old.lost {
		return // replaced by now
	}
	lead := w.leader()
	if lead == nil || lead == old {
		w.After(2*time.Second, func() { w.replace(place) })
		return
	}
	id := uint64(len(w.coordinators) + 1)
	w.Note("coordinator %d is to take the place of %d", id, old.id)
	if _, there := lead.r.Peers()[old.id]; !there {
		return
	}
	c := &coordinator{w: w, id: id, place: place, clock: old.clock, Process: virtualtime.NewProcess(&w.Scheduler)}
	c.disk.w = w
	old.kill()
	old.dead = true
	w.coordinators = append(w.coordinators, c)
	w.slots[place] = c
	c.start()
	var again func()
	again = func() {
		lead := w.leader()
		if lead != nil {
			if _, there := lead.r.Peers()[id]; there {
				return
			}
			// Refused or not: it is asked again until the new one is there.
			lead.do(func() { _ = lead.r.Replace(lead.clock.of(w.Now()), old.id, id, "") })
		}
		w.After(3*time.Second, again)
	}
	again()
}

// order sends an operator's order until it is decided, as the command does.
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
					place = c.place
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
		if c.r != nil && !c.Paused() {
			c.do(func() {
				c.r.Order(c.clock.of(w.Now()), e, func(err error) { w.After(time.Millisecond, func() { answer(err) }) })
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

func size(v any) uint64 {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain values alone
	}
	return uint64(len(b))
}

// outs counts members by the world's own truth: out by grant, or not serving for so long.
func (w *World) outs(since time.Duration) (granted, gone int) {
	for _, m := range w.members {
		if m.granted != 0 {
			granted++
		}
		if m.granted != 0 || m.lostFor() > since {
			gone++
		}
	}
	return granted, gone
}

// slack is how old what a leader goes by may be: what it heard, and what the agent had seen.
func (w *World) slack() time.Duration {
	return time.Duration(1.03*float64(w.Timing.MaxStaleness+w.Timing.ReportInterval)) + 10*time.Millisecond
}

// checkGrant holds the invariant at the instant in which a member is given its order,
// with what has been lost for so long.
func (w *World) checkGrant(m *member, slack time.Duration) {
	out := map[string]bool{}
	for _, o := range w.members {
		out[o.cfg.Member.Name] = o == m || o.granted != 0 || o.lostFor() > slack
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
			w.Fault("%s is granted out past %v: %s", m.cfg.Member.Name, over, w.whoIsOut(slack))
		}
	}
}

func (w *World) whoIsOut(slack time.Duration) (s string) {
	n := 0
	for _, o := range w.members {
		if o.granted != 0 || o.lostFor() > slack {
			if n++; n < 12 {
				s += fmt.Sprintf("%s(%d,%v) ", o.cfg.Member.Name, o.granted, o.lostFor().Round(time.Millisecond))
			}
		}
	}
	return s
}

// Run plays a scenario. tell gets a line for each thing that happens; nil for none.
func Run(s Scenario, tell func(time.Duration, string)) Report {
	w := &World{Scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 77)), byName: map[string]*member{}, cut: map[[2]int]bool{},
		halted: map[string]time.Duration{}, ordered: map[string]bool{},
		lifted: map[string]bool{}, lookedAt: map[string]*int{}, lifting: map[string]int{}}
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
			w.follow()
		}
		w.Report.Events++
		event.Do()
	}
	w.Report.Leaderless, w.Report.SimulatedTime = leaderless, w.Now()
	w.finish()
	w.Report.Faults = w.Faults()
	return w.Report
}

// follow notes how far the first release is, and when it halts and is undone.
func (w *World) follow() {
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
			if m.goAt > 0 && (m.mem.SeenFence == 0 || m.mem.Grant != nil) {
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
	r := lead.r.State().Rollout("r1")
	if r == nil {
		return
	}
	if r.Halt != nil && w.Report.TimeToHalt < 0 && w.badAt > 0 {
		w.Report.TimeToHalt = w.Now() - w.badAt
	}
	if r.Halt != nil && w.AutoRollback && r.Phase == rollout.InProgress && !w.lifted[r.ID] {
		w.goBack(r.ID)
	}
	if r.Phase.Ended() && w.Report.RolloutDuration < 0 {
		w.Report.RolloutDuration = w.Now() - w.startAt
		if r.Phase == rollout.RolledBack && w.badAt > 0 {
			w.Report.TimeToRollback = w.Now() - w.badAt
		}
	}
}

func (w *World) sample() {
	granted, gone := w.outs(0)
	w.Report.MaxOut, w.Report.MaxUnavailable = max(w.Report.MaxOut, granted), max(w.Report.MaxUnavailable, gone)
}

// finish checks how everything stands at the end.
func (w *World) finish() {
	if w.Strategy != Coordinated {
		return
	}
	lead := w.leader()
	if lead == nil {
		if w.majority() {
			w.Fault("nobody leads at the end, though a majority could")
		}
		w.Report.Rollouts["no majority"]++
		return
	}
	state := lead.r.State()
	for id := range w.ordered {
		if state.Rollout(id) == nil && state.Stop == nil {
			w.Fault("rollout %s was taken, and is not there", id)
		}
	}
	for id, at := range w.halted {
		if r := state.Rollout(id); r != nil && r.Halt == nil && !r.Phase.Ended() && state.Stop == nil {
			w.Fault("the halt of %s of %v is lost", id, at)
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
			status, _ := lead.r.Status(lead.clock.of(w.Now()))
			w.Fault("rollout %s neither ends nor halts: %s", r.ID, line(status, r.ID))
		}
	}
}

func line(s rollout.Status, id string) string {
	for _, r := range s.Rollouts {
		if r.ID == id {
			return fmt.Sprintf("%s wave %d/%d done %d/%d gate %q idle %v waits %v unsure %q", r.Phase, r.Wave, r.Waves, r.Done, r.Total, r.Gate, r.Idle,
				r.WaitingFor[:min(3, len(r.WaitingFor))], s.GrantsBlocked)
		}
	}
	return ""
}

// Ends words how rollouts ended.
func (r Report) Outcomes() (s string) {
	keys := slices.SortedFunc(maps.Keys(r.Rollouts), cmp.Compare[string])
	for _, k := range keys {
		s += fmt.Sprintf("%s: %d; ", k, r.Rollouts[k])
	}
	return s
}
