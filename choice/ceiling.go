package choice

// Hard ceilings of plans.

// ceilingHolds tells whether this gateway's even part of the ceiling's store holds the units. Parts add up to
// no more than the whole, so no agreement is needed; a gateway that starts afresh starts from nothing.
func (g *Gateway) ceilingHolds(c *customer, u float64) bool {
	p := c.plan
	if p.CeilingRate <= 0 {
		return true
	}
	fill := (g.now - c.ceilAt).Seconds() * p.CeilingRate / c.spread
	c.ceiling = min(c.ceiling+fill, p.CeilingBurst/c.spread)
	c.ceilAt = g.now
	return c.ceiling >= u
}
