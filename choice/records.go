package choice

// Retention of customer records.

import "time"

// Settings, relative to those of Config.
const (
	idlePeriods  = 60.0 // meter periods without a request until a customer with a full ceiling is dropped
	sweepPeriods = 8.0  // meter periods between two sweeps of idle customers
)

// sweep drops idle customers. Their ceiling shares must be full again, as those of new records may be.
func (g *Gateway) sweep() {
	if g.now < g.nextSweep {
		return
	}
	period := max(g.cfg.MeterPeriod, 100*time.Millisecond)
	g.nextSweep = g.now + time.Duration(sweepPeriods*float64(period))
	for i := len(g.records) - 1; i >= 0; i-- {
		c := g.records[i]
		if g.refilled(c) && c.open == 0 && g.now-c.lastSeen > time.Duration(idlePeriods*float64(period)) {
			g.forget(c)
		}
	}
}

// refilled reports whether c's share of its ceiling has filled since its last request.
func (g *Gateway) refilled(c *customer) bool {
	return (g.now-max(c.lastSeen, g.ceilingChangedAt)).Seconds()*c.plan.CeilingRate >= c.plan.CeilingBurst
}

func (g *Gateway) forget(c *customer) {
	last := g.records[len(g.records)-1]
	g.records[c.index], last.index = last, c.index
	g.records[len(g.records)-1] = nil // or the slice would retain it until another record is appended
	g.records = g.records[:len(g.records)-1]
	delete(g.customers, c.key)
}

// evictOne evicts a record by the clock algorithm: the next one without a further request since the hand last
// passed. If its ceiling share has not filled, every new record starts with an empty share from now on, as it
// may be of the same customer.
func (g *Gateway) evictOne() {
	for range 2 * len(g.records) {
		g.clockHand = (g.clockHand + 1) % len(g.records)
		c := g.records[g.clockHand]
		if c.open == 0 && !c.referenced {
			if !g.refilled(c) {
				g.ceilingsEmptyAt = g.now
			}
			g.forget(c)
			return
		}
		c.referenced = false
	}
}
