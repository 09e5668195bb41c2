package emulate

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Customers is a group of customers alike.
type Customers struct {
	Count  int
	Plan   int
	Rate   float64       // requests a second of each; clients' further tries come besides
	Spread int           // gateways through which each one's requests come
	Zipf   float64       // exponent of their parts by rank, in an order by chance; 0: parts of 0.3 to 1.7 of the mean
	Moves  time.Duration // mean time after which another gateway has the largest part; 0: never
	Burst  float64       // in bursts, so many times Rate; 0: steady
	On     time.Duration
	Off    time.Duration // mean lengths of bursts and of the time between
	Think  time.Duration // above 0: each has one client, which asks again so long (mean) after each end, not by Rate
	Once   bool          // each asks once only: Count*Rate new ones a second
	Vary   float64       // each one's rate is drawn evenly from Rate times 1-Vary to 1+Vary
}

// ending is how a try ends for its client.
type ending int

const (
	served ending = iota
	refused
	failed
	broken // its gateway is gone
)

const periodsKept = 64

// customer is one customer: the truth of it.
type customer struct {
	world  *World
	group  *Customers
	id     uint64
	plan   int
	spread int
	first  int
	ranks  []int     // by size of their parts, of the gateways of its set
	shares []float64 // running sums of these parts

	store, ideal bucket // what is left of its quota; and if an oracle passed all that fits
	ceiling      bucket
	late         lateState
	scale        float64              // of its rate, over that of its group
	use          [periodsKept]float64 // units sent on, by period of the meter
	period       int64
}

// bucket is a token bucket.
type bucket struct {
	level float64
	at    time.Duration
}

func (b *bucket) fill(now time.Duration, rate, most float64) {
	b.level = min(most, b.level+rate*(now-b.at).Seconds())
	b.at = now
}

// demand is what a client wants: one request, and all its tries.
type demand struct {
	of     *customer
	class  int
	worth  float64
	inside bool // an oracle would serve it inside the quota
	tries  int
	heard  int           // the last try that has been answered
	until  time.Duration // the client gives this try up
	first  time.Duration // its first try
	sent   time.Duration // this try
	at     int           // the gateway of this try
	beyond bool          // sent on beyond the quota
	done   bool
}

// populate makes the customers and their arrivals.
func (w *World) populate() {
	for i := range w.Spec.Customers {
		g := &w.Spec.Customers[i]
		if g.Once {
			w.oneOffs(g)
			continue
		}
		for range g.Count {
			c := w.newCustomer(g)
			if g.Think > 0 {
				w.after(time.Duration(w.rng.ExpFloat64()*float64(g.Think)), c.ask)
				continue
			}
			c.schedule(false, 0)
		}
	}
}

func (w *World) newCustomer(g *Customers) *customer {
	n := len(w.gateways)
	c := &customer{world: w, group: g, id: uint64(len(w.people) + 1), plan: g.Plan, spread: min(max(g.Spread, 1), n), first: w.rng.IntN(n)}
	p := &w.Config.Plans[g.Plan]
	c.store.level, c.ideal.level, c.ceiling.level = p.Burst, p.Burst, p.CeilingBurst
	c.store.at, c.ideal.at, c.ceiling.at = w.now, w.now, w.now
	c.late.passes = []latePass{{c.store, -1}}
	c.scale = 1
	if g.Vary > 0 {
		c.scale += g.Vary * (2*w.rng.Float64() - 1)
	}
	c.part(w.rng.Perm(c.spread))
	if g.Moves > 0 && g.Zipf > 0 {
		c.move()
	}
	w.people = append(w.people, c)
	return c
}

// part draws the parts of the gateways of the set, with their ranks where these count.
func (c *customer) part(ranks []int) {
	w, sum := c.world, 0.0
	c.ranks, c.shares = ranks, c.shares[:0]
	for k := range c.spread {
		part := 0.3 + 1.4*w.rng.Float64()
		if c.group.Zipf > 0 {
			part = math.Pow(float64(1+ranks[k]), -c.group.Zipf)
		}
		sum += w.shareOf((c.first+k)%len(w.gateways)) * part
		c.shares = append(c.shares, sum)
	}
}

