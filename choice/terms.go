package choice

// Terms that change while a gateway runs. All gateways of a fleet take them, each at a moment of its own.

import (
	"fmt"
	"slices"
	"time"
)

// SetTerms takes new terms. What is known of customers stays, and what this gateway's part of each ceiling
// holds, filled by the old terms until now. The error names what cannot be served: then all stays.
func (g *Gateway) SetTerms(now time.Duration, t Terms) error {
	g.step(now)
	next, old := g.cfg, g.cfg.Plans
	next.Plans, next.MaxAttempts, next.MaxRetryAfter = slices.Clone(t.Plans), t.MaxAttempts, t.MaxRetryAfter
	if err := next.check(); err != nil {
		return err
	} else if len(next.Plans) < len(old) {
		return fmt.Errorf("choice: Terms.Plans holds %d, want the %d there are", len(next.Plans), len(old))
	}
	filled := make([]time.Duration, len(next.Plans))
	for i, is := range next.Plans {
		filled[i] = g.fills(i)
		if i < len(old) && old[i] != is && old[i].CeilingRate > 0 && is.CeilingRate > 0 {
			part := min(old[i].CeilingBurst, (now-filled[i]).Seconds()*old[i].CeilingRate)
			filled[i], g.changed = now-seconds(part/is.CeilingRate), now
		}
	}
	for _, c := range g.kept {
		g.ceilingHolds(c, 0) // fills it up to now
	}
	g.cfg, g.filled = next, filled
	g.addPlans()
	g.advise()
	for _, c := range g.kept {
		was, is := c.plan, &g.cfg.Plans[c.key.plan]
		c.plan = is
		if (was.Rate > 0) != (is.Rate > 0) { // readings are in other units from now on
			g.unread(c)
		} else if c.store = min(c.store, is.Burst); c.measured && is.Rate > 0 {
			quota := g.quota(is)
			c.chance = c.applied * quota / max(c.mean, calmUse*quota)
		}
	}
	return nil
}

// fills tells when the ceilings of a plan began to fill for customers that are not known.
func (g *Gateway) fills(plan int) time.Duration {
	if plan < len(g.filled) {
		return max(g.begun, g.filled[plan])
	}
	return g.begun
}
