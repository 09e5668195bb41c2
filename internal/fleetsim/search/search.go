// Package search explores all executions of small rollouts: three coordinators, four
// members, two budgets, and a bounded number of faults at any time. It drives the real
// rollout.State, Leader and Agent. The raft library is replaced by its guarantees: one
// log, to which only the newest leader appends, while a deposed leader may believe that
// it leads for a while.
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

// Action is one step of an execution: a second of time, a fault or an operator's order.
type Action struct {
	Kind    string
	Target  int // index of the member or coordinator
	Variant int // for elections: which agents still reach the previous leader
}

func (a Action) String() string {
	switch a.Kind {
	case "time":
		return "a second passes"
	case "elect":
		return fmt.Sprintf("coordinator %d becomes leader; %s still reach the previous one",
			a.Target, []string{"none", "half of the agents", "all agents"}[a.Variant])
	case "halt", "back", "resume":
		return "an operator orders: " + a.Kind
	}
	return fmt.Sprintf("%s: member %d", a.Kind, a.Target)
}

// Case bounds a search.
type Case struct {
	Seconds int // virtual time
	Faults  int // maximum number of faults
	Kinds   []string
}

// Kinds lists the kinds of fault and of operators' orders.
var Kinds = []string{"program dies", "agent dies", "agent forgets", "report lost", "reply late", "agent pauses", "elect", "halt", "resume", "back", "drain"}

// Result is the result of a search.
type Result struct {
	States, Paths int
	Depth         int // number of actions in the longest path
	Fault         string
	Trace         []Action // the shortest path to the fault
}

// actions returns the actions that may follow a path.
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
				next = append(next, Action{Kind: kind, Target: on})
			}
		}
	}
	return next
}

// Run searches breadth first until all states are visited or an invariant is violated.
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
						results[i] = append(results[i], found{path, w.hash(c.remaining(path)), w.fault})
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

// remaining identifies what a path may still do, which is part of its state.
func (c Case) remaining(path []Action) string {
	n := 0
	for _, a := range path {
		if a.Kind == "time" {
			n++
		}
	}
	return fmt.Sprint(n, len(path)-n)
}

// FormatTrace formats a trace, with consecutive seconds on one line.
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

// world is the state that a path leads to.
type world struct {
	Now         time.Duration
	Log         []entry
	LeaderIndex int // index of the newest leader
	Term        uint64
	Nodes       [coordinators]*node
	Members     [members]*member
	HaltedAt    time.Duration // time since which the halt is in force; -1 for none
	fault       string
}

type entry struct {
	Term    uint64
	Rollout rollout.Entry
}

type node struct {
	State         *rollout.State
	Applied       int
	Leader        *rollout.Leader
	Term          uint64
	BelievesUntil time.Duration // a deposed leader believes that it leads until then; -1 otherwise
}

type member struct {
	Agent            *rollout.Agent
	Disk             rollout.AgentState
	Running          bool
	Version          string
	StartedAt        time.Duration
	ReadyAt          time.Duration
	Standby          bool
	Boot             uint64
	UnavailableSince time.Duration // time since which it does not serve; -1 while it serves
	GrantFence       uint64
	PausedUntil      time.Duration
	DropNextReport   bool   // the next report is lost
	DelayNextReply   bool   // the next reply is late
	DelayedReply     func() // delivers a late reply; not hashed, as DelayedUntil and the other fields determine it
	DelayedUntil     time.Duration
	Incarnation      uint64
}

var timing = rollout.Timing{ReportInterval: second, MaxStaleness: 3 * second, LearnPeriod: 2 * second, BeginTimeout: 2 * second, OverBudgetTimeout: time.Hour, WatchInterval: time.Hour}

var config = rollout.Config{Timing: timing, Budgets: []rollout.Budget{{Name: "all", MaxOut: 2}, {Name: "zone", GroupBy: "zone", MaxOut: 1}}}

// A start takes longer than the maximum age of a leader's knowledge, so that the leader notices a lost member.
const (
	startDuration = 4 * second
	provePeriod   = 2 * second
)

func agentConfig(i int) rollout.AgentConfig {
	return rollout.AgentConfig{Member: rollout.Member{Name: fmt.Sprint("m", i), Role: "ingress", Zone: fmt.Sprint("z", i%2), Weight: 1}, Coordinators: coordinators,
		Version: "v1", ReportInterval: second, BeginTimeout: timing.BeginTimeout, DrainTimeout: second, StopTimeout: second,
		StartTimeout: 2 * startDuration, ProvePeriod: provePeriod, MaxStarts: 2, Backoff: second}
}

