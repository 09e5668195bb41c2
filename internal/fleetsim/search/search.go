// Package search looks through all that can happen in small cases of a rollout: three
// coordinators, four members, two budgets, and a bounded number of faults at any
// moments. It drives rollout.State, Leader and Agent themselves. Of the raft library
// it takes what that promises: one log, to which only the newest leader adds, while
// one that leads no longer may go on believing so for a while.
package search

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"wickarch/rollout"
)

// Action is one step: time, or a fault.
type Action struct {
	Kind string
	On   int // a member, or a coordinator
	With int // which variant
}

func (a Action) String() string {
	switch a.Kind {
	case "time":
		return "a second passes"
	case "elect":
		return fmt.Sprintf("coordinator %d leads; %s hear the one before", a.On, []string{"none", "half of the agents", "all agents"}[a.With])
	case "halt", "back", "resume":
		return "an operator orders: " + a.Kind
	}
	return fmt.Sprintf("%s: member %d", a.Kind, a.On)
}

// Case bounds a search.
type Case struct {
	Seconds int // of time
	Faults  int // at most
	Kinds   []string
}

// Kinds are the faults.
var Kinds = []string{"program dies", "agent dies", "agent forgets", "report lost", "reply late", "agent pauses", "elect", "halt", "resume", "back", "drain"}

// Result tells what a search found.
type Result struct {
	States, Paths int
	Depth         int // actions in the longest path
	Fault         string
	Trace         []Action // the shortest path to the fault
}

// actions lists what may happen next.
func (c Case) actions(path []Action) (next []Action) {
	seconds, faults := 0, 0
	for _, a := range path {
		if a.Kind == "time" {
			seconds++
		} else {
			faults++
		}
	}
	if seconds < c.Seconds {
		next = append(next, Action{Kind: "time"})
	}
	if faults == c.Faults || seconds == c.Seconds {
		return next
	}
	kinds := c.Kinds
	if kinds == nil {
		kinds = Kinds
	}
	for _, kind := range kinds {
		switch kind {
		case "elect":
			for on := range coordinators {
				for with := range 3 {
					next = append(next, Action{kind, on, with})
				}
			}
		case "halt", "back", "resume":
			next = append(next, Action{Kind: kind})
		default:
			for on := range members {
				next = append(next, Action{Kind: kind, On: on})
			}
		}
	}
	return next
}

// Run searches, the shortest paths first, until all is seen or a fault is found.
func (c Case) Run() Result {
	var r Result
	seen := map[[2]uint64]bool{}
	level := [][]Action{nil}
	for len(level) > 0 {
		r.Depth = len(level[0])
		type found struct {
			path  []Action
			hash  [2]uint64
			fault string
		}
		results := make([][]found, len(level))
		var all sync.WaitGroup
		var mu sync.Mutex
		next := 0
		for range runtime.GOMAXPROCS(0) {
			all.Go(func() {
				for {
					mu.Lock()
					i := next
					next++
					mu.Unlock()
					if i >= len(level) {
						return
					}
					for _, a := range c.actions(level[i]) {
						path := append(slices.Clone(level[i]), a)
						w := replay(path)
						results[i] = append(results[i], found{path, w.hash(c.left(path)), w.fault})
					}
				}
			})
		}
		all.Wait()
		var deeper [][]Action
		for _, list := range results {
			for _, f := range list {
				r.Paths++
				if f.fault != "" {
					r.Fault, r.Trace = f.fault, f.path
					r.States = len(seen)
					return r
				}
				if !seen[f.hash] {
					seen[f.hash] = true
					deeper = append(deeper, f.path)
				}
			}
		}
		level = deeper
	}
	r.States = len(seen)
	return r
}

// left tells what a path may still do, which is part of where it stands.
func (c Case) left(path []Action) string {
	n := 0
	for _, a := range path {
		if a.Kind == "time" {
			n++
		}
	}
	return fmt.Sprint(n, len(path)-n)
}

