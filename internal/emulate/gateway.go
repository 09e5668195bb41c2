package emulate

import (
	"time"

	"wickarch/choice"
	"wickarch/internal/fleet"
)

// answerMargin is the part of a client's time that the I/O code reserves for delivering the answer.
const answerMargin = 15 * time.Millisecond

// gateway is one gateway: its decision state, and a model of the I/O code around it.
type gateway struct {
	world      *World
	num        int
	up         bool
	generation int // number of starts; events of an earlier generation are discarded
	decisions  *choice.Gateway
	fleet      *fleet.Fleet
	requests   map[uint32]*try
	lastID     uint32
	pools      map[uint32]*connPool // by backend ID
	inFlight   int
	rejected   []time.Duration // times of the tries rejected since the last attempt
	rejectsAll bool            // it has been counted in Figures.RejectingAll
	hasReading map[uint64]bool // customers of which it has received a meter reading
}

// connPool holds a gateway's idle connections to one backend.
type connPool struct {
	idle []time.Duration // when each idle connection became idle, the oldest first
}

// try is one try of a client, as its gateway sees it.
type try struct {
	request  *clientRequest
	id       uint32
	attempts []*attempt
	passed   bool // an attempt has reached a backend; it is counted once
	done     bool
}

type attempt struct {
	try        *try
	from       *gateway
	generation int
	num        int
	to         *server
	work       float64
	sent       time.Duration
	arrived    bool // the backend has received all of it and may run it
	ended      bool
}

// startGateway starts a gateway whose only state is the list of backends.
func (w *World) startGateway(n int) {
	g := w.gateways[n]
	g.up = true
	g.generation++
	g.requests, g.pools, g.inFlight, g.rejected = map[uint32]*try{}, map[uint32]*connPool{}, 0, nil
	g.hasReading = map[uint64]bool{}
	cfg := w.Config
	cfg.Self, cfg.Zone = n, w.Spec.Gateways[n].Zone
	if w.NewLimiter != nil {
		cfg.Limit = w.NewLimiter(n)
	}
	var err error
	if g.decisions, err = choice.New(cfg, w.Seed^uint64(n)<<20^uint64(g.generation), w.now, g); err != nil {
		panic(err) // the first gateway's start, in Run, has validated the spec
	}
	if g.fleet, err = fleet.New(cfg, g.decisions, w.now); err != nil {
		panic(err)
	}
	var list []choice.Backend
	for _, s := range w.backends {
		if s.state == choice.Ready {
			list = append(list, s.listEntry())
		}
	}
	g.updateBackends(choice.Full, list)
}

// Kill stops a gateway. Its connections break, and the clients of its open requests may retry.
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
	for id, l := range g.pools {
		w.backends[id-1].conns -= len(l.idle)
	}
	old := g.requests
	g.requests = nil
	for _, id := range sortedIDs(old) {
		if t := old[id]; !t.done {
			t.done = true
			t.request.answered(disconnected, 0)
		}
	}
}

// Start restarts a killed gateway, without the state that it had.
func (w *World) Start(n int) { w.startGateway(n) }

func (g *gateway) updateBackends(kind choice.ListKind, list []choice.Backend) {
	if !g.up {
		return
	}
	w := g.world
	if w.NoSubsets {
		g.decisions.Members(w.now, kind, list)
	} else {
		g.fleet.Members(w.now, kind, list, func(b choice.Backend) uint64 { return w.backends[b.ID-1].key })
	}
	for _, b := range list {
		if l := g.pools[b.ID]; l != nil && b.State != choice.Ready {
			w.backends[b.ID-1].conns -= len(l.idle)
			delete(g.pools, b.ID)
		}
	}
}

// receive handles a client's try.
func (g *gateway) receive(d *clientRequest) {
	w := g.world
	if !g.up {
		d.answered(disconnected, 0)
		return
	}
	g.lastID++
	t := &try{request: d, id: g.lastID}
	g.requests[t.id] = t
	if g.hasReading[d.customer.id] {
		w.figures.TriesWithReading++
	}
	g.decisions.Request(w.now, choice.Request{ID: t.id, Class: d.class, Plan: d.customer.plan, Customer: d.customer.id,
		TimeLeft: d.deadline - w.now - answerMargin,
		Units:    1, Spread: d.customer.spread, First: d.customer.first, ClientRetry: d.tries > 1 && !w.Clients.UnmarkedRetries})
	if !w.NoSubsets {
		g.fleet.Step(w.now)
	}
	g.forget(t)
}

func (g *gateway) forget(t *try) {
	if !t.done {
		return
	}
	for _, a := range t.attempts {
		if !a.ended {
			return
		}
	}
	delete(g.requests, t.id)
}

