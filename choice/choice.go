package choice

// Every decision of the gateway stands in this file, in the order in which a
// request meets them; the limit on attempts out stands in limit.go. The
// interface, its types, events and actions, stands in api.go. The mechanism
// and its source are told in docs/design/choice.md.

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings. All tuned values stand here; each is a ratio to what Config states.
const (
	smoothUnits  = 8.0    // units: the offered rate is averaged over the time the rate takes to fill them
	smoothLeast  = 1.5    // meter periods: the shortest such average
	smoothOpen   = 2.0    // meter periods: the average where the reading is of open attempts
	surgeUnits   = 0.4    // units: asked above the expected, they begin to tell of a surge
	surgeRepeat  = 1.5    // units as which a client's repeat counts besides: another gateway has refused it
	openPart     = 0.4    // mean of open attempts over their peak in a period
	doubtShare   = 2.0    // deviations of what others may have passed since that the store must hold besides
	boundPeriods = 6.0    // meter periods after which the store last shown says nothing of the one now
	startUse     = 0.8    // share of its quota that a customer is taken to ask before any reading
	startUnits   = 1.7    // units of quota in a reading that weigh as much as that guess
	calmUse      = 0.25   // share of its quota that a customer is taken to ask at least
	leastChance  = 0.02   // floor of the admit chance, so that some answers always bring readings
	lagGuess     = 2      // meter periods from the end of a period to its first reading, until learned
	lagMost      = 13     // meter periods of lag that can be told
	lagReadings  = 100    // readings over which the lag is learned
	slotsPeriod  = 4      // slots of own history in one meter period
	slotsKept    = 64     // slots of own history kept: lagMost periods and a little more
	idlePeriods  = 60.0   // meter periods without a request after which a full customer is forgotten
	sweepEvery   = 8.0    // meter periods between two sweeps of idle customers
	failAverage  = 0.15   // weight of one outcome in a backend's share of failures
	ejectOver    = 0.5    // share of failures at which a backend is ejected
	ejectMost    = 0.4    // share of the ready fleet that may be ejected at once
	ejectAims    = 8.0    // longest aims that an ejection lasts
	silentAims   = 0.4    // longest aims without any answer while attempts are out: the backend is silent
	hedgeAims    = 0.65   // aims of waiting before a further attempt may be made for want of an answer
	retryShare   = 0.08   // further attempts earned by one first attempt
	retryBank    = 6.0    // further attempts that may be saved up
	latAims      = 5.0    // longest aims over which a backend's latency is averaged, however few its answers
	latLeast     = 0.05   // weight of one answer in it at least
	latUnheard   = 4.0    // a time-out weighs as so many answers
	leastRises   = 0.0002 // weight of one answer in a class's least mean latency, which falls at once
	latMost      = 8.0    // means: one answer counts as no slower
	slowBackend  = 2.5    // fleet means at which a backend's latency no longer speaks for the fleet
	clearAverage = 0.05   // weight of one request in the share that no pressure refuses
	pickLeast    = 3      // backends taken by chance of which the best is picked, at least
	pickFleets   = 3      // fleets of such picks at one time, over all gateways
	costOut      = 1.5    // weight of an own attempt out at a backend
	costOthers   = 0.5    // weight of a request that its report shows besides
	costLeast    = 0.5    // means: no backend's latency counts as shorter
	costZone     = 5.0    // weight of the price for leaving the zone
	costFails    = 4.0    // weight of a share of failures
	costChance   = 0.1    // part of the cost left to chance
	probeShare   = 0.3    // probes earned by one first attempt, where reports show the requests held
	gapWeight    = 0.05   // weight of one time between first attempts in their mean
	probeAims    = 3.0    // longest aims for which a report tells of its own backend, not of the fleet alone
	coldTimes    = 1.5    // warmths of a backend's usual work that a cold one gets, of FallMultiple
	coldBurst    = 1.5    // attempts saved up for a cold backend at most
	coldFirst    = 2.0    // attempts that all gateways together may send a cold backend at once
	adviceParts  = 5      // advice given with a refusal: the longest that clients follow over this
)