// Words words a trace, runs of seconds as one.
func FormatTrace(trace []Action) string {
	var b strings.Builder
	n := 0
	flush := func() {
		if n > 0 {
			fmt.Fprintf(&b, "  %d s pass\n", n)
		}
		n = 0
	}
	for _, a := range trace {
		if a.Kind == "time" {
			n++
			continue
		}
		flush()
		fmt.Fprintf(&b, "  %s\n", a)
	}
	flush()
	return b.String()
}

const (
	coordinators = 3
	members      = 4
	second       = time.Second
)

// world is where a path leads to.
type world struct {
	Now   time.Duration
	Log   []entry
	Lead  int // the newest leader
	Term  uint64
	Nodes [coordinators]*node
	Crew  [members]*member
	Halt  time.Duration // since when the halt is in force; -1 for not
	fault string
}

type entry struct {
	Term    uint64
	Rollout rollout.Entry
}

type node struct {
	State   *rollout.State
	Applied int
	Leader  *rollout.Leader
	Term    uint64
	Until   time.Duration // it believes to lead until then, though it does not; -1 while it does
}

type member struct {
	Agent   *rollout.Agent
	Disk    rollout.AgentState
	Running bool
	Version string
	Began   time.Duration
	ReadyAt time.Duration
	Standby bool
	Boot    uint64
	LostAt  time.Duration // since when it does not serve; -1 while it does
	Granted uint64
	Paused  time.Duration
	Lose    bool   // its next report
	Late    bool   // its next reply
	Held    func() // what it will do follows from the path, of which HeldAt and the rest tell enough
	HeldAt  time.Duration
	Lives   uint64
}

var timing = rollout.Timing{ReportInterval: second, MaxStaleness: 3 * second, LearnPeriod: 2 * second, BeginTimeout: 2 * second, OverBudgetTimeout: time.Hour, WatchInterval: time.Hour}

var config = rollout.Config{Timing: timing, Budgets: []rollout.Budget{{Name: "all", MaxOut: 2}, {Name: "zone", GroupBy: "zone", MaxOut: 1}}}

// A start takes longer than what a leader goes by may be old: a loss is to be seen.
const (
	starts = 4 * second
	prove  = 2 * second
)

func agentConfig(i int) rollout.AgentConfig {
	return rollout.AgentConfig{Member: rollout.Member{Name: fmt.Sprint("m", i), Role: "ingress", Zone: fmt.Sprint("z", i%2), Weight: 1}, Coordinators: coordinators,
		Version: "v1", ReportInterval: second, BeginTimeout: timing.BeginTimeout, DrainTimeout: second, StopTimeout: second, StartTimeout: 2 * starts, ProvePeriod: prove, MaxStarts: 2, Backoff: second}
}

func start() *world {
	w := &world{Halt: -1}
	for i := range w.Nodes {
		w.Nodes[i] = &node{State: rollout.NewState(), Until: -1}
	}
	for i := range w.Crew {
		w.Crew[i] = &member{Running: true, Version: "v1", Began: -time.Hour, ReadyAt: -time.Hour, LostAt: -1, Boot: 1, Lives: 1}
		w.Crew[i].Agent = rollout.NewAgent(agentConfig(i), rollout.AgentState{}, &rollout.Running{Version: "v1"}, 1, 0)
		m := agentConfig(i).Member
		w.Log = append(w.Log, entry{0, rollout.Entry{Join: &rollout.MemberRecord{Member: m, Version: "v1"}}})
	}
	gate := rollout.DefaultGate()
	gate.Soak, gate.StallTimeout = time.Hour, 2*time.Hour
	w.Log = append(w.Log, entry{0, rollout.Entry{Start: &rollout.Spec{ID: "r", Role: "ingress", Version: "v2", Waves: []float64{rollout.AllMembers}, Gate: gate}}})
	w.elect(0, 2)
	w.second() // the first leader has heard all, and has granted nothing yet
	return w
}

func replay(path []Action) *world {
	w := start()
	for _, a := range path {
		w.do(a)
		if w.fault != "" {
			break
		}
	}
	return w
}

