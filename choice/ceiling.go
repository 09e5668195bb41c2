package choice

// Hard limits (ceilings) of plans.

// ceilingCovers reports whether this gateway's even share of the ceiling's token bucket holds the units. The
// shares add up to the whole bucket at most, so gateways need no coordination. A share is empty at the start.
func (g *Gateway) ceilingCovers(c *customer, units float64) bool {
	p := c.plan
	if p.CeilingRate <= 0 {
		return true
	}
	fill := (g.now - c.ceilingAt).Seconds() * p.CeilingRate / c.spread
	c.ceilingLevel = min(c.ceilingLevel+fill, p.CeilingBurst/c.spread)
	c.ceilingAt = g.now
	return c.ceilingLevel >= units
}
