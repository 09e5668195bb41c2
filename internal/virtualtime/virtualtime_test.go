package virtualtime

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// play does all events by the end, and counts them.
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

// Events happen by their times, and those of one time in the order in which they were
// scheduled, whatever order that was.
func TestEventsHappenInOrder(t *testing.T) {
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
					t.Errorf("an event of %v happens at %v", e.at, s.Now())
				}
				got = append(got, e)
			})
		}
		slices.SortStableFunc(want, func(a, b scheduled) int { return cmp.Compare(a.at, b.at) })
		if play(&s, time.Hour); !slices.Equal(got, want) {
			t.Fatalf("seed %d: events happen as %v, want %v", seed, got, want)
		}
	}
}

// The clock moves by events alone: it stays at the last one before the end.
func TestClockStopsBeforeTheEnd(t *testing.T) {
	var s Scheduler
	for _, at := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		s.At(at, func() {})
	}
	if n := play(&s, 2*time.Second); n != 2 || s.Now() != 2*time.Second {
		t.Errorf("%d events to %v, want 2 to 2s", n, s.Now())
	}
	if n := play(&s, 10*time.Second); n != 1 || s.Now() != 3*time.Second {
		t.Errorf("%d more events to %v, want 1 to 3s", n, s.Now())
	}
}

// An event that schedules others sees them happen in the same run; one in the past happens
// at once, behind what is due already.
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
		t.Errorf("events happen as %q, want %q", got, want)
	}
}

// Numbers are drawn once each, beside events as well.
func TestSequenceIsUnique(t *testing.T) {
	var s Scheduler
	seen := map[uint64]bool{}
	for range 5 {
		n := s.Sequence()
		s.After(0, func() {})
		if seen[n] || n == 0 {
			t.Errorf("%d is drawn again", n)
		}
		seen[n] = true
	}
	again, want := Scheduler{}, Scheduler{}
	if a, b := again.Sequence(), want.Sequence(); a != b {
		t.Errorf("two runs draw %d and %d first", a, b)
	}
}
