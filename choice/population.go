package choice

// Statistics over the readings of all customers of a plan: the prior for a customer without one. In a large
// fleet most requests reach a gateway that has no reading of their customer.

import "math"

// Settings.
const (
	initialUse      = 1.0  // assumed mean use of a plan's customers before any reading, in quotas
	initialUnits    = 1.0  // units of quota in a plan's readings that weigh as much as that assumption
	maxPlanReadings = 100  // max readings over which a plan's mean use is averaged
	minUse          = 0.25 // min use that is assumed of a customer, in quotas
)

// planUsage averages the readings of a plan's customers. Readings arrive with answers, so a customer's weight
// is proportional to its requests, as among the requests that reach this gateway.
type planUsage struct {
	quotaUnits  float64 // units of quota in the readings
	meanUse     float64 // mean use in quotas; for open plans, mean peak relative to the limit
	meanApplied float64 // mean admission probability applied meanwhile
}

// addReading adds a reading of one customer. It is capped at what the token bucket can have held in the
// period, so that no single reading, correct or not, changes the mean much.
func (u *planUsage) addReading(p *Plan, quota, use, applied float64) {
	u.quotaUnits = min(u.quotaUnits+quota, maxPlanReadings*quota)
	weight := quota / (u.quotaUnits + initialUnits)
	u.meanUse += weight * (min(use, quota+p.Burst)/quota - u.meanUse)
	u.meanApplied += weight * (applied - u.meanApplied)
}

// expectedUse is the use, in quotas, that is assumed of a customer without a reading. It is the quantile at
// which refusing a unit within the quota costs as much as admitting one beyond it (overCost): the critical
// ratio of the newsvendor problem (Arrow, Harris and Marschak, 1951). The customers' rates are assumed to be
// exponentially distributed, the distribution with the fewest assumptions besides its mean.
func (u *planUsage) expectedUse(overCost float64) float64 {
	return max(minUse, u.meanUse*math.Log1p(overCost))
}

// addPlans adds the statistics of new plans.
func (g *Gateway) addPlans() {
	for len(g.usage) < len(g.cfg.Plans) {
		g.usage = append(g.usage, planUsage{meanUse: initialUse, meanApplied: 1})
	}
}

// resetEstimates sets c to the estimates for a customer without a reading.
func (g *Gateway) resetEstimates(c *customer) {
	usage := &g.usage[c.key.plan]
	use := usage.expectedUse(c.plan.OverCost)
	c.meanApplied = usage.meanApplied
	c.probability = c.meanApplied / use
	c.meanUse = use * g.quotaPerPeriod(c.plan)
	c.meanPassed, c.meanOffered = 0, 0
	c.measured, c.shownLevel, c.shownAt = false, c.plan.Burst, g.now
}
