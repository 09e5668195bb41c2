package virtualtime

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// receiver is a process that notes the calls that it does.
type receiver struct {
	Process
	done []string
}

// do does a call, or holds it.
func (r *receiver) do(call func()) {
	if !r.HoldIfPaused(call) {
		call()
	}
}

// call sends the process a call at a time.
func (r *receiver) call(s *Scheduler, at time.Duration, name string) {
	s.At(at, func() {
		r.do(func() { r.done = append(r.done, fmt.Sprint(name, " ", s.Now())) })
	})
}

// Calls during a pause happen at its end, in their order; others at once.
func TestPauseHoldsCalls(t *testing.T) {
	var s Scheduler
	r := receiver{Process: NewProcess(&s)}
	r.Start()
	r.call(&s, time.Second, "before")
	s.At(2*time.Second, func() { r.Pause(3*time.Second, r.do) })
	r.call(&s, 3*time.Second, "first")
	r.call(&s, 4*time.Second, "second")
	s.At(4*time.Second, func() {
		if !r.Paused() || r.ResumesAt() != 5*time.Second {
			t.Errorf("paused %v, to resume at %v", r.Paused(), r.ResumesAt())
		}
	})
	r.call(&s, 6*time.Second, "after")
	play(&s, time.Minute)
	if want := []string{"before 1s", "first 5s", "second 5s", "after 6s"}; !slices.Equal(r.done, want) {
		t.Errorf("calls happen as %q, want %q", r.done, want)
	}
}

// A second pause before the end of the first holds what was held, until its own end.
func TestPauseWhilePaused(t *testing.T) {
	var s Scheduler
	r := receiver{Process: NewProcess(&s)}
	r.Start()
	s.At(time.Second, func() { r.Pause(2*time.Second, r.do) })
	s.At(2*time.Second, func() { r.Pause(3*time.Second, r.do) })
	r.call(&s, 2500*time.Millisecond, "call")
	play(&s, time.Minute)
	if want := []string{"call 5s"}; !slices.Equal(r.done, want) {
		t.Errorf("calls happen as %q, want %q", r.done, want)
	}
}

// What is held is lost when the process ends, and a new life is not paused.
func TestEndLosesHeldCalls(t *testing.T) {
	var s Scheduler
	r := receiver{Process: NewProcess(&s)}
	r.Start()
	first := r.Incarnation()
	s.At(time.Second, func() { r.Pause(10*time.Second, r.do) })
	r.call(&s, 2*time.Second, "lost")
	s.At(3*time.Second, r.Stop)
	s.At(4*time.Second, func() {
		if r.Start(); r.Paused() || r.Incarnation() == first {
			t.Errorf("life %d after %d, paused %v", r.Incarnation(), first, r.Paused())
		}
	})
	r.call(&s, 5*time.Second, "kept")
	play(&s, time.Minute)
	if want := []string{"kept 5s"}; !slices.Equal(r.done, want) {
		t.Errorf("calls happen as %q, want %q", r.done, want)
	}
}

// No more calls wait than the bound.
func TestHeldCallsAreBounded(t *testing.T) {
	var s Scheduler
	r := receiver{Process: NewProcess(&s)}
	r.Start()
	r.Pause(time.Second, r.do)
	for i := range mostHeld + 10 {
		r.do(func() { r.done = append(r.done, fmt.Sprint(i)) })
	}
	play(&s, time.Minute)
	if len(r.done) != mostHeld || r.done[mostHeld-1] != fmt.Sprint(mostHeld-1) {
		t.Errorf("%d calls happen, want the first %d", len(r.done), mostHeld)
	}
}
