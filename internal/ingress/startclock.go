package ingress

import "time"

const (
	// clockStep is the least jump of the wall clock that counts as a step.
	clockStep = 20 * time.Millisecond
	// mostEras bounds how many steps are remembered.
	mostEras = 16
	longAgo  = time.Duration(-1 << 62)
	noEnd    = time.Duration(1 << 62)
)

// startClock turns the starts of backends, which discovery tells in Unix time, into the reactor's clock.
// The wall clock may be stepped meanwhile, so that a start belongs to the era of the wall clock in which
// it was written down. Where several eras would do, the latest start counts: a cold backend taken for a
// warm one falls over, a warm one taken for cold only gets less for a while.
type startClock struct {
	eras     []era
	observed time.Duration // when the wall clock was last looked at
	known    map[string]backendStart
}

// era is a time in which the wall clock ran without a step.
type era struct {
	zero     time.Time     // the wall clock at the zero of the reactor's clock
	from, to time.Duration // it lay within these
}

// backendStart is a start that has been resolved. A step that comes later does not change it.
type backendStart struct {
	unixMillis int64
	at         time.Duration
}

// observe notes what the wall clock shows now.
func (s *startClock) observe(now time.Duration, wall time.Time) {
	zero := wall.Add(-now)
	last := len(s.eras) - 1
	if last < 0 {
		s.eras = append(s.eras, era{zero: zero, from: longAgo, to: noEnd})
	} else if jump := zero.Sub(s.eras[last].zero).Abs(); jump > clockStep {
		s.eras[last].to = now
		s.eras = append(s.eras, era{zero: zero, from: s.observed, to: noEnd})
	}
	if len(s.eras) > mostEras {
		s.eras = s.eras[1:]
	}
	s.observed = now
}

// startTime is when a backend startTime, as far as that can be told: now at the latest.
func (s *startClock) startTime(id string, unixMillis int64, now time.Duration) time.Duration {
	if known, any := s.known[id]; any && known.unixMillis == unixMillis {
		return known.at
	}
	at := s.resolve(time.UnixMilli(unixMillis), now)
	if s.known == nil {
		s.known = map[string]backendStart{}
	}
	s.known[id] = backendStart{unixMillis, at}
	return at
}

// resolve finds the latest time at which the wall clock showed so.
func (s *startClock) resolve(wall time.Time, now time.Duration) time.Duration {
	latest, any := longAgo, false
	for _, e := range s.eras {
		at := wall.Sub(e.zero)
		if at < e.from || at > min(e.to, now) {
			continue
		}
		latest, any = max(latest, at), true
	}
	if !any { // in a time that nobody has seen: it may have started just now
		return now
	}
	return latest
}

// retain forgets the backends that a complete list does not name.
func (s *startClock) retain(named map[string]bool) {
	for id := range s.known {
		if !named[id] {
			delete(s.known, id)
		}
	}
}

// forget forgets one backend.
func (s *startClock) forget(id string) { delete(s.known, id) }
