//go:build linux

package soak

import (
	"fmt"
	"slices"
	"time"
)

// The tolerances of the rules for real sockets: each is 50 ms longer than in the simulator (see the protocol page).
const (
	socketSlack     = 50 * time.Millisecond
	disconnectSlack = 100*time.Millisecond + socketSlack // from a client's disconnect to its last attempt
	drainSlack      = 500*time.Millisecond + socketSlack
	timeoutSlack    = 150 * time.Millisecond
	overlapSlack    = 100 * time.Millisecond // until a backend notices the end of a connection
	maxAttempts     = 4
	dedupWindow     = time.Second
	hardLimitSlack  = 150 * time.Millisecond // tolerance, as the units that the hard rate adds in this time
)

// verify checks each request against the rules.
func (r *run) verify() {
	r.record.mu.Lock()
	requests := slices.Clone(r.record.sequence)
	r.record.mu.Unlock()
	r.verifyHardLimit(requests)
	for _, q := range requests {
		r.report.Requests++
		r.report.Outcomes[q.outcome]++
		r.verifyAnswer(q)
		r.verifyAttempts(q)
	}
}

// verifyHardLimit replays the token bucket of the hard rate limit. Each request takes its unit when a backend receives
// its first attempt.
func (r *run) verifyHardLimit(requests []*request) {
	var takenAt []time.Time
	for _, q := range requests {
		if !q.capped || len(q.attempts) == 0 {
			continue
		}
		first := q.attempts[0].receivedAt
		for _, a := range q.attempts {
			if a.receivedAt.Before(first) {
				first = a.receivedAt
			}
		}
		takenAt = append(takenAt, first)
	}
	slices.SortFunc(takenAt, time.Time.Compare)
	level, last := hardBurst, r.startedAt
	for _, at := range takenAt {
		level = min(hardBurst, level+hardRate*at.Sub(last).Seconds()) - 1
		last = at
		if excess := -level - hardTolerance - hardRate*hardLimitSlack.Seconds(); excess > 0 {
			r.addViolation(nil, "hard limit: exceeded by %.1f units at %v", excess, at.Sub(r.startedAt).Round(time.Millisecond))
		}
	}
	r.report.CappedRequests = len(takenAt)
}

// verifyAnswer checks that a request got one final answer in time.
func (r *run) verifyAnswer(q *request) {
	switch {
	case q.sentAt.IsZero(): // it was not written completely
	case q.outcome == invalidAnswer:
		r.addViolation(q, "lost: the answer is not the expected one")
	case q.outcome == truncatedAnswer:
		r.verifyTruncated(q)
	case q.outcome != noAnswer:
		if late := q.answeredAt.Sub(q.sentAt) - q.pipelineTimeout - answerGrace; late > r.maxStall(q.sentAt, q.answeredAt) {
			r.addViolation(q, "lost: the answer was %v too late", late)
		}
	case q.ingress.wasKilled(q):
		r.report.ProcessKilled++
	case !q.connClosedAt.IsZero() && len(q.attempts) > 0:
		r.addViolation(q, "lost: its connection was closed without an answer after it was forwarded")
	case !q.connClosedAt.IsZero() && q.firstOnConn && !q.ingress.wasStopping(q) && !r.cfg.FillDescriptors:
		r.addViolation(q, "lost: a new connection was closed without an answer")
	case !q.connClosedAt.IsZero():
		r.report.ClosedUnread++ // the ingress did not read it: a client would send it again on a new connection
	case !q.clientClosedAt.IsZero() && q.clientClosedAt.Sub(q.sentAt) < q.pipelineTimeout+answerGrace:
		r.report.ClientClosed++
	default:
		r.addViolation(q, "lost: no answer")
	}
}

// verifyTruncated checks that a truncated value was truncated by its backend, by a fault of the connection to it, or by
// its client or the kill of the ingress process.
func (r *run) verifyTruncated(q *request) {
	if !q.clientClosedAt.IsZero() || q.ingress.wasKilled(q) || q.ingress.brokeBackendConns(q.sentAt, q.answeredAt) {
		return
	}
	for _, a := range q.attempts {
		if !a.valueWritten {
			return
		}
	}
	r.addViolation(q, "lost: the value was truncated although its backend had delivered all of it")
}