func (w *world) do(a Action) {
	m := w.Crew[a.On%members]
	switch a.Kind {
	case "time":
		w.second()
	case "program dies":
		m.exit(w, "signal 9")
	case "agent dies":
		m.restart(w, a.On)
	case "agent forgets":
		m.Disk = rollout.AgentState{}
		m.restart(w, a.On)
	case "report lost":
		m.Lose = true
	case "reply late":
		m.Late = true
	case "agent pauses":
		m.Paused = w.Now + 7*second
	case "elect":
		w.elect(a.On, a.With)
	case "halt":
		w.order(rollout.Entry{Halt: rollout.NewHaltEntry("r", &rollout.HaltedByOperator{By: "op", Why: "to look"})})
		w.Halt = w.Now
	case "resume":
		w.order(rollout.Entry{Resume: &rollout.ResumeEntry{Rollout: "r"}})
		w.Halt = -1
	case "back":
		w.order(rollout.Entry{Rollback: "r"})
		w.Halt = -1
	case "drain":
		w.order(rollout.Entry{By: "op", Drain: agentConfig(a.On).Member.Name})
	}
}

func (w *world) order(e rollout.Entry) {
	w.add(w.Nodes[w.Lead], []rollout.Entry{e})
}

// add appends to the log what the newest leader proposes; others can't.
func (w *world) add(n *node, entries []rollout.Entry) {
	if n != w.Nodes[w.Lead] {
		return
	}
	for _, e := range entries {
		w.Log = append(w.Log, entry{w.Term, e})
	}
	w.apply(n)
}

func (w *world) apply(n *node) {
	for ; n.Applied < len(w.Log); n.Applied++ {
		e := w.Log[n.Applied]
		n.State.RecordTerm(e.Term, uint64(n.Applied+1))
		_ = n.State.Apply(uint64(n.Applied+1), e.Rollout) // an entry that is refused changes nothing
		if n.Leader != nil && e.Term == n.Term {
			n.Leader.Applied(e.Rollout)
		}
	}
}

// elect makes a coordinator the leader. The one before goes on believing that it
// leads for a while, and some agents go on hearing it.
func (w *world) elect(on, with int) {
	if old := w.Nodes[w.Lead]; old.Leader != nil {
		old.Until = w.Now + 8*second
		if on == w.Lead {
			old.Leader, old.Until = nil, -1 // it starts anew
		}
	}
	before := w.Lead
	w.Lead = on
	w.Term++
	n := w.Nodes[on]
	w.apply(n)
	n.Leader, n.Term, n.Until = rollout.NewLeader(config, n.State, w.Term, w.Now), w.Term, -1
	for i, m := range w.Crew {
		hears := with == 2 || with == 1 && i < members/2
		to := before
		if !hears || before == on {
			to = on
		}
		m.Agent.SetCoordinator(to)
	}
}

// second lets a second pass: coordinators decide, agents look at their programs and report.
func (w *world) second() {
	w.Now += second
	for i, n := range w.Nodes {
		if n.Until >= 0 && w.Now >= n.Until {
			n.Leader, n.Until = nil, -1
		}
		if n.Leader == nil {
			continue
		}
		if i == w.Lead {
			n.Leader.Confirmed(w.Now)
		}
		w.add(n, n.Leader.Tick(w.Now))
	}
	for i, m := range w.Crew {
		if m.Held != nil && w.Now >= m.HeldAt {
			held := m.Held
			m.Held = nil
			held()
		}
		if w.Now < m.Paused {
			continue
		}
		ready := m.Running && !m.Standby && w.Now >= m.ReadyAt
		w.act(i, m.Agent.Ready(w.Now, ready, rollout.Stats{BootID: m.Boot}))
		w.serves(m)
	}
}

// serves notes by the world's truth since when a member does not serve.
func (w *world) serves(m *member) bool {
	up := m.Running && !m.Standby && w.Now >= m.ReadyAt
	switch {
	case up && (m.LostAt < 0 || w.Now-m.ReadyAt >= prove):
		m.LostAt = -1
	case m.LostAt < 0:
		m.LostAt = w.Now
	}
	return m.LostAt < 0
}

func (m *member) exit(w *world, why string) {
	if !m.Running {
		return
	}
	m.Running, m.Standby = false, false
	w.serves(m)
	if w.Now >= m.Paused {
		for i := range w.Crew {
			if w.Crew[i] == m {
				w.act(i, m.Agent.Exited(w.Now, why))
			}
		}
	}
}

