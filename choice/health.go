package choice

// Health of backends: outlier ejection and slow start.

// Settings, relative to those of Config.
const (
	failureWeight    = 0.15 // min weight of one outcome in a backend's failure rate
	ejectAbove       = 0.5  // failure rate above which a backend is ejected
	maxEjected       = 0.4  // max share of the ready backends that is ejected at once
	ejectAims        = 8.0  // mean duration of an ejection, in longest aims
	unresponsiveAims = 0.4  // longest aims with attempts in flight and no answer, until it is unresponsive
	coldFactor       = 1.5  // rate to a cold backend, relative to its capacity; it crashes at CrashMultiple
	coldBurst        = 1.5  // size of a cold backend's token bucket
)

// unresponsive reports whether b has attempts in flight but has sent no answer for a time.
func (g *Gateway) unresponsive(b *backend) bool {
	return b.inFlight > 0 && (g.now-b.waitingSince).Seconds() > unresponsiveAims*g.maxAim.Seconds()
}

// capacity is the min share of its full capacity that a backend has now.
func (g *Gateway) capacity(b *backend) float64 {
	age := g.now - b.Started
	if !b.StartKnown || g.cfg.WarmUpTime <= 0 || age >= g.cfg.WarmUpTime {
		return 1
	}
	from := max(g.cfg.ColdCapacity, 0.02)
	return from + (1-from)*max(0, age.Seconds())/g.cfg.WarmUpTime.Seconds()
}

// coldAllows limits what is sent to a cold backend by a token bucket. It fills at coldFactor times the
// backend's capacity times the mean rate that this gateway sends to a backend. A warm backend handles the sum
// of these rates, so a cold one gets at most coldFactor times its capacity, however many gateways there are.
func (g *Gateway) coldAllows(b *backend) bool {
	share := g.capacity(b)
	if share >= 1 {
		return true
	}
	meanRate := 1 / max(g.firstGap, 1e-9) / float64(max(1, min(g.inUse(), len(g.fleet))))
	elapsed := (g.now - b.tokensAt).Seconds()
	b.tokens, b.tokensAt = min(coldBurst, b.tokens+elapsed*coldFactor*share*meanRate), g.now
	return b.tokens >= 1
}

// inUse is the number of backends that this gateway uses at a time.
func (g *Gateway) inUse() int {
	if len(g.candidates) > 0 {
		return g.subsetSize
	}
	return len(g.fleet)
}

// recordFailure updates the failure rates and ejects a backend that fails too often.
func (g *Gateway) recordFailure(b *backend, failed bool, weight float64) {
	v := 0.0
	if failed {
		v = 1
	}
	b.failureRate += max(failureWeight, weight) * (v - b.failureRate)
	g.zoneFailures[b.Zone] += failureWeight * (v - g.zoneFailures[b.Zone])
	if !failed {
		return
	}
	ejected := 1.0
	for _, o := range g.fleet {
		if g.now < o.ejectedUntil {
			ejected++
		}
	}
	if g.now >= b.ejectedUntil && b.failureRate > ejectAbove && ejected <= maxEjected*float64(len(g.fleet)) {
		span := ejectAims * g.maxAim.Seconds()
		b.ejectedUntil = g.now + seconds(span*(0.8+0.4*g.rng.Float64()))
		b.failureRate = 0
	}
}
