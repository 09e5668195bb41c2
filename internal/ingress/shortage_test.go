package ingress

import (
	"testing"
	"time"
)

// Guards against admission places withdrawn because of a shortage that others cause, and against missing one that
// the process itself causes.
func TestShortageIsOwnIfManyConnectionsAreHeldOrItLasts(t *testing.T) {
	s := shortage{halfLimit: 100}
	for now := time.Second; now < time.Second+transientShortage; now += 50 * time.Millisecond {
		if s.recordFailure(now, 10) {
			t.Errorf("after %v with few connections held, the shortage counts as the process's own", now-time.Second)
		}
	}
	if !s.recordFailure(time.Second+transientShortage, 10) {
		t.Error("a shortage that lasts does not count as the process's own")
	}
	if s.recordSuccess(10) || !s.recordSuccess(11) {
		t.Error("the shortage must be over once more connections are held than at the failure, and not before")
	}
	if s.recordFailure(time.Minute, 99) || !s.recordFailure(time.Minute, 100) {
		t.Error("half of the descriptors held must make the shortage the process's own, and no fewer")
	}
	first := s.trialAt
	if s.trialDue(first-1) || !s.trialDue(first) {
		t.Error("the trial must be due at its time, and not before")
	}
	s.recordFailure(time.Minute, 100)
	if s.trialAt-time.Minute != 2*(first-time.Minute) {
		t.Errorf("the second trial interval is %v, want twice the first one of %v", s.trialAt-time.Minute, first-time.Minute)
	}
	for range 20 {
		s.recordFailure(time.Minute, 100)
	}
	if s.trialAt-time.Minute != maxTrialInterval {
		t.Errorf("the trial interval grows to %v, want %v", s.trialAt-time.Minute, maxTrialInterval)
	}
}

// Guards against requests that wait for ten seconds in the listener's queue: while accepts failed for want of
// descriptors, each one that took the place of a closed connection counted as the end of the shortage.
func TestAcceptInThePlaceOfAClosedConnectionDoesNotEndAShortage(t *testing.T) {
	s := shortage{halfLimit: 100}
	end := time.Second + transientShortage
	for now := time.Second; now < end; now += 50 * time.Millisecond {
		if s.recordFailure(now, 10) || s.recordSuccess(10) {
			t.Errorf("after %v the shortage counts as the process's own, or as over", now-time.Second)
		}
	}
	if !s.recordFailure(end, 10) {
		t.Error("a shortage that lasts does not count as the process's own if connections are replaced meanwhile")
	}
	s = shortage{halfLimit: 100}
	for now := time.Second; now <= end; now += 50 * time.Millisecond { // one more could be held each time
		if s.recordFailure(now, 10); !s.recordSuccess(11) {
			t.Error("the shortage is not over once more connections are held than at the failure")
		}
	}
	if s.recordFailure(end+50*time.Millisecond, 10) {
		t.Error("failures that each end count as one shortage")
	}
}
