package emulate

import (
	"time"

	"wickarch/choice"
	"wickarch/internal/fleet"
)

// answerMargin is what a shell keeps back of a client's time for the way of its answer.
const answerMargin = 15 * time.Millisecond

// gateway is one gateway and what a shell would do for it.
type gateway struct {
	world    *World
	num      int
	up       bool
	life     int // starts: what belongs to an earlier one is not told
	decide   *choice.Gateway
	fleet    *fleet.Fleet
	requests map[uint32]*try
	lastID   uint32
	links    map[uint32]*link // by backend
	out      int
	vain     []time.Duration // the tries turned away since the last attempt
	shut     bool            // at any time: of Figures.Shut
	read     map[uint64]bool // customers of whom it has had a reading
}

// link is a gateway's connections to one backend.
type link struct {
	idle []time.Duration // since when each that is kept has been idle, the longest first
}

// try is one try of a client at a gateway.
type try struct {
	request  *demand
	id       uint32
	attempts []*attempt
	passed   bool // its first attempt has been sent
	over     bool
}

type attempt struct {
	try     *try
	from    *gateway
	life    int
	num     int
	to      *server
	work    float64
	sent    time.Duration
	arrived bool // it has come whole to the backend: it may run
	ended   bool
}

// startGateway starts a gateway that knows nothing but the list.
func (w *World) startGateway(n int) {
	g := w.gateways[n]
	g.up = true
	g.life++
	g.requests, g.links, g.out, g.vain = map[uint32]*try{}, map[uint32]*link{}, 0, nil
	g.read = map[uint64]bool{}
	cfg := w.Config
	cfg.Self, cfg.Zone = n, w.Spec.Gateways[n].Zone
	if w.Limit != nil {
		cfg.Limit = w.Limit(n)
	}
	var err error
	if g.decide, err = choice.New(cfg, w.Seed^uint64(n)<<20^uint64(g.life), w.now, g); err != nil {
		panic(err) // the spec was checked by the first gateway's start, in Run
	}
	if g.fleet, err = fleet.New(cfg, g.decide, w.now); err != nil {
		panic(err)
	}
	var list []choice.Backend
	for _, s := range w.backends {
		if s.state == choice.Ready {
			list = append(list, s.line())
		}
	}
	g.members(choice.Full, list)
}

// Kill ends a gateway: its connections break, and its requests are their clients' to try again.
func (w *World) Kill(n int) {
	g := w.gateways[n]
	g.up = false
	for _, t := range g.requests {
		for _, a := range t.attempts {
			if !a.ended {
				a.ended = true
				a.to.conns--
			}
		}
	}
	for id, l := range g.links {
		w.backends[id-1].conns -= len(l.idle)
	}
	old := g.requests
	g.requests = nil
	for _, id := range sortedIDs(old) {
		if t := old[id]; !t.over {
			t.over = true
			t.request.answered(broken, 0)
		}
	}
}

// Start starts a killed gateway again; it knows nothing.
func (w *World) Start(n int) { w.startGateway(n) }

func (g *gateway) members(kind choice.ListKind, list []choice.Backend) {
	if !g.up {
		return
	}
	w := g.world
	if w.Whole {
		g.decide.Members(w.now, kind, list)
	} else {
		g.fleet.Members(w.now, kind, list, func(b choice.Backend) uint64 { return w.backends[b.ID-1].key })
	}
	for _, b := range list {
		if l := g.links[b.ID]; l != nil && b.State != choice.Ready {
			w.backends[b.ID-1].conns -= len(l.idle)
			delete(g.links, b.ID)
		}
	}
}

// take takes a client's try.
func (g *gateway) take(d *demand) {
	w := g.world
	if !g.up {
		d.answered(broken, 0)
		return
	}
	g.lastID++
	t := &try{request: d, id: g.lastID}
	g.requests[t.id] = t
	if g.read[d.of.id] {
		w.figures.Known++
	}
	g.decide.Request(w.now, choice.Request{ID: t.id, Class: d.class, Plan: d.of.plan, Customer: d.of.id, TimeLeft: d.until - w.now - answerMargin,
		Units: 1, Spread: d.of.spread, First: d.of.first, ClientRetry: d.tries > 1 && !w.Clients.Unmarked})
	if !w.Whole {
		g.fleet.Step(w.now)
	}
	g.forget(t)
}

func (g *gateway) forget(t *try) {
	if !t.over {
		return
	}
	for _, a := range t.attempts {
		if !a.ended {
			return
		}
	}
	delete(g.requests, t.id)
}