// move has the gateway of the largest part change places with another, again and again.
func (c *customer) move() {
	w := c.world
	w.after(time.Duration(w.rng.ExpFloat64()*float64(c.group.Moves)), func() {
		i, k := slices.Index(c.ranks, 0), w.rng.IntN(c.spread)
		c.ranks[i], c.ranks[k] = c.ranks[k], c.ranks[i]
		c.part(c.ranks)
		if w.now < w.For {
			c.move()
		}
	})
}

// oneOffs has new customers ask once each.
func (w *World) oneOffs(g *Customers) {
	w.after(time.Duration(w.rng.ExpFloat64()/max(g.Rate*float64(g.Count), 1e-9)*float64(time.Second)), func() {
		if w.now < w.For {
			w.newCustomer(g).ask()
			w.oneOffs(g)
		}
	})
}

// schedule sets the next moment at which the customer may ask. Bursts are a two-state
// modulated Poisson process, played by thinning (Lewis and Shedler, 1979): moments come at
// the highest rate, and each is used with the chance of the rate of its time. on tells the
// state, until its end.
func (c *customer) schedule(on bool, until time.Duration) {
	w := c.world
	gap := w.rng.ExpFloat64() / max(c.peakRate(), 1e-9)
	w.after(time.Duration(gap*float64(time.Second)), func() { c.arrive(on, until) })
}

// arrive asks, if the rate of now has it so, and goes on.
func (c *customer) arrive(on bool, until time.Duration) {
	w := c.world
	if w.now >= w.For {
		return
	}
	on, until = c.state(on, until)
	if chance := c.rate(on) / max(c.peakRate(), 1e-9); chance >= 1 || w.rng.Float64() < chance {
		c.ask()
	}
	c.schedule(on, until)
}

// state moves the customer's bursts on to now. A run begins in a burst as often as one is on at
// any other time.
func (c *customer) state(on bool, until time.Duration) (bool, time.Duration) {
	g, w := c.group, c.world
	if g.Burst <= 0 {
		return false, 0
	}
	for w.now >= until {
		if on = !on; until == 0 {
			on = w.chance(float64(g.On) / float64(g.On+g.Off))
		}
		span := g.Off
		if on {
			span = g.On
		}
		until += time.Duration(w.rng.ExpFloat64()*float64(span)) + 1
	}
	return on, until
}

// rate is how often the customer asks now, a second.
func (c *customer) rate(on bool) float64 {
	rate := c.group.Rate * c.scale * c.world.Surge.at(c.world.now)
	if on {
		rate *= c.group.Burst
	}
	return rate
}

// peakRate is the highest rate at which it ever asks.
func (c *customer) peakRate() float64 {
	return c.group.Rate * c.scale * max(c.group.Burst, 1) * max(c.world.Surge.By, 1)
}

// ask is a client's first try.
func (c *customer) ask() {
	w := c.world
	x, class := w.rng.Float64(), 0
	for class < len(w.Mix)-1 && x >= w.Mix[class] {
		x -= w.Mix[class]
		class++
	}
	p := &w.Config.Plans[c.plan]
	d := &demand{of: c, class: class, first: w.now, worth: w.Config.Classes[class].Worth * p.Price}
	f := &w.figures.Classes[class]
	f.Asked++
	c.ideal.fill(w.now, p.Rate, p.Burst)
	if d.inside = p.Rate <= 0 || c.ideal.level >= 1; d.inside {
		c.ideal.level--
		w.figures.Inside += d.worth
		w.second(w.now).Inside += d.worth
		c.kind().Inside += d.worth
		f.Inside += d.worth
		f.AskedInside++
	}
	d.try()
}

// try sends a try to one of the customer's gateways.
func (d *demand) try() {
	c, w := d.of, d.of.world
	d.tries++
	d.sent = w.now
	d.until = w.now + w.Clients.patience(w.Config.Classes[d.class].Deadline)
	w.figures.Tries++
	c.kind().Tries++
	if d.tries == 1 || !w.chance(w.Clients.Stay) {
		d.at = c.pick(w.rng)
	}
	if d.tries == 1 {
		c.seenLate(d, d.at, 1)
	}
	g := w.gateways[d.at]
	tries := d.tries
	w.at(d.until, func() { // nothing has come
		if !d.done && d.tries == tries && d.heard < tries {
			w.figures.Lost++
			d.finish()
		}
	})
	w.after(w.between(w.OneWay), func() { g.take(d) })
}

