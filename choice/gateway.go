package choice

// Events of requests and their attempts. The types and actions of the interface are in api.go;
// docs/design/choice.md describes the algorithms and their sources.

import (
	"math"
	"time"
)

// Settings, relative to those of Config.
const (
	initialLag      = 2 // meter periods from the end of a period to its first reading, before it is estimated
	retryAfterParts = 5 // the delay given with a refusal is MaxRetryAfter over this
)

// Request handles one try of a client: it sends it to a backend or answers it.
func (g *Gateway) Request(now time.Duration, in Request) {
	g.advance(now)
	if g.requests[in.ID] != nil {
		return
	}
	if in.Class < 0 || in.Class >= len(g.cfg.Classes) || in.Plan < 0 || in.Plan >= len(g.cfg.Plans) ||
		in.TimeLeft <= 0 || !(in.Units >= 0) || math.IsInf(in.Units, 1) {
		g.act.Refuse(in.ID, 0)
		return
	}
	c := g.customer(in)
	r := &request{Request: in, record: c, deadline: now + in.TimeLeft}
	if !g.admit(c, r) {
		g.act.Refuse(r.ID, g.retryAfter)
		return
	}
	g.requests[in.ID] = r
	if !g.send(r) {
		g.refusals[ByNoBackend]++
		delete(g.requests, in.ID)
		g.act.Refuse(r.ID, g.retryAfter)
	}
}

// PredecessorStopped reports that the gateway that this one replaces has stopped just now. It must be called
// before any request.
func (g *Gateway) PredecessorStopped(now time.Duration) { g.ceilingsEmptyAt = now }

// Outcome handles the end of an attempt: it retries or answers the request if it has to.
func (g *Gateway) Outcome(now time.Duration, o Outcome) {
	g.advance(now)
	r := g.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := &r.attempts[o.Attempt]
	a.ended = true
	a.neverRan = o.Status == Refused || o.Status == ConnectFailed || o.Status == Unsent
	a.target.inFlight--
	g.inFlight--
	r.inFlight--
	r.record.open--
	if o.Metered {
		g.applyReading(r.record, o.Used, now-o.Age)
	}
	g.recordOutcome(r, a, o)
	r.done = r.done || o.Done
	if r.done {
		g.cancelAttempts(r)
	} else if r.inFlight == 0 {
		g.retryOrAnswer(r, o.Status)
	}
	if r.done && r.inFlight == 0 {
		delete(g.requests, r.ID)
	}
}

// Timer handles an expired timer: an attempt has had no answer for a time. It may hedge or cancel it.
func (g *Gateway) Timer(now time.Duration, token uint64) {
	g.advance(now)
	r := g.requests[uint32(token>>8)]
	if r == nil || r.done || len(r.attempts) != int(token&0xff) || r.attempts[len(r.attempts)-1].ended {
		return
	}
	last := &r.attempts[len(r.attempts)-1]
	g.limiter.Observe(r.Class, (now-last.sent).Seconds()/g.cfg.Classes[r.Class].Aim.Seconds(), now-last.sent)
	if g.retryBudget < 1 || float64(g.inFlight) > g.limit()*(1-reserved) && !g.unresponsive(last.target) {
		return
	}
	if g.cfg.Hedging {
		if g.send(r) {
			g.retryBudget--
		}
	} else if g.unresponsive(last.target) {
		g.act.Cancel(r.ID, len(r.attempts)-1)
	}
}

// Disconnected ends a request whose client has disconnected.
func (g *Gateway) Disconnected(now time.Duration, id uint32) {
	g.advance(now)
	r := g.requests[id]
	if r == nil {
		return
	}
	r.done = true
	if r.inFlight == 0 {
		delete(g.requests, id)
	}
	g.cancelAttempts(r)
}

// cancelAttempts cancels the attempts in flight of a request that is done.
func (g *Gateway) cancelAttempts(r *request) {
	for i := range r.attempts {
		if a := &r.attempts[i]; g.cfg.Cancelling && !a.ended && !a.cancelled {
			a.cancelled = true
			g.act.Cancel(r.ID, i)
		}
	}
}