// Gateway decides for one gateway. See the package comment for its contract.
type Gateway struct {
	cfg       Config
	act       Actions
	rng       *rand.Rand
	now       time.Duration
	born      time.Duration
	begun     time.Duration   // a gateway in this one's place may have drawn on ceilings until then
	filled    []time.Duration // by plan, once its terms have changed: as if ceilings had begun to fill then
	changed   time.Duration   // a ceiling
	slot      time.Duration   // length of a slot of own history
	customers map[account]*customer
	kept      []*customer // the same in a row, so that what goes does not hang on map order
	hand      int         // place in it of the one to be looked at next when one must go
	requests  map[uint32]*request
	backends  map[uint32]*backend
	fleet     []*backend // the ready ones in order of arrival, for results that do not hang on map order
	order     []*backend // those to turn to, in this order; empty: the fleet
	size      int        // how many of these are in use at a time
	near      []*backend // scratch
	classes   []classSeen
	advice    time.Duration   // given with a refusal
	bank      float64         // further attempts that may be made
	zones     map[int]float64 // share of failures by zone: a lost zone shows sooner than each of its backends
	nextSweep time.Duration
	nextStep  time.Duration
	inflight  int           // place of "inflight" in a load report, or -1
	probes    float64       // probes earned
	firstAt   time.Duration // last first attempt
	firstGap  float64       // mean time between two of these, seconds
	firsts    float64       // how many there were
	turn      int           // place in the fleet of the last backend probed
	held      float64       // mean of what reports show
	longest   time.Duration // the longest aim
	out       int           // attempts out
	clear     float64       // share of requests that no pressure refused
	meter     meterClock
	limit     Limiter
	opened    float64 // priors that may be out, as it says
	most      int     // attempts out since its last step
	bound     bool    // it has held work back since
	refusals  [causes]uint64
}

// meterClock tells when the shown period changes, and how long before that it had ended.
type meterClock struct {
	lo, hi   time.Duration // a change happened between these times, and at whole periods from them
	known    bool
	readings int
	lag      int // slots from the end of a period to its first showing
	misfit   [lagMost * slotsPeriod]float64
}

type classSeen struct {
	mean  float64 // mean latency of good answers, seconds
	least float64 // the least it was, of late: what the work itself takes
}

// account is what a record is kept for.
type account struct {
	customer uint64
	plan     int
}

type customer struct {
	key      account
	place    int // among those kept
	plan     *Plan
	spread   float64
	last     time.Duration // last request
	chance   float64       // a = 1 - b, held between updates
	measured bool
	lately   bool          // has asked again since the hand came by
	reading  float64       // last reading
	heard    time.Duration // when it came
	period   int64         // number of the last period counted
	mean     float64       // mean use of a period by all gateways, units (open plans: peak over the cap)
	applied  float64       // mean chance applied in those periods
	own      float64       // mean units passed here in those periods
	asked    float64       // mean units asked here in those periods
	store    float64       // units in the store at the end of the last counted period
	dither   float64       // 0 to 1, drawn with each: a share below a request passes as often as it is large
	storeAt  time.Duration
	open     int     // own attempts out
	ceiling  float64 // this gateway's part of the ceiling's store
	ceilAt   time.Duration
	head     int64 // number of the newest slot
	slots    [slotsKept]slotUse
}

// slotUse is what this gateway did with a customer's requests in one slot.
// A customer has many, so they are kept small.
type slotUse struct {
	offered, passed float32 // units
	chance, met     float32 // sum of the chance held and of those that requests met; how many they are
}

// useSum is what several slots come to.
type useSum struct {
	offered, passed float64 // units
	chance          float64 // mean
}

type request struct {
	Request
	cust     *customer
	deadline time.Duration
	attempts []attempt
	out      int
	over     bool
}

type attempt struct {
	to               *backend
	sent             time.Duration
	ended, cancelled bool
	never            bool // proved never to have run
}

