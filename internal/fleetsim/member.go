package fleetsim

import (
	"time"

	"wickarch/rollout"
)

// program is what an agent watches: an ingress or a backend.
type program struct {
	running  bool
	boot     uint64
	version  string
	began    time.Duration
	readyAt  time.Duration // ready from then on; never with unready
	unready  bool          // hangs, or never comes up
	standby  bool
	ends     bool // told to end
	counted  time.Duration
	classes  map[string]rollout.Count
	open     float64
	rate     float64 // requests a second in all
	refuses  float64 // share refused, by its customers' quotas
	lostFrom time.Duration
	was      bool // it served when last looked at
}

// member is one agent with its program, and the world's truth on both.
type member struct {
	w       *World
	cfg     rollout.AgentConfig
	end     int // of links
	clock   clock
	agent   *rollout.Agent
	mem     rollout.AgentState // on its disk
	full    time.Duration      // until then nothing can be kept there
	until   time.Duration      // paused until then
	life    int
	prog    program
	granted uint64 // fence of the order that it was given, until it is back and proven
	breaks  map[string]bool
	goAt    time.Duration // when it changes, by ways that ask nobody; 0 for never
	shadow  *member       // the one under whose name this one reports, too
	waking  bool
}

func (m *member) name() string { return m.cfg.Member.Name }

// serves tells by the world's truth whether the member is in service and proven.
func (m *member) serves() bool {
	p := &m.prog
	if !p.running || p.unready || p.standby || p.ends || m.w.Now() < p.readyAt {
		return false
	}
	return m.w.Now()-p.readyAt >= time.Duration(0.97*float64(m.cfg.ProvePeriod)) || p.was
}

// lostFor is for how long it has not served.
func (m *member) lostFor() time.Duration {
	if m.serves() {
		m.prog.was = true
		return 0
	}
	if m.prog.was {
		m.prog.was, m.prog.lostFrom = false, m.w.Now()
	}
	return m.w.Now() - m.prog.lostFrom
}

// lapse notes that it may serve no longer, before something that ends it.
func (m *member) lapse(change func()) {
	m.lostFor()
	change()
	m.lostFor()
}

// truth is the member whose standing counts: the one under whose name this one reports.
func (m *member) truth() *member {
	if m.shadow != nil {
		return m.shadow
	}
	return m
}

// now is the member's own clock.
func (m *member) now() time.Duration { return m.clock.of(m.w.Now()) }

// startAgent starts the agent, beside a program that may run.
func (m *member) startAgent() {
	if m.agent != nil {
		return
	}
	m.life++
	m.until = 0
	var running *rollout.Running
	if m.prog.running {
		running = &rollout.Running{Version: m.prog.version}
	}
	m.agent = rollout.NewAgent(m.cfg, m.mem, running, m.w.rng.Uint64()|1, m.now())
	if m.mem.Grant != nil {
		g := *m.mem.Grant // the agent changes what it holds
		held := m.mem
		held.Grant = &g
		m.agent = rollout.NewAgent(m.cfg, held, running, m.w.rng.Uint64()|1, m.now())
	}
	life := m.life
	var poll func()
	poll = func() {
		if m.life != life || m.agent == nil {
			return
		}
		if m.w.Now() < m.until {
			m.w.At(m.until, poll)
			return
		}
		p := &m.prog
		ready := p.running && !p.unready && !p.standby && m.w.Now() >= p.readyAt
		m.count()
		f := rollout.Stats{BootID: p.boot, InFlightSeconds: p.open, Classes: map[string]rollout.Count{}}
		for name, c := range p.classes {
			f.Classes[name] = c
		}
		m.act(m.agent.Ready(m.now(), ready, f))
		m.w.After(m.clock.to(m.cfg.ReportInterval), poll)
	}
	m.w.After(time.Duration(m.w.rng.Int64N(int64(m.cfg.ReportInterval))), poll)
	m.wake()
}

// wake lets the agent do what is due, when it is.
func (m *member) wake() {
	if m.waking || m.agent == nil {
		return
	}
	m.waking = true
	at := max(m.w.Now(), m.clock.to(m.agent.Next())+time.Microsecond, m.until)
	m.w.At(at, func() {
		m.waking = false
		if m.agent == nil {
			return
		}
		if m.w.Now() >= m.until {
			m.act(m.agent.Tick(m.now()))
		}
		m.wake()
	})
}

