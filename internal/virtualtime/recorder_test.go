package virtualtime

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Notes and faults are reported with their times; faults are also kept.
func TestRecorder(t *testing.T) {
	var s Scheduler
	var reported []string
	r := NewRecorder(&s, func(at time.Duration, text string) { reported = append(reported, fmt.Sprint(at, " ", text)) })
	s.At(1500*time.Millisecond, func() { r.Note("%d begins", 1) })
	s.At(2*time.Second, func() { r.Fault("%d is lost", 2) })
	play(&s, time.Minute)
	if want := []string{"1.5s 1 begins", "2s FAULT     2.000 s: 2 is lost"}; !slices.Equal(reported, want) {
		t.Errorf("reported %q, want %q", reported, want)
	}
	if want := []string{"    2.000 s: 2 is lost"}; !slices.Equal(r.Faults(), want) {
		t.Errorf("faults %q, want %q", r.Faults(), want)
	}
}

// Without a report function the first MaxFaults faults are still kept.
func TestRecorderKeepsFirstFaults(t *testing.T) {
	var s Scheduler
	r := NewRecorder(&s, nil)
	r.Note("not reported")
	for i := range MaxFaults + 5 {
		r.Fault("%d", i)
	}
	if list := r.Faults(); len(list) != MaxFaults || list[0] != "    0.000 s: 0" {
		t.Errorf("%d faults are kept, from %q on; want MaxFaults, from the first on", len(list), list[:1])
	}
}
