// Package lifecycle holds the one rule on what may be done with a request that an ingress has taken,
// and with the connection that it came on: whether an attempt may begin or be written now, whether it may
// be a repeat, which final answer may be given, whether the connection may be closed.
//
// What to do is decided elsewhere (package choice). Each step is put to this package before it is taken;
// one that breaks the rule is not taken, and is counted. It has no I/O and reads no clock.
package lifecycle

import "time"

// Idempotency tells what a second run of a request would do.
type Idempotency uint8

// The kinds of request.
const (
	Idempotent    Idempotency = iota // no harm
	Deduplicated                     // no harm where and while the backends drop repeats
	NonIdempotent                    // harm
)

// Rules are those of one class of requests.
type Rules struct {
	Idempotency         Idempotency
	DedupWindow         time.Duration // RunsOnceAway: how long after the first attempt a repeat may be written
	DedupAcrossBackends bool          // RunsOnceAway: every backend drops repeats, so that clients may repeat as well
	MaxInFlight         int           // attempts at once
	MaxAttempts         int           // attempts
}

type state uint8

const (
	open      state = iota // owed a final answer
	answered               // has it
	abandoned              // its client has gone: owed nothing
)

// heldUp is how long a process may stand still between two looks at its clock.
const heldUp = 150 * time.Millisecond

// Request is one request that was taken, to the end of its last attempt. The zero Request is open.
type Request struct {
	Rules    *Rules
	Deadline time.Duration // until then it waits for attempts

	state      state
	begun      uint8 // attempts
	out        uint8 // of these, not ended
	mayHaveRun bool
	first      time.Duration // when the first attempt began
}

// Finished tells whether it is owed nothing any more.
func (r *Request) Finished() bool { return r.state != open }

// InFlight is how many of its attempts have not ended.
func (r *Request) InFlight() int { return int(r.out) }

// BeginAttempt is asked before an attempt begins.
func (r *Request) BeginAttempt(now time.Duration) Violation {
	switch {
	case r.state != open:
		return BeginAfterEnd
	case now >= r.Deadline+heldUp:
		return BeginAfterDeadline
	case int(r.out) >= r.Rules.MaxInFlight:
		return BeginBeside
	case int(r.begun) >= r.Rules.MaxAttempts:
		return BeginTooMany
	case r.mayHaveRun && !r.repeatable(now):
		return RepeatMayRunTwice
	}
	if r.begun == 0 {
		r.first = now
	}
	r.begun++
	r.out++
	return None
}

// CheckWrite is asked before the first byte of an attempt is written.
func (r *Request) CheckWrite(now time.Duration) Violation {
	switch {
	case r.state != open:
		return WriteAfterEnd
	case r.mayHaveRun && !r.repeatable(now):
		return RepeatMayRunTwice
	}
	return None
}

// repeatable tells whether a further run does no harm.
func (r *Request) repeatable(now time.Duration) bool {
	switch r.Rules.Idempotency {
	case Idempotent:
		return true
	case Deduplicated:
		return now < r.first+r.Rules.DedupWindow
	}
	return false
}

// AttemptEnded notes the end of an attempt, and whether it may have run.
func (r *Request) AttemptEnded(mayHaveRun bool) {
	r.out--
	r.mayHaveRun = r.mayHaveRun || mayHaveRun
}

// Answer is asked before a final answer is given. A second one is none, and no violation: of two attempts
// the later one's outcome comes to nothing.
func (r *Request) Answer(refusal bool) (give bool, v Violation) {
	if r.state != open {
		return false, None
	}
	r.state = answered
	if refusal && (r.mayHaveRun || r.out > 0) && !r.harmless() {
		return true, RefuseMayHaveRun
	}
	return true, None
}

// harmless tells whether a client may repeat it though it may have run.
func (r *Request) harmless() bool {
	return r.Rules.Idempotency == Idempotent || r.Rules.Idempotency == Deduplicated && r.Rules.DedupAcrossBackends
}

// CheckClose is asked before the ingress closes a connection with so many requests open on it. Their clients
// free them by going away, by a connection that breaks, and by not reading.
func CheckClose(open int, freed bool) Violation {
	if open > 0 && !freed {
		return CloseOverOpen
	}
	return None
}

// CheckExit is asked before the process ends with so many requests open.
func CheckExit(open int) Violation {
	if open > 0 {
		return EndOverOpen
	}
	return None
}

// Abandon notes that its client has gone. It tells whether an answer was still owed.
func (r *Request) Abandon() bool {
	if r.state != open {
		return false
	}
	r.state = abandoned
	return true
}