func (m *member) killAgent() {
	m.agent = nil
	m.life++
}

// told is called with what the world or a coordinator tells the agent.
func (m *member) told(life int, f func() []rollout.Action) {
	if m.life != life || m.agent == nil {
		return
	}
	if m.w.Now() < m.until {
		m.w.At(m.until, func() { m.told(life, f) })
		return
	}
	m.act(f())
	m.wake()
}

// act does what the agent decided.
func (m *member) act(do []rollout.Action) {
	for i := 0; i < len(do) && m.agent != nil; i++ {
		switch a := do[i]; {
		case a.Save != nil:
			if m.w.Now() < m.full {
				if a.SaveRequired {
					do = append(do[:i+1:i+1], m.agent.SaveFailed(m.now(), errFull)...)
				}
				continue
			}
			m.mem = *a.Save
			if a.Save.Grant != nil {
				g := *a.Save.Grant
				m.mem.Grant = &g
			}
		case a.Send != nil:
			m.send(*a.Send, a.To)
		case a.Launch != "":
			m.launch(a.Launch)
		case a.Standby:
			m.lapse(func() { m.prog.standby = true })
			if truth := m.truth(); m.w.Strategy != Coordinated {
				// Nothing bounds it.
			} else if truth.granted == 0 {
				m.w.Fault("%s goes out with no grant", m.name())
			} else {
				// It was asked for so long ago at most.
				m.w.checkGrant(truth, m.w.slack()+time.Duration(1.02*float64(m.cfg.BeginTimeout)))
			}
		case a.Terminate:
			m.terminate(time.Duration((0.3 + m.w.rng.Float64()*2) * float64(time.Second)))
		case a.Kill:
			m.exit(m.prog.boot, "killed")
		case a.Log != "":
			m.w.Note("%s: %s", m.name(), a.Log)
		}
	}
	truth := m.truth()
	if m.agent != nil && truth.granted != 0 {
		if mem := m.agent.PersistentState(); mem.Grant == nil && mem.SeenFence >= truth.granted && m.agent.MemberState() != rollout.Draining {
			truth.granted = 0
		}
	}
}

func (m *member) terminate(takes time.Duration) {
	boot := m.prog.boot
	m.lapse(func() { m.prog.ends = true })
	m.w.After(takes, func() { m.exit(boot, "ended as told") })
}

// exit ends the program, if it is still that one.
func (m *member) exit(boot uint64, why string) {
	if !m.prog.running || m.prog.boot != boot {
		return
	}
	m.lapse(func() { m.prog.running, m.prog.standby, m.prog.ends = false, false, false })
	m.tellExit(why)
}

func (m *member) tellExit(why string) {
	life := m.life
	m.w.After(time.Millisecond, func() {
		m.told(life, func() []rollout.Action { return m.agent.Exited(m.now(), why) })
	})
}

// launch starts the program, as well as its version does.
func (m *member) launch(version string) {
	if m.prog.running {
		m.w.Fault("%s: a second program is started beside the first", m.name())
		return
	}
	w := m.w
	boot := w.Sequence()
	b := w.behaves(m, version)
	m.lapse(func() {
		m.prog = program{running: true, boot: boot, version: version, began: w.Now(), lostFrom: m.prog.lostFrom, rate: m.prog.rate, refuses: m.prog.refuses,
			readyAt: w.Now() + time.Duration((0.3+w.rng.Float64()*2)*float64(time.Second)), counted: w.Now(), classes: map[string]rollout.Count{}}
	})
	switch {
	case b.crashAt >= 0:
		w.After(b.crashAt+time.Millisecond, func() {
			if m.prog.running && m.prog.boot == boot {
				w.firstBad()
				m.exit(boot, "exit code 2")
			}
		})
	case b.neverReady:
		w.firstBad()
		m.prog.unready = true
	}
}

// behaviour is how a version does at a member.
type behaviour struct {
	crashAt    time.Duration // -1 for never
	neverReady bool
	refuses    float64 // share of requests refused beyond what quotas refuse
	fails      float64 // share of payments that fail
	slower     float64 // factor of the latency
	from       time.Duration
}