// Send starts an attempt.
func (g *gateway) Send(id, backend uint32, timeout time.Duration) {
	w := g.world
	t := g.requests[id]
	s := w.backends[backend-1]
	a := &attempt{try: t, from: g, life: g.life, num: len(t.attempts), to: s, sent: w.now,
		work: w.Work[t.request.class] * w.lognormal(w.WorkSigma)}
	t.attempts = append(t.attempts, a)
	g.out++
	g.vain = g.vain[:0]
	g.fleet.Sent()
	w.figures.Attempts++
	if s.spec.Zone != w.Spec.Gateways[g.num].Zone {
		w.figures.Crossed++
	}
	l := g.links[backend]
	if l == nil {
		l = &link{}
		g.links[backend] = l
	}
	for len(l.idle) > 0 && w.now-l.idle[0] >= w.Idle {
		l.idle = l.idle[1:]
		s.conns--
	}
	way := w.between(w.OneWay)
	if n := len(l.idle); n > 0 {
		l.idle = l.idle[:n-1]
	} else {
		if s.spec.Conns > 0 && s.conns >= s.spec.Conns || s.state == choice.Removed {
			w.after(2*way, func() { a.end(choice.ConnectFailed) })
			return
		}
		s.conns++
		w.figures.Handshakes++
		w.figures.Work += w.Handshake
		s.load += w.Handshake
		way += 2*w.between(w.OneWay) + time.Duration(w.Handshake*float64(time.Second))
	}
	w.after(way, func() {
		if a.ended || s.Cut || s.fell {
			return
		}
		a.arrived = true
		if a.num == 0 || !t.passed {
			w.second(w.now).Passed[g.num]++
			t.passed = true
			t.request.of.pass(t.request)
		}
		s.take(a)
	})
	w.after(timeout, func() { a.end(choice.Timeout) })
}

// answer sends a backend's answer on its way.
func (a *attempt) answer(status choice.Status) {
	w := a.from.world
	metered, used := a.try.request.of.reading(w.now)
	way := w.between(w.OneWay)
	if a.to.Far != nil {
		way += a.to.Far(a.from.num)
	}
	w.after(way, func() {
		if a.to.Cut {
			return
		}
		a.endWith(status, metered, used)
	})
}

func (a *attempt) end(status choice.Status) { a.endWith(status, false, 0) }

func (a *attempt) endWith(status choice.Status, metered bool, used float64) {
	g, w := a.from, a.from.world
	if a.ended || !g.up || g.life != a.life {
		return
	}
	a.ended = true
	g.out--
	if status == choice.Timeout && !a.arrived {
		status = choice.ConnectFailed
	}
	if l := g.links[a.to.id]; l != nil && (status == choice.OK || status == choice.Error || status == choice.Refused) && a.to.state == choice.Ready {
		l.idle = append(l.idle, w.now)
	} else {
		a.to.conns--
	}
	t := a.try
	if status == choice.OK && !t.over {
		t.over = true
		t.request.answered(served, 0)
	}
	if metered {
		g.read[t.request.of.id] = true
	}
	g.fleet.Ended()
	g.decide.Outcome(w.now, choice.Outcome{ID: t.id, Attempt: a.num, Backend: a.to.id, Status: status, Elapsed: w.now - a.sent,
		Done: t.over, Metered: metered, Used: used})
	g.forget(t)
}

// Refuse gives a final answer.
func (g *gateway) Refuse(id uint32, after time.Duration) { g.final(id, refused, after) }

// Fail gives a final answer.
func (g *gateway) Fail(id uint32) { g.final(id, failed, 0) }

func (g *gateway) final(id uint32, e ending, after time.Duration) {
	if t := g.requests[id]; !t.over {
		t.over = true
		if len(t.attempts) == 0 {
			g.turnedAway()
		}
		t.request.answered(e, after)
	}
}

// turnedAway notes a try that ends with no attempt.
func (g *gateway) turnedAway() {
	now := g.world.now
	g.vain = append(g.vain, now)
	n := len(g.vain)
	if n < shutTries || now-g.vain[n-shutTries] > shutFor {
		return
	}
	f := &g.world.figures
	span := now - g.vain[0]
	if f.ShutFor = max(f.ShutFor, span); span >= shutFor && !g.shut {
		g.shut = true
		f.Shut++
	}
}

// Cancel stops the wait for an attempt.
func (g *gateway) Cancel(id uint32, num int) {
	a := g.requests[id].attempts[num]
	g.world.after(0, func() { a.end(choice.Cancelled) })
}

// Probe asks a backend what it holds.
func (g *gateway) Probe(backend uint32) {
	w := g.world
	s, life := w.backends[backend-1], g.life
	w.figures.Probes++
	w.after(2*w.between(w.OneWay), func() {
		if !g.up || g.life != life || s.Cut || s.fell {
			return
		}
		p := choice.ProbeResult{Backend: backend, Status: choice.OK}
		for i, f := range w.Config.ReportFields {
			p.Load.N = i + 1
			if f == "inflight" {
				p.Load.Values[i] = float64(s.busy + len(s.waiting))
			}
		}
		g.decide.Probed(w.now, p)
	})
}

// SetTimer sets a timer.
func (g *gateway) SetTimer(wait time.Duration, token uint64) {
	life := g.life
	g.world.after(wait, func() {
		if g.up && g.life == life {
			g.decide.Timer(g.world.now, token)
		}
	})
}
