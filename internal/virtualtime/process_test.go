package virtualtime

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// receiver is a process that records the calls that it runs.
type receiver struct {
	Process
	done []string
}

// do runs a call, or holds it while paused.
func (r *receiver) do(call func()) {
	if !r.HoldIfPaused(call) {
		call()
	}
}

// call schedules a call to the process.
func (r *receiver) call(s *Scheduler, at time.Duration, name string) {
	s.At(at, func() {
		r.do(func() { r.done = append(r.done, fmt.Sprint(name, " ", s.Now())) })
	})
}

// Calls during a pause run at its end, in order of arrival; others run immediately.
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
		t.Errorf("calls run as %q, want %q", r.done, want)
	}
}

// A second pause that starts during the first keeps holding the calls until its own end.
func TestPauseWhilePaused(t *testing.T) {
	var s Scheduler
	r := receiver{Process: NewProcess(&s)}
	r.Start()
	s.At(time.Second, func() { r.Pause(2*time.Second, r.do) })
	s.At(2*time.Second, func() { r.Pause(3*time.Second, r.do) })
	r.call(&s, 2500*time.Millisecond, "call")
	play(&s, time.Minute)
	if want := []string{"call 5s"}; !slices.Equal(r.done, want) {
		t.Errorf("calls run as %q, want %q", r.done, want)
	}
}

// Held calls are lost when the process stops, and the next incarnation is not paused.
func TestStopLosesHeldCalls(t *testing.T) {
	var s Scheduler
	r := receiver{Process: NewProcess(&s)}
	r.Start()
	first := r.Incarnation()
	s.At(time.Second, func() { r.Pause(10*time.Second, r.do) })
	r.call(&s, 2*time.Second, "lost")
	s.At(3*time.Second, r.Stop)
	s.At(4*time.Second, func() {
		if r.Start(); r.Paused() || r.Incarnation() == first {
			t.Errorf("incarnation %d after %d, paused %v; want a new one, not paused", r.Incarnation(), first, r.Paused())
		}
	})
	r.call(&s, 5*time.Second, "kept")
	play(&s, time.Minute)
	if want := []string{"kept 5s"}; !slices.Equal(r.done, want) {
		t.Errorf("calls run as %q, want %q", r.done, want)
	}
}

// A paused process holds at most maxHeld calls, the first ones.
func TestHeldCallsAreBounded(t *testing.T) {
	var s Scheduler
	r := receiver{Process: NewProcess(&s)}
	r.Start()
	r.Pause(time.Second, r.do)
	for i := range maxHeld + 10 {
		r.do(func() { r.done = append(r.done, fmt.Sprint(i)) })
	}
	play(&s, time.Minute)
	if len(r.done) != maxHeld || r.done[maxHeld-1] != fmt.Sprint(maxHeld-1) {
		t.Errorf("%d calls run, want the first %d", len(r.done), maxHeld)
	}
}
