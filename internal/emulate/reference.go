package emulate

// The reference policy, against which the requests that gateways accept beyond quotas are compared. It is
// simulated alongside the run on the same first tries with its own random numbers, and doesn't affect the run.

import "time"

// ReferencePolicy configures the reference policy of a Spec, which sees true bucket levels with a delay.
type ReferencePolicy struct {
	Lag time.Duration // delay with which it sees the true bucket levels; 0: it is not simulated
}

// referencePass is a request that the reference policy accepted: the bucket after it, and its gateway.
type referencePass struct {
	bucket  bucket
	gateway int
}

// referenceState is the state of a customer under the reference policy.
type referenceState struct {
	passes []referencePass // the first is the latest that the policy sees
}

// referenceTry applies the reference policy to a try at a gateway. The policy sees the true
// bucket of all gateways together as it was Lag ago, and accepts the try if that holds a unit
// after subtracting what this gateway has accepted since. Refused tries are retried by the same
// rules as in the run, without retry advice. All that it accepts within a quota counts as served.
func (c *customer) referenceTry(d *clientRequest, gateway, try int) {
	w, p := c.world, &c.world.Config.Plans[c.plan]
	if w.Reference.Lag <= 0 {
		return
	}
	if p.Rate <= 0 {
		w.figures.ReferenceServed += d.worth
		return
	}
	if c.referenceLevel(gateway) < 1 {
		c.retryReference(d, gateway, try)
		return
	}
	now := c.reference.passes[len(c.reference.passes)-1].bucket
	if now.fill(w.now, p.Rate, p.Burst); now.level >= 1 {
		now.level--
		w.figures.ReferenceServed += d.worth
	} else {
		w.figures.ReferenceBeyondWorth += d.worth * p.OverCost
	}
	c.reference.passes = append(c.reference.passes, referencePass{now, gateway})
}

// referenceLevel returns the delayed bucket level that the reference policy sees at a gateway.
func (c *customer) referenceLevel(gateway int) float64 {
	w, p := c.world, &c.world.Config.Plans[c.plan]
	then := w.now - w.Reference.Lag
	passes := c.reference.passes
	for len(passes) > 1 && passes[1].bucket.at <= then {
		passes = passes[1:]
	}
	c.reference.passes = passes
	seen := passes[0].bucket
	seen.fill(max(then, seen.at), p.Rate, p.Burst)
	for _, pass := range passes[1:] {
		if pass.gateway == gateway {
			seen.level--
		}
	}
	return seen.level
}

// retryReference schedules the client's next try after the reference policy has refused one.
func (c *customer) retryReference(d *clientRequest, gateway, try int) {
	w := c.world
	if try >= w.MaxTries || w.now >= w.LoadFor {
		return
	}
	if w.Clients.SameGateway <= 0 || w.referenceRng.Float64() >= w.Clients.SameGateway {
		gateway = c.pick(w.referenceRng)
	}
	w.after(w.backoff(try)+2*w.NetworkDelay[0]+time.Nanosecond, func() { c.referenceTry(d, gateway, try+1) })
}
