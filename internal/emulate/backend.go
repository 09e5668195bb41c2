package emulate

import (
	"time"

	"wickarch/choice"
	"wickarch/subset"
)

const (
	roomACore = 32
	fallSlots = 15 // of the window over which work at a cold backend is added up
)

// server is one backend: cores that take requests first come, first served.
type server struct {
	world   *World
	spec    Backend
	id      uint32
	key     uint64
	state   choice.State
	started time.Duration
	dated   bool

	busy    int
	waiting []*attempt
	conns   int
	load    float64 // core-seconds of work begun

	Slow  float64                         // work takes so many times as long; 0: as ever
	Fails float64                         // share of requests that fail at once
	Cut   bool                            // nothing reaches it, and nothing comes back
	Far   func(gateway int) time.Duration // how much longer an answer takes to a gateway; nil: no longer
	fell  bool                            // pushed over while cold: it stays down

	sent [fallSlots]float64 // core-seconds sent, by slot of the window
	slot int64
}

// addBackend adds a backend to the fleet.
func (w *World) addBackend(b Backend) *server {
	n := len(w.backends)
	s := &server{world: w, spec: b, id: uint32(n + 1), key: subset.KeyOf(name(n))}
	if b.From > 0 {
		s.started, s.dated = b.From, true
	}
	if s.spec.Room == 0 {
		s.spec.Room = roomACore * max(b.Cores, 1)
	}
	w.backends = append(w.backends, s)
	return s
}

func name(n int) string { return string(rune('a'+n%26)) + time.Duration(n).String() }

// Add adds a backend, cold, and tells the gateways. It returns its number.
func (w *World) Add(b Backend) int {
	b.From = w.now
	w.tell(w.addBackend(b))
	return len(w.backends) - 1
}

// Remove takes a backend out of the list; what it has is finished.
func (w *World) Remove(n int) { w.mark(n, choice.Removed) }

// Drain has the list tell that a backend drains.
func (w *World) Drain(n int) { w.mark(n, choice.Draining) }

func (w *World) mark(n int, s choice.State) {
	w.backends[n].state = s
	w.tell(w.backends[n])
}

// Restart has a backend lose all that it holds and come back cold.
func (w *World) Restart(n int) {
	s := w.backends[n]
	s.Cut, s.fell = false, false
	s.started, s.dated = w.now, true
	w.tell(s)
}

// Backend gives a backend's faults to be set.
func (w *World) Backend(n int) (faults *server) { return w.backends[n] }

// Backends is how many there are, those that have gone among them.
func (w *World) Backends() int { return len(w.backends) }

// Zone is the zone of a backend.
func (w *World) Zone(n int) int { return w.backends[n].spec.Zone }

// tell tells each gateway, late, of a backend.
func (w *World) tell(s *server) {
	line := s.line()
	for _, g := range w.gateways {
		w.after(w.between(w.ListDelay), func() { g.members(choice.Delta, []choice.Backend{line}) })
	}
}

// line is a backend in the list.
func (s *server) line() choice.Backend {
	return choice.Backend{ID: s.id, Zone: s.spec.Zone, Cell: s.spec.Cell, State: s.state, Weight: max(s.spec.Weight, 0),
		Started: s.started, StartKnown: s.dated}
}

// warmth is the part of its capacity that it has.
func (s *server) warmth() float64 {
	c := &s.world.Config
	age := s.world.now - s.started
	if !s.dated || c.WarmUpTime <= 0 || age >= c.WarmUpTime {
		return 1
	}
	return c.ColdCapacity + (1-c.ColdCapacity)*age.Seconds()/c.WarmUpTime.Seconds()
}

// take takes a request whose last byte has come.
func (s *server) take(a *attempt) {
	w := s.world
	s.count(a.work)
	switch {
	case s.fell || s.Cut:
		return // nothing is heard of it
	case w.rng.Float64() < s.Fails:
		a.answer(choice.Error)
	case s.busy < s.spec.Cores:
		s.begin(a)
	case len(s.waiting) >= s.spec.Room:
		a.answer(choice.Refused)
	default:
		s.waiting = append(s.waiting, a)
	}
}

func (s *server) begin(a *attempt) {
	w := s.world
	s.busy++
	s.load += a.work
	w.figures.Work += a.work
	if a.ended {
		w.figures.Wasted += a.work
	}
	speed := s.warmth()
	if s.Slow > 0 {
		speed /= s.Slow
	}
	w.after(time.Duration(a.work/speed*float64(time.Second)), func() {
		s.busy--
		if !s.fell && !s.Cut {
			a.answer(choice.OK)
		}
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.begin(next)
		}
	})
}

// count checks the rule on cold starts from outside: within the window, all
// gateways together may send so many times what the backend can do.
func (s *server) count(work float64) {
	c := &s.world.Config
	warmth := s.warmth()
	if warmth >= 1 || c.CrashAfter <= 0 || c.CrashMultiple <= 0 {
		return
	}
	slot := int64(s.world.now / (c.CrashAfter / fallSlots))
	for ; s.slot < slot; s.slot++ {
		s.sent[(s.slot+1)%fallSlots] = 0
	}
	s.sent[slot%fallSlots] += work
	sum := 0.0
	for _, v := range s.sent {
		sum += v
	}
	most := c.CrashMultiple * warmth * float64(s.spec.Cores) * c.CrashAfter.Seconds()
	s.world.figures.Coldest = max(s.world.figures.Coldest, sum/most)
	if sum > most && !s.fell {
		s.fell = true
		s.world.figures.Fallen++
	}
}
