package emulate

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Customers is a group of customers with the same parameters.
type Customers struct {
	Count         int
	Plan          int
	Rate          float64       // requests per second of each customer, not counting clients' retries
	Spread        int           // number of gateways that receive each customer's requests
	Zipf          float64       // exponent of the gateways' shares by rank, in random order; 0: shares of 0.3 to 1.7 of the mean
	ShiftEvery    time.Duration // mean time until another gateway gets the largest share; 0: never
	BurstFactor   float64       // rate within bursts as a multiple of Rate; 0: no bursts
	BurstOn       time.Duration
	BurstOff      time.Duration // mean lengths of bursts (BurstOn) and of the gaps between them
	ThinkTime     time.Duration // if positive, each has one client in a closed loop with this mean think time, and Rate is unused
	OneShot       bool          // each customer sends one request only: Count*Rate new customers per second
	RateVariation float64       // each customer's rate is uniform in Rate*(1-RateVariation) to Rate*(1+RateVariation)
}

// tryResult is the result of a try as its client sees it.
type tryResult int

const (
	served tryResult = iota
	refused
	failed
	disconnected // its gateway is down
)

const periodsKept = 64

// customer holds the true state of one customer, of which gateways see meter readings only.
type customer struct {
	world            *World
	group            *Customers
	id               uint64
	plan             int
	spread           int
	first            int
	ranks            []int     // rank of each of its gateways by share, 0 for the largest
	cumulativeShares []float64 // running sums of its gateways' shares

	quota, idealQuota bucket // its quota after what was sent on, and after an oracle that accepts every request that fits
	ceiling           bucket
	reference         referenceState
	scale             float64              // its rate over that of its group
	usage             [periodsKept]float64 // units sent on, by meter period
	period            int64
}

// bucket is a token bucket.
type bucket struct {
	level float64
	at    time.Duration
}

func (b *bucket) fill(now time.Duration, rate, capacity float64) {
	b.level = min(capacity, b.level+rate*(now-b.at).Seconds())
	b.at = now
}

// clientRequest is one request of a client with all its tries.
type clientRequest struct {
	customer     *customer
	class        int
	worth        float64
	withinQuota  bool // the oracle accepts it within the quota
	tries        int
	lastAnswered int           // number of the last try that was answered
	deadline     time.Duration // when the client abandons the current try
	firstSent    time.Duration // time of the first try
	sent         time.Duration // time of the current try
	gateway      int           // of the current try
	overQuota    bool          // sent on although the quota was exhausted
	done         bool
}

// addCustomers creates the customers and schedules their arrivals.
func (w *World) addCustomers() {
	for i := range w.Spec.Customers {
		g := &w.Spec.Customers[i]
		if g.OneShot {
			w.scheduleOneShots(g)
			continue
		}
		for range g.Count {
			c := w.newCustomer(g)
			if g.ThinkTime > 0 {
				w.after(time.Duration(w.rng.ExpFloat64()*float64(g.ThinkTime)), c.startRequest)
				continue
			}
			c.scheduleArrival(false, 0)
		}
	}
}

func (w *World) newCustomer(g *Customers) *customer {
	n := len(w.gateways)
	c := &customer{world: w, group: g, id: uint64(len(w.customers) + 1), plan: g.Plan, spread: min(max(g.Spread, 1), n), first: w.rng.IntN(n)}
	p := &w.Config.Plans[g.Plan]
	c.quota.level, c.idealQuota.level, c.ceiling.level = p.Burst, p.Burst, p.CeilingBurst
	c.quota.at, c.idealQuota.at, c.ceiling.at = w.now, w.now, w.now
	c.reference.passes = []referencePass{{c.quota, -1}}
	c.scale = 1
	if g.RateVariation > 0 {
		c.scale += g.RateVariation * (2*w.rng.Float64() - 1)
	}
	c.drawShares(w.rng.Perm(c.spread))
	if g.ShiftEvery > 0 && g.Zipf > 0 {
		c.scheduleShift()
	}
	w.customers = append(w.customers, c)
	return c
}

// drawShares draws the shares of the customer's gateways; with Zipf they follow from the ranks.
func (c *customer) drawShares(ranks []int) {
	w, sum := c.world, 0.0
	c.ranks, c.cumulativeShares = ranks, c.cumulativeShares[:0]
	for k := range c.spread {
		share := 0.3 + 1.4*w.rng.Float64()
		if c.group.Zipf > 0 {
			share = math.Pow(float64(1+ranks[k]), -c.group.Zipf)
		}
		sum += w.shareOf((c.first+k)%len(w.gateways)) * share
		c.cumulativeShares = append(c.cumulativeShares, sum)
	}
}

