package upstream

import (
	"hash/maphash"
	"slices"
	"time"
)

// This file decides when a connection that has carried a reply may carry the next
// request.
//
// A backend may send a second copy of a reply, or other bytes, after a reply, and
// nothing in a reply tells which request it belongs to: on a connection that is
// reused too early, the next request would get the copy. So a connection must be
// idle for reuseCooldown first. A cooldown for every reuse costs connections at high
// rates: 23,000 requests a second and 25 ms need 575 connections, each cold in every
// cache when it is reused.
//
// So a trusted backend's connections are reused without a cooldown. A backend is
// trusted after TrustThreshold full cooldowns in a row in which nothing arrived, while
// each reply differs from the historySize replies before it. A copy is then recognized:
// it equals a reply that its own connection has received within reuseCooldown. It is
// not passed on, and all backends lose their trust, as they do after any other
// unsolicited byte. Refusals and errors are all alike, so after one of them a
// connection always needs the full cooldown. So a copy that arrives within
// reuseCooldown is never taken for the reply to another request, trusted or not. At
// low rates little trust is gained, and nothing is lost: the cooldown is over long
// before the next request.
const (
	reuseCooldown         = 25 * time.Millisecond
	defaultTrustThreshold = 1000
	historySize           = 32
)

// trustRecord is the evidence for trusting one backend.
type trustRecord struct {
	cleanCooldowns int    // full cooldowns in a row in which nothing arrived
	unsolicited    uint64 // Pool.unsolicited when the count began
	recentHashes   [historySize]uint64
	next           int
}

// history holds the recent replies of one connection.
type history struct {
	hashes [historySize]uint64
	times  [historySize]time.Duration
	next   int
}

func (h *history) add(hash uint64, now time.Duration) {
	h.hashes[h.next], h.times[h.next] = hash, now
	h.next = (h.next + 1) % historySize
}

// contains reports whether the connection has received a reply with this hash within
// reuseCooldown.
func (h *history) contains(hash uint64, now time.Duration) bool {
	for i, other := range h.hashes {
		if other == hash && h.times[i] > 0 && now-h.times[i] < reuseCooldown {
			return true
		}
	}
	return false
}

// full reports whether one more reply would replace one of which a copy may still
// arrive.
func (h *history) full(now time.Duration) bool {
	return h.times[h.next] > 0 && now-h.times[h.next] < reuseCooldown
}

var hashSeed = maphash.MakeSeed()

// hashOf hashes the value of a reply alone: a copy may have other usage and load
// fields.
func hashOf(r Reply) uint64 { return maphash.Bytes(hashSeed, r.Value) }

// countUnsolicited counts bytes that are not the reply to a request: extra, malformed or copied.
func (p *Pool) countUnsolicited() { p.unsolicited++ }

// trusted reports whether the backend's connections need no cooldown.
func (p *Pool) trusted(b *backend) bool {
	return b.trust.cleanCooldowns >= p.cfg.TrustThreshold && b.trust.unsolicited == p.unsolicited
}

// countCleanCooldown counts a full cooldown in which nothing arrived.
func (p *Pool) countCleanCooldown(b *backend) {
	if b.trust.unsolicited != p.unsolicited {
		b.trust.cleanCooldowns, b.trust.unsolicited = 0, p.unsolicited
	}
	b.trust.cleanCooldowns = min(b.trust.cleanCooldowns+1, p.cfg.TrustThreshold)
}

// addReply records a reply. An equal reply resets the count: while replies are equal,
// a copy can't be told from the next reply.
func (p *trustRecord) addReply(hash uint64, threshold int) {
	if p.cleanCooldowns >= threshold {
		return
	}
	if slices.Contains(p.recentHashes[:], hash) {
		p.cleanCooldowns = 0
	}
	p.recentHashes[p.next] = hash
	p.next = (p.next + 1) % historySize
}

// takeIdle removes and returns an idle connection that may carry a request now, or nil.
func (p *Pool) takeIdle(b *backend, now time.Duration) *conn {
	if !p.trusted(b) { // the longest idle connection, after a full cooldown
		if len(b.idle) == 0 || now-b.idle[0].idleSince < reuseCooldown {
			return nil
		}
		c := b.idle[0]
		p.countCleanCooldown(b)
		b.idle = append(b.idle[:0], b.idle[1:]...)
		c.history = nil
		return c
	}
	for i := len(b.idle) - 1; i >= 0; i-- { // the last used first: it is warm in the caches
		c := b.idle[i]
		if now-c.idleSince >= reuseCooldown {
			c.history = nil
		} else if c.lastUnhashed {
			continue
		} else if c.history == nil {
			c.history = &history{}
			c.history.add(c.lastHash, c.idleSince)
		} else if c.history.full(now) {
			continue
		}
		b.idle = append(b.idle[:i], b.idle[i+1:]...)
		return c
	}
	return nil
}
