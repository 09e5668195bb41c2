package fleetsim

import (
	"time"

	"wickarch/rollout"
)

// program is the process that an agent supervises: an ingress or a backend.
type program struct {
	running          bool
	bootID           uint64
	version          string
	startedAt        time.Duration
	readyAt          time.Duration // ready from then on, unless unready is set
	unready          bool          // hangs, or never comes up
	standby          bool
	stopping         bool // asked to terminate
	countedAt        time.Duration
	classes          map[string]rollout.Count
	inFlightSeconds  float64
	requestRate      float64 // requests per second over all classes
	refusedShare     float64 // share of requests refused by customers' quotas
	unavailableSince time.Duration
	wasServing       bool // it was in service when last checked
}

// member is one agent with its program, and the actual state of both.
type member struct {
	w              *World
	cfg            rollout.AgentConfig
	endpoint       int // endpoint of its links
	clock          clock
	agent          *rollout.Agent
	persisted      rollout.AgentState // on the agent's disk
	diskFullUntil  time.Duration      // the agent's writes fail until then
	pausedUntil    time.Duration
	incarnation    int
	prog           program
	grantFence     uint64 // fence of the order that it was given, until it is back in service and proven; 0 for none
	brokenVersions map[string]bool
	changeAt       time.Duration // when it changes version under a strategy without coordinators; 0 for never
	impersonated   *member       // set for a duplicate agent: the member under whose name it reports
	wakeScheduled  bool
}

func (m *member) name() string { return m.cfg.Member.Name }

// serving reports whether the member is actually in service and proven.
func (m *member) serving() bool {
	p := &m.prog
	if !p.running || p.unready || p.standby || p.stopping || m.w.Now() < p.readyAt {
		return false
	}
	return m.w.Now()-p.readyAt >= time.Duration(0.97*float64(m.cfg.ProvePeriod)) || p.wasServing
}

// unavailableFor returns how long the member has been out of service.
func (m *member) unavailableFor() time.Duration {
	if m.serving() {
		m.prog.wasServing = true
		return 0
	}
	if m.prog.wasServing {
		m.prog.wasServing, m.prog.unavailableSince = false, m.w.Now()
	}
	return m.w.Now() - m.prog.unavailableSince
}

// changeAvailability runs change and records whether the member serves before and after it.
func (m *member) changeAvailability(change func()) {
	m.unavailableFor()
	change()
	m.unavailableFor()
}

// actual returns the member whose grant counts: the one under whose name this agent reports.
func (m *member) actual() *member {
	if m.impersonated != nil {
		return m.impersonated
	}
	return m
}

// now returns the time on the member's own clock.
func (m *member) now() time.Duration { return m.clock.fromWorld(m.w.Now()) }

// startAgent starts the agent; its program may be running already.
func (m *member) startAgent() {
	if m.agent != nil {
		return
	}
	m.incarnation++
	m.pausedUntil = 0
	var running *rollout.Running
	if m.prog.running {
		running = &rollout.Running{Version: m.prog.version}
	}
	m.agent = rollout.NewAgent(m.cfg, m.persisted, running, m.w.rng.Uint64()|1, m.now())
	if m.persisted.Grant != nil {
		g := *m.persisted.Grant // the agent modifies the grant that it is given
		held := m.persisted
		held.Grant = &g
		m.agent = rollout.NewAgent(m.cfg, held, running, m.w.rng.Uint64()|1, m.now())
	}
	incarnation := m.incarnation
	var poll func()
	poll = func() {
		if m.incarnation != incarnation || m.agent == nil {
			return
		}
		if m.w.Now() < m.pausedUntil {
			m.w.At(m.pausedUntil, poll)
			return
		}
		p := &m.prog
		ready := p.running && !p.unready && !p.standby && m.w.Now() >= p.readyAt
		m.countRequests()
		f := rollout.Stats{BootID: p.bootID, InFlightSeconds: p.inFlightSeconds, Classes: map[string]rollout.Count{}}
		for name, c := range p.classes {
			f.Classes[name] = c
		}
		m.perform(m.agent.Ready(m.now(), ready, f))
		m.w.After(m.clock.toWorld(m.cfg.ReportInterval), poll)
	}
	m.w.After(time.Duration(m.w.rng.Int64N(int64(m.cfg.ReportInterval))), poll)
	m.wake()
}

// wake schedules the agent's next tick.
func (m *member) wake() {
	if m.wakeScheduled || m.agent == nil {
		return
	}
	m.wakeScheduled = true
	at := max(m.w.Now(), m.clock.toWorld(m.agent.Next())+time.Microsecond, m.pausedUntil)
	m.w.At(at, func() {
		m.wakeScheduled = false
		if m.agent == nil {
			return
		}
		if m.w.Now() >= m.pausedUntil {
			m.perform(m.agent.Tick(m.now()))
		}
		m.wake()
	})
}

