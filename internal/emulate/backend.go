package emulate

import (
	"time"

	"wickarch/choice"
	"wickarch/subset"
)

const (
	queuePerCore = 32
	crashSlots   = 15 // of the window over which the work sent to a cold backend is summed
)

// server models a backend: its cores serve requests in FIFO order.
type server struct {
	world      *World
	spec       Backend
	id         uint32
	key        uint64
	state      choice.State
	started    time.Duration
	startKnown bool

	busy    int
	waiting []*attempt
	conns   int
	load    float64 // core-seconds of work started

	Slow         float64                         // factor on the service time; 0: 1
	Fails        float64                         // fraction of requests that fail immediately
	Partitioned  bool                            // drops all messages in both directions
	ExtraLatency func(gateway int) time.Duration // added to the delay of an answer, by gateway; nil: none
	crashed      bool                            // overloaded while cold; it stays down until Restart

	recentWork [crashSlots]float64 // core-seconds of work received, by slot of the window
	slot       int64
}

// addBackend adds a backend without announcing it.
func (w *World) addBackend(b Backend) *server {
	n := len(w.backends)
	s := &server{world: w, spec: b, id: uint32(n + 1), key: subset.KeyOf(name(n))}
	if b.StartAt > 0 {
		s.started, s.startKnown = b.StartAt, true
	}
	if s.spec.QueueLimit == 0 {
		s.spec.QueueLimit = queuePerCore * max(b.Cores, 1)
	}
	w.backends = append(w.backends, s)
	return s
}

func name(n int) string { return string(rune('a'+n%26)) + time.Duration(n).String() }

// Add adds a cold backend, announces it to the gateways and returns its number.
func (w *World) Add(b Backend) int {
	b.StartAt = w.now
	w.announce(w.addBackend(b))
	return len(w.backends) - 1
}

// Remove removes a backend from the gateways' lists. It still finishes the requests that it has.
func (w *World) Remove(n int) { w.setState(n, choice.Removed) }

// Drain marks a backend as draining in the gateways' lists.
func (w *World) Drain(n int) { w.setState(n, choice.Draining) }

func (w *World) setState(n int, s choice.State) {
	w.backends[n].state = s
	w.announce(w.backends[n])
}

// Restart restarts a backend: it is reachable again, and cold.
func (w *World) Restart(n int) {
	s := w.backends[n]
	s.Partitioned, s.crashed = false, false
	s.started, s.startKnown = w.now, true
	w.announce(s)
}

// Backend returns a backend, whose exported fields inject faults.
func (w *World) Backend(n int) (faults *server) { return w.backends[n] }

// Backends returns the number of backends, including removed ones.
func (w *World) Backends() int { return len(w.backends) }

// Zone returns the zone of a backend.
func (w *World) Zone(n int) int { return w.backends[n].spec.Zone }

// announce sends a backend's state to each gateway, with a random delay from ListDelay.
func (w *World) announce(s *server) {
	entry := s.listEntry()
	for _, g := range w.gateways {
		w.after(w.uniform(w.ListDelay), func() { g.updateBackends(choice.Delta, []choice.Backend{entry}) })
	}
}

// listEntry returns the backend as an entry of the gateways' lists.
func (s *server) listEntry() choice.Backend {
	return choice.Backend{ID: s.id, Zone: s.spec.Zone, Cell: s.spec.Cell, State: s.state, Weight: max(s.spec.Weight, 0),
		Started: s.started, StartKnown: s.startKnown}
}

// capacityFraction returns the fraction of its capacity that the backend has while it warms up.
func (s *server) capacityFraction() float64 {
	c := &s.world.Config
	age := s.world.now - s.started
	if !s.startKnown || c.WarmUpTime <= 0 || age >= c.WarmUpTime {
		return 1
	}
	return c.ColdCapacity + (1-c.ColdCapacity)*age.Seconds()/c.WarmUpTime.Seconds()
}

// receive handles a request that has arrived completely.
func (s *server) receive(a *attempt) {
	w := s.world
	s.recordColdWork(a.work)
	switch {
	case s.crashed || s.Partitioned:
		return // no answer; the attempt times out
	case w.rng.Float64() < s.Fails:
		a.answer(choice.Error)
	case s.busy < s.spec.Cores:
		s.start(a)
	case len(s.waiting) >= s.spec.QueueLimit:
		a.answer(choice.Refused)
	default:
		s.waiting = append(s.waiting, a)
	}
}

func (s *server) start(a *attempt) {
	w := s.world
	s.busy++
	s.load += a.work
	w.figures.Work += a.work
	if a.ended {
		w.figures.Wasted += a.work
	}
	speed := s.capacityFraction()
	if s.Slow > 0 {
		speed /= s.Slow
	}
	w.after(time.Duration(a.work/speed*float64(time.Second)), func() {
		s.busy--
		if !s.crashed && !s.Partitioned {
			a.answer(choice.OK)
		}
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.start(next)
		}
	})
}

// recordColdWork checks the cold-start rule independently of the gateways: within the window
// (CrashAfter), all gateways together may send at most CrashMultiple times the work that the
// cold backend can do. It crashes beyond that.
func (s *server) recordColdWork(work float64) {
	c := &s.world.Config
	fraction := s.capacityFraction()
	if fraction >= 1 || c.CrashAfter <= 0 || c.CrashMultiple <= 0 {
		return
	}
	slot := int64(s.world.now / (c.CrashAfter / crashSlots))
	for ; s.slot < slot; s.slot++ {
		s.recentWork[(s.slot+1)%crashSlots] = 0
	}
	s.recentWork[slot%crashSlots] += work
	sum := 0.0
	for _, v := range s.recentWork {
		sum += v
	}
	limit := c.CrashMultiple * fraction * float64(s.spec.Cores) * c.CrashAfter.Seconds()
	s.world.figures.MaxColdLoad = max(s.world.figures.MaxColdLoad, sum/limit)
	if sum > limit && !s.crashed {
		s.crashed = true
		s.world.figures.Crashed++
	}
}
