package choice

// Readings of the platform's meter: which period one belongs to, and what it shows of a customer.

import (
	"math"
	"time"
)

// Settings, relative to those of Config.
const (
	smoothUnits    = 8.0 // units: use is averaged over the time in which the quota's rate yields them
	minSmoothing   = 1.5 // meter periods: the min of that time
	smoothOpen     = 2.0 // meter periods: the same for readings of open attempts
	priorUnits     = 1.7 // units of quota in a customer's readings that weigh as much as its plan's readings
	maxLag         = 13  // max lag that can be detected, meter periods
	lagReadings    = 100 // readings over which the lag is estimated
	slotsPerPeriod = 4   // slots of local history in one meter period
)

// narrowChange narrows the bounds of the meter's switch, from two answers with different readings.
func (m *meterClock) narrowChange(from, to, period time.Duration) {
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

// fitLag estimates the lag as the one at which local use differs least from the readings.
func (g *Gateway) fitLag(c *customer, use float64, shown time.Duration) {
	m := &g.meter
	m.readings++
	weight := 1 / float64(min(m.readings, lagReadings))
	top, best := g.slotOf(shown), 0
	for j := range m.lagError {
		local := 0.0
		for k := max(top-int64(j)-slotsPerPeriod, c.head-slotsKept+1); k < min(top-int64(j), c.head+1); k++ {
			local += float64(c.slots[k%slotsKept].passed)
		}
		m.lagError[j] += weight * ((use-local)*(use-local)/(use+1) - m.lagError[j])
		if m.lagError[j] < m.lagError[best] {
			best = j
		}
	}
	if m.readings > lagReadings/4 {
		m.lag = best
	}
}

// applyReading handles a reading as of the time at which its answer began to arrive. Many answers carry the
// same period's reading; the meter's clock identifies the period, and each period counts once.
func (g *Gateway) applyReading(c *customer, used float64, at time.Duration) {
	period := g.cfg.MeterPeriod
	if period <= 0 || c.measured && at < c.readingAt {
		return
	}
	if !g.validReading(c.plan, used) {
		g.invalidReadings++
		return
	}
	if c.measured && used != c.reading && at-c.readingAt < period {
		g.meter.narrowChange(c.readingAt, at, period)
	}
	shown := at
	if g.meter.known {
		shown = (g.meter.lo + g.meter.hi) / 2
	}
	number := int64(math.Floor(float64(at-shown) / float64(period)))
	shown += time.Duration(number) * period
	number = int64(math.Round(float64(shown) / float64(period)))
	c.reading, c.readingAt = used, at
	if c.measured && number <= c.period {
		return
	}
	g.rollSlots(c)
	p := c.plan
	quota, smoothing := g.quotaPerPeriod(p), smoothOpen
	if p.Rate > 0 {
		smoothing = max(minSmoothing, smoothUnits/quota)
	}
	use := used * quota
	if p.Rate > 0 && g.meter.known && c.measured {
		g.fitLag(c, use, shown)
	}
	end := shown - time.Duration(g.meter.lag)*g.slotLength
	gap, weight := int64(1), 1.0
	if p.Rate > 0 {
		weight = quota / (quota + priorUnits)
	}
	if c.measured {
		gap = min(number-c.period, slotsKept/slotsPerPeriod)
		weight = 1 - math.Exp(-float64(gap)/smoothing)
	}
	for k := gap - 1; k > 0; k-- { // periods whose readings never arrived
		local := g.window(c, end-time.Duration(k+1)*period, end-time.Duration(k)*period).passed
		c.fill(quota - max(local, c.meanUse))
	}
	c.fill(quota - use)
	c.shownAt = end
	sum := g.window(c, end-period, end)
	c.meanUse += weight * (use - c.meanUse)
	c.meanPassed += weight * (sum.passed - c.meanPassed)
	c.meanOffered += weight * (sum.offered - c.meanOffered)
	applied := max(sum.probability, minProbability)
	c.meanApplied += weight * (applied - c.meanApplied)
	g.usage[c.key.plan].addReading(p, quota, use, applied)
	c.probability = c.meanApplied * quota / max(c.meanUse, minUse*quota)
	c.measured, c.period = true, number
	c.dither = g.rng.Float64()
}

// quotaPerPeriod is what a reading is relative to: the units of a meter period, or 1 without a rate.
func (g *Gateway) quotaPerPeriod(p *Plan) float64 {
	if p.Rate <= 0 {
		return 1
	}
	return p.Rate * g.cfg.MeterPeriod.Seconds()
}

// validReading reports whether the meter can have shown a use. No customer exceeds its ceiling, which counts
// at least one unit per request, while the meter may count MaxUnits: units can be settled after the answer.
func (g *Gateway) validReading(p *Plan, used float64) bool {
	maxUse := math.MaxFloat64
	if p.Rate > 0 && p.CeilingRate > 0 {
		maxUse = p.CeilingBurst + p.CeilingTolerance + p.CeilingRate*g.cfg.MeterPeriod.Seconds()
		maxUse *= max(1, g.cfg.MaxUnits)
	}
	return used >= 0 && used*g.quotaPerPeriod(p) <= maxUse
}

// LateReading takes a meter reading that arrived after its attempt had ended; age is as in Outcome.
func (g *Gateway) LateReading(now time.Duration, id uint64, plan int, used float64, age time.Duration) {
	g.advance(now)
	if c := g.customers[account{id, plan}]; c != nil {
		g.applyReading(c, used, now-age)
	}
}

// fill adds a period's net units to the bucket level, between 0 and the burst.
func (c *customer) fill(units float64) { c.shownLevel = min(max(c.shownLevel+units, 0), c.plan.Burst) }