type backend struct {
	Backend
	out      int
	others   float64       // requests held for other gateways, as last reported
	reported time.Duration // and when
	lat      float64       // mean latency over the class's mean
	fails    float64       // share of failures
	waiting  time.Duration // first send since the last answer
	heard    time.Duration // last answer or time-out
	until    time.Duration // ejected until
	part     float64       // how often it is looked at, relative to the others
	tokens   float64       // attempts that may go to it while it is cold
	filled   time.Duration // as of when
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Admission.

// Request takes one try of a client and answers it, or sends it on.
func (g *Gateway) Request(now time.Duration, in Request) {
	g.step(now)
	if g.requests[in.ID] != nil {
		return
	}
	if in.Class < 0 || in.Class >= len(g.cfg.Classes) || in.Plan < 0 || in.Plan >= len(g.cfg.Plans) ||
		in.TimeLeft <= 0 || !(in.Units >= 0) || math.IsInf(in.Units, 1) {
		g.act.Refuse(in.ID, 0)
		return
	}
	c := g.customer(in)
	r := &request{Request: in, cust: c, deadline: now + in.TimeLeft}
	if !g.admit(c, r) {
		g.act.Refuse(r.ID, g.advice)
		return
	}
	g.requests[in.ID] = r
	if !g.send(r) {
		g.refusals[ByBackends]++
		delete(g.requests, in.ID)
		g.act.Refuse(r.ID, g.advice)
	}
}

// Begin tells that another gateway in this one's place has stopped just now. It comes before any request.
func (g *Gateway) Begin(now time.Duration) { g.begun = now }

// customer finds the record of a customer under the plan that the request names. A request that names another
// plan gets a record of its own: it must not clear what is known of the customer, his ceiling above all.
func (g *Gateway) customer(in Request) *customer {
	key := account{in.Customer, in.Plan}
	c := g.customers[key]
	if c == nil {
		p := &g.cfg.Plans[in.Plan]
		if g.cfg.Customers > 0 && len(g.kept) >= g.cfg.Customers {
			g.forgetOne()
		}
		// The part of the ceiling begins empty when the gateway starts, since one before it may have drawn
		// all of it; it fills from then on whether the customer is known or not.
		c = &customer{key: key, place: len(g.kept), plan: p, ceilAt: g.fills(in.Plan)}
		g.unread(c)
		c.dither = g.rng.Float64()
		c.head = g.slotOf(g.now)
		for i := range c.slots {
			// Before it was known, only pressure refused.
			c.slots[i] = slotUse{chance: float32(g.clear), met: 1}
		}
		g.customers[key] = c
		g.kept = append(g.kept, c)
	} else {
		c.lately = true
	}
	c.spread = float64(min(max(in.Spread, 1), g.cfg.Gateways))
	c.last = g.now
	return c
}

// unread makes c one of whose use nothing has been read.
func (g *Gateway) unread(c *customer) {
	c.chance, c.applied, c.own, c.asked = 1/startUse, 1, 0, 0
	c.measured, c.store, c.storeAt = false, c.plan.Burst, g.now
	if c.mean = startUse; c.plan.Rate > 0 {
		c.mean = startUse * c.plan.Rate * g.cfg.MeterPeriod.Seconds()
	}
}

// admit is the ordinary path. While the store that the meter shows holds units, this gateway's even share of
// them passes without the chance; all else meets the one chance a = 1 - b.
func (g *Gateway) admit(c *customer, r *request) bool {
	g.roll(c)
	u := r.Units
	surge := g.surge(c, r.Repeat)
	chance := min(1, max(c.chance/surge, leastChance))
	p := c.plan
	if p.Rate <= 0 && p.Open <= 0 {
		chance = 1 // there is no quota to be beyond
	}
	covered := p.Rate > 0 && g.share(c, c.spread, 0)+c.dither >= u
	pressed := g.pressed(r, chance, covered)
	g.clear *= 1 - clearAverage
	if !pressed {
		g.clear += clearAverage
	}
	cause := ByChance
	if pressed {
		chance, cause = 0, ByPressure
	} else if !g.ceilingHolds(c, u) {
		chance, cause = 0, ByCeiling
	} else if p.Open > 0 && float64(c.open) >= math.Ceil(float64(p.Open)/c.spread) {
		chance, cause = 0, ByOpen
	} else if covered {
		chance = 1
	} else if p.Rate > 0 && g.now-c.storeAt < time.Duration(boundPeriods*float64(g.cfg.MeterPeriod)) {
		others := max(0, c.mean-c.own) / g.cfg.MeterPeriod.Seconds() * max(1, surge)
		doubt := doubtShare * math.Sqrt(others*(g.now-c.storeAt).Seconds())
		if g.share(c, 1, others) < u+doubt {
			chance, cause = 0, ByDoubt
		}
	}
	s := &c.slots[c.head%slotsKept]
	s.offered += float32(u)
	s.chance += float32(chance)
	s.met++
	if chance < 1 && g.rng.Float64() >= chance {
		g.refusals[cause]++
		return false
	}
	s.passed += float32(u)
	return true
}

// surge is how much more this gateway is asked than expected since the store was last shown, a witness of
// what the late meter cannot show yet. surgeUnits keep chance from looking like one; among few gateways
// it tells less, since traffic may have moved here from there. It covers any onset faster than the meter, and
// harms a customer whose requests come in bursts at one of many gateways.
func (g *Gateway) surge(c *customer, repeat bool) float64 {
	period, scale := max(g.cfg.MeterPeriod, g.slot), 1.0
	if c.plan.Rate <= 0 { // readings are in caps: what a customer at its cap asks for in a period
		scale = openPart * float64(c.plan.Open) * period.Seconds() / g.classes[0].mean
	}
	span := min(max(g.now-c.storeAt, period), slotsKept*g.slot)
	asked := g.window(c, g.now-span, g.now+g.slot).offered
	expected := max(c.asked, scale*c.mean/c.applied/c.spread) * span.Seconds() / period.Seconds()
	if repeat {
		asked += surgeRepeat
	}
	return math.Pow((asked+surgeUnits)/(expected+surgeUnits), 1-1/c.spread)
}

// share is what is left of one of so many parts of the store shown, filled and drawn on since.
func (g *Gateway) share(c *customer, parts, others float64) float64 {
	most, fill := c.plan.Burst/parts, (c.plan.Rate/parts-others)*g.slot.Seconds()
	level, k := c.store/parts, g.slotOf(c.storeAt)
	if k <= c.head-slotsKept {
		level, k = most, c.head-slotsKept+1
	}
	for ; k < c.head; k++ {
		level = min(level-float64(c.slots[k%slotsKept].passed)+fill, most)
	}
	return level - float64(c.slots[k%slotsKept].passed)
}

// slotOf numbers the slots of own history; all that is asked for are above 0.
func (g *Gateway) slotOf(t time.Duration) int64 { return int64((t - g.born + 1<<20*g.slot) / g.slot) }

// roll opens the slots up to now.
func (g *Gateway) roll(c *customer) {
	n := g.slotOf(g.now)
	if n-c.head > slotsKept {
		c.head = n - slotsKept
	}
	for c.head < n {
		c.head++
		c.slots[c.head%slotsKept] = slotUse{chance: float32(g.clear * min(1, c.chance)), met: 1}
	}
}

// window adds up own history between two times, by whole slots.
func (g *Gateway) window(c *customer, from, to time.Duration) (sum useSum) {
	lo := min(max(g.slotOf(from), c.head-slotsKept+1), c.head)
	n := 0.0
	for k := lo; k < min(g.slotOf(to), c.head+1); k++ {
		s := &c.slots[k%slotsKept]
		sum.offered += float64(s.offered)
		sum.passed += float64(s.passed)
		sum.chance += float64(s.chance / s.met)
		n++
	}
	if n > 0 {
		sum.chance /= n
	} else {
		s := &c.slots[lo%slotsKept]
		sum.chance = float64(s.chance / s.met)
	}
	return
}

// change narrows down when the shown period changes, from two answers with different readings.
func (m *meterClock) change(from, to, period time.Duration) {
	if !m.known {
		m.known, m.lo, m.hi = true, from, to
		return
	}
	shift := ((from+to)/2 - (m.lo+m.hi)/2 + period/2)
	shift -= ((shift % period) + period) % period
	lo, hi := max(m.lo+shift, from), min(m.hi+shift, to)
	if lo >= hi {
		lo, hi = from, to
	}
	m.lo, m.hi = lo, hi
}

// fit learns the lag: the right one makes own use fit best into the readings.
func (g *Gateway) fit(c *customer, use float64, shown time.Duration) {
	m := &g.meter
	m.readings++
	w := 1 / float64(min(m.readings, lagReadings))
	top, best := g.slotOf(shown), 0
	for j := range m.misfit {
		own := 0.0
		for k := max(top-int64(j)-slotsPeriod, c.head-slotsKept+1); k < min(top-int64(j), c.head+1); k++ {
			own += float64(c.slots[k%slotsKept].passed)
		}
		m.misfit[j] += w * ((use-own)*(use-own)/(use+1) - m.misfit[j])
		if m.misfit[j] < m.misfit[best] {
			best = j
		}
	}
	if m.readings > lagReadings/4 {
		m.lag = best
	}
}

// metered takes a reading that an answer showed at a time: a slow one tells late what was so when it began.
// Answers repeat a period's reading; the clock of the meter tells which period it is, and each counts once.
func (g *Gateway) metered(c *customer, used float64, at time.Duration) {
	period := g.cfg.MeterPeriod
	if period <= 0 || !(used >= 0) || math.IsInf(used, 1) || c.measured && at < c.heard {
		return
	}
	if c.measured && used != c.reading && at-c.heard < period {
		g.meter.change(c.heard, at, period)
	}
	shown := at
	if g.meter.known {
		shown = (g.meter.lo + g.meter.hi) / 2
	}
	number := int64(math.Floor(float64(at-shown) / float64(period)))
	shown += time.Duration(number) * period
	number = int64(math.Round(float64(shown) / float64(period)))
	c.reading, c.heard = used, at
	if c.measured && number <= c.period {
		return
	}
	g.roll(c)
	p := c.plan
	quota, tau := 1.0, smoothOpen
	if p.Rate > 0 {
		quota = p.Rate * period.Seconds()
		tau = max(smoothLeast, smoothUnits/quota)
	}
	use := used * quota
	if p.Rate > 0 && g.meter.known && c.measured {
		g.fit(c, use, shown)
	}
	end := shown - time.Duration(g.meter.lag)*g.slot
	gap, w := int64(1), 1.0
	if p.Rate > 0 {
		w = quota / (quota + startUnits)
	}
	if c.measured {
		gap = min(number-c.period, slotsKept/slotsPeriod)
		w = 1 - math.Exp(-float64(gap)/tau)
	}
	for k := gap - 1; k > 0; k-- { // periods whose readings were never heard
		own := g.window(c, end-time.Duration(k+1)*period, end-time.Duration(k)*period).passed
		c.fill(quota - max(own, c.mean))
	}
	c.fill(quota - use)
	c.storeAt = end
	sum := g.window(c, end-period, end)
	c.mean += w * (use - c.mean)
	c.own += w * (sum.passed - c.own)
	c.asked += w * (sum.offered - c.asked)
	c.applied += w * (max(sum.chance, leastChance) - c.applied)
	c.chance = c.applied * quota / max(c.mean, calmUse*quota)
	c.measured, c.period = true, number
	c.dither = g.rng.Float64()
}

// Metered takes a reading that came behind an answer, when its attempt had ended already; age as in Outcome.
func (g *Gateway) Metered(now time.Duration, who uint64, plan int, used float64, age time.Duration) {
	g.step(now)
	if c := g.customers[account{who, plan}]; c != nil {
		g.metered(c, used, now-age)
	}
}

// fill moves the store by a period's gain, never below nothing nor above the burst.
func (c *customer) fill(units float64) { c.store = min(max(c.store+units, 0), c.plan.Burst) }

// sweep forgets idle customers, which would be met as new: a ceiling's part must be full again.
func (g *Gateway) sweep() {
	if g.now < g.nextSweep {
		return
	}
	period := max(g.cfg.MeterPeriod, 100*time.Millisecond)
	g.nextSweep = g.now + time.Duration(sweepEvery*float64(period))
	for i := len(g.kept) - 1; i >= 0; i-- {
		c := g.kept[i]
		if g.full(c) && c.open == 0 && g.now-c.last > time.Duration(idlePeriods*float64(period)) {
			g.forget(c)
		}
	}
}

// full tells whether c's part of its ceiling has filled since its last request.
func (g *Gateway) full(c *customer) bool {
	return (g.now-max(c.last, g.changed)).Seconds()*c.plan.CeilingRate >= c.plan.CeilingBurst
}

func (g *Gateway) forget(c *customer) {
	last := g.kept[len(g.kept)-1]
	g.kept[c.place], last.place = last, c.place
	g.kept[len(g.kept)-1] = nil // or the row would hold it until another comes
	g.kept = g.kept[:len(g.kept)-1]
	delete(g.customers, c.key)
}

// forgetOne makes place for a record: that of the first customer on the way round who has not asked again
// since the last time round (the clock algorithm). Where his part of the ceiling had not filled, each that is
// met as new from now on begins with an empty one, as he may be among them.
func (g *Gateway) forgetOne() {
	for range 2 * len(g.kept) {
		g.hand = (g.hand + 1) % len(g.kept)
		c := g.kept[g.hand]
		if c.open == 0 && !c.lately {
			if !g.full(c) {
				g.begun = g.now
			}
			g.forget(c)
			return
		}
		c.lately = false
	}
}

// Ceiling.

// ceilingHolds tells whether this gateway's even part of the ceiling's store holds the units. Parts add up to
// no more than the whole, so no agreement is needed; a gateway that starts afresh starts from nothing.
func (g *Gateway) ceilingHolds(c *customer, u float64) bool {
	p := c.plan
	if p.CeilingRate <= 0 {
		return true
	}
	fill := (g.now - c.ceilAt).Seconds() * p.CeilingRate / c.spread
	c.ceiling = min(c.ceiling+fill, p.CeilingBurst/c.spread)
	c.ceilAt = g.now
	return c.ceiling >= u
}

// Backend choice.

// Use names the backends to turn to, in order, and how many of them to use at a time: the first that take
// work, and as many more as these are cold. Where none does, any of the fleet is used. An empty order stands
// for the whole fleet. It comes behind each Members, which may have changed what there is.
func (g *Gateway) Use(now time.Duration, order []Use, size int) {
	g.step(now)
	g.order, g.size = g.order[:0], size
	for _, u := range order {
		if b := g.backends[u.Backend]; b != nil {
			b.part = u.Part
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
	case SingleShot:
		return false
	case Guarded:
		return g.now-a.sent < cl.Window && (cl.Group == GroupAll ||
			cl.Group == GroupZone && b.Zone == a.to.Zone && b.Zone >= 0 ||
			cl.Group == GroupCell && b.Cell == a.to.Cell)
	}
	return true
}

// Health and cold start.

// silent tells of a backend that takes attempts and answers none.
func (g *Gateway) silent(b *backend) bool {
	return b.out > 0 && (g.now-b.waiting).Seconds() > silentAims*g.longest.Seconds()
}

// warmth is the least part of its capacity that a backend can have now.
func (g *Gateway) warmth(b *backend) float64 {
	age := g.now - b.Started
	if !b.Dated || g.cfg.ColdFor <= 0 || age >= g.cfg.ColdFor {
		return 1
	}
	from := max(g.cfg.ColdFrom, 0.02)
	return from + (1-from)*max(0, age.Seconds())/g.cfg.ColdFor.Seconds()
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
		if b.Dated != m.Dated || b.Started != m.Started {
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

// Probed takes the answer to a probe.
func (g *Gateway) Probed(now time.Duration, p Probe) {
	g.step(now)
	b := g.backends[p.Backend]
	if b != nil && p.Status == OK && g.inflight >= 0 && g.inflight < p.Load.N {
		b.others, b.reported = max(0, p.Load.Values[g.inflight]-float64(b.out)), now
		g.held += latLeast * (b.others - g.held)
	}
}

// Attempts.

// send starts the next attempt of r, if one is allowed and worth it.
func (g *Gateway) send(r *request) bool {
	left := r.deadline - g.now
	if len(r.attempts) >= g.cfg.MaxAttempts || left <= 0 || r.out > 0 && !g.cfg.SecondCopies {
		return false
	}
	b := g.pick(r)
	if b == nil {
		return false
	}
	if len(r.attempts) == 0 {
		r.cust.ceiling -= r.Units
		g.bank = min(g.bank+retryShare, retryBank)
		g.probe()
	}
	if b.out == 0 {
		b.waiting = g.now
	}
	b.out++
	b.tokens--
	g.out++
	g.most = max(g.most, g.out)
	r.out++
	r.cust.open++
	r.attempts = append(r.attempts, attempt{to: b, sent: g.now})
	g.act.Send(r.ID, b.ID, left)
	if g.cfg.Classes[r.Class].Effect != SingleShot && (g.cfg.SecondCopies || g.cfg.Cancelling) {
		wait := hedgeAims * g.cfg.Classes[r.Class].Aim.Seconds()
		g.act.After(seconds(wait), uint64(r.ID)<<8|uint64(len(r.attempts)&0xff))
	}
	return true
}

// Timer takes a timer that is due: the wait for an attempt.
func (g *Gateway) Timer(now time.Duration, token uint64) {
	g.step(now)
	r := g.requests[uint32(token>>8)]
	if r == nil || r.over || len(r.attempts) != int(token&0xff) || r.attempts[len(r.attempts)-1].ended {
		return
	}
	last := &r.attempts[len(r.attempts)-1]
	g.limit.Answer(r.Class, (now-last.sent).Seconds()/g.cfg.Classes[r.Class].Aim.Seconds(), now-last.sent)
	if g.bank < 1 || float64(g.out) > g.room()*(1-limitSpare) && !g.silent(last.to) {
		return
	}
	if g.cfg.SecondCopies {
		if g.send(r) {
			g.bank--
		}
	} else if g.silent(last.to) {
		g.act.Cancel(r.ID, len(r.attempts)-1)
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

// Answers.

// Outcome takes the end of an attempt, and answers the request or tries again.
func (g *Gateway) Outcome(now time.Duration, o Outcome) {
	g.step(now)
	r := g.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := &r.attempts[o.Attempt]
	a.ended = true
	a.never = o.Status == Refused || o.Status == ConnectFailed || o.Status == Moot
	a.to.out--
	g.out--
	r.out--
	r.cust.open--
	if o.Metered {
		g.metered(r.cust, o.Used, now-o.Age)
	}
	g.learn(r, a, o)
	r.over = r.over || o.Over
	if r.over {
		g.cancelRest(r)
	} else if r.out == 0 {
		g.again(r, o.Status)
	}
	if r.over && r.out == 0 {
		delete(g.requests, r.ID)
	}
}

// learn takes what an outcome says of the backend and of the fleet.
func (g *Gateway) learn(r *request, a *attempt, o Outcome) {
	cl := &g.classes[r.Class]
	aim := g.cfg.Classes[r.Class].Aim.Seconds()
	lat := o.Elapsed.Seconds()
	w := max(latLeast, 1-math.Exp(-(g.now-a.to.heard).Seconds()/latAims/g.longest.Seconds()))
	if o.Status == OK || o.Status == Timeout {
		if a.to.lat < slowBackend {
			g.limit.Answer(r.Class, lat/aim, o.Elapsed)
		}
		unheard := 1.0
		if o.Status == Timeout {
			unheard = latUnheard
		}
		a.to.lat += min(1, w*unheard) * (min(lat/max(cl.mean, 1e-6), latMost) - a.to.lat)
	}
	switch o.Status {
	case OK:
		if a.to.lat < slowBackend {
			cl.mean += latLeast / 2 * (lat - cl.mean)
			cl.least = min(cl.mean, cl.least+leastRises*(cl.mean-cl.least))
		}
	case Refused:
		g.limit.Answer(r.Class, math.Inf(1), o.Elapsed)
	}
	if o.Status == OK || o.Status == Refused || o.Status == Error {
		a.to.waiting = g.now
	}
	if o.Status != Refused && o.Status != Cancelled && o.Status != Moot {
		a.to.heard = g.now
		g.judge(a.to, o.Status != OK, w)
	}
}

// first is the first attempt that may have run, or is out.
func (r *request) first() *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.never {
			return a
		}
	}
	return nil
}

// again makes a further attempt or gives the final answer.
func (g *Gateway) again(r *request, last Status) {
	price := 1.0
	if last == ConnectFailed {
		price = 0 // it cost no backend any work, so it cannot feed an overload
	}
	if last != Moot && g.bank >= price && g.send(r) {
		g.bank -= price
		return
	}
	r.over = true
	cl := &g.cfg.Classes[r.Class]
	harmless := r.first() == nil || cl.Effect == Free || cl.Effect == Guarded && cl.Group == GroupAll
	if harmless && g.now < r.deadline {
		g.act.Refuse(r.ID, g.advice)
	} else {
		g.act.Fail(r.ID)
	}
}

// Gone ends a request whose client has left.
func (g *Gateway) Gone(now time.Duration, id uint32) {
	g.step(now)
	r := g.requests[id]
	if r == nil {
		return
	}
	r.over = true
	if r.out == 0 {
		delete(g.requests, id)
	}
	g.cancelRest(r)
}

// cancelRest stops what is still out for a request that is over.
func (g *Gateway) cancelRest(r *request) {
	for i := range r.attempts {
		if a := &r.attempts[i]; g.cfg.Cancelling && !a.ended && !a.cancelled {
			a.cancelled = true
			g.act.Cancel(r.ID, i)
		}
	}
}
