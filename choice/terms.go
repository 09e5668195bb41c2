package choice

// Change of terms at run time. Each gateway of a fleet applies them at a different time.

import (
	"fmt"
	"slices"
	"time"
)

// SetTerms applies new terms. It keeps the state of customers and the level of this gateway's share of each
// ceiling, refilled by the old terms until now. An error names the invalid field, and nothing changes.
func (g *Gateway) SetTerms(now time.Duration, t Terms) error {
	g.advance(now)
	next, old := g.cfg, g.cfg.Plans
	next.Plans, next.MaxAttempts, next.MaxRetryAfter = slices.Clone(t.Plans), t.MaxAttempts, t.MaxRetryAfter
	if err := next.check(); err != nil {
		return err
	} else if len(next.Plans) < len(old) {
		return fmt.Errorf("choice: Terms.Plans has %d entries, want at least %d", len(next.Plans), len(old))
	}
	planEmptyAt := make([]time.Duration, len(next.Plans))
	for i, after := range next.Plans {
		planEmptyAt[i] = g.emptyAt(i)
		if i < len(old) && old[i] != after && old[i].CeilingRate > 0 && after.CeilingRate > 0 {
			level := min(old[i].CeilingBurst, (now-planEmptyAt[i]).Seconds()*old[i].CeilingRate)
			planEmptyAt[i], g.ceilingChangedAt = now-seconds(level/after.CeilingRate), now
		}
	}
	for _, c := range g.records {
		g.ceilingCovers(c, 0) // refills it by the old terms
	}
	g.cfg, g.planEmptyAt = next, planEmptyAt
	g.addPlans()
	g.setRetryAfter()
	for _, c := range g.records {
		before, after := c.plan, &g.cfg.Plans[c.key.plan]
		c.plan = after
		if (before.Rate > 0) != (after.Rate > 0) { // readings have another unit from now on
			g.resetEstimates(c)
		} else if c.shownLevel = min(c.shownLevel, after.Burst); c.measured && after.Rate > 0 {
			quota := g.quotaPerPeriod(after)
			c.probability = c.meanApplied * quota / max(c.meanUse, minUse*quota)
		}
	}
	return nil
}

// emptyAt is when the ceiling shares of a plan's customers without a record were empty.
func (g *Gateway) emptyAt(plan int) time.Duration {
	if plan < len(g.planEmptyAt) {
		return max(g.ceilingsEmptyAt, g.planEmptyAt[plan])
	}
	return g.ceilingsEmptyAt
}
