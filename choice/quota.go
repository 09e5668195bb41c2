package choice

// Admission: one chance a customer, from its quota and the offered rate estimated, and this gateway's share
// of the token bucket that the meter shows.

import (
	"math"
	"time"
)

// Settings, each a ratio to what Config states.
const (
	surgeUnits   = 0.4  // units: asked above the expected, they begin to tell of a surge
	surgeRepeat  = 1.5  // units as which a client's repeat counts besides: another gateway has refused it
	openPart     = 0.4  // mean of open attempts over their peak in a period
	doubtShare   = 2.0  // deviations of what others may have passed since that the store must hold besides
	boundPeriods = 6.0  // meter periods after which the store last shown says nothing of the one now
	leastChance  = 0.02 // floor of the admit chance, so that some answers always bring readings
	slotsKept    = 64   // slots of own history kept: lagMost periods and a little more
	clearAverage = 0.05 // weight of one request in the share that no pressure refuses
)

// customer finds the record of a customer under the plan that the request names. A request that names another
// plan gets a record of its own: it must not clear what is known of the customer, his ceiling above all.
func (g *Gateway) customer(in Request) *customer {
	key := account{in.Customer, in.Plan}
	c := g.customers[key]
	if c == nil {
		p := &g.cfg.Plans[in.Plan]
		if g.cfg.MaxCustomers > 0 && len(g.kept) >= g.cfg.MaxCustomers {
			g.forgetOne()
		}
		// The part of the ceiling begins empty when the gateway starts, since one before it may have drawn
		// all of it; it fills from then on whether the customer is known or not.
		c = &customer{key: key, place: len(g.kept), plan: p, ceilAt: g.fills(in.Plan)}
		g.unread(c)
		c.dither = g.rng.Float64()
		c.head = g.slotOf(g.now)
		for i := range c.slots {
			// Until now other gateways admitted it as one without a reading.
			c.slots[i] = slotUse{chance: float32(g.clear * min(1, c.chance)), met: 1}
		}
		g.customers[key] = c
		g.kept = append(g.kept, c)
	} else {
		c.lately = true
	}
	c.spread = float64(min(max(in.Spread, 1), g.cfg.Gateways))
	c.last = g.now
	return c
}

// admit is the ordinary path. While the store that the meter shows holds units, this gateway's even share of
// them passes without the chance; all else meets the one chance a = 1 - b.
func (g *Gateway) admit(c *customer, r *request) bool {
	g.roll(c)
	u := r.Units
	surge := g.surge(c, r.ClientRetry)
	chance := min(1, max(c.chance/surge, leastChance))
	p := c.plan
	if p.Rate <= 0 && p.Open <= 0 {
		chance = 1 // there is no quota to be beyond
	}
	covered := p.Rate > 0 && g.share(c, c.spread, 0)+c.dither >= u
	pressed := g.pressed(r, chance, covered)
	g.clear *= 1 - clearAverage
	if !pressed {
		g.clear += clearAverage
	}
	cause := ByProbability
	if pressed {
		chance, cause = 0, ByOverload
	} else if !g.ceilingHolds(c, u) {
		chance, cause = 0, ByCeiling
	} else if p.Open > 0 && float64(c.open) >= math.Ceil(float64(p.Open)/c.spread) {
		chance, cause = 0, ByOpenAttempts
	} else if covered {
		chance = 1
	} else if p.Rate > 0 && g.now-c.storeAt < time.Duration(boundPeriods*float64(g.cfg.MeterPeriod)) {
		others := max(0, c.mean-c.own) / g.cfg.MeterPeriod.Seconds() * max(1, surge)
		doubt := doubtShare * math.Sqrt(others*(g.now-c.storeAt).Seconds())
		if g.share(c, 1, others) < u+doubt {
			chance, cause = 0, ByUncertainty
		}
	}
	s := &c.slots[c.head%slotsKept]
	s.offered += float32(u)
	s.chance += float32(chance)
	s.met++
	if chance < 1 && g.rng.Float64() >= chance {
		g.refusals[cause]++
		return false
	}
	s.passed += float32(u)
	return true
}

// surge is how much more this gateway is asked than expected since the store was last shown, a witness of
// what the late meter cannot show yet. surgeUnits keep chance from looking like one; among few gateways
// it tells less, since traffic may have moved here from there. It covers any onset faster than the meter, and
// harms a customer whose requests come in bursts at one of many gateways.
func (g *Gateway) surge(c *customer, repeat bool) float64 {
	period, scale := max(g.cfg.MeterPeriod, g.slot), 1.0
	if c.plan.Rate <= 0 { // readings are in caps: what a customer at its cap asks for in a period
		scale = openPart * float64(c.plan.Open) * period.Seconds() / g.classes[0].mean
	}
	span := min(max(g.now-c.storeAt, period), slotsKept*g.slot)
	asked := g.window(c, g.now-span, g.now+g.slot).offered
	expected := max(c.asked, scale*c.mean/c.applied/c.spread) * span.Seconds() / period.Seconds()
	if repeat {
		asked += surgeRepeat
	}
	return math.Pow((asked+surgeUnits)/(expected+surgeUnits), 1-1/c.spread)
}

// share is what is left of one of so many parts of the store shown, filled and drawn on since.
func (g *Gateway) share(c *customer, parts, others float64) float64 {
	most, fill := c.plan.Burst/parts, (c.plan.Rate/parts-others)*g.slot.Seconds()
	level, k := c.store/parts, g.slotOf(c.storeAt)
	if k <= c.head-slotsKept {
		level, k = most, c.head-slotsKept+1
	}
	for ; k < c.head; k++ {
		level = min(level-float64(c.slots[k%slotsKept].passed)+fill, most)
	}
	return level - float64(c.slots[k%slotsKept].passed)
}

// slotOf numbers the slots of own history; all that is asked for are above 0.
func (g *Gateway) slotOf(t time.Duration) int64 { return int64((t - g.born + 1<<20*g.slot) / g.slot) }

// roll opens the slots up to now.
func (g *Gateway) roll(c *customer) {
	n := g.slotOf(g.now)
	if n-c.head > slotsKept {
		c.head = n - slotsKept
	}
	for c.head < n {
		c.head++
		c.slots[c.head%slotsKept] = slotUse{chance: float32(g.clear * min(1, c.chance)), met: 1}
	}
}

// window adds up own history between two times, by whole slots.
func (g *Gateway) window(c *customer, from, to time.Duration) (sum useSum) {
	lo := min(max(g.slotOf(from), c.head-slotsKept+1), c.head)
	n := 0.0
	for k := lo; k < min(g.slotOf(to), c.head+1); k++ {
		s := &c.slots[k%slotsKept]
		sum.offered += float64(s.offered)
		sum.passed += float64(s.passed)
		sum.chance += float64(s.chance / s.met)
		n++
	}
	if n > 0 {
		sum.chance /= n
	} else {
		s := &c.slots[lo%slotsKept]
		sum.chance = float64(s.chance / s.met)
	}
	return
}
