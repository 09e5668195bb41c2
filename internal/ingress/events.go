package ingress

import (
	"fmt"
	"log/slog"

	"wickarch/choice"
	"wickarch/internal/lifecycle"
	"wickarch/internal/upstream"
)

// closeReason is why a client connection was shut down or closed.
type closeReason uint8

const (
	closedByClient          closeReason = iota // the client closed its side, or the connection broke
	closedReadFailed                           // read error
	closedWriteFailed                          // write error
	closedSlowReader                           // the client did not read its answers in time
	closedUnreadAnswers                        // unread answers, of this client or of all, used too much memory
	closedMalformed                            // protocol error
	closedInvalidCommands                      // too many invalid commands
	closedNoCommand                            // no command arrived in time
	closedIncompleteCommand                    // the rest of a command did not arrive in time
	closedIdle                                 // idle, and its place was needed
	closedDraining                             // the ingress is draining and no request is open on the connection
	closedShutdown                             // the process is shutting down
	closedValueTruncated                       // a large value was truncated while it was being streamed
	closedLingerExpired                        // the ingress had shut it down before, and the linger time is over
	closeReasons
)

var closeReasonNames = [closeReasons]string{"client", "read-failed", "write-failed", "slow-reader", "unread", "malformed", "wrong", "silent",
	"half", "idle", "draining", "finished", "value-broken", "ended"}

func (r closeReason) String() string { return closeReasonNames[r] }

// allowsOpenRequests reports whether a connection may be closed for this reason while requests are open on it.
func (r closeReason) allowsOpenRequests() bool {
	switch r {
	case closedByClient, closedReadFailed, closedWriteFailed, closedSlowReader, closedUnreadAnswers, closedValueTruncated:
		return true
	}
	return false
}

var kindNames = [...]string{served: "served", refused: "refused", failed: "failed", duplicate: "known"}

func (k outcomeKind) String() string { return kindNames[k] }

// eventLog counts closed connections and ended attempts by reason, and failed system calls.
// With details set it also logs each of these and the result of each request.
type eventLog struct {
	connectionCloses [closeReasons]uint64
	attemptEnds      [upstream.NumCauses]uint64
	retries          uint64
	acceptsFailed    uint64
	watchesFailed    uint64
	memoryRefusals   uint64 // commands refused for want of memory
	lateRefusals     uint64 // requests refused because they arrived after Finish
	violations       lifecycle.Counts
	details          *slog.Logger // nil: count only
}

// requestAccepted records a request that has been read completely.
func (e *eventLog) requestAccepted(c *client, r *request) {
	if e.details != nil {
		e.details.Info("request accepted", "request", fmt.Sprintf("%016x", r.requestID), "connection", c.number, "class", r.class,
			"read_at", c.readAt, "deadline", r.deadline)
	}
}

// attemptStarted records the start of an attempt.
func (e *eventLog) attemptStarted(r *request, a *upstream.Attempt) {
	if a.Number > 0 {
		e.retries++
	}
	if e.details != nil {
		e.details.Info("attempt started", "request", fmt.Sprintf("%016x", r.requestID), "attempt", a.Number, "backend", a.Backend,
			"deadline", a.Deadline)
	}
}

// attemptEnded records the end of an attempt.
func (e *eventLog) attemptEnded(r *request, a *upstream.Attempt, reply upstream.Reply) {
	e.attemptEnds[reply.Cause]++
	if e.details != nil {
		e.details.Info("attempt ended", "request", fmt.Sprintf("%016x", r.requestID), "attempt", a.Number, "backend", a.Backend,
			"status", statusName(reply.Status), "cause", reply.Cause, "error", reply.Err, "over", r.state.Finished())
	}
}

// requestAnswered records the final answer of a request.
func (e *eventLog) requestAnswered(r *request, k outcomeKind) {
	if e.details != nil {
		e.details.Info("request answered", "request", fmt.Sprintf("%016x", r.requestID), "kind", k, "attempts", len(r.attempts))
	}
}

// requestAbandoned records a request whose client has disconnected.
func (e *eventLog) requestAbandoned(r *request) {
	if e.details != nil {
		e.details.Info("request abandoned", "request", fmt.Sprintf("%016x", r.requestID), "attempts", len(r.attempts),
			"out", r.state.InFlight())
	}
}

// connectionClosed records the end of a client connection and what was open on it.
func (e *eventLog) connectionClosed(c *client, why closeReason, err error) {
	e.connectionCloses[why]++
	if e.details != nil {
		e.details.Info("connection closed", "connection", c.number, "reason", why, "error", err, "pending", c.pending,
			"half", len(c.partial), "unread", c.replyBytes, "stalled", c.stallEntry != nil, "progress_at", c.progressAt)
	}
}

// connectionAccepted records an accepted connection.
func (e *eventLog) connectionAccepted(c *client) {
	if e.details != nil {
		e.details.Info("connection accepted", "connection", c.number)
	}
}

// acceptFailed records a failed accept call.
func (e *eventLog) acceptFailed(err error) {
	e.acceptsFailed++
	if e.details != nil {
		e.details.Info("accept failed", "error", err)
	}
}

// watchFailed records that a connection could not be added to the poller.
func (e *eventLog) watchFailed(c *client, err error) {
	e.watchesFailed++
	if e.details != nil {
		e.details.Info("adding a connection to the poller failed", "connection", c.number, "error", err)
	}
}

// shutdownPhase records a step of the process's shutdown.
func (e *eventLog) shutdownPhase(name string) {
	if e.details != nil {
		e.details.Info("phase", "name", name)
	}
}

// append appends the counts, one line per group.
func (e *eventLog) append(b []byte) []byte {
	b = append(b, "closed"...)
	for why, n := range e.connectionCloses {
		b = fmt.Appendf(b, " %s=%d", closeReason(why), n)
	}
	b = append(b, "\nended"...)
	for cause, n := range e.attemptEnds {
		b = fmt.Appendf(b, " %s=%d", upstream.Cause(cause), n)
	}
	b = append(b, "\nviolations"...)
	for v, n := range e.violations {
		if v := lifecycle.Violation(v); v != lifecycle.None {
			b = fmt.Appendf(b, " %s=%d", v, n)
		}
	}
	return fmt.Appendf(b, "\nretries=%d accepts-failed=%d watches-failed=%d memory-refusals=%d late-refusals=%d\n", e.retries, e.acceptsFailed,
		e.watchesFailed, e.memoryRefusals, e.lateRefusals)
}

// statusName returns the name of an attempt's status.
func statusName(s choice.Status) string {
	return [...]string{"ok", "error", "refused", "timeout", "connect-failed", "reset", "cancelled", "moot"}[s]
}
