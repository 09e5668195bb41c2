package ingress

import (
	"testing"
	"time"
)

// Guards against cold backends being taken for warm ones after a step of the wall clock, as when start times
// are converted to the monotonic clock by the wall clock reading of the process's own start.
func TestStartTimesSurviveWallClockSteps(t *testing.T) {
	const now, age = 10 * time.Minute, 2 * time.Second
	processStart := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 0, 3 * time.Second, time.Hour} {
		stepped := func(at time.Duration) time.Time { return processStart.Add(at + step) }
		for _, c := range []struct {
			name     string
			stepTime time.Duration
			reported time.Time // start of the backend
		}{
			{"the step precedes the start", now - time.Minute, stepped(now - age)},
			{"the step follows the start", now - time.Second, processStart.Add(now - age)},
		} {
			var s startClock
			s.observe(0, processStart)
			s.observe(now, stepped(now))
			got := s.startTime("b", c.reported.UnixMilli(), now)
			if got < now-age || got > now {
				t.Errorf("step %v, %s: started %v ago, want %v at most", step, c.name, now-got, age)
			}
			if step == 0 && got != now-age {
				t.Errorf("no step: started %v ago, want %v", now-got, age)
			}
			s.observe(now+time.Minute, stepped(now+time.Minute+time.Hour))
			if again := s.startTime("b", c.reported.UnixMilli(), now+time.Minute); again != got {
				t.Errorf("step %v, %s: a later step moved the start time by %v", step, c.name, again-got)
			}
		}
	}
}

// Guards against memory that grows with every removed backend or clock step.
func TestStartClockMemoryIsBounded(t *testing.T) {
	var s startClock
	s.observe(0, time.Unix(1000, 0))
	for _, id := range []string{"a", "b", "c"} {
		s.startTime(id, 999_000, 0)
	}
	s.forget("a")
	s.retain(map[string]bool{"b": true})
	if len(s.resolved) != 1 {
		t.Errorf("%d start times are kept, want 1", len(s.resolved))
	}
	for n := range 3 * maxPeriods {
		s.observe(time.Duration(n), time.Unix(int64(n)*3600, 0))
	}
	if len(s.periods) > maxPeriods {
		t.Errorf("%d clock periods are kept, want %d at most", len(s.periods), maxPeriods)
	}
}
