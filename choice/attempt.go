package choice

// Attempts: the next one, what its outcome tells, and when a request gets its final answer.

import "math"

// Settings, each a ratio to what Config states.
const (
	hedgeAims   = 0.65   // aims of waiting before a further attempt may be made for want of an answer
	retryShare  = 0.08   // further attempts earned by one first attempt
	retryBank   = 6.0    // further attempts that may be saved up
	latAims     = 5.0    // longest aims over which a backend's latency is averaged, however few its answers
	latLeast    = 0.05   // weight of one answer in it at least
	latUnheard  = 4.0    // a time-out weighs as so many answers
	leastRises  = 0.0002 // weight of one answer in a class's least mean latency, which falls at once
	latMost     = 8.0    // means: one answer counts as no slower
	slowBackend = 2.5    // fleet means at which a backend's latency no longer speaks for the fleet
)

// send starts the next attempt of r, if one is allowed and worth it.
func (g *Gateway) send(r *request) bool {
	left := r.deadline - g.now
	if len(r.attempts) >= g.cfg.MaxAttempts || left <= 0 || r.out > 0 && !g.cfg.Hedging {
		return false
	}
	b := g.pick(r)
	if b == nil {
		return false
	}
	if len(r.attempts) == 0 {
		r.cust.ceiling -= r.Units
		g.bank = min(g.bank+retryShare, retryBank)
		g.probe()
	}
	if b.out == 0 {
		b.waiting = g.now
	}
	b.out++
	b.tokens--
	g.out++
	g.most = max(g.most, g.out)
	r.out++
	r.cust.open++
	r.attempts = append(r.attempts, attempt{to: b, sent: g.now})
	g.act.Send(r.ID, b.ID, left)
	if g.cfg.Classes[r.Class].Effect != AtMostOnce && (g.cfg.Hedging || g.cfg.Cancelling) {
		wait := hedgeAims * g.cfg.Classes[r.Class].Aim.Seconds()
		g.act.SetTimer(seconds(wait), uint64(r.ID)<<8|uint64(len(r.attempts)&0xff))
	}
	return true
}

// again makes a further attempt or gives the final answer.
func (g *Gateway) again(r *request, last Status) {
	price := 1.0
	if last == ConnectFailed {
		price = 0 // it cost no backend any work, so it cannot feed an overload
	}
	if last != Unsent && g.bank >= price && g.send(r) {
		g.bank -= price
		return
	}
	r.over = true
	cl := &g.cfg.Classes[r.Class]
	safe := r.first() == nil || cl.Effect == Idempotent || cl.Effect == Deduplicated && cl.Group == GroupAll
	if safe && g.now < r.deadline {
		g.act.Refuse(r.ID, g.advice)
	} else {
		g.act.Fail(r.ID)
	}
}

// learn takes what an outcome says of the backend and of the fleet.
func (g *Gateway) learn(r *request, a *attempt, o Outcome) {
	cl := &g.classes[r.Class]
	aim := g.cfg.Classes[r.Class].Aim.Seconds()
	lat := o.Elapsed.Seconds()
	w := max(latLeast, 1-math.Exp(-(g.now-a.to.heard).Seconds()/latAims/g.longest.Seconds()))
	if o.Status == OK || o.Status == Timeout {
		if a.to.lat < slowBackend {
			g.limit.Observe(r.Class, lat/aim, o.Elapsed)
		}
		unheard := 1.0
		if o.Status == Timeout {
			unheard = latUnheard
		}
		a.to.lat += min(1, w*unheard) * (min(lat/max(cl.mean, 1e-6), latMost) - a.to.lat)
	}
	switch o.Status {
	case OK:
		if a.to.lat < slowBackend {
			cl.mean += latLeast / 2 * (lat - cl.mean)
			cl.least = min(cl.mean, cl.least+leastRises*(cl.mean-cl.least))
		}
	case Refused:
		g.limit.Observe(r.Class, math.Inf(1), o.Elapsed)
	}
	if o.Status == OK || o.Status == Refused || o.Status == Error {
		a.to.waiting = g.now
	}
	if o.Status != Refused && o.Status != Cancelled && o.Status != Unsent {
		a.to.heard = g.now
		g.judge(a.to, o.Status != OK, w)
	}
}

// first is the first attempt that may have run, or is out.
func (r *request) first() *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.never {
			return a
		}
	}
	return nil
}