func start() *world {
	w := &world{HaltedAt: -1}
	for i := range w.Nodes {
		w.Nodes[i] = &node{State: rollout.NewState(), BelievesUntil: -1}
	}
	for i := range w.Members {
		w.Members[i] = &member{Running: true, Version: "v1", StartedAt: -time.Hour, ReadyAt: -time.Hour,
			UnavailableSince: -1, Boot: 1, Incarnation: 1}
		w.Members[i].Agent = rollout.NewAgent(agentConfig(i), rollout.AgentState{}, &rollout.Running{Version: "v1"}, 1, 0)
		m := agentConfig(i).Member
		w.Log = append(w.Log, entry{0, rollout.Entry{Join: &rollout.MemberRecord{Member: m, Version: "v1"}}})
	}
	gate := rollout.DefaultGate()
	gate.Soak, gate.StallTimeout = time.Hour, 2*time.Hour
	w.Log = append(w.Log, entry{0, rollout.Entry{Start: &rollout.Spec{ID: "r", Role: "ingress", Version: "v2", Waves: []float64{rollout.AllMembers}, Gate: gate}}})
	w.elect(0, 2)
	w.advance() // the first leader has a report of each member and has granted nothing yet
	return w
}

func replay(path []Action) *world {
	w := start()
	for _, a := range path {
		w.step(a)
		if w.fault != "" {
			break
		}
	}
	return w
}

func (w *world) step(a Action) {
	m := w.Members[a.Target%members]
	switch a.Kind {
	case "time":
		w.advance()
	case "program dies":
		m.exit(w, "signal 9")
	case "agent dies":
		m.restart(w, a.Target)
	case "agent forgets":
		m.Disk = rollout.AgentState{}
		m.restart(w, a.Target)
	case "report lost":
		m.DropNextReport = true
	case "reply late":
		m.DelayNextReply = true
	case "agent pauses":
		m.PausedUntil = w.Now + 7*second
	case "elect":
		w.elect(a.Target, a.Variant)
	case "halt":
		w.order(rollout.Entry{Halt: rollout.NewHaltEntry("r", &rollout.HaltedByOperator{By: "op", Why: "to look"})})
		w.HaltedAt = w.Now
	case "resume":
		w.order(rollout.Entry{Resume: &rollout.ResumeEntry{Rollout: "r"}})
		w.HaltedAt = -1
	case "back":
		w.order(rollout.Entry{Rollback: "r"})
		w.HaltedAt = -1
	case "drain":
		w.order(rollout.Entry{By: "op", Drain: agentConfig(a.Target).Member.Name})
	}
}

func (w *world) order(e rollout.Entry) {
	w.propose(w.Nodes[w.LeaderIndex], []rollout.Entry{e})
}

// propose appends entries to the log if n is the newest leader.
func (w *world) propose(n *node, entries []rollout.Entry) {
	if n != w.Nodes[w.LeaderIndex] {
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
		_ = n.State.Apply(uint64(n.Applied+1), e.Rollout) // a refused entry changes nothing
		if n.Leader != nil && e.Term == n.Term {
			n.Leader.Applied(e.Rollout)
		}
	}
}

// elect makes a coordinator the leader. The previous one believes for a while that it
// still leads, and some agents still reach it.
func (w *world) elect(on, with int) {
	if old := w.Nodes[w.LeaderIndex]; old.Leader != nil {
		old.BelievesUntil = w.Now + 8*second
		if on == w.LeaderIndex {
			old.Leader, old.BelievesUntil = nil, -1 // it restarts as leader
		}
	}
	before := w.LeaderIndex
	w.LeaderIndex = on
	w.Term++
	n := w.Nodes[on]
	w.apply(n)
	n.Leader, n.Term, n.BelievesUntil = rollout.NewLeader(config, n.State, w.Term, w.Now), w.Term, -1
	for i, m := range w.Members {
		hears := with == 2 || with == 1 && i < members/2
		to := before
		if !hears || before == on {
			to = on
		}
		m.Agent.SetCoordinator(to)
	}
}

// advance simulates one second: coordinators decide, agents check their programs and report.
func (w *world) advance() {
	w.Now += second
	for i, n := range w.Nodes {
		if n.BelievesUntil >= 0 && w.Now >= n.BelievesUntil {
			n.Leader, n.BelievesUntil = nil, -1
		}
		if n.Leader == nil {
			continue
		}
		if i == w.LeaderIndex {
			n.Leader.Confirmed(w.Now)
		}
		w.propose(n, n.Leader.Tick(w.Now))
	}
	for i, m := range w.Members {
		if m.DelayedReply != nil && w.Now >= m.DelayedUntil {
			held := m.DelayedReply
			m.DelayedReply = nil
			held()
		}
		if w.Now < m.PausedUntil {
			continue
		}
		ready := m.Running && !m.Standby && w.Now >= m.ReadyAt
		w.perform(i, m.Agent.Ready(w.Now, ready, rollout.Stats{BootID: m.Boot}))
		w.updateAvailability(m)
	}
}

