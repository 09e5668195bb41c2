package choice

// Readings of the platform's meter: which period one tells of, and what it says of a customer.

import (
	"math"
	"time"
)

// Settings, each a ratio to what Config states.
const (
	smoothUnits = 8.0 // units: the offered rate is averaged over the time the rate takes to fill them
	smoothLeast = 1.5 // meter periods: the shortest such average
	smoothOpen  = 2.0 // meter periods: the average where the reading is of open attempts
	startUnits  = 1.7 // units of quota in a customer's readings that weigh as much as what its plan's show
	lagMost     = 13  // meter periods of lag that can be told
	lagReadings = 100 // readings over which the lag is learned
	slotsPeriod = 4   // slots of own history in one meter period
)

// change narrows down when the shown period changes, from two answers with different readings.
func (m *meterClock) change(from, to, period time.Duration) {
	if !m.known {
		m.known, m.lo, m.hi = true, from, to
		return
	}
	shift := ((from+to)/2 - (m.lo+m.hi)/2 + period/2)
	shift -= ((shift % period) + period) % period
	lo, hi := max(m.lo+shift, from), min(m.hi+shift, to)
	if lo >= hi {
		lo, hi = from, to
	}
	m.lo, m.hi = lo, hi
}

// fit learns the lag: the right one makes own use fit best into the readings.
func (g *Gateway) fit(c *customer, use float64, shown time.Duration) {
	m := &g.meter
	m.readings++
	w := 1 / float64(min(m.readings, lagReadings))
	top, best := g.slotOf(shown), 0
	for j := range m.misfit {
		own := 0.0
		for k := max(top-int64(j)-slotsPeriod, c.head-slotsKept+1); k < min(top-int64(j), c.head+1); k++ {
			own += float64(c.slots[k%slotsKept].passed)
		}
		m.misfit[j] += w * ((use-own)*(use-own)/(use+1) - m.misfit[j])
		if m.misfit[j] < m.misfit[best] {
			best = j
		}
	}
	if m.readings > lagReadings/4 {
		m.lag = best
	}
}

// metered takes a reading that an answer showed at a time: a slow one tells late what was so when it began.
// Answers repeat a period's reading; the clock of the meter tells which period it is, and each counts once.
func (g *Gateway) metered(c *customer, used float64, at time.Duration) {
	period := g.cfg.MeterPeriod
	if period <= 0 || c.measured && at < c.heard {
		return
	}
	if !g.possible(c.plan, used) {
		g.misread++
		return
	}
	if c.measured && used != c.reading && at-c.heard < period {
		g.meter.change(c.heard, at, period)
	}
	shown := at
	if g.meter.known {
		shown = (g.meter.lo + g.meter.hi) / 2
	}
	number := int64(math.Floor(float64(at-shown) / float64(period)))
	shown += time.Duration(number) * period
	number = int64(math.Round(float64(shown) / float64(period)))
	c.reading, c.heard = used, at
	if c.measured && number <= c.period {
		return
	}
	g.roll(c)
	p := c.plan
	quota, tau := g.quota(p), smoothOpen
	if p.Rate > 0 {
		tau = max(smoothLeast, smoothUnits/quota)
	}
	use := used * quota
	if p.Rate > 0 && g.meter.known && c.measured {
		g.fit(c, use, shown)
	}
	end := shown - time.Duration(g.meter.lag)*g.slot
	gap, w := int64(1), 1.0
	if p.Rate > 0 {
		w = quota / (quota + startUnits)
	}
	if c.measured {
		gap = min(number-c.period, slotsKept/slotsPeriod)
		w = 1 - math.Exp(-float64(gap)/tau)
	}
	for k := gap - 1; k > 0; k-- { // periods whose readings were never heard
		own := g.window(c, end-time.Duration(k+1)*period, end-time.Duration(k)*period).passed
		c.fill(quota - max(own, c.mean))
	}
	c.fill(quota - use)
	c.storeAt = end
	sum := g.window(c, end-period, end)
	c.mean += w * (use - c.mean)
	c.own += w * (sum.passed - c.own)
	c.asked += w * (sum.offered - c.asked)
	applied := max(sum.chance, leastChance)
	c.applied += w * (applied - c.applied)
	g.usage[c.key.plan].learn(p, quota, use, applied)
	c.chance = c.applied * quota / max(c.mean, calmUse*quota)
	c.measured, c.period = true, number
	c.dither = g.rng.Float64()
}

// quota is what a reading is a part of: the units of a meter period, or an open plan's cap.
func (g *Gateway) quota(p *Plan) float64 {
	if p.Rate <= 0 {
		return 1
	}
	return p.Rate * g.cfg.MeterPeriod.Seconds()
}

// possible tells whether the meter can have shown a use. No customer passes its ceiling, which counts a unit
// of each request at least, while the meter may count MaxUnits of it: units can be settled after the answer.
func (g *Gateway) possible(p *Plan, used float64) bool {
	most := math.MaxFloat64
	if p.Rate > 0 && p.CeilingRate > 0 {
		most = p.CeilingBurst + p.CeilingTolerance + p.CeilingRate*g.cfg.MeterPeriod.Seconds()
		most *= max(1, g.cfg.MaxUnits)
	}
	return used >= 0 && used*g.quota(p) <= most
}

// LateReading takes a meter reading that arrived after its attempt had ended; age is as in Outcome.
func (g *Gateway) LateReading(now time.Duration, who uint64, plan int, used float64, age time.Duration) {
	g.step(now)
	if c := g.customers[account{who, plan}]; c != nil {
		g.metered(c, used, now-age)
	}
}

// fill moves the store by a period's gain, never below nothing nor above the burst.
func (c *customer) fill(units float64) { c.store = min(max(c.store+units, 0), c.plan.Burst) }