// count adds up what the program has done since it was last looked at.
func (m *member) count() {
	p := &m.prog
	w := m.w
	span := (w.Now() - p.counted).Seconds()
	p.counted = w.Now()
	if !p.running || p.unready || w.Now() < p.readyAt || p.standby || span <= 0 {
		return
	}
	b := w.behaves(m, p.version)
	if w.Now()-p.began < b.from {
		b.refuses, b.fails, b.slower = 0, 0, 1
	}
	if b.refuses > 0 || b.fails > 0 || b.slower > 1 {
		w.firstBad()
	}
	noise := w.noise(m)
	n := p.rate * span * (0.8 + 0.4*w.rng.Float64()) * noise
	refused := min(0.9, p.refuses*noise*(0.5+w.rng.Float64())+b.refuses)
	for _, class := range []struct {
		name  string
		share float64
		fails float64
	}{{"lookup", 0.9, 0.001}, {"payment", 0.1, 0.001 + b.fails}} {
		c := p.classes[class.name]
		asked := w.whole(n * class.share)
		r := w.whole(float64(asked) * refused)
		f := w.whole(float64(asked-min(r, asked)) * class.fails)
		c.Refused += r
		c.Failed += f
		c.Served += asked - min(asked, r+f)
		p.classes[class.name] = c
		w.Report.Requests += float64(asked)
		w.Report.FailedRequests += float64(r + f)
	}
	p.open += n * 0.010 * max(1, b.slower) * noise * (0.8 + 0.4*w.rng.Float64())
}

// whole rounds by chance, so that small numbers are not lost.
func (w *World) whole(x float64) uint64 {
	n := uint64(max(0, x))
	if w.rng.Float64() < x-float64(n) {
		n++
	}
	return n
}

// send carries a report to a coordinator, and its answer back.
func (m *member) send(r rollout.Report, place int) {
	w := m.w
	life := m.life
	truth := m.truth()
	w.Report.Messages++
	if w.CountBytes {
		w.Report.Bytes += size(r)
	}
	failed := func(hint int) {
		m.told(life, func() []rollout.Action { m.agent.Unanswered(m.now(), r.Seq, hint); return nil })
	}
	if w.Strategy != Coordinated {
		reply := rollout.Reply{Stamp: r.Stamp}
		if m.goAt > 0 && w.Now() >= m.goAt && r.SeenFence == 0 {
			reply.Order = &rollout.Order{Fence: 1, Kind: rollout.Release, Version: version(0)}
			truth.granted = 1
		}
		w.After(time.Millisecond, func() {
			m.told(life, func() []rollout.Action { return m.agent.Replied(m.now(), r.Seq, reply) })
		})
		return
	}
	w.After(m.clock.to(2*m.cfg.ReportInterval), func() { failed(-1) })
	w.carry(m.end, place, func() {
		c := w.slots[place]
		if c.r == nil {
			w.carry(place, m.end, func() { failed(-1) })
			return
		}
		c.do(func() {
			reply, err := c.r.Report(c.clock.of(w.Now()), r)
			if not, ok := err.(*rollout.NotLeader); ok {
				hint := -1
				if l := w.coordinator(not.Leader); l != nil {
					hint = l.place
				}
				w.carry(place, m.end, func() { failed(hint) })
				return
			}
			if err != nil {
				return // no answer: it asks again
			}
			if o := reply.Order; o != nil && r.HeldGrant == nil {
				w.given(truth, c, o)
			}
			if reply.VoidFence != 0 {
				w.Report.Voided++
			}
			w.Report.Messages++
			if w.CountBytes {
				w.Report.Bytes += size(reply)
			}
			w.carry(place, m.end, func() {
				m.told(life, func() []rollout.Action { return m.agent.Replied(m.now(), r.Seq, reply) })
			})
		})
	})
}

// given holds what has to hold at the instant in which a member may begin to go out.
func (w *World) given(m *member, c *coordinator, o *rollout.Order) {
	if m.granted != o.Fence {
		w.Report.Orders++
		w.Note("%s is given order %d (%s %s) by coordinator %d", m.name(), o.Fence, o.Kind, o.Version, c.id)
	}
	if seat := c.r.State().Members[m.name()]; seat != nil && seat.Grant != nil {
		if at, halted := w.halted[seat.Grant.Rollout]; halted && w.Now()-at > w.slack() && m.granted != o.Fence {
			w.Fault("%s is given order %d, of %s, which was halted at %v", m.name(), o.Fence, seat.Grant.Rollout, at)
		}
	}
	m.granted = o.Fence
	w.checkGrant(m, w.slack())
	w.sample()
}
