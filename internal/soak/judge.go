//go:build linux && amd64

package soak

import (
	"fmt"
	"slices"
	"time"
)

// The rules' bounds on sockets: each is 50 ms longer than the simulator's (the protocol page).
const (
	socketSlack  = 50 * time.Millisecond
	goneSlack    = 100*time.Millisecond + socketSlack // from a client's end to the last attempt
	drainSlack   = 500*time.Millisecond + socketSlack
	limitSlack   = 150 * time.Millisecond
	besideSlack  = 100 * time.Millisecond // until a backend has seen the end of a connection
	mostAttempts = 4
	keyedWindow  = time.Second
	ceilingSlack = 150 * time.Millisecond // of the ceiling's rate
)

// judge holds each request against the rules.
func (r *run) judge() {
	r.record.mu.Lock()
	requests := slices.Clone(r.record.order)
	r.record.mu.Unlock()
	r.judgeCeiling(requests)
	for _, q := range requests {
		r.report.Requests++
		r.report.Outcomes[q.answer]++
		r.judgeAnswer(q)
		r.judgeAttempts(q)
	}
}

// judgeCeiling replays the hard ceiling's bucket, from which each try takes its unit when its first attempt
// has come to a backend.
func (r *run) judgeCeiling(requests []*request) {
	var taken []time.Time
	for _, q := range requests {
		if !q.capped || len(q.attempts) == 0 {
			continue
		}
		first := q.attempts[0].begun
		for _, a := range q.attempts {
			if a.begun.Before(first) {
				first = a.begun
			}
		}
		taken = append(taken, first)
	}
	slices.SortFunc(taken, time.Time.Compare)
	level, last := ceilingBurst, r.begun
	for _, at := range taken {
		level = min(ceilingBurst, level+ceilingRate*at.Sub(last).Seconds()) - 1
		last = at
		if over := -level - ceilingTolerance - ceilingRate*ceilingSlack.Seconds(); over > 0 {
			r.violate(nil, "ceiling: passed by %.1f units at %v", over, at.Sub(r.begun).Round(time.Millisecond))
		}
	}
	r.report.CappedRequests = len(taken)
}

// judgeAnswer wants one final answer in time.
func (r *run) judgeAnswer(q *request) {
	switch {
	case q.sent.IsZero(): // it never went out whole
	case q.answer == wrong:
		r.violate(q, "lost: the answer is not its own")
	case q.answer == partial:
		r.judgePartial(q)
	case q.answer != none:
		if late := q.answered.Sub(q.sent) - q.inOrder - answerGrace; late > r.heldUp(q.sent, q.answered) {
			r.violate(q, "lost: its answer came %v too late", late)
		}
	case q.ingress.wasKilled(q):
		r.report.ProcessKilled++
	case !q.cut.IsZero() && len(q.attempts) > 0:
		r.violate(q, "lost: its connection was ended with no answer, and it was sent on")
	case !q.cut.IsZero() && q.first && !q.ingress.wasStopping(q) && !r.cfg.FillDescriptors:
		r.violate(q, "lost: a new connection was ended with no answer")
	case !q.cut.IsZero():
		r.report.ClosedUnread++ // unread: its client sends it again on a new one
	case !q.left.IsZero() && q.left.Sub(q.sent) < q.inOrder+answerGrace:
		r.report.ClientClosed++
	default:
		r.violate(q, "lost: no answer came")
	}
}

// judgePartial wants a value that broke off to have done so at its backend, on the way from there, or at its
// client's hands.
func (r *run) judgePartial(q *request) {
	if !q.left.IsZero() || q.ingress.wasKilled(q) || q.ingress.broke(q.sent, q.answered) {
		return
	}
	for _, a := range q.attempts {
		if !a.whole {
			return
		}
	}
	r.violate(q, "lost: its value broke off, and its backend had written all of it")
}