// scheduleShift repeatedly swaps the gateway with the largest share with a random one.
func (c *customer) scheduleShift() {
	w := c.world
	w.after(time.Duration(w.rng.ExpFloat64()*float64(c.group.ShiftEvery)), func() {
		i, k := slices.Index(c.ranks, 0), w.rng.IntN(c.spread)
		c.ranks[i], c.ranks[k] = c.ranks[k], c.ranks[i]
		c.drawShares(c.ranks)
		if w.now < w.LoadFor {
			c.scheduleShift()
		}
	})
}

// scheduleOneShots schedules arrivals of new customers that send one request each.
func (w *World) scheduleOneShots(g *Customers) {
	w.after(time.Duration(w.rng.ExpFloat64()/max(g.Rate*float64(g.Count), 1e-9)*float64(time.Second)), func() {
		if w.now < w.LoadFor {
			w.newCustomer(g).startRequest()
			w.scheduleOneShots(g)
		}
	})
}

// scheduleArrival schedules the customer's next candidate arrival. Bursts are a two-state
// modulated Poisson process, generated by thinning (Lewis and Shedler, 1979): candidates come
// at the peak rate, and each is accepted with the probability of the current rate over the
// peak rate. on says whether a burst is on, and until when that state ends.
func (c *customer) scheduleArrival(on bool, until time.Duration) {
	w := c.world
	gap := w.rng.ExpFloat64() / max(c.peakRate(), 1e-9)
	w.after(time.Duration(gap*float64(time.Second)), func() { c.arrive(on, until) })
}

// arrive sends a request if the candidate arrival is accepted, and schedules the next one.
func (c *customer) arrive(on bool, until time.Duration) {
	w := c.world
	if w.now >= w.LoadFor {
		return
	}
	on, until = c.burstState(on, until)
	if probability := c.rate(on) / max(c.peakRate(), 1e-9); probability >= 1 || w.rng.Float64() < probability {
		c.startRequest()
	}
	c.scheduleArrival(on, until)
}

// burstState advances the burst process to the current time. A run starts in a burst with the
// stationary probability.
func (c *customer) burstState(on bool, until time.Duration) (bool, time.Duration) {
	g, w := c.group, c.world
	if g.BurstFactor <= 0 {
		return false, 0
	}
	for w.now >= until {
		if on = !on; until == 0 {
			on = w.happens(float64(g.BurstOn) / float64(g.BurstOn+g.BurstOff))
		}
		span := g.BurstOff
		if on {
			span = g.BurstOn
		}
		until += time.Duration(w.rng.ExpFloat64()*float64(span)) + 1
	}
	return on, until
}

// rate returns the customer's current requests per second.
func (c *customer) rate(on bool) float64 {
	rate := c.group.Rate * c.scale * c.world.Surge.factorAt(c.world.now)
	if on {
		rate *= c.group.BurstFactor
	}
	return rate
}

// peakRate returns the maximum of the customer's rate.
func (c *customer) peakRate() float64 {
	return c.group.Rate * c.scale * max(c.group.BurstFactor, 1) * max(c.world.Surge.Factor, 1)
}

// startRequest creates a client's request and sends its first try.
func (c *customer) startRequest() {
	w := c.world
	x, class := w.rng.Float64(), 0
	for class < len(w.Mix)-1 && x >= w.Mix[class] {
		x -= w.Mix[class]
		class++
	}
	p := &w.Config.Plans[c.plan]
	d := &clientRequest{customer: c, class: class, firstSent: w.now, worth: w.Config.Classes[class].Worth * p.Price}
	f := &w.figures.Classes[class]
	f.Asked++
	c.idealQuota.fill(w.now, p.Rate, p.Burst)
	if d.withinQuota = p.Rate <= 0 || c.idealQuota.level >= 1; d.withinQuota {
		c.idealQuota.level--
		w.figures.Inside += d.worth
		w.second(w.now).Inside += d.worth
		c.groupFigures().Inside += d.worth
		f.Inside += d.worth
		f.AskedInside++
	}
	d.try()
}

// try sends the next try to one of the customer's gateways.
func (d *clientRequest) try() {
	c, w := d.customer, d.customer.world
	d.tries++
	d.sent = w.now
	d.deadline = w.now + w.Clients.timeout(w.Config.Classes[d.class].Deadline)
	w.figures.Tries++
	c.groupFigures().Tries++
	if d.tries == 1 || !w.happens(w.Clients.SameGateway) {
		d.gateway = c.pick(w.rng)
	}
	if d.tries == 1 {
		c.referenceTry(d, d.gateway, 1)
	}
	g := w.gateways[d.gateway]
	tries := d.tries
	w.schedule(d.deadline, func() { // no answer before the deadline
		if !d.done && d.tries == tries && d.lastAnswered < tries {
			w.figures.Unanswered++
			d.finish()
		}
	})
	w.after(w.uniform(w.NetworkDelay), func() { g.receive(d) })
}

// pick draws one of the customer's gateways, weighted by their shares.
func (c *customer) pick(rng *rand.Rand) int {
	i, _ := slices.BinarySearch(c.cumulativeShares, rng.Float64()*c.cumulativeShares[len(c.cumulativeShares)-1])
	return (c.first + min(i, len(c.cumulativeShares)-1)) % len(c.world.gateways)
}