func (m *member) killAgent() {
	m.agent = nil
	m.incarnation++
}

// deliver passes an event to one incarnation of the agent, after its pause if it is paused.
func (m *member) deliver(incarnation int, f func() []rollout.Action) {
	if m.incarnation != incarnation || m.agent == nil {
		return
	}
	if m.w.Now() < m.pausedUntil {
		m.w.At(m.pausedUntil, func() { m.deliver(incarnation, f) })
		return
	}
	m.perform(f())
	m.wake()
}

// perform executes the agent's actions.
func (m *member) perform(do []rollout.Action) {
	for i := 0; i < len(do) && m.agent != nil; i++ {
		switch a := do[i]; {
		case a.Save != nil:
			if m.w.Now() < m.diskFullUntil {
				if a.SaveRequired {
					do = append(do[:i+1:i+1], m.agent.SaveFailed(m.now(), errFull)...)
				}
				continue
			}
			m.persisted = *a.Save
			if a.Save.Grant != nil {
				g := *a.Save.Grant
				m.persisted.Grant = &g
			}
		case a.Send != nil:
			m.send(*a.Send, a.To)
		case a.Launch != "":
			m.launch(a.Launch)
		case a.Standby:
			m.changeAvailability(func() { m.prog.standby = true })
			if truth := m.actual(); m.w.Strategy != Coordinated {
				// No budget applies.
			} else if truth.grantFence == 0 {
				m.w.Fault("%s goes out of service without a grant", m.name())
			} else {
				// The agent asked for its order at most BeginTimeout ago, on a clock that is off by up to 1 %.
				m.w.checkGrant(truth, m.w.maxKnowledgeAge()+time.Duration(1.02*float64(m.cfg.BeginTimeout)))
			}
		case a.Terminate:
			m.terminate(time.Duration((0.3 + m.w.rng.Float64()*2) * float64(time.Second)))
		case a.Kill:
			m.exit(m.prog.bootID, "killed")
		case a.Log != "":
			m.w.Note("%s: %s", m.name(), a.Log)
		}
	}
	truth := m.actual()
	if m.agent != nil && truth.grantFence != 0 {
		if mem := m.agent.PersistentState(); mem.Grant == nil && mem.SeenFence >= truth.grantFence && m.agent.MemberState() != rollout.Draining {
			truth.grantFence = 0
		}
	}
}

func (m *member) terminate(takes time.Duration) {
	boot := m.prog.bootID
	m.changeAvailability(func() { m.prog.stopping = true })
	m.w.After(takes, func() { m.exit(boot, "terminated on request") })
}

// exit ends the program if it is still the one with this boot ID.
func (m *member) exit(boot uint64, why string) {
	if !m.prog.running || m.prog.bootID != boot {
		return
	}
	m.changeAvailability(func() { m.prog.running, m.prog.standby, m.prog.stopping = false, false, false })
	m.reportExit(why)
}

func (m *member) reportExit(why string) {
	incarnation := m.incarnation
	m.w.After(time.Millisecond, func() {
		m.deliver(incarnation, func() []rollout.Action { return m.agent.Exited(m.now(), why) })
	})
}

// launch starts the program, with the faults of its version.
func (m *member) launch(version string) {
	if m.prog.running {
		m.w.Fault("%s: a second program is started while the first runs", m.name())
		return
	}
	w := m.w
	boot := w.Sequence()
	b := w.behaviourOf(m, version)
	m.changeAvailability(func() {
		m.prog = program{running: true, bootID: boot, version: version, startedAt: w.Now(), unavailableSince: m.prog.unavailableSince, requestRate: m.prog.requestRate, refusedShare: m.prog.refusedShare,
			readyAt: w.Now() + time.Duration((0.3+w.rng.Float64()*2)*float64(time.Second)), countedAt: w.Now(), classes: map[string]rollout.Count{}}
	})
	switch {
	case b.crashAt >= 0:
		w.After(b.crashAt+time.Millisecond, func() {
			if m.prog.running && m.prog.bootID == boot {
				w.recordFirstFault()
				m.exit(boot, "exit code 2")
			}
		})
	case b.neverReady:
		w.recordFirstFault()
		m.prog.unready = true
	}
}

// behaviour describes the faults of a version at a member.
type behaviour struct {
	crashAt       time.Duration // -1 for never
	neverReady    bool
	refusedShare  float64 // share of requests refused beyond what quotas refuse
	failedShare   float64 // share of payments that fail because of the version
	latencyFactor float64
	startsAfter   time.Duration
}

