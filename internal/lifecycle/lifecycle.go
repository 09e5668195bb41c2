// Package lifecycle is a state machine of one request, and holds the invariants of request handling in one
// place: whether an attempt may begin or be written now, whether it may be a retry, which final answer may
// be given, and whether the client's connection may be closed.
//
// Package choice decides what to do. The caller checks each step here before it takes it; a step that
// violates an invariant is not taken, and is counted. The package has no I/O and reads no clock.
package lifecycle

import "time"

// Idempotency is the effect of running a request twice.
type Idempotency uint8

// The kinds of request.
const (
	Idempotent    Idempotency = iota // a second run does no harm
	Deduplicated                     // harmless while, and at those backends where, repeats are dropped
	NonIdempotent                    // a second run does harm
)

// Rules hold for one class of requests.
type Rules struct {
	Idempotency         Idempotency
	DedupWindow         time.Duration // Deduplicated: time from the first attempt in which a retry may be written
	DedupAcrossBackends bool          // Deduplicated: all backends drop repeats, so clients may retry as well
	MaxInFlight         int           // attempts at the same time
	MaxAttempts         int           // attempts in total
}

type state uint8

const (
	open      state = iota // no final answer given yet
	answered               // final answer given
	abandoned              // client disconnected: no answer is owed
)

// maxProcessStall is how long the process may be suspended between two readings of its clock: an attempt
// that was decided before the deadline may begin this much after it.
const maxProcessStall = 150 * time.Millisecond

// Request is the state of one accepted request until its last attempt has ended. The zero state is open.
type Request struct {
	Rules    *Rules
	Deadline time.Duration // no attempt is waited for after it

	state          state
	attempts       uint8 // begun
	inFlight       uint8 // begun and not ended
	mayHaveRun     bool  // some ended attempt may have run
	firstAttemptAt time.Duration
}

// Finished reports whether no answer is owed any more: the request was answered or abandoned.
func (r *Request) Finished() bool { return r.state != open }

// InFlight returns the number of attempts that have not ended.
func (r *Request) InFlight() int { return int(r.inFlight) }

// MayHaveRun reports whether an attempt that has ended may have run.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun }

// BeginAttempt checks whether an attempt may begin, and registers it if so.
func (r *Request) BeginAttempt(now time.Duration) Violation {
	switch {
	case r.state != open:
		return BeginAfterEnd
	case now >= r.Deadline+maxProcessStall:
		return BeginAfterDeadline
	case int(r.inFlight) >= r.Rules.MaxInFlight:
		return BeginBeside
	case int(r.attempts) >= r.Rules.MaxAttempts:
		return BeginTooMany
	case r.mayHaveRun && !r.mayRunAgain(now):
		return RepeatMayRunTwice
	}
	if r.attempts == 0 {
		r.firstAttemptAt = now
	}
	r.attempts++
	r.inFlight++
	return None
}

// CheckWrite checks whether the first byte of an attempt may be written.
func (r *Request) CheckWrite(now time.Duration) Violation {
	switch {
	case r.state != open:
		return WriteAfterEnd
	case r.mayHaveRun && !r.mayRunAgain(now):
		return RepeatMayRunTwice
	}
	return None
}

// mayRunAgain reports whether another run is harmless at this time.
func (r *Request) mayRunAgain(now time.Duration) bool {
	switch r.Rules.Idempotency {
	case Idempotent:
		return true
	case Deduplicated:
		return now < r.firstAttemptAt+r.Rules.DedupWindow
	}
	return false
}

// AttemptEnded records the end of an attempt and whether it may have run.
func (r *Request) AttemptEnded(mayHaveRun bool) {
	r.inFlight--
	r.mayHaveRun = r.mayHaveRun || mayHaveRun
}

// Answer checks whether the final answer may be given now. give is false if the request has its answer
// already or was abandoned; that is no violation: the later outcome of two attempts is dropped.
func (r *Request) Answer(refusal bool) (give bool, v Violation) {
	if r.state != open {
		return false, None
	}
	r.state = answered
	if refusal && (r.mayHaveRun || r.inFlight > 0) && !r.clientMayRetry() {
		return true, RefuseMayHaveRun
	}
	return true, None
}

// clientMayRetry reports whether a client may retry the request although it may have run.
func (r *Request) clientMayRetry() bool {
	return r.Rules.Idempotency == Idempotent || r.Rules.Idempotency == Deduplicated && r.Rules.DedupAcrossBackends
}

// CheckClose checks whether the ingress may close a connection that has this many open requests. released
// means that the client no longer expects answers: it disconnected, the connection broke, or the client
// does not read.
func CheckClose(open int, released bool) Violation {
	if open > 0 && !released {
		return CloseOverOpen
	}
	return None
}

// CheckExit checks whether the process may exit with this many open requests.
func CheckExit(open int) Violation {
	if open > 0 {
		return EndOverOpen
	}
	return None
}

// Abandon records that the client has disconnected. It reports whether an answer was still owed.
func (r *Request) Abandon() bool {
	if r.state != open {
		return false
	}
	r.state = abandoned
	return true
}