// verifyAttempts checks the attempts that backends received against the rules.
func (r *run) verifyAttempts(q *request) {
	attempts := slices.Clone(q.attempts)
	slices.SortFunc(attempts, func(a, b *attempt) int { return a.receivedAt.Compare(b.receivedAt) })
	if len(attempts) > maxAttempts {
		r.addViolation(q, "%d attempts", len(attempts))
	}
	var executed, previous *attempt
	for _, a := range attempts {
		r.report.Attempts++
		if previous != nil && (previous.endedAt.IsZero() ||
			previous.endedAt.Sub(a.receivedAt) > overlapSlack+r.maxStall(previous.receivedAt, previous.endedAt)) {
			r.addViolation(q, "duplicate: an attempt began while another was in flight")
		}
		previous = a
		r.verifyAttemptTime(q, a)
		if !a.executed {
			continue
		}
		switch {
		case executed == nil:
			executed = a
		case q.class == payment:
			r.addViolation(q, "duplicate: it was executed twice")
		case q.class == order && a.receivedAt.Sub(executed.receivedAt) > dedupWindow+socketSlack+r.maxStall(executed.receivedAt, a.receivedAt):
			r.addViolation(q, "duplicate: it was repeated %v after the first, outside its deduplication window",
				a.receivedAt.Sub(executed.receivedAt))
		}
	}
	if q.class == payment && executed != nil && q.outcome == refused {
		r.addViolation(q, "duplicate: it was executed and refused")
	}
}

// verifyAttemptTime checks when an attempt arrived and which timeout it states, against the times of its client and of
// its backend.
func (r *run) verifyAttemptTime(q *request, a *attempt) {
	if !q.clientClosedAt.IsZero() {
		if late := a.receivedAt.Sub(q.clientClosedAt); late > disconnectSlack+r.maxStall(q.clientClosedAt, a.receivedAt) {
			r.addViolation(q, "lost: an attempt began %v after its client had disconnected", late)
		}
	}
	if q.outcome != noAnswer {
		if late := a.receivedAt.Sub(q.answeredAt); late > socketSlack+r.maxStall(q.sentAt, a.receivedAt) {
			r.addViolation(q, "lost: an attempt began %v after the answer", late)
		}
	}
	if remaining := q.sentAt.Add(q.timeout).Sub(a.receivedAt); !q.sentAt.IsZero() &&
		a.timeout > max(remaining, 0)+timeoutSlack+r.maxStall(q.sentAt, a.receivedAt) {
		r.addViolation(q, "lost: a backend was given a timeout of %v with %v remaining", a.timeout, remaining)
	}
	if notified := a.backend.notifiedAt(); !notified.IsZero() {
		if late := a.receivedAt.Sub(q.ingress.notifiedBy(notified, q.processIndex)); late > drainSlack+r.maxStall(notified, a.receivedAt) {
			r.addViolation(q, "drain: %s received an attempt %v after its ingress was notified", a.backend.id, late)
		}
	}
}

// maxStall returns for how long the machine may have stalled a process between two times.
func (r *run) maxStall(from, to time.Time) time.Duration {
	return r.stalls.upperBound(from.Add(-sampleInterval), to.Add(sampleInterval))
}

// wasKilled reports whether the ingress process was killed while the request waited.
func (i *ingress) wasKilled(q *request) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	p := i.processes[q.processIndex]
	return !p.killedAt.IsZero() && q.sentAt.Before(p.killedAt.Add(socketSlack)) &&
		p.killedAt.Before(q.sentAt.Add(q.pipelineTimeout+answerGrace+socketSlack))
}

// wasStopping reports whether the ingress process had been killed when the request was sent, or got SIGTERM before the
// request's deadline.
func (i *ingress) wasStopping(q *request) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	p := i.processes[q.processIndex]
	if !p.killedAt.IsZero() && q.sentAt.After(p.killedAt) {
		return true // the process had already exited
	}
	return !p.termSentAt.IsZero() && q.sentAt.Add(q.timeout).After(p.termSentAt)
}

// addViolation records a violation of the rules. q is the request concerned, nil if there is none.
func (r *run) addViolation(q *request, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if q != nil {
		text = fmt.Sprintf("%s [%s %s, timeout %v, at %s, process %d, first on connection %v, sent at %v, %d attempts, outcome %d]",
			text, classNames[q.class], q.id, q.timeout,
			q.ingress.node.Name, q.processIndex, q.firstOnConn, q.sentAt.Sub(r.startedAt).Round(time.Millisecond), len(q.attempts), q.outcome)
		if failed := q.ingress.faultsWithin(q.dialedAt, q.sentAt.Add(q.timeout)); len(failed) > 0 {
			text += fmt.Sprintf(" system call faults there: %q", failed)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, text)
}