func (m *member) restart(w *world, i int) {
	m.Lives++
	m.Held = nil
	var running *rollout.Running
	if m.Running {
		running = &rollout.Running{Version: m.Version}
	}
	disk := m.Disk
	if disk.Grant != nil {
		g := *disk.Grant
		disk.Grant = &g
	}
	to := m.Agent.Coordinator()
	m.Agent = rollout.NewAgent(agentConfig(i), disk, running, m.Lives, w.Now)
	m.Agent.SetCoordinator(to)
}

// act does what an agent decided.
func (w *world) act(i int, do []rollout.Action) {
	m := w.Crew[i]
	for _, a := range do {
		switch {
		case a.Save != nil:
			m.Disk = *a.Save
			if a.Save.Grant != nil {
				g := *a.Save.Grant
				m.Disk.Grant = &g
			}
		case a.Standby:
			if m.Granted == 0 {
				w.fail("member %d goes out with no grant", i)
			}
			m.Standby = true
			w.serves(m)
		case a.Terminate, a.Kill:
			m.exit(w, "ended as told")
		case a.Launch != "":
			if m.Running {
				w.fail("member %d: a second program", i)
			}
			m.Running, m.Version, m.Began, m.ReadyAt, m.Standby = true, a.Launch, w.Now, w.Now+starts, false
			m.Boot++
		case a.Send != nil:
			w.send(i, *a.Send, a.To)
		}
	}
	if mem := m.Agent.PersistentState(); m.Granted != 0 && mem.Grant == nil && mem.SeenFence >= m.Granted && m.Agent.MemberState() != rollout.Draining {
		m.Granted = 0
	}
}

// send carries a report and its reply, at once unless they are lost or late.
func (w *world) send(i int, r rollout.Report, to int) {
	m := w.Crew[i]
	agent := m.Agent
	if m.Lose {
		m.Lose = false
		agent.Unanswered(w.Now, r.Seq, -1)
		agent.SetCoordinator(to)
		return
	}
	n := w.Nodes[to]
	if n.Leader == nil {
		agent.Unanswered(w.Now, r.Seq, w.Lead)
		return
	}
	reply, add, err := n.Leader.Report(w.Now, r)
	if err != nil {
		w.fail("member %d: %v", i, err)
		return
	}
	w.add(n, add)
	if o := reply.Order; o != nil && r.HeldGrant == nil {
		if w.Halt >= 0 && w.Now-w.Halt > 4*second && m.Granted != o.Fence && o.Kind == rollout.Release {
			w.fail("member %d is given order %d %v after a halt", i, o.Fence, w.Now-w.Halt)
		}
		m.Granted = o.Fence
		w.check(i)
	}
	take := func() {
		if m.Agent == agent {
			w.act(i, agent.Replied(w.Now, r.Seq, reply))
		}
	}
	if m.Late {
		m.Late = false
		m.Held, m.HeldAt = take, w.Now+3*second
		return
	}
	take()
}

// check holds the invariant at the instant of an order. What was lost longer ago
// than a leader's knowledge may be old counts.
func (w *world) check(of int) {
	const slack = 4 * second
	out := map[string]bool{}
	var all []rollout.Member
	for i, m := range w.Crew {
		w.serves(m)
		all = append(all, agentConfig(i).Member)
		out[all[i].Name] = m.Granted != 0 || m.LostAt >= 0 && w.Now-m.LostAt > slack
	}
	l := rollout.NewLedger(config.Budgets, all, func(name string) bool { return out[name] })
	if err := l.Fits(all[of], true); err != nil {
		w.fail("member %d is given an order past its budget: %v", of, err)
	}
}

func (w *world) fail(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

// hash names where the world stands, in two halves.
func (w *world) hash(left string) (sum [2]uint64) {
	for i := range sum {
		h := fnv.New64a()
		if i == 1 {
			h = fnv.New64()
		}
		h.Write([]byte(left))
		for _, v := range []any{w.Nodes, w.Lead, w.Term, w.Halt, len(w.Log), w.Crew} {
			digest(h, reflect.ValueOf(v))
		}
		sum[i] = h.Sum64()
	}
	return sum
}