// Send starts an attempt at a backend, on an idle connection if there is one.
func (g *gateway) Send(id, backend uint32, timeout time.Duration) {
	w := g.world
	t := g.requests[id]
	s := w.backends[backend-1]
	a := &attempt{try: t, from: g, generation: g.generation, num: len(t.attempts), to: s, sent: w.now,
		work: w.Work[t.request.class] * w.lognormal(w.WorkSigma)}
	t.attempts = append(t.attempts, a)
	g.inFlight++
	g.rejected = g.rejected[:0]
	g.fleet.Sent()
	w.figures.Attempts++
	if s.spec.Zone != w.Spec.Gateways[g.num].Zone {
		w.figures.CrossZone++
	}
	l := g.pools[backend]
	if l == nil {
		l = &connPool{}
		g.pools[backend] = l
	}
	for len(l.idle) > 0 && w.now-l.idle[0] >= w.IdleTimeout {
		l.idle = l.idle[1:]
		s.conns--
	}
	way := w.uniform(w.NetworkDelay)
	if n := len(l.idle); n > 0 {
		l.idle = l.idle[:n-1]
	} else {
		if s.spec.MaxConns > 0 && s.conns >= s.spec.MaxConns || s.state == choice.Removed {
			w.after(2*way, func() { a.end(choice.ConnectFailed) })
			return
		}
		s.conns++
		w.figures.Handshakes++
		w.figures.Work += w.Handshake
		s.load += w.Handshake
		way += 2*w.uniform(w.NetworkDelay) + time.Duration(w.Handshake*float64(time.Second))
	}
	w.after(way, func() {
		if a.ended || s.Partitioned || s.crashed {
			return
		}
		a.arrived = true
		if a.num == 0 || !t.passed {
			w.second(w.now).Passed[g.num]++
			t.passed = true
			t.request.customer.recordSent(t.request)
		}
		s.receive(a)
	})
	w.after(timeout, func() { a.end(choice.Timeout) })
}

// answer sends a backend's answer, with the meter's reading, to the gateway.
func (a *attempt) answer(status choice.Status) {
	w := a.from.world
	metered, used := a.try.request.customer.reading(w.now)
	way := w.uniform(w.NetworkDelay)
	if a.to.ExtraLatency != nil {
		way += a.to.ExtraLatency(a.from.num)
	}
	w.after(way, func() {
		if a.to.Partitioned {
			return
		}
		a.endWith(status, metered, used)
	})
}

func (a *attempt) end(status choice.Status) { a.endWith(status, false, 0) }

func (a *attempt) endWith(status choice.Status, metered bool, used float64) {
	g, w := a.from, a.from.world
	if a.ended || !g.up || g.generation != a.generation {
		return
	}
	a.ended = true
	g.inFlight--
	if status == choice.Timeout && !a.arrived {
		status = choice.ConnectFailed
	}
	if l := g.pools[a.to.id]; l != nil && (status == choice.OK || status == choice.Error || status == choice.Refused) && a.to.state == choice.Ready {
		l.idle = append(l.idle, w.now)
	} else {
		a.to.conns--
	}
	t := a.try
	if status == choice.OK && !t.done {
		t.done = true
		t.request.answered(served, 0)
	}
	if metered {
		g.hasReading[t.request.customer.id] = true
	}
	g.fleet.Ended()
	g.decisions.Outcome(w.now, choice.Outcome{ID: t.id, Attempt: a.num, Backend: a.to.id, Status: status, Elapsed: w.now - a.sent,
		Done: t.done, Metered: metered, Used: used})
	g.forget(t)
}

// Refuse tells the client that its try is refused, with retry advice if after is positive.
func (g *gateway) Refuse(id uint32, after time.Duration) { g.answerClient(id, refused, after) }

// Fail tells the client that its try has failed.
func (g *gateway) Fail(id uint32) { g.answerClient(id, failed, 0) }

func (g *gateway) answerClient(id uint32, e tryResult, after time.Duration) {
	if t := g.requests[id]; !t.done {
		t.done = true
		if len(t.attempts) == 0 {
			g.recordRejected()
		}
		t.request.answered(e, after)
	}
}

// recordRejected counts a try that ended without an attempt.
func (g *gateway) recordRejected() {
	now := g.world.now
	g.rejected = append(g.rejected, now)
	n := len(g.rejected)
	if n < rejectingAllTries || now-g.rejected[n-rejectingAllTries] > rejectingAllFor {
		return
	}
	f := &g.world.figures
	span := now - g.rejected[0]
	if f.LongestRejectingAll = max(f.LongestRejectingAll, span); span >= rejectingAllFor && !g.rejectsAll {
		g.rejectsAll = true
		f.RejectingAll++
	}
}

// Cancel ends an attempt with the status Cancelled.
func (g *gateway) Cancel(id uint32, num int) {
	a := g.requests[id].attempts[num]
	g.world.after(0, func() { a.end(choice.Cancelled) })
}

// Probe requests a load report from a backend.
func (g *gateway) Probe(backend uint32) {
	w := g.world
	s, generation := w.backends[backend-1], g.generation
	w.figures.Probes++
	w.after(2*w.uniform(w.NetworkDelay), func() {
		if !g.up || g.generation != generation || s.Partitioned || s.crashed {
			return
		}
		p := choice.ProbeResult{Backend: backend, Status: choice.OK}
		for i, f := range w.Config.ReportFields {
			p.Load.N = i + 1
			if f == "inflight" {
				p.Load.Values[i] = float64(s.busy + len(s.waiting))
			}
		}
		g.decisions.Probed(w.now, p)
	})
}

// SetTimer calls the timer handler with the token after the wait, unless the gateway has stopped or restarted.
func (g *gateway) SetTimer(wait time.Duration, token uint64) {
	generation := g.generation
	g.world.after(wait, func() {
		if g.up && g.generation == generation {
			g.decisions.Timer(g.world.now, token)
		}
	})
}
