package choice

// Health of backends: outlier ejection, and slow start of cold ones.

// Settings, each a ratio to what Config states.
const (
	failAverage = 0.15 // weight of one outcome in a backend's share of failures
	ejectOver   = 0.5  // share of failures at which a backend is ejected
	ejectMost   = 0.4  // share of the ready fleet that may be ejected at once
	ejectAims   = 8.0  // longest aims that an ejection lasts
	silentAims  = 0.4  // longest aims without any answer while attempts are out: the backend is silent
	coldTimes   = 1.5  // warmths of a backend's usual work that a cold one gets, of FallMultiple
	coldBurst   = 1.5  // attempts saved up for a cold backend at most
)

// silent tells of a backend that takes attempts and answers none.
func (g *Gateway) silent(b *backend) bool {
	return b.out > 0 && (g.now-b.waiting).Seconds() > silentAims*g.longest.Seconds()
}

// warmth is the least part of its capacity that a backend can have now.
func (g *Gateway) warmth(b *backend) float64 {
	age := g.now - b.Started
	if !b.StartKnown || g.cfg.WarmUpTime <= 0 || age >= g.cfg.WarmUpTime {
		return 1
	}
	from := max(g.cfg.ColdCapacity, 0.02)
	return from + (1-from)*max(0, age.Seconds())/g.cfg.WarmUpTime.Seconds()
}

// coldRoom bounds what goes to a cold backend by a token bucket that fills at so many times its warmth of
// what this gateway gives each backend it uses. A warm one bears what all gateways give it together, so a
// cold one is sent no more than that multiple of what it can do, however many gateways there are.
func (g *Gateway) coldRoom(b *backend) bool {
	w := g.warmth(b)
	if w >= 1 {
		return true
	}
	each := 1 / max(g.firstGap, 1e-9) / float64(max(1, min(g.inUse(), len(g.fleet))))
	span := (g.now - b.filled).Seconds()
	b.tokens, b.filled = min(coldBurst, b.tokens+span*coldTimes*w*each), g.now
	return b.tokens >= 1
}

// inUse is how many backends take this gateway's work at a time.
func (g *Gateway) inUse() int {
	if len(g.order) > 0 {
		return g.size
	}
	return len(g.fleet)
}

// judge ejects a backend that fails far more than the fleet does.
func (g *Gateway) judge(b *backend, failed bool, weight float64) {
	v := 0.0
	if failed {
		v = 1
	}
	b.fails += max(failAverage, weight) * (v - b.fails)
	g.zones[b.Zone] += failAverage * (v - g.zones[b.Zone])
	if !failed {
		return
	}
	ejected := 1.0
	for _, o := range g.fleet {
		if g.now < o.until {
			ejected++
		}
	}
	if g.now >= b.until && b.fails > ejectOver && ejected <= ejectMost*float64(len(g.fleet)) {
		span := ejectAims * g.longest.Seconds()
		b.until = g.now + seconds(span*(0.8+0.4*g.rng.Float64()))
		b.fails = 0
	}
}
