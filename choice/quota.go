package choice

// Admission by a probability per customer, from its quota and its estimated offered rate, and by this
// gateway's share of the token bucket that the meter shows.

import (
	"math"
	"time"
)

// Settings, relative to those of Config.
const (
	surgeUnits      = 0.4  // units added to requested and expected use: a few requests are no surge
	surgeRetry      = 1.5  // extra units that a client's retry counts: another gateway has refused it
	openMeanShare   = 0.4  // mean number of open attempts in a period, relative to the peak
	doubtDeviations = 2.0  // standard deviations of other gateways' use since, held in reserve
	maxLevelAge     = 6.0  // meter periods after which the level last shown is outdated
	minProbability  = 0.02 // min admission probability, so that some answers always bring readings
	slotsKept       = 64   // slots of local history per customer: maxLag periods and a few more
	notShedWeight   = 0.05 // weight of one request in the share that the limit does not hold back
)

// customer returns the record of a customer under the plan that the request names. A request that names
// another plan gets a record of its own: it must not reset what is known of the customer, e.g. its ceiling.
func (g *Gateway) customer(in Request) *customer {
	key := account{in.Customer, in.Plan}
	c := g.customers[key]
	if c == nil {
		p := &g.cfg.Plans[in.Plan]
		if g.cfg.MaxCustomers > 0 && len(g.records) >= g.cfg.MaxCustomers {
			g.evictOne()
		}
		// The ceiling's share is empty when the gateway starts, as a predecessor may have used all of it; it
		// fills from then on, whether the customer has a record or not.
		c = &customer{key: key, index: len(g.records), plan: p, ceilingAt: g.emptyAt(in.Plan)}
		g.resetEstimates(c)
		c.dither = g.rng.Float64()
		c.head = g.slotOf(g.now)
		for i := range c.slots {
			// Until now other gateways have admitted it as a customer without a reading.
			c.slots[i] = slotUse{probSum: float32(g.notShed * min(1, c.probability)), probCount: 1}
		}
		g.customers[key] = c
		g.records = append(g.records, c)
	} else {
		c.referenced = true
	}
	c.spread = float64(min(max(in.Spread, 1), g.cfg.Gateways))
	c.lastSeen = g.now
	return c
}

// admit decides whether r is sent on. While the token bucket that the meter shows holds units, this gateway's
// even share of them is admitted; any other request is admitted with the probability a = 1 - b.
func (g *Gateway) admit(c *customer, r *request) bool {
	g.rollSlots(c)
	units := r.Units
	surge := g.surge(c, r.ClientRetry)
	probability := min(1, max(c.probability/surge, minProbability))
	p := c.plan
	if p.Rate <= 0 && p.Open <= 0 {
		probability = 1 // there is no quota
	}
	covered := p.Rate > 0 && g.shareLevel(c, c.spread, 0)+c.dither >= units
	overLimit := g.overLimit(r, probability, covered)
	g.notShed *= 1 - notShedWeight
	if !overLimit {
		g.notShed += notShedWeight
	}
	cause := ByProbability
	if overLimit {
		probability, cause = 0, ByOverload
	} else if !g.ceilingCovers(c, units) {
		probability, cause = 0, ByCeiling
	} else if p.Open > 0 && float64(c.open) >= math.Ceil(float64(p.Open)/c.spread) {
		probability, cause = 0, ByOpenAttempts
	} else if covered {
		probability = 1
	} else if p.Rate > 0 && g.now-c.shownAt < time.Duration(maxLevelAge*float64(g.cfg.MeterPeriod)) {
		others := max(0, c.meanUse-c.meanPassed) / g.cfg.MeterPeriod.Seconds() * max(1, surge)
		doubt := doubtDeviations * math.Sqrt(others*(g.now-c.shownAt).Seconds())
		if g.shareLevel(c, 1, others) < units+doubt {
			probability, cause = 0, ByUncertainty
		}
	}
	slot := &c.slots[c.head%slotsKept]
	slot.offered += float32(units)
	slot.probSum += float32(probability)
	slot.probCount++
	if probability < 1 && g.rng.Float64() >= probability {
		g.refusals[cause]++
		return false
	}
	slot.passed += float32(units)
	return true
}

// surge is the ratio of the units requested here since the level was last shown to those expected. It shows
// an increase before the delayed meter does. surgeUnits keep random arrivals from looking like one. With few
// gateways the ratio counts less, as traffic may only have moved here from another. It covers any increase
// faster than the meter, and harms a customer whose requests arrive in bursts at one of many gateways.
func (g *Gateway) surge(c *customer, retry bool) float64 {
	period, scale := max(g.cfg.MeterPeriod, g.slotLength), 1.0
	if c.plan.Rate <= 0 { // readings are relative to Open: what a customer at that limit requests in a period
		scale = openMeanShare * float64(c.plan.Open) * period.Seconds() / g.classes[0].mean
	}
	span := min(max(g.now-c.shownAt, period), slotsKept*g.slotLength)
	requested := g.window(c, g.now-span, g.now+g.slotLength).offered
	expected := max(c.meanOffered, scale*c.meanUse/c.meanApplied/c.spread) * span.Seconds() / period.Seconds()
	if retry {
		requested += surgeRetry
	}
	return math.Pow((requested+surgeUnits)/(expected+surgeUnits), 1-1/c.spread)
}

// shareLevel is the level of one of several equal shares of the bucket shown, with refill and use since.
func (g *Gateway) shareLevel(c *customer, shares, others float64) float64 {
	capacity, fill := c.plan.Burst/shares, (c.plan.Rate/shares-others)*g.slotLength.Seconds()
	level, k := c.shownLevel/shares, g.slotOf(c.shownAt)
	if k <= c.head-slotsKept {
		level, k = capacity, c.head-slotsKept+1
	}
	for ; k < c.head; k++ {
		level = min(level-float64(c.slots[k%slotsKept].passed)+fill, capacity)
	}
	return level - float64(c.slots[k%slotsKept].passed)
}

// slotOf returns the number of a slot of the local history; 1<<20 keeps it above 0 for times before New.
func (g *Gateway) slotOf(t time.Duration) int64 {
	return int64((t - g.created + 1<<20*g.slotLength) / g.slotLength)
}

// rollSlots starts the slots up to now.
func (g *Gateway) rollSlots(c *customer) {
	n := g.slotOf(g.now)
	if n-c.head > slotsKept {
		c.head = n - slotsKept
	}
	for c.head < n {
		c.head++
		c.slots[c.head%slotsKept] = slotUse{probSum: float32(g.notShed * min(1, c.probability)), probCount: 1}
	}
}

// window sums the local history between two times, by whole slots.
func (g *Gateway) window(c *customer, from, to time.Duration) (sum windowUse) {
	lo := min(max(g.slotOf(from), c.head-slotsKept+1), c.head)
	n := 0.0
	for k := lo; k < min(g.slotOf(to), c.head+1); k++ {
		s := &c.slots[k%slotsKept]
		sum.offered += float64(s.offered)
		sum.passed += float64(s.passed)
		sum.probability += float64(s.probSum / s.probCount)
		n++
	}
	if n > 0 {
		sum.probability /= n
	} else {
		s := &c.slots[lo%slotsKept]
		sum.probability = float64(s.probSum / s.probCount)
	}
	return
}
