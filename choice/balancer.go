package choice

// Choice of a backend, by its load, latency, zone and failures.

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Settings, each a ratio to what Config states.
const (
	pickLeast  = 3    // backends taken by chance of which the best is picked, at least
	pickFleets = 3    // fleets of such picks at one time, over all gateways
	costOut    = 1.5  // weight of an own attempt out at a backend
	costOthers = 0.5  // weight of a request that its report shows besides
	costLeast  = 0.5  // means: no backend's latency counts as shorter
	costZone   = 5.0  // weight of the price for leaving the zone
	costFails  = 4.0  // weight of a share of failures
	costChance = 0.1  // part of the cost left to chance
	probeShare = 0.3  // probes earned by one first attempt, where reports show the requests held
	gapWeight  = 0.05 // weight of one time between first attempts in their mean
	probeAims  = 3.0  // longest aims for which a report tells of its own backend, not of the fleet alone
	coldFirst  = 2.0  // attempts that all gateways together may send a cold backend at once
)

// Members takes a list of backends from discovery.
func (g *Gateway) Members(now time.Duration, kind ListKind, list []Backend) {
	g.step(now)
	if kind == Failed {
		return
	}
	named := map[uint32]bool{}
	for _, m := range list {
		named[m.ID] = true
		b := g.backends[m.ID]
		if b == nil {
			b = &backend{lat: 1, part: 1}
			g.backends[m.ID] = b
		}
		if b.StartKnown != m.StartKnown || b.Started != m.Started {
			b.until, b.fails, b.lat, b.tokens, b.filled = 0, 0, 1, g.rng.Float64(), now
			users := float64(g.cfg.Gateways*g.inUse()) / float64(max(1, len(g.fleet)))
			if g.rng.Float64()*users < coldFirst {
				b.tokens = 1
			}
		}
		if m.State == Removed { // its cell and zone still bound what attempts on it may have done
			b.State = Removed
		} else if b.Backend = m; m.State == Ready && !slices.Contains(g.fleet, b) {
			g.fleet = append(g.fleet, b)
		}
	}
	maps.DeleteFunc(g.backends, func(id uint32, b *backend) bool {
		if kind != Delta && !named[id] {
			b.State = Removed
		}
		return b.State == Removed && b.out == 0
	})
	g.fleet = slices.DeleteFunc(g.fleet, func(b *backend) bool { return b.State != Ready })
}

// SetCandidates sets the backends to use, in order of preference, and how many of them to use at a time: the
// first ones that take work, and more while some of these are cold. If none takes work, any ready backend is
// used. An empty order means the whole fleet. Call it after each Members, which may have changed the fleet.
func (g *Gateway) SetCandidates(now time.Duration, order []Candidate, size int) {
	g.step(now)
	g.order, g.size = g.order[:0], size
	for _, u := range order {
		if b := g.backends[u.Backend]; b != nil {
			b.part = u.PickWeight
			g.order = append(g.order, b)
		}
	}
}

// usable tells whether r may well go to b.
func (g *Gateway) usable(r *request, b *backend) bool {
	return b.State == Ready && g.now >= b.until && !g.silent(b) && g.allowed(r, b) && g.coldRoom(b) &&
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.to == b })
}