// judgeAttempts holds what backends saw against the rules.
func (r *run) judgeAttempts(q *request) {
	attempts := slices.Clone(q.attempts)
	slices.SortFunc(attempts, func(a, b *attempt) int { return a.begun.Compare(b.begun) })
	if len(attempts) > mostAttempts {
		r.violate(q, "%d attempts", len(attempts))
	}
	var ran, before *attempt
	for _, a := range attempts {
		r.report.Attempts++
		if before != nil && (before.ended.IsZero() || before.ended.Sub(a.begun) > besideSlack+r.heldUp(before.begun, before.ended)) {
			r.violate(q, "duplicate: an attempt began beside another")
		}
		before = a
		r.judgeTime(q, a)
		if !a.ran {
			continue
		}
		switch {
		case ran == nil:
			ran = a
		case q.kind == payment:
			r.violate(q, "duplicate: it ran twice")
		case q.kind == order && a.begun.Sub(ran.begun) > keyedWindow+socketSlack+r.heldUp(ran.begun, a.begun):
			r.violate(q, "duplicate: it was repeated %v after the first, behind its window", a.begun.Sub(ran.begun))
		}
	}
	if q.kind == payment && ran != nil && q.answer == refused {
		r.violate(q, "duplicate: it has run and was refused")
	}
}

// judgeTime holds the time of an attempt against its client's and its backend's.
func (r *run) judgeTime(q *request, a *attempt) {
	if !q.left.IsZero() {
		if late := a.begun.Sub(q.left); late > goneSlack+r.heldUp(q.left, a.begun) {
			r.violate(q, "lost: an attempt began %v after its client had gone", late)
		}
	}
	if q.answer != none {
		if late := a.begun.Sub(q.answered); late > socketSlack+r.heldUp(q.sent, a.begun) {
			r.violate(q, "lost: an attempt began %v after the answer", late)
		}
	}
	if rest := q.sent.Add(q.limit).Sub(a.begun); !q.sent.IsZero() && a.limit > max(rest, 0)+limitSlack+r.heldUp(q.sent, a.begun) {
		r.violate(q, "lost: a backend was told %v with %v left", a.limit, rest)
	}
	if told := a.backend.toldAt(); !told.IsZero() {
		if late := a.begun.Sub(q.ingress.toldBy(told, q.life)); late > drainSlack+r.heldUp(told, a.begun) {
			r.violate(q, "drain: an attempt came to %s %v after it was told", a.backend.id, late)
		}
	}
}

// heldUp is for how long the machine may have held something up between two times.
func (r *run) heldUp(from, to time.Time) time.Duration {
	return r.stalls.within(from.Add(-sampleEvery), to.Add(sampleEvery))
}

// wasKilled tells whether the request's process was killed while it waited.
func (i *ingress) wasKilled(q *request) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	l := i.lives[q.life]
	return !l.killed.IsZero() && q.sent.Before(l.killed.Add(socketSlack)) && l.killed.Before(q.sent.Add(q.inOrder+answerGrace+socketSlack))
}

// wasStopping tells whether the request's process had been told to end when it was sent, or a moment after.
func (i *ingress) wasStopping(q *request) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	l := i.lives[q.life]
	if !l.killed.IsZero() && q.sent.After(l.killed) {
		return true // nobody was there any more
	}
	return !l.told.IsZero() && q.sent.Add(q.limit).After(l.told)
}

// violate notes a broken rule.
func (r *run) violate(q *request, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if q != nil {
		text = fmt.Sprintf("%s [%s %s of %v at %s, life %d, first %v, sent at %v, %d attempts, answer %d]", text, classNames[q.kind], q.id, q.limit,
			q.ingress.node.Name, q.life, q.first, q.sent.Sub(r.begun).Round(time.Millisecond), len(q.attempts), q.answer)
		if failed := q.ingress.failed(q.begun, q.sent.Add(q.limit)); len(failed) > 0 {
			text += fmt.Sprintf(" calls failed there: %q", failed)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, text)
}