// countRequests adds the requests that the program has handled since the last call.
func (m *member) countRequests() {
	p := &m.prog
	w := m.w
	span := (w.Now() - p.countedAt).Seconds()
	p.countedAt = w.Now()
	if !p.running || p.unready || w.Now() < p.readyAt || p.standby || span <= 0 {
		return
	}
	b := w.behaviourOf(m, p.version)
	if w.Now()-p.startedAt < b.startsAfter {
		b.refusedShare, b.failedShare, b.latencyFactor = 0, 0, 1
	}
	if b.refusedShare > 0 || b.failedShare > 0 || b.latencyFactor > 1 {
		w.recordFirstFault()
	}
	noise := w.noise(m)
	n := p.requestRate * span * (0.8 + 0.4*w.rng.Float64()) * noise
	refused := min(0.9, p.refusedShare*noise*(0.5+w.rng.Float64())+b.refusedShare)
	for _, class := range []struct {
		name  string
		share float64
		fails float64
	}{{"lookup", 0.9, 0.001}, {"payment", 0.1, 0.001 + b.failedShare}} {
		c := p.classes[class.name]
		asked := w.roundRandomly(n * class.share)
		r := w.roundRandomly(float64(asked) * refused)
		f := w.roundRandomly(float64(asked-min(r, asked)) * class.fails)
		c.Refused += r
		c.Failed += f
		c.Served += asked - min(asked, r+f)
		p.classes[class.name] = c
		w.Report.Requests += float64(asked)
		w.Report.FailedRequests += float64(r + f)
	}
	p.inFlightSeconds += n * 0.010 * max(1, b.latencyFactor) * noise * (0.8 + 0.4*w.rng.Float64())
}

// roundRandomly rounds up with the probability of the fraction, so that small numbers keep their mean.
func (w *World) roundRandomly(x float64) uint64 {
	n := uint64(max(0, x))
	if w.rng.Float64() < x-float64(n) {
		n++
	}
	return n
}

// send delivers a report to a coordinator and the reply to the agent.
func (m *member) send(r rollout.Report, place int) {
	w := m.w
	incarnation := m.incarnation
	truth := m.actual()
	w.Report.Messages++
	if w.CountBytes {
		w.Report.Bytes += encodedSize(r)
	}
	failed := func(hint int) {
		m.deliver(incarnation, func() []rollout.Action { m.agent.Unanswered(m.now(), r.Seq, hint); return nil })
	}
	if w.Strategy != Coordinated {
		reply := rollout.Reply{Stamp: r.Stamp}
		if m.changeAt > 0 && w.Now() >= m.changeAt && r.SeenFence == 0 {
			reply.Order = &rollout.Order{Fence: 1, Kind: rollout.Release, Version: version(0)}
			truth.grantFence = 1
		}
		w.After(time.Millisecond, func() {
			m.deliver(incarnation, func() []rollout.Action { return m.agent.Replied(m.now(), r.Seq, reply) })
		})
		return
	}
	w.After(m.clock.toWorld(2*m.cfg.ReportInterval), func() { failed(-1) })
	w.transmit(m.endpoint, place, func() {
		c := w.slots[place]
		if c.node == nil {
			w.transmit(place, m.endpoint, func() { failed(-1) })
			return
		}
		c.do(func() {
			reply, err := c.node.Report(c.clock.fromWorld(w.Now()), r)
			if not, ok := err.(*rollout.NotLeader); ok {
				hint := -1
				if l := w.coordinator(not.Leader); l != nil {
					hint = l.slot
				}
				w.transmit(place, m.endpoint, func() { failed(hint) })
				return
			}
			if err != nil {
				return // no reply: the agent retries
			}
			if o := reply.Order; o != nil && r.HeldGrant == nil {
				w.orderGiven(truth, c, o)
			}
			if reply.VoidFence != 0 {
				w.Report.Voided++
			}
			w.Report.Messages++
			if w.CountBytes {
				w.Report.Bytes += encodedSize(reply)
			}
			w.transmit(place, m.endpoint, func() {
				m.deliver(incarnation, func() []rollout.Action { return m.agent.Replied(m.now(), r.Seq, reply) })
			})
		})
	})
}

// orderGiven checks the invariants when a coordinator sends an order, upon which the member may go out of service.
func (w *World) orderGiven(m *member, c *coordinator, o *rollout.Order) {
	if m.grantFence != o.Fence {
		w.Report.Orders++
		w.Note("%s is given order %d (%s %s) by coordinator %d", m.name(), o.Fence, o.Kind, o.Version, c.id)
	}
	if seat := c.node.State().Members[m.name()]; seat != nil && seat.Grant != nil {
		if at, halted := w.haltedAt[seat.Grant.Rollout]; halted && w.Now()-at > w.maxKnowledgeAge() && m.grantFence != o.Fence {
			w.Fault("%s is given order %d of rollout %s, which was halted at %v", m.name(), o.Fence, seat.Grant.Rollout, at)
		}
	}
	m.grantFence = o.Fence
	w.checkGrant(m, w.maxKnowledgeAge())
	w.sample()
}
