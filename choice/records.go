package choice

// Which customers' records are kept.

import "time"

// Settings, each a ratio to what Config states.
const (
	idlePeriods = 60.0 // meter periods without a request after which a full customer is forgotten
	sweepEvery  = 8.0  // meter periods between two sweeps of idle customers
)

// sweep forgets idle customers, which would be met as new: a ceiling's part must be full again.
func (g *Gateway) sweep() {
	if g.now < g.nextSweep {
		return
	}
	period := max(g.cfg.MeterPeriod, 100*time.Millisecond)
	g.nextSweep = g.now + time.Duration(sweepEvery*float64(period))
	for i := len(g.kept) - 1; i >= 0; i-- {
		c := g.kept[i]
		if g.full(c) && c.open == 0 && g.now-c.last > time.Duration(idlePeriods*float64(period)) {
			g.forget(c)
		}
	}
}

// full tells whether c's part of its ceiling has filled since its last request.
func (g *Gateway) full(c *customer) bool {
	return (g.now-max(c.last, g.changed)).Seconds()*c.plan.CeilingRate >= c.plan.CeilingBurst
}

func (g *Gateway) forget(c *customer) {
	last := g.kept[len(g.kept)-1]
	g.kept[c.place], last.place = last, c.place
	g.kept[len(g.kept)-1] = nil // or the row would hold it until another comes
	g.kept = g.kept[:len(g.kept)-1]
	delete(g.customers, c.key)
}

// forgetOne makes place for a record: that of the first customer on the way round who has not asked again
// since the last time round (the clock algorithm). Where his part of the ceiling had not filled, each that is
// met as new from now on begins with an empty one, as he may be among them.
func (g *Gateway) forgetOne() {
	for range 2 * len(g.kept) {
		g.hand = (g.hand + 1) % len(g.kept)
		c := g.kept[g.hand]
		if c.open == 0 && !c.lately {
			if !g.full(c) {
				g.begun = g.now
			}
			g.forget(c)
			return
		}
		c.lately = false
	}
}
