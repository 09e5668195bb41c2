package choice

// The events of requests and of their attempts. The interface, its types and actions, stands in api.go;
// docs/design/choice.md tells the mechanism and its source.

import (
	"math"
	"time"
)

// Settings, each a ratio to what Config states.
const (
	lagGuess    = 2 // meter periods from the end of a period to its first reading, until learned
	adviceParts = 5 // advice given with a refusal: the longest that clients follow over this
)

// Request takes one try of a client and answers it, or sends it on.
func (g *Gateway) Request(now time.Duration, in Request) {
	g.step(now)
	if g.requests[in.ID] != nil {
		return
	}
	if in.Class < 0 || in.Class >= len(g.cfg.Classes) || in.Plan < 0 || in.Plan >= len(g.cfg.Plans) ||
		in.TimeLeft <= 0 || !(in.Units >= 0) || math.IsInf(in.Units, 1) {
		g.act.Refuse(in.ID, 0)
		return
	}
	c := g.customer(in)
	r := &request{Request: in, cust: c, deadline: now + in.TimeLeft}
	if !g.admit(c, r) {
		g.act.Refuse(r.ID, g.advice)
		return
	}
	g.requests[in.ID] = r
	if !g.send(r) {
		g.refusals[ByNoBackend]++
		delete(g.requests, in.ID)
		g.act.Refuse(r.ID, g.advice)
	}
}

// PredecessorStopped tells that the gateway this one replaces has stopped just now. It must be called before
// any request.
func (g *Gateway) PredecessorStopped(now time.Duration) { g.begun = now }

// Outcome takes the end of an attempt, and answers the request or tries again.
func (g *Gateway) Outcome(now time.Duration, o Outcome) {
	g.step(now)
	r := g.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := &r.attempts[o.Attempt]
	a.ended = true
	a.never = o.Status == Refused || o.Status == ConnectFailed || o.Status == Unsent
	a.to.out--
	g.out--
	r.out--
	r.cust.open--
	if o.Metered {
		g.metered(r.cust, o.Used, now-o.Age)
	}
	g.learn(r, a, o)
	r.over = r.over || o.Done
	if r.over {
		g.cancelRest(r)
	} else if r.out == 0 {
		g.again(r, o.Status)
	}
	if r.over && r.out == 0 {
		delete(g.requests, r.ID)
	}
}

// Timer takes a timer that is due: the wait for an attempt.
func (g *Gateway) Timer(now time.Duration, token uint64) {
	g.step(now)
	r := g.requests[uint32(token>>8)]
	if r == nil || r.over || len(r.attempts) != int(token&0xff) || r.attempts[len(r.attempts)-1].ended {
		return
	}
	last := &r.attempts[len(r.attempts)-1]
	g.limit.Observe(r.Class, (now-last.sent).Seconds()/g.cfg.Classes[r.Class].Aim.Seconds(), now-last.sent)
	if g.bank < 1 || float64(g.out) > g.room()*(1-limitSpare) && !g.silent(last.to) {
		return
	}
	if g.cfg.Hedging {
		if g.send(r) {
			g.bank--
		}
	} else if g.silent(last.to) {
		g.act.Cancel(r.ID, len(r.attempts)-1)
	}
}

// Disconnected ends a request whose client has left.
func (g *Gateway) Disconnected(now time.Duration, id uint32) {
	g.step(now)
	r := g.requests[id]
	if r == nil {
		return
	}
	r.over = true
	if r.out == 0 {
		delete(g.requests, id)
	}
	g.cancelRest(r)
}

// cancelRest stops what is still out for a request that is over.
func (g *Gateway) cancelRest(r *request) {
	for i := range r.attempts {
		if a := &r.attempts[i]; g.cfg.Cancelling && !a.ended && !a.cancelled {
			a.cancelled = true
			g.act.Cancel(r.ID, i)
		}
	}
}
