package ingress

import "time"

const (
	// transientShortage is how long a shortage may last that the process has no part in.
	transientShortage = 500 * time.Millisecond
	minTrialInterval  = 5 * time.Millisecond  // between two looks whether descriptors are short still
	maxTrialInterval  = 80 * time.Millisecond // the same, at most: the time doubles
)

// shortage judges failures for want of descriptors or memory: whether what the process itself holds is
// short, and whether it is over.
type shortage struct {
	halfLimit     int           // of the descriptors that the process may hold
	failingSince  time.Duration // since when no connection was to be had; 0 when one was
	lastFailure   time.Duration // when one was last missed
	heldAtFailure int           // connections held at the last shortage of its own
	trialAt       time.Duration // not tried again before then
	trialInterval time.Duration // how long that waits
}

// recordFailure notes a failure with so many connections held. It tells whether it may be these that are too many: they are
// many, or the shortage lasts.
func (s *shortage) recordFailure(now time.Duration, held int) bool {
	if s.failingSince == 0 || now-s.lastFailure > transientShortage/2 {
		s.failingSince = now
	}
	s.lastFailure = now
	if held < s.halfLimit && now-s.failingSince < transientShortage {
		return false
	}
	s.heldAtFailure = held
	s.trialInterval = min(max(minTrialInterval, 2*s.trialInterval), maxTrialInterval)
	s.trialAt = now + s.trialInterval
	return true
}

// trialDue tells whether a connection is to be tried beyond what a shortage has left: only that shows whether
// it lasts.
func (s *shortage) trialDue(now time.Duration) bool { return now >= s.trialAt }

// recordSuccess notes a connection that was had. It tells whether so many held now show that the shortage was none of
// the process's own: more than when it failed.
func (s *shortage) recordSuccess(held int) bool {
	s.failingSince = 0
	if held <= s.heldAtFailure {
		return false
	}
	s.trialAt, s.trialInterval = 0, 0
	return true
}

// postponeTrial puts the next trial off.
func (s *shortage) postponeTrial(now time.Duration) { s.trialAt = now + s.trialInterval }
