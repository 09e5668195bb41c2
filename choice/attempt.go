package choice

// Attempts: when to start the next one, what its outcome shows, and when a request gets its final answer.

import "math"

// Settings, relative to those of Config.
const (
	hedgeAims      = 0.65   // aims without an answer until a hedged attempt is allowed
	retryShare     = 0.08   // further attempts that one first attempt adds to the retry budget
	maxRetryBudget = 6.0    // max retry budget
	meanAims       = 5.0    // longest aims: time constant of a backend's mean latency if answers are rare
	meanWeight     = 0.05   // min weight of one answer in it
	timeoutWeight  = 4.0    // a timeout weighs as many answers
	minLatencyRise = 0.0002 // weight of one answer in a rise of a class's lowest latency; it falls at once
	maxRatio       = 8.0    // max latency of one answer, in means
	slowRatio      = 2.5    // relative latency from which a backend no longer counts in the fleet's latency
)

// send starts the next attempt of r if it is allowed and a backend is available.
func (g *Gateway) send(r *request) bool {
	left := r.deadline - g.now
	if len(r.attempts) >= g.cfg.MaxAttempts || left <= 0 || r.inFlight > 0 && !g.cfg.Hedging {
		return false
	}
	b := g.pick(r)
	if b == nil {
		return false
	}
	if len(r.attempts) == 0 {
		r.record.ceilingLevel -= r.Units
		g.retryBudget = min(g.retryBudget+retryShare, maxRetryBudget)
		g.probe()
	}
	if b.inFlight == 0 {
		b.waitingSince = g.now
	}
	b.inFlight++
	b.tokens--
	g.inFlight++
	g.peakInFlight = max(g.peakInFlight, g.inFlight)
	r.inFlight++
	r.record.open++
	r.attempts = append(r.attempts, attempt{target: b, sent: g.now})
	g.act.Send(r.ID, b.ID, left)
	if g.cfg.Classes[r.Class].Effect != AtMostOnce && (g.cfg.Hedging || g.cfg.Cancelling) {
		wait := hedgeAims * g.cfg.Classes[r.Class].Aim.Seconds()
		g.act.SetTimer(seconds(wait), uint64(r.ID)<<8|uint64(len(r.attempts)&0xff))
	}
	return true
}

// retryOrAnswer starts a further attempt or gives the final answer.
func (g *Gateway) retryOrAnswer(r *request, last Status) {
	cost := 1.0
	if last == ConnectFailed {
		cost = 0 // it caused no work, so retrying it can't amplify an overload
	}
	if last != Unsent && g.retryBudget >= cost && g.send(r) {
		g.retryBudget -= cost
		return
	}
	r.done = true
	cl := &g.cfg.Classes[r.Class]
	safe := r.firstRun() == nil || cl.Effect == Idempotent ||
		cl.Effect == Deduplicated && cl.Group == GroupAll
	if safe && g.now < r.deadline {
		g.act.Refuse(r.ID, g.retryAfter)
	} else {
		g.act.Fail(r.ID)
	}
}

// recordOutcome updates the statistics of the backend and of the fleet.
func (g *Gateway) recordOutcome(r *request, a *attempt, o Outcome) {
	cl := &g.classes[r.Class]
	aim := g.cfg.Classes[r.Class].Aim.Seconds()
	latency := o.Elapsed.Seconds()
	weight := max(meanWeight, 1-math.Exp(-(g.now-a.target.outcomeAt).Seconds()/meanAims/g.maxAim.Seconds()))
	if o.Status == OK || o.Status == Timeout {
		if a.target.latency < slowRatio {
			g.limiter.Observe(r.Class, latency/aim, o.Elapsed)
		}
		answers := 1.0
		if o.Status == Timeout {
			answers = timeoutWeight
		}
		a.target.latency += min(1, weight*answers) *
			(min(latency/max(cl.mean, 1e-6), maxRatio) - a.target.latency)
	}
	switch o.Status {
	case OK:
		if a.target.latency < slowRatio {
			cl.mean += meanWeight / 2 * (latency - cl.mean)
			cl.lowest = min(cl.mean, cl.lowest+minLatencyRise*(cl.mean-cl.lowest))
		}
	case Refused:
		g.limiter.Observe(r.Class, math.Inf(1), o.Elapsed)
	}
	if o.Status == OK || o.Status == Refused || o.Status == Error {
		a.target.waitingSince = g.now
	}
	if o.Status != Refused && o.Status != Cancelled && o.Status != Unsent {
		a.target.outcomeAt = g.now
		g.recordFailure(a.target, o.Status != OK, weight)
	}
}

// firstRun returns the first attempt that is in flight or may have run, or nil.
func (r *request) firstRun() *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.neverRan {
			return a
		}
	}
	return nil
}