// pick returns a backend for a further attempt of r, or nil: the best of a few taken by chance. Own attempts
// out tell less of a backend's work the more gateways there are, which would all pick the same best one. It
// guards against herding of any cause, on a report, a size or a zone. Among few gateways it wastes knowledge.
func (g *Gateway) pick(r *request) *backend {
	var best *backend
	cost := math.Inf(1)
	try := func(b *backend, warmth float64) {
		if c := g.cost(r, b) / warmth; c < cost {
			best, cost = b, c
		}
	}
	if few := max(pickLeast, pickFleets*len(g.fleet)/g.cfg.Gateways); len(g.order) > 0 {
		g.near = g.near[:0]
		warm, parts := 0.0, 0.0 // a cold one takes no more than its warmth of a place
		for _, b := range g.order {
			if g.usable(r, b) {
				g.near = append(g.near, b)
				parts += b.part * g.warmth(b)
				if warm += g.warmth(b); warm >= float64(g.size) {
					break
				}
			}
		}
		for range min(few, len(g.near)) {
			at, i := g.rng.Float64()*parts, 0
			for ; i < len(g.near)-1 && at >= g.near[i].part*g.warmth(g.near[i]); i++ {
				at -= g.near[i].part * g.warmth(g.near[i])
			}
			try(g.near[i], 1) // it is drawn as often as it is warm
		}
	} else if few < len(g.fleet) {
		for range few {
			if b := g.fleet[g.rng.IntN(len(g.fleet))]; g.usable(r, b) {
				try(b, g.warmth(b))
			}
		}
	}
	if best == nil {
		for _, b := range g.fleet {
			if g.usable(r, b) {
				try(b, g.warmth(b))
			}
		}
	}
	if best == nil {
		for _, b := range g.fleet {
			if g.allowed(r, b) && g.coldRoom(b) {
				try(b, g.warmth(b))
			}
		}
	}
	return best
}

// cost weighs a backend as if warm: work held for its size, latency, distance, failures and a little chance.
func (g *Gateway) cost(r *request, b *backend) float64 {
	size := 1.0
	if g.cfg.WeightsTrusted && b.Weight > 0 {
		size = b.Weight
	}
	others := b.others
	if (g.now - b.reported).Seconds() > probeAims*g.longest.Seconds() {
		others = g.held
	}
	c := (costOut*float64(b.out) + costOthers*others + 1) / size * max(b.lat, costLeast)
	if b.Zone != g.cfg.Zone {
		c *= 1 + costZone*g.cfg.CrossZoneCost
	}
	c *= 1 + costFails*(b.fails+g.zones[b.Zone])
	return c * (1 + costChance*g.rng.Float64())
}

// allowed tells whether the rule of effects lets r go to b now.
func (g *Gateway) allowed(r *request, b *backend) bool {
	a := r.first()
	if a == nil {
		return true
	}
	cl := &g.cfg.Classes[r.Class]
	switch cl.Effect {
	case AtMostOnce:
		return false
	case Deduplicated:
		return g.now-a.sent < cl.Window && (cl.Group == GroupAll ||
			cl.Group == GroupZone && b.Zone == a.to.Zone && b.Zone >= 0 ||
			cl.Group == GroupCell && b.Cell == a.to.Cell)
	}
	return true
}

// Probed takes the answer to a probe.
func (g *Gateway) Probed(now time.Duration, p ProbeResult) {
	g.step(now)
	b := g.backends[p.Backend]
	if b != nil && p.Status == OK && g.inflight >= 0 && g.inflight < p.Load.N {
		b.others, b.reported = max(0, p.Load.Values[g.inflight]-float64(b.out)), now
		g.held += latLeast * (b.others - g.held)
	}
}

// probe asks the backends in use in turn for the requests they hold, in step with the requests sent. It asks
// none where so few requests leave here that a report would be out of date before the next of its backend.
func (g *Gateway) probe() {
	life, all := probeAims*g.longest.Seconds(), g.fleet
	g.firsts++
	g.firstGap += max(gapWeight, 1/g.firsts) * (min((g.now-g.firstAt).Seconds(), life) - g.firstGap)
	g.firstAt = g.now
	if !g.cfg.Probing || g.inflight < 0 {
		return
	}
	if len(g.order) > 0 && len(g.near) > 0 {
		all = g.near
	}
	if probeShare*life < g.firstGap*float64(len(all)) {
		return
	}
	for g.probes += probeShare; g.probes >= 1; g.probes-- {
		g.turn = (g.turn + 1) % len(all)
		g.act.Probe(all[g.turn].ID)
	}
}
