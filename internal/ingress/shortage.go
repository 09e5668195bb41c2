package ingress

import "time"

const (
	// passingShortage is how long a shortage may last that the process has no part in.
	passingShortage = 500 * time.Millisecond
	trialLeast      = 5 * time.Millisecond  // between two looks whether descriptors are short still
	trialMost       = 80 * time.Millisecond // the same, at most: the time doubles
)

// shortage judges failures for want of descriptors or memory: whether what the process itself holds is
// short, and whether it is over.
type shortage struct {
	half    int           // of the descriptors that the process may hold
	since   time.Duration // since when no connection was to be had; 0 when one was
	last    time.Duration // when one was last missed
	held    int           // connections held at the last shortage of its own
	trialAt time.Duration // not tried again before then
	pause   time.Duration // how long that waits
}

// own notes a failure with so many connections held. It tells whether it may be these that are too many: they are
// many, or the shortage lasts.
func (s *shortage) own(now time.Duration, held int) bool {
	if s.since == 0 || now-s.last > passingShortage/2 {
		s.since = now
	}
	s.last = now
	if held < s.half && now-s.since < passingShortage {
		return false
	}
	s.held = held
	s.pause = min(max(trialLeast, 2*s.pause), trialMost)
	s.trialAt = now + s.pause
	return true
}

// due tells whether a connection is to be tried beyond what a shortage has left: only that shows whether
// it lasts.
func (s *shortage) due(now time.Duration) bool { return now >= s.trialAt }

// over notes a connection that was had. It tells whether so many held now show that the shortage was none of
// the process's own: more than when it failed.
func (s *shortage) over(held int) bool {
	s.since = 0
	if held <= s.held {
		return false
	}
	s.trialAt, s.pause = 0, 0
	return true
}

// postpone puts the next trial off.
func (s *shortage) postpone(now time.Duration) { s.trialAt = now + s.pause }
