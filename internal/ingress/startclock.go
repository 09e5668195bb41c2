package ingress

import "time"

const (
	// minClockStep is the smallest jump of the wall clock that is treated as a step.
	minClockStep = 20 * time.Millisecond
	// maxPeriods limits how many periods between steps are remembered.
	maxPeriods    = 16
	distantPast   = time.Duration(-1 << 62)
	distantFuture = time.Duration(1 << 62)
)

// startClock converts the start times of backends, which discovery reports in Unix time, to the reactor's
// clock. The wall clock may be stepped, so a start time belongs to the period between two steps in which it
// was recorded. If several periods fit, the latest start time wins: a cold backend mistaken for a warm one
// gets overloaded, while a warm one mistaken for cold only gets less traffic for a while.
type startClock struct {
	periods      []clockPeriod
	lastObserved time.Duration // when the wall clock was last read
	resolved     map[string]backendStart
}

// clockPeriod is a period in which the wall clock ran without a step.
type clockPeriod struct {
	zero     time.Time     // wall clock time at 0 of the reactor's clock
	from, to time.Duration // bounds of the period, by the reactor's clock
}

// backendStart is a resolved start time. Later steps do not change it.
type backendStart struct {
	unixMillis int64
	at         time.Duration
}

// observe records the current wall clock time.
func (s *startClock) observe(now time.Duration, wall time.Time) {
	zero := wall.Add(-now)
	last := len(s.periods) - 1
	if last < 0 {
		s.periods = append(s.periods, clockPeriod{zero: zero, from: distantPast, to: distantFuture})
	} else if jump := zero.Sub(s.periods[last].zero).Abs(); jump > minClockStep {
		s.periods[last].to = now
		s.periods = append(s.periods, clockPeriod{zero: zero, from: s.lastObserved, to: distantFuture})
	}
	if len(s.periods) > maxPeriods {
		s.periods = s.periods[1:]
	}
	s.lastObserved = now
}

// startTime returns when a backend started, as far as can be determined, and now at the latest.
func (s *startClock) startTime(id string, unixMillis int64, now time.Duration) time.Duration {
	if start, ok := s.resolved[id]; ok && start.unixMillis == unixMillis {
		return start.at
	}
	at := s.resolve(time.UnixMilli(unixMillis), now)
	if s.resolved == nil {
		s.resolved = map[string]backendStart{}
	}
	s.resolved[id] = backendStart{unixMillis, at}
	return at
}

// resolve finds the latest time at which the wall clock may have shown the given time.
func (s *startClock) resolve(wall time.Time, now time.Duration) time.Duration {
	latest, found := distantPast, false
	for _, p := range s.periods {
		at := wall.Sub(p.zero)
		if at < p.from || at > min(p.to, now) {
			continue
		}
		latest, found = max(latest, at), true
	}
	if !found { // in no observed period: the backend may have started just now
		return now
	}
	return latest
}

// retain forgets all backends but the given ones, those of a complete list.
func (s *startClock) retain(listed map[string]bool) {
	for id := range s.resolved {
		if !listed[id] {
			delete(s.resolved, id)
		}
	}
}

// forget forgets one backend.
func (s *startClock) forget(id string) { delete(s.resolved, id) }
