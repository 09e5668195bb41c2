package virtualtime

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// play runs all events due by the end and returns their number.
func play(s *Scheduler, end time.Duration) (done int) {
	for {
		event, more := s.Next(end)
		if !more {
			return done
		}
		event.Do()
		done++
	}
}

// Events run in the order of their times, and those of one time in the order in which
// they were scheduled.
func TestEventsRunInOrder(t *testing.T) {
	type scheduled struct {
		at    time.Duration
		order int
	}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var s Scheduler
		var want, got []scheduled
		for order := range 200 {
			e := scheduled{time.Duration(rng.IntN(20)) * time.Second, order}
			want = append(want, e)
			s.At(e.at, func() {
				if s.Now() != e.at {
					t.Errorf("an event scheduled for %v runs at %v", e.at, s.Now())
				}
				got = append(got, e)
			})
		}
		slices.SortStableFunc(want, func(a, b scheduled) int { return cmp.Compare(a.at, b.at) })
		if play(&s, time.Hour); !slices.Equal(got, want) {
			t.Fatalf("seed %d: events run as %v, want %v", seed, got, want)
		}
	}
}

// Only events move the clock: it stays at the last event due by the end.
func TestClockStaysAtLastEvent(t *testing.T) {
	var s Scheduler
	for _, at := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		s.At(at, func() {})
	}
	if n := play(&s, 2*time.Second); n != 2 || s.Now() != 2*time.Second {
		t.Errorf("%d events run up to %v, want 2 up to 2s", n, s.Now())
	}
	if n := play(&s, 10*time.Second); n != 1 || s.Now() != 3*time.Second {
		t.Errorf("%d more events run up to %v, want 1 up to 3s", n, s.Now())
	}
}

// Events may schedule further events. One in the past runs now, after those already due.
func TestEventsScheduleEvents(t *testing.T) {
	var s Scheduler
	var got []string
	note := func(text string) func() {
		return func() { got = append(got, text+" "+s.Now().String()) }
	}
	s.At(time.Second, func() {
		s.After(time.Second, note("later"))
		s.At(0, note("past"))
		note("first")()
	})
	s.At(time.Second, note("second"))
	play(&s, time.Minute)
	want := []string{"first 1s", "second 1s", "past 1s", "later 2s"}
	if !slices.Equal(got, want) {
		t.Errorf("events run as %q, want %q", got, want)
	}
}

// Sequence numbers are unique, also between scheduled events, and the same in each run.
func TestSequenceIsUnique(t *testing.T) {
	var s Scheduler
	seen := map[uint64]bool{}
	for range 5 {
		n := s.Sequence()
		s.After(0, func() {})
		if seen[n] || n == 0 {
			t.Errorf("Sequence returns %d, which is 0 or was returned before", n)
		}
		seen[n] = true
	}
	again, want := Scheduler{}, Scheduler{}
	if a, b := again.Sequence(), want.Sequence(); a != b {
		t.Errorf("the first numbers of two schedulers are %d and %d, want them equal", a, b)
	}
}
