package upstream

import (
	"hash/maphash"
	"slices"
	"time"
)

// When may a connection that has carried an answer carry the next request?
//
// A backend may send a second copy of an answer, or noise, behind it, and
// nothing in an answer tells whose it is: a connection used again before that
// has come would serve the next request with it. So a connection rests first.
// A rest for each costs connections at high rates: 23,000 requests a second and
// 25 ms are 575 connections, each cold in every cache when its turn comes.
//
// So the rest is lifted where it has been shown to be empty. A backend earns it
// by proofMost rests in a row, of full length, that nothing came in, while each
// answer differs from the historySize before it. Then a copy betrays itself: it
// equals an answer that its own connection has carried within the time of a
// rest. It is not passed on, and all backends have to earn their trust anew, as
// they have after any other byte that nobody asked for. Refusals and errors are
// all alike, so behind one its connection rests in full all the same. So no copy
// that comes within the time of a rest is taken for another's answer, trusted or
// not. At low rates little is earned, and nothing lost: a rest is over long
// before the next request.
const (
	fullRest    = 25 * time.Millisecond
	usualProof  = 1000
	historySize = 32
)

// proof is what one backend has shown.
type proof struct {
	clean      int    // rests in a row that nothing came in
	violations uint64 // of the pool, as of when the count began
	seen       [historySize]uint64
	next       int
}

// history is what one connection has carried of late.
type history struct {
	marks [historySize]uint64
	at    [historySize]time.Duration
	next  int
}

func (h *history) add(mark uint64, now time.Duration) {
	h.marks[h.next], h.at[h.next] = mark, now
	h.next = (h.next + 1) % historySize
}

// has tells whether the connection has carried such an answer within the time
// of a rest.
func (h *history) has(mark uint64, now time.Duration) bool {
	for i, m := range h.marks {
		if m == mark && h.at[i] > 0 && now-h.at[i] < fullRest {
			return true
		}
	}
	return false
}

// full tells that one more answer would push out one that a copy may still
// come of.
func (h *history) full(now time.Duration) bool {
	return h.at[h.next] > 0 && now-h.at[h.next] < fullRest
}

var seed = maphash.MakeSeed()

// markOf tells one answer from another, by the value alone: a copy may bring
// other figures.
func markOf(r Reply) uint64 { return maphash.Bytes(seed, r.Value) }

// countViolation notes that something came that nobody asked for.
func (p *Pool) countViolation() { p.violations++ }

// trusted tells whether connections of the backend need no rest.
func (p *Pool) trusted(b *backend) bool {
	return b.proof.clean >= p.cfg.TrustThreshold && b.proof.violations == p.violations
}

// rested notes a rest of full length that nothing came in.
func (p *Pool) rested(b *backend) {
	if b.proof.violations != p.violations {
		b.proof.clean, b.proof.violations = 0, p.violations
	}
	b.proof.clean = min(b.proof.clean+1, p.cfg.TrustThreshold)
}

// note takes the mark of an answer towards the proof: while answers are alike,
// a copy could not be told from the next one.
func (p *proof) note(mark uint64, most int) {
	if p.clean >= most {
		return
	}
	if slices.Contains(p.seen[:], mark) {
		p.clean = 0
	}
	p.seen[p.next] = mark
	p.next = (p.next + 1) % historySize
}

// take takes a kept connection that may carry a request now.
func (p *Pool) take(b *backend, now time.Duration) *conn {
	if !p.trusted(b) { // the longest rested
		if len(b.idle) == 0 || now-b.idle[0].since < fullRest {
			return nil
		}
		c := b.idle[0]
		p.rested(b)
		b.idle = append(b.idle[:0], b.idle[1:]...)
		c.history = nil
		return c
	}
	for i := len(b.idle) - 1; i >= 0; i-- { // the last used: it is warm
		c := b.idle[i]
		if now-c.since >= fullRest {
			c.history = nil
		} else if c.plain {
			continue
		} else if c.history == nil {
			c.history = &history{}
			c.history.add(c.last, c.since)
		} else if c.history.full(now) {
			continue
		}
		b.idle = append(b.idle[:i], b.idle[i+1:]...)
		return c
	}
	return nil
}
