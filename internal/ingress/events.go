package ingress

import (
	"fmt"
	"log/slog"

	"wickarch/choice"
	"wickarch/internal/lifecycle"
	"wickarch/internal/upstream"
)

// closeReason tells why a client's connection was ended or closed.
type closeReason uint8

const (
	closedByClient          closeReason = iota // it ended its side, or the connection broke
	closedReadFailed                           // the system could not read from it
	closedWriteFailed                          // the system could not write to it
	closedSlowReader                           // it did not read its answers in time
	closedUnreadAnswers                        // its answers, or those of all, took too much memory
	closedMalformed                            // what it sent can't be read
	closedInvalidCommands                      // it sent too many wrong commands
	closedNoCommand                            // no command came in time
	closedIncompleteCommand                    // half a command came and no more
	closedNoMemory                             // no memory was left for its command
	closedIdle                                 // it was idle and its place was wanted
	closedDraining                             // the ingress drains and nothing is open on it
	closedShutdown                             // the process ends
	closedValueTruncated                       // a large value broke off on its way
	closedLingerExpired                        // it had been ended by us, and its time to read on is over
	closeReasons
)

var closeReasonNames = [closeReasons]string{"client", "read-failed", "write-failed", "slow-reader", "unread", "malformed", "wrong", "silent",
	"half", "no-memory", "idle", "draining", "finished", "value-broken", "ended"}

func (r closeReason) String() string { return closeReasonNames[r] }

// allowsOpenRequests tells whether the reason allowsOpenRequests the ingress of the requests that are open on the connection.
func (r closeReason) allowsOpenRequests() bool {
	switch r {
	case closedByClient, closedReadFailed, closedWriteFailed, closedSlowReader, closedUnreadAnswers, closedValueTruncated:
		return true
	}
	return false
}

var kindNames = [...]string{served: "served", refused: "refused", failed: "failed", duplicate: "known"}

func (k outcomeKind) String() string { return kindNames[k] }

// eventLog counts why connections were closed, attempts ended and system calls failed,
// and with details logs each of these and what became of each request.
type eventLog struct {
	closes        [closeReasons]uint64
	ends          [upstream.NumCauses]uint64
	retries       uint64
	acceptsFailed uint64
	watchesFailed uint64
	violations    lifecycle.Counts
	details       *slog.Logger // nil: counts alone
}

// requestAccepted notes a request that was read whole.
func (e *eventLog) requestAccepted(c *client, r *request) {
	if e.details != nil {
		e.details.Info("request taken", "request", fmt.Sprintf("%016x", r.requestID), "connection", c.number, "class", r.class,
			"read_at", c.readAt, "deadline", r.deadline)
	}
}

// attemptStarted notes an attempt that begins.
func (e *eventLog) attemptStarted(r *request, a *upstream.Attempt) {
	if a.Number > 0 {
		e.retries++
	}
	if e.details != nil {
		e.details.Info("attempt begins", "request", fmt.Sprintf("%016x", r.requestID), "attempt", a.Number, "backend", a.Backend, "deadline", a.Deadline)
	}
}

// attemptEnded notes the end of an attempt.
func (e *eventLog) attemptEnded(r *request, a *upstream.Attempt, reply upstream.Reply) {
	e.ends[reply.Cause]++
	if e.details != nil {
		e.details.Info("attempt ended", "request", fmt.Sprintf("%016x", r.requestID), "attempt", a.Number, "backend", a.Backend,
			"status", statusName(reply.Status), "cause", reply.Cause, "error", reply.Err, "over", r.state.Finished())
	}
}

// requestAnswered notes the final answer of a request.
func (e *eventLog) requestAnswered(r *request, k outcomeKind) {
	if e.details != nil {
		e.details.Info("request answered", "request", fmt.Sprintf("%016x", r.requestID), "kind", k, "attempts", len(r.attempts))
	}
}

// requestAbandoned notes a request whose client's connection has gone.
func (e *eventLog) requestAbandoned(r *request) {
	if e.details != nil {
		e.details.Info("request abandoned", "request", fmt.Sprintf("%016x", r.requestID), "attempts", len(r.attempts), "out", r.state.InFlight())
	}
}

// connectionClosed notes the end of a client's connection, and what was open on it.
func (e *eventLog) connectionClosed(c *client, why closeReason, err error) {
	e.closes[why]++
	if e.details != nil {
		e.details.Info("connection closed", "connection", c.number, "reason", why, "error", err, "pending", c.pending, "half", len(c.partial),
			"unread", c.replyBytes)
	}
}

// connectionAccepted notes a connection that was accepted.
func (e *eventLog) connectionAccepted(c *client) {
	if e.details != nil {
		e.details.Info("connection accepted", "connection", c.number)
	}
}

// acceptFailed notes that the system gave no connection.
func (e *eventLog) acceptFailed(err error) {
	e.acceptsFailed++
	if e.details != nil {
		e.details.Info("accept failed", "error", err)
	}
}

// watchFailed notes that the poller could not take a connection.
func (e *eventLog) watchFailed(c *client, err error) {
	e.watchesFailed++
	if e.details != nil {
		e.details.Info("watch failed", "connection", c.number, "error", err)
	}
}

// shutdownPhase notes a step of the process's end.
func (e *eventLog) shutdownPhase(name string) {
	if e.details != nil {
		e.details.Info("phase", "name", name)
	}
}

// append appends the counts, a line for each kind.
func (e *eventLog) append(b []byte) []byte {
	b = append(b, "closed"...)
	for why, n := range e.closes {
		b = fmt.Appendf(b, " %s=%d", closeReason(why), n)
	}
	b = append(b, "\nended"...)
	for cause, n := range e.ends {
		b = fmt.Appendf(b, " %s=%d", upstream.Cause(cause), n)
	}
	b = append(b, "\nviolations"...)
	for v, n := range e.violations {
		if v := lifecycle.Violation(v); v != lifecycle.None {
			b = fmt.Appendf(b, " %s=%d", v, n)
		}
	}
	return fmt.Appendf(b, "\nretries=%d accepts-failed=%d watches-failed=%d\n", e.retries, e.acceptsFailed, e.watchesFailed)
}

// statusName names the end of an attempt.
func statusName(s choice.Status) string {
	return [...]string{"ok", "error", "refused", "timeout", "connect-failed", "reset", "cancelled", "moot"}[s]
}