// answered delivers the result of a try from its gateway to the client, which may retry.
func (d *clientRequest) answered(e tryResult, after time.Duration) {
	w := d.customer.world
	tries := d.tries
	w.after(w.uniform(w.NetworkDelay), func() {
		if d.done || d.tries != tries {
			return
		}
		d.lastAnswered = tries
		f := &w.figures.Classes[d.class]
		cl := &w.Config.Classes[d.class]
		switch e {
		case served:
			d.finish()
			f.Served++
			w.figures.Latency = append(w.figures.Latency, w.now-d.sent)
			if w.now-d.sent <= cl.Aim && !d.overQuota {
				w.figures.Served += d.worth
				w.second(d.firstSent).Served += d.worth
				d.customer.groupFigures().Served += d.worth
				f.Worth += d.worth
			} else if !d.overQuota {
				w.figures.Served += d.worth * cl.LateWorth
			}
			return
		case refused:
			w.figures.Refused++
			d.customer.groupFigures().Refused++
			if d.customer.hasRoom() {
				w.figures.RefusedWithRoom++
				d.customer.groupFigures().RefusedWithRoom++
			}
		case failed:
			w.figures.Failed++
		case disconnected:
			w.figures.Disconnected++
		}
		if d.tries >= w.MaxTries || e == failed && cl.Effect != 0 || w.now >= w.LoadFor {
			d.finish()
			return
		}
		wait := w.backoff(d.tries)
		if after > 0 && !w.happens(w.Clients.IgnoreAdvice) {
			wait = after
		}
		w.after(wait, d.try)
	})
}

// groupFigures returns the figures of the customer's group.
func (c *customer) groupFigures() *GroupFigures {
	for i := range c.world.Spec.Customers {
		if &c.world.Spec.Customers[i] == c.group {
			return &c.world.figures.Groups[i]
		}
	}
	panic("emulate: customer belongs to no group")
}

// finish ends the request for its client, which sends its next one after the think time, if it has one.
func (d *clientRequest) finish() {
	d.done = true
	if think, w := d.customer.group.ThinkTime, d.customer.world; think > 0 {
		w.after(time.Duration(w.rng.ExpFloat64()*float64(think)), func() {
			if w.now < w.LoadFor {
				d.customer.startRequest()
			}
		})
	}
}

// hasRoom reports whether at least half of the quota is unused.
func (c *customer) hasRoom() bool {
	p := &c.world.Config.Plans[c.plan]
	c.quota.fill(c.world.now, p.Rate, p.Burst)
	return p.Rate <= 0 || c.quota.level >= p.Burst/2
}

// recordSent counts a try that a gateway has sent to a backend.
func (c *customer) recordSent(d *clientRequest) {
	w := c.world
	p := &w.Config.Plans[c.plan]
	w.figures.Passed++
	c.groupFigures().Passed++
	if p.Rate > 0 {
		c.quota.fill(w.now, p.Rate, p.Burst)
		if c.quota.level >= 1 {
			c.quota.level--
		} else {
			d.overQuota = true
			w.figures.Beyond++
			c.groupFigures().Beyond++
			w.figures.BeyondWorth += d.worth * p.OverCost
		}
	}
	if p.CeilingRate > 0 {
		c.ceiling.fill(w.now, p.CeilingRate, p.CeilingBurst)
		c.ceiling.level--
		if c.ceiling.level < -p.CeilingTolerance {
			w.figures.CeilingPassed++
		}
		w.figures.MinCeilingLevel = min(w.figures.MinCeilingLevel, c.ceiling.level)
	}
	if w.Config.MeterPeriod > 0 {
		n := int64(w.now / w.Config.MeterPeriod)
		c.advancePeriod(n)
		c.usage[n%periodsKept]++
	}
}

func (c *customer) advancePeriod(n int64) {
	if n-c.period > periodsKept {
		c.period = n - periodsKept
	}
	for ; c.period < n; c.period++ {
		c.usage[(c.period+1)%periodsKept] = 0
	}
}

// reading returns the meter's current reading: the usage in the last complete period that
// the meter has processed, as a fraction of the customer's rate, rounded to whole percent.
func (c *customer) reading(now time.Duration) (known bool, used float64) {
	p, period := &c.world.Config.Plans[c.plan], c.world.Config.MeterPeriod
	if period <= 0 || p.Rate <= 0 {
		return false, 0
	}
	n := int64((now-c.world.MeterLag)/period) - 1
	if now < c.world.MeterLag || n < 0 || n <= c.period-periodsKept {
		return n >= 0 && now >= c.world.MeterLag, 0
	}
	units := 0.0
	if n <= c.period {
		units = c.usage[n%periodsKept]
	}
	return true, math.Round(units/(p.Rate*period.Seconds())*100) / 100
}
