package ingress

import (
	"testing"
	"time"
)

// Guards against places taken away for a shortage of others, and against a real one that is overlooked.
func TestShortageIsTheProcesssOwnWhereItHoldsMuchOrItLasts(t *testing.T) {
	s := shortage{half: 100}
	for now := time.Second; now < time.Second+passingShortage; now += 50 * time.Millisecond {
		if s.own(now, 10) {
			t.Errorf("after %v with little held it counts as its own", now-time.Second)
		}
	}
	if !s.own(time.Second+passingShortage, 10) {
		t.Error("one that lasts does not count as its own")
	}
	if s.over(10) || !s.over(11) {
		t.Error("it is over when more are held than at the failure, and not before")
	}
	if s.own(time.Minute, 99) || !s.own(time.Minute, 100) {
		t.Error("half of the descriptors make it its own, and no less")
	}
	first := s.trialAt
	if s.due(first-1) || !s.due(first) {
		t.Error("the trial is not due at its time")
	}
	s.own(time.Minute, 100)
	if s.trialAt-time.Minute != 2*(first-time.Minute) {
		t.Errorf("the second pause is %v, behind %v", s.trialAt-time.Minute, first-time.Minute)
	}
	for range 20 {
		s.own(time.Minute, 100)
	}
	if s.trialAt-time.Minute != trialMost {
		t.Errorf("the pause grows to %v, want %v", s.trialAt-time.Minute, trialMost)
	}
}
