package choice

// Load balancing by load, latency, zone and failures.

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Settings, relative to those of Config.
const (
	minPicks       = 3    // min random picks of which the best backend is used
	fleetPicks     = 3    // such picks of all gateways together, in sizes of the fleet
	costInFlight   = 1.5  // weight of an own attempt in flight
	costOthers     = 0.5  // weight of another gateway's attempt, as reported
	minCostLatency = 0.5  // min relative latency of a backend
	costZone       = 5.0  // weight of the cost of leaving the zone
	costFailures   = 4.0  // weight of a failure rate
	costJitter     = 0.1  // random share of the cost
	probeShare     = 0.3  // probes per first attempt, if reports show the attempts in flight
	gapWeight      = 0.05 // min weight of one time between first attempts in their mean
	reportAims     = 3.0  // max aims for which a report is used; after that the fleet's mean is
	coldInitial    = 2.0  // attempts that all gateways together may send to a backend when it has started
)

// Members takes a list of backends from discovery.
func (g *Gateway) Members(now time.Duration, kind ListKind, list []Backend) {
	g.advance(now)
	if kind == Failed {
		return
	}
	listed := map[uint32]bool{}
	for _, m := range list {
		listed[m.ID] = true
		b := g.backends[m.ID]
		if b == nil {
			b = &backend{latency: 1, pickWeight: 1}
			g.backends[m.ID] = b
		}
		if b.StartKnown != m.StartKnown || b.Started != m.Started {
			b.ejectedUntil, b.failureRate, b.latency, b.tokens, b.tokensAt = 0, 0, 1, g.rng.Float64(), now
			senders := float64(g.cfg.Gateways*g.inUse()) / float64(max(1, len(g.fleet)))
			if g.rng.Float64()*senders < coldInitial {
				b.tokens = 1
			}
		}
		if m.State == Removed { // keeps its cell and zone: they restrict where its attempts may be repeated
			b.State = Removed
		} else if b.Backend = m; m.State == Ready && !slices.Contains(g.fleet, b) {
			g.fleet = append(g.fleet, b)
		}
	}
	maps.DeleteFunc(g.backends, func(id uint32, b *backend) bool {
		if kind != Delta && !listed[id] {
			b.State = Removed
		}
		return b.State == Removed && b.inFlight == 0
	})
	g.fleet = slices.DeleteFunc(g.fleet, func(b *backend) bool { return b.State != Ready })
}

// SetCandidates sets the backends to use, in order of preference, and how many of them to use at a time: the
// first ones that take work, and more while some of these are cold. If none takes work, any ready backend is
// used. An empty order means the whole fleet. Call it after each Members, which may have changed the fleet.
func (g *Gateway) SetCandidates(now time.Duration, order []Candidate, size int) {
	g.advance(now)
	g.candidates, g.subsetSize = g.candidates[:0], size
	for _, candidate := range order {
		if b := g.backends[candidate.Backend]; b != nil {
			b.pickWeight = candidate.PickWeight
			g.candidates = append(g.candidates, b)
		}
	}
}

// usable reports whether b may get the next attempt of r and is healthy.
func (g *Gateway) usable(r *request, b *backend) bool {
	return b.State == Ready && g.now >= b.ejectedUntil && !g.unresponsive(b) && g.mayRepeatOn(r, b) &&
		g.coldAllows(b) && !slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.target == b })
}

