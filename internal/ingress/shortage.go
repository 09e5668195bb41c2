package ingress

import "time"

const (
	// transientShortage is how long a shortage may last before it counts as caused by this process, however few
	// connections it holds.
	transientShortage = 500 * time.Millisecond
	minTrialInterval  = 5 * time.Millisecond  // first interval between checks whether descriptors are still short
	maxTrialInterval  = 80 * time.Millisecond // upper bound of that interval, which doubles
)

// shortage evaluates failures for lack of descriptors or memory: whether the connections that the process itself
// holds cause the shortage, and whether it is over.
type shortage struct {
	halfLimit     int           // half of the descriptors that the process may hold
	failingSince  time.Duration // when accepts or dials began to fail; 0 once one more connection could be held
	lastFailure   time.Duration // when the last one failed
	heldAtLast    int           // connections held then
	heldAtFailure int           // connections held at the last shortage that the process caused
	trialAt       time.Duration // no trial before then
	trialInterval time.Duration // between trials
}

// recordFailure records a failure while so many connections are held. It reports whether these may be the cause:
// they are many, or the shortage lasts.
func (s *shortage) recordFailure(now time.Duration, held int) bool {
	if s.failingSince == 0 || now-s.lastFailure > transientShortage/2 {
		s.failingSince = now
	}
	s.lastFailure, s.heldAtLast = now, held
	if held < s.halfLimit && now-s.failingSince < transientShortage {
		return false
	}
	s.heldAtFailure = held
	s.trialInterval = min(max(minTrialInterval, 2*s.trialInterval), maxTrialInterval)
	s.trialAt = now + s.trialInterval
	return true
}

// trialDue reports whether to try one connection beyond the places that a shortage has left: only a trial shows
// whether the shortage lasts.
func (s *shortage) trialDue(now time.Duration) bool { return now >= s.trialAt }

// recordSuccess records a successful accept. It reports whether the number of connections held now shows that they
// did not cause the shortage: it is higher than at the failure. An accept in the place of a connection that was closed
// says nothing on that.
func (s *shortage) recordSuccess(held int) bool {
	if held <= s.heldAtLast {
		return false
	}
	s.failingSince = 0
	if held <= s.heldAtFailure {
		return false
	}
	s.trialAt, s.trialInterval = 0, 0
	return true
}

// postponeTrial delays the next trial by the interval between trials.
func (s *shortage) postponeTrial(now time.Duration) { s.trialAt = now + s.trialInterval }