// pick draws one of the customer's gateways, by their parts.
func (c *customer) pick(rng *rand.Rand) int {
	i, _ := slices.BinarySearch(c.shares, rng.Float64()*c.shares[len(c.shares)-1])
	return (c.first + min(i, len(c.shares)-1)) % len(c.world.gateways)
}

// answered takes the end of a try at its gateway.
func (d *demand) answered(e ending, after time.Duration) {
	w := d.of.world
	tries := d.tries
	w.after(w.between(w.OneWay), func() {
		if d.done || d.tries != tries {
			return
		}
		d.heard = tries
		f := &w.figures.Classes[d.class]
		cl := &w.Config.Classes[d.class]
		switch e {
		case served:
			d.finish()
			f.Served++
			w.figures.Latency = append(w.figures.Latency, w.now-d.sent)
			if w.now-d.sent <= cl.Aim && !d.beyond {
				w.figures.Served += d.worth
				w.second(d.first).Served += d.worth
				d.of.kind().Served += d.worth
				f.Worth += d.worth
			} else if !d.beyond {
				w.figures.Served += d.worth * cl.LateWorth
			}
			return
		case refused:
			w.figures.Refused++
			d.of.kind().Refused++
			if d.of.roomy() {
				w.figures.RefusedWithRoom++
				d.of.kind().RefusedWithRoom++
			}
		case failed:
			w.figures.Failed++
		case broken:
			w.figures.Broken++
		}
		if d.tries >= w.Tries || e == failed && cl.Effect != 0 || w.now >= w.For {
			d.finish()
			return
		}
		wait := w.backoff(d.tries)
		if after > 0 && !w.chance(w.Clients.Ignore) {
			wait = after
		}
		w.after(wait, d.try)
	})
}

// kind is the figures of the customer's group.
func (c *customer) kind() *GroupFigures {
	for i := range c.world.Spec.Customers {
		if &c.world.Spec.Customers[i] == c.group {
			return &c.world.figures.Groups[i]
		}
	}
	panic("emulate: a customer of no group")
}

// finish ends it for its client, who may think of the next.
func (d *demand) finish() {
	d.done = true
	if think, w := d.of.group.Think, d.of.world; think > 0 {
		w.after(time.Duration(w.rng.ExpFloat64()*float64(think)), func() {
			if w.now < w.For {
				d.of.ask()
			}
		})
	}
}

// roomy tells whether half of the quota or more is unused.
func (c *customer) roomy() bool {
	p := &c.world.Config.Plans[c.plan]
	c.store.fill(c.world.now, p.Rate, p.Burst)
	return p.Rate <= 0 || c.store.level >= p.Burst/2
}

// pass counts a try that has been sent on.
func (c *customer) pass(d *demand) {
	w := c.world
	p := &w.Config.Plans[c.plan]
	w.figures.Passed++
	c.kind().Passed++
	if p.Rate > 0 {
		c.store.fill(w.now, p.Rate, p.Burst)
		if c.store.level >= 1 {
			c.store.level--
		} else {
			d.beyond = true
			w.figures.Beyond++
			c.kind().Beyond++
			w.figures.BeyondWorth += d.worth * p.OverCost
		}
	}
	if p.CeilingRate > 0 {
		c.ceiling.fill(w.now, p.CeilingRate, p.CeilingBurst)
		c.ceiling.level--
		if c.ceiling.level < -p.CeilingTolerance {
			w.figures.CeilingPassed++
		}
		w.figures.CeilingLeast = min(w.figures.CeilingLeast, c.ceiling.level)
	}
	if w.Config.MeterPeriod > 0 {
		n := int64(w.now / w.Config.MeterPeriod)
		c.roll(n)
		c.use[n%periodsKept]++
	}
}

func (c *customer) roll(n int64) {
	if n-c.period > periodsKept {
		c.period = n - periodsKept
	}
	for ; c.period < n; c.period++ {
		c.use[(c.period+1)%periodsKept] = 0
	}
}

// reading is what the meter shows: the use in the last period added up, as a
// part of the customer's rate, in whole percent.
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
		units = c.use[n%periodsKept]
	}
	return true, math.Round(units/(p.Rate*period.Seconds())*100) / 100
}