// pick returns a backend for the next attempt of r, or nil: the best of a few random ones. The more gateways
// there are, the less the own attempts in flight show of a backend's load, and the more often all gateways
// would pick the same one. Random picks prevent such herding, be it due to a report, a size or a zone. With
// few gateways they waste information.
func (g *Gateway) pick(r *request) *backend {
	var best *backend
	cost := math.Inf(1)
	try := func(b *backend, capacity float64) {
		if c := g.cost(r, b) / capacity; c < cost {
			best, cost = b, c
		}
	}
	if picks := max(minPicks, fleetPicks*len(g.fleet)/g.cfg.Gateways); len(g.candidates) > 0 {
		g.eligible = g.eligible[:0]
		warm, totalWeight := 0.0, 0.0 // a cold backend counts by its capacity
		for _, b := range g.candidates {
			if g.usable(r, b) {
				g.eligible = append(g.eligible, b)
				totalWeight += b.pickWeight * g.capacity(b)
				if warm += g.capacity(b); warm >= float64(g.subsetSize) {
					break
				}
			}
		}
		for range min(picks, len(g.eligible)) {
			at, i := g.rng.Float64()*totalWeight, 0
			for ; i < len(g.eligible)-1 && at >= g.eligible[i].pickWeight*g.capacity(g.eligible[i]); i++ {
				at -= g.eligible[i].pickWeight * g.capacity(g.eligible[i])
			}
			try(g.eligible[i], 1) // its capacity counts in the draw already
		}
	} else if picks < len(g.fleet) {
		for range picks {
			if b := g.fleet[g.rng.IntN(len(g.fleet))]; g.usable(r, b) {
				try(b, g.capacity(b))
			}
		}
	}
	if best == nil {
		for _, b := range g.fleet {
			if g.usable(r, b) {
				try(b, g.capacity(b))
			}
		}
	}
	if best == nil {
		for _, b := range g.fleet {
			if g.mayRepeatOn(r, b) && g.coldAllows(b) {
				try(b, g.capacity(b))
			}
		}
	}
	return best
}

// cost rates a warm backend by its load relative to its size, latency, zone, failures and random jitter.
func (g *Gateway) cost(r *request, b *backend) float64 {
	size := 1.0
	if g.cfg.WeightsTrusted && b.Weight > 0 {
		size = b.Weight
	}
	others := b.othersInFlight
	if (g.now - b.reportedAt).Seconds() > reportAims*g.maxAim.Seconds() {
		others = g.meanReported
	}
	c := (costInFlight*float64(b.inFlight) + costOthers*others + 1) / size * max(b.latency, minCostLatency)
	if b.Zone != g.cfg.Zone {
		c *= 1 + costZone*g.cfg.CrossZoneCost
	}
	c *= 1 + costFailures*(b.failureRate+g.zoneFailures[b.Zone])
	return c * (1 + costJitter*g.rng.Float64())
}

// mayRepeatOn reports whether the effect of r's class allows an attempt on b now.
func (g *Gateway) mayRepeatOn(r *request, b *backend) bool {
	a := r.firstRun()
	if a == nil {
		return true
	}
	cl := &g.cfg.Classes[r.Class]
	switch cl.Effect {
	case AtMostOnce:
		return false
	case Deduplicated:
		return g.now-a.sent < cl.Window && (cl.Group == GroupAll ||
			cl.Group == GroupZone && b.Zone == a.target.Zone && b.Zone >= 0 ||
			cl.Group == GroupCell && b.Cell == a.target.Cell)
	}
	return true
}

// Probed handles the answer to a probe.
func (g *Gateway) Probed(now time.Duration, p ProbeResult) {
	g.advance(now)
	b := g.backends[p.Backend]
	if b != nil && p.Status == OK && g.inflightField >= 0 && g.inflightField < p.Load.N {
		b.othersInFlight, b.reportedAt = max(0, p.Load.Values[g.inflightField]-float64(b.inFlight)), now
		g.meanReported += meanWeight * (b.othersInFlight - g.meanReported)
	}
}

// probe asks the backends in use in turn for their load, at a rate proportional to the requests sent. It asks
// none if requests are so rare that a report would be outdated before the next one of the same backend.
func (g *Gateway) probe() {
	maxAge, targets := reportAims*g.maxAim.Seconds(), g.fleet
	g.firstCount++
	g.firstGap += max(gapWeight, 1/g.firstCount) * (min((g.now-g.lastFirstAt).Seconds(), maxAge) - g.firstGap)
	g.lastFirstAt = g.now
	if !g.cfg.Probing || g.inflightField < 0 {
		return
	}
	if len(g.candidates) > 0 && len(g.eligible) > 0 {
		targets = g.eligible
	}
	if probeShare*maxAge < g.firstGap*float64(len(targets)) {
		return
	}
	for g.probeCredit += probeShare; g.probeCredit >= 1; g.probeCredit-- {
		g.lastProbed = (g.lastProbed + 1) % len(targets)
		g.act.Probe(targets[g.lastProbed].ID)
	}
}
