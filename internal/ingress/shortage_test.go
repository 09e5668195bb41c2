package ingress

import (
	"testing"
	"time"
)

// Guards against places taken away for a shortage of others, and against a real one that is overlooked.
func TestShortageIsTheProcesssOwnWhereItHoldsMuchOrItLasts(t *testing.T) {
	s := shortage{halfLimit: 100}
	for now := time.Second; now < time.Second+transientShortage; now += 50 * time.Millisecond {
		if s.recordFailure(now, 10) {
			t.Errorf("after %v with little held it counts as its own", now-time.Second)
		}
	}
	if !s.recordFailure(time.Second+transientShortage, 10) {
		t.Error("one that lasts does not count as its own")
	}
	if s.recordSuccess(10) || !s.recordSuccess(11) {
		t.Error("it is over when more are held than at the failure, and not before")
	}
	if s.recordFailure(time.Minute, 99) || !s.recordFailure(time.Minute, 100) {
		t.Error("half of the descriptors make it its own, and no less")
	}
	first := s.trialAt
	if s.trialDue(first-1) || !s.trialDue(first) {
		t.Error("the trial is not due at its time")
	}
	s.recordFailure(time.Minute, 100)
	if s.trialAt-time.Minute != 2*(first-time.Minute) {
		t.Errorf("the second pause is %v, behind %v", s.trialAt-time.Minute, first-time.Minute)
	}
	for range 20 {
		s.recordFailure(time.Minute, 100)
	}
	if s.trialAt-time.Minute != maxTrialInterval {
		t.Errorf("the pause grows to %v, want %v", s.trialAt-time.Minute, maxTrialInterval)
	}
}