// updateAvailability records since when a member does not serve, and reports whether it serves.
func (w *world) updateAvailability(m *member) bool {
	up := m.Running && !m.Standby && w.Now >= m.ReadyAt
	switch {
	case up && (m.UnavailableSince < 0 || w.Now-m.ReadyAt >= provePeriod):
		m.UnavailableSince = -1
	case m.UnavailableSince < 0:
		m.UnavailableSince = w.Now
	}
	return m.UnavailableSince < 0
}

func (m *member) exit(w *world, why string) {
	if !m.Running {
		return
	}
	m.Running, m.Standby = false, false
	w.updateAvailability(m)
	if w.Now >= m.PausedUntil {
		for i := range w.Members {
			if w.Members[i] == m {
				w.perform(i, m.Agent.Exited(w.Now, why))
			}
		}
	}
}

func (m *member) restart(w *world, i int) {
	m.Incarnation++
	m.DelayedReply = nil
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
	m.Agent = rollout.NewAgent(agentConfig(i), disk, running, m.Incarnation, w.Now)
	m.Agent.SetCoordinator(to)
}

// perform executes an agent's actions.
func (w *world) perform(i int, do []rollout.Action) {
	m := w.Members[i]
	for _, a := range do {
		switch {
		case a.Save != nil:
			m.Disk = *a.Save
			if a.Save.Grant != nil {
				g := *a.Save.Grant
				m.Disk.Grant = &g
			}
		case a.Standby:
			if m.GrantFence == 0 {
				w.fail("member %d goes out of service without a grant", i)
			}
			m.Standby = true
			w.updateAvailability(m)
		case a.Terminate, a.Kill:
			m.exit(w, "terminated on request")
		case a.Launch != "":
			if m.Running {
				w.fail("member %d: a second program is started while the first runs", i)
			}
			m.Running, m.Version, m.StartedAt, m.ReadyAt, m.Standby = true, a.Launch, w.Now, w.Now+startDuration, false
			m.Boot++
		case a.Send != nil:
			w.send(i, *a.Send, a.To)
		}
	}
	if mem := m.Agent.PersistentState(); m.GrantFence != 0 && mem.Grant == nil && mem.SeenFence >= m.GrantFence && m.Agent.MemberState() != rollout.Draining {
		m.GrantFence = 0
	}
}

// send delivers a report and its reply, at once unless they are lost or late.
func (w *world) send(i int, r rollout.Report, to int) {
	m := w.Members[i]
	agent := m.Agent
	if m.DropNextReport {
		m.DropNextReport = false
		agent.Unanswered(w.Now, r.Seq, -1)
		agent.SetCoordinator(to)
		return
	}
	n := w.Nodes[to]
	if n.Leader == nil {
		agent.Unanswered(w.Now, r.Seq, w.LeaderIndex)
		return
	}
	reply, add, err := n.Leader.Report(w.Now, r)
	if err != nil {
		w.fail("member %d: %v", i, err)
		return
	}
	w.propose(n, add)
	if o := reply.Order; o != nil && r.HeldGrant == nil {
		if w.HaltedAt >= 0 && w.Now-w.HaltedAt > 4*second && m.GrantFence != o.Fence && o.Kind == rollout.Release {
			w.fail("member %d is given order %d %v after a halt", i, o.Fence, w.Now-w.HaltedAt)
		}
		m.GrantFence = o.Fence
		w.checkBudgets(i)
	}
	take := func() {
		if m.Agent == agent {
			w.perform(i, agent.Replied(w.Now, r.Seq, reply))
		}
	}
	if m.DelayNextReply {
		m.DelayNextReply = false
		m.DelayedReply, m.DelayedUntil = take, w.Now+3*second
		return
	}
	take()
}

// checkBudgets checks the budgets at the time of an order. Members count as out that have not
// served for longer than the maximum age of a leader's knowledge.
func (w *world) checkBudgets(of int) {
	const slack = 4 * second
	out := map[string]bool{}
	var all []rollout.Member
	for i, m := range w.Members {
		w.updateAvailability(m)
		all = append(all, agentConfig(i).Member)
		out[all[i].Name] = m.GrantFence != 0 || m.UnavailableSince >= 0 && w.Now-m.UnavailableSince > slack
	}
	l := rollout.NewLedger(config.Budgets, all, func(name string) bool { return out[name] })
	if err := l.Fits(all[of], true); err != nil {
		w.fail("member %d is given an order that exceeds its budget: %v", of, err)
	}
}

func (w *world) fail(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

// hash returns a 128-bit hash of the state, in two halves.
func (w *world) hash(left string) (sum [2]uint64) {
	for i := range sum {
		h := fnv.New64a()
		if i == 1 {
			h = fnv.New64()
		}
		h.Write([]byte(left))
		for _, v := range []any{w.Nodes, w.LeaderIndex, w.Term, w.HaltedAt, len(w.Log), w.Members} {
			digest(h, reflect.ValueOf(v))
		}
		sum[i] = h.Sum64()
	}
	return sum
}
