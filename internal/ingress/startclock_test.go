package ingress

import (
	"testing"
	"time"
)

// Guards against cold backends that are taken for warm ones after the wall clock was stepped: their starts
// were turned into the monotonic clock by the wall clock of the process's own start.
func TestStartsOutliveStepsOfTheWallClock(t *testing.T) {
	const now, age = 10 * time.Minute, 2 * time.Second
	begun := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 0, 3 * time.Second, time.Hour} {
		after := func(at time.Duration) time.Time { return begun.Add(at + step) }
		for _, c := range []struct {
			name    string
			stepped time.Duration // when the clock was
			told    time.Time     // of the start
		}{
			{"the step comes before the start", now - time.Minute, after(now - age)},
			{"the step comes behind the start", now - time.Second, begun.Add(now - age)},
		} {
			var s startClock
			s.observe(0, begun)
			s.observe(now, after(now))
			got := s.startTime("b", c.told.UnixMilli(), now)
			if got < now-age || got > now {
				t.Errorf("step %v, %s: started %v ago, want %v at most", step, c.name, now-got, age)
			}
			if step == 0 && got != now-age {
				t.Errorf("no step: started %v ago, want %v", now-got, age)
			}
			s.observe(now+time.Minute, after(now+time.Minute+time.Hour))
			if again := s.startTime("b", c.told.UnixMilli(), now+time.Minute); again != got {
				t.Errorf("step %v, %s: a later step moved the start by %v", step, c.name, again-got)
			}
		}
	}
}

// Guards against memory that grows with backends that have gone.
func TestStartsOfBackendsThatAreGoneAreForgotten(t *testing.T) {
	var s startClock
	s.observe(0, time.Unix(1000, 0))
	for _, id := range []string{"a", "b", "c"} {
		s.startTime(id, 999_000, 0)
	}
	s.forget("a")
	s.retain(map[string]bool{"b": true})
	if len(s.known) != 1 {
		t.Errorf("%d starts are known, want 1", len(s.known))
	}
	for n := range 3 * mostEras {
		s.observe(time.Duration(n), time.Unix(int64(n)*3600, 0))
	}
	if len(s.eras) > mostEras {
		t.Errorf("%d eras are kept, want %d", len(s.eras), mostEras)
	}
}
