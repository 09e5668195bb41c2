package emulate

// Random deployments, drawn by seed from ranges: a fleet, its customers and a run without faults.

import (
	"math"
	"math/rand/v2"
	"time"

	"wickarch/choice"
)

// Range is the range of a uniform distribution.
type Range struct{ Min, Max float64 }

func (r Range) draw(rng *rand.Rand) float64 { return r.Min + (r.Max-r.Min)*rng.Float64() }

// drawLog draws from the log-uniform distribution.
func (r Range) drawLog(rng *rand.Rand) float64 {
	return r.Min * math.Pow(r.Max/r.Min, rng.Float64())
}

func (r Range) drawDuration(rng *rand.Rand) time.Duration {
	return time.Duration(r.draw(rng) * float64(time.Second))
}

// PlanRanges holds the ranges of one plan.
type PlanRanges struct {
	Load               Range // its share of the requests within the quotas, relative to other plans'
	Rate               Range // log-uniform
	BurstSeconds       Range // burst as seconds of Rate
	Price              Range
	OverCost           Range
	Spread             Range   // fraction of the gateways that receive a customer's requests
	Ceiling            Range   // ceiling as a multiple of Rate and Burst
	CeilingProbability float64 // probability that the plan has a ceiling
}

// DeploymentRanges holds the ranges that deployments are drawn from. Times are in seconds.
type DeploymentRanges struct {
	Gateways int
	LoadFor  time.Duration // duration of the load

	Inside     Range // requests per second within the quotas, for 300 gateways
	Load       Range // these as a fraction of the backends' capacity
	Unevenness Range // standard deviation of the logarithm of gateways' traffic (lognormal)

	PlanCount int // 1 to PlanCount of Plans are used, at random; 0: all
	Plans     []PlanRanges

	// Fractions of the customers of each kind, and their request rates as multiples of their
	// quota's rate. Those that are neither full, heavy nor spiky are calm.
	CalmUse, Full, Heavy, HeavyMultiple, Spiky, SpikeMultiple Range
	SpikeSeconds, SpikeEvery                                  Range
	HeavyFraction                                             Range // fraction of the run in which heavy customers send at their high rate

	Skew       Range // Zipf exponent of the shares of a customer's gateways
	ShiftEvery Range // mean time until another gateway gets the largest share

	Work, Aim, Deadline Range // seconds

	MeterPeriod, MeterLag Range

	Retries         Range // of clients; rounded down
	TimeoutFraction Range
	Backoff         Range
	IgnoreAdvice    Range // probability that retry advice is not followed
	OtherGateway    Range // probability that a retry goes to a newly drawn gateway
	UnmarkedRetries float64
}

// Use of full customers, as a fraction of their quota, and variation of the rate within a kind.
const (
	fullUse  = 0.92
	fullVary = 0.08
	calmVary = 0.35

	// maxExcess bounds the requests beyond the quotas, as a multiple of those within them.
	maxExcess       = 0.9
	coresPerBackend = 2
	// referenceLag is the delay with which the reference policy sees the true bucket levels. With it the policy's
	// cost beyond quotas is 0.76 of the gateways' on small quotas; on the users' bench it is 0.85.
	referenceLag = 120 * time.Millisecond
)

// SmallQuotas returns ranges of deployments whose customers have quotas of about one request
// per second and use most of the gateways, so that most tries meet a gateway without a meter
// reading of the customer.
func SmallQuotas() DeploymentRanges {
	return DeploymentRanges{
		Gateways: 300, LoadFor: 25 * time.Second,
		Inside: Range{1300, 1700}, Load: Range{0.4, 0.53}, Unevenness: Range{0.3, 0.7},
		Plans: []PlanRanges{
			{Load: Range{0.25, 0.37}, Rate: Range{0.6, 1}, BurstSeconds: Range{3.1, 5.6}, Price: Range{0.8, 0.8}, OverCost: Range{1, 1}, Spread: Range{0.5, 1}},
			{Load: Range{0.22, 0.34}, Rate: Range{0.87, 1.5}, BurstSeconds: Range{3, 6}, Price: Range{1.1, 1.1}, OverCost: Range{0.6, 0.6}, Spread: Range{0.5, 1},
				Ceiling: Range{1.7, 2.3}, CeilingProbability: 1},
			{Load: Range{0.33, 0.49}, Rate: Range{3.5, 6}, BurstSeconds: Range{1.2, 2.8}, Price: Range{1.6, 1.6}, OverCost: Range{1, 1}, Spread: Range{0.5, 1}},
		},
		CalmUse: Range{0.16, 0.48}, Full: Range{0.08, 0.25}, Heavy: Range{0.08, 0.13}, HeavyMultiple: Range{2.1, 4.7},
		HeavyFraction: Range{0.5, 0.9},
		Spiky:         Range{0.11, 0.23}, SpikeMultiple: Range{2.8, 6.5}, SpikeSeconds: Range{1.1, 3.6}, SpikeEvery: Range{14, 22},
		Skew: Range{0.3, 1.2}, ShiftEvery: Range{10, 21},
		Work: Range{0.12, 0.21}, Aim: Range{1.5, 1.5}, Deadline: Range{6, 6},
		MeterPeriod: Range{0.5, 0.5}, MeterLag: Range{0.31, 1.5},
		Retries: Range{0, 2.99}, TimeoutFraction: Range{0.5, 1}, Backoff: Range{0.075, 0.6},
		IgnoreAdvice: Range{0.13, 0.53}, OtherGateway: Range{0.15, 0.77},
	}
}

// TinyQuotas returns SmallQuotas with 0.2 to 0.4 requests per second, without ceilings and with twice the
// backend capacity, so that only the quotas limit a customer.
func TinyQuotas() DeploymentRanges {
	r := SmallQuotas()
	r.Load = Range{0.2, 0.25}
	for i := range r.Plans {
		p := &r.Plans[i]
		p.Rate, p.BurstSeconds, p.OverCost = Range{0.2, 0.4}, Range{8, 14}, Range{1, 1}
		p.Ceiling, p.CeilingProbability = Range{}, 0
	}
	return r
}

// AnyQuotas returns wide ranges: quotas of 0.2 to 15 requests per second, customers that use few or
// many gateways, one to three plans, and a meter lag of up to 1.5 s.
func AnyQuotas() DeploymentRanges {
	r := SmallQuotas()
	plan := PlanRanges{Load: Range{0.2, 1}, Rate: Range{0.2, 15}, BurstSeconds: Range{1, 10}, Price: Range{0.5, 2.5}, OverCost: Range{0.3, 1},
		Spread: Range{0.1, 1}, Ceiling: Range{1.5, 3}, CeilingProbability: 0.4}
	r.Plans, r.PlanCount = []PlanRanges{plan, plan, plan}, 3
	r.Inside, r.Load, r.Unevenness = Range{1000, 2000}, Range{0.4, 0.65}, Range{0, 0.7}
	r.CalmUse, r.Full, r.Heavy, r.HeavyMultiple = Range{0.15, 0.5}, Range{0.1, 0.3}, Range{0.04, 0.12}, Range{1.6, 5}
	r.Spiky, r.SpikeMultiple, r.SpikeSeconds, r.SpikeEvery = Range{0.1, 0.25}, Range{2, 8}, Range{0.5, 5}, Range{10, 25}
	r.Skew, r.ShiftEvery, r.OtherGateway = Range{0.2, 1.3}, Range{5, 25}, Range{0, 0.8}
	r.Work, r.Aim, r.Deadline = Range{0.05, 0.2}, Range{0.6, 1.5}, Range{2.5, 6}
	r.MeterPeriod, r.MeterLag = Range{0.5, 1}, Range{0.2, 1.5}
	r.Backoff, r.IgnoreAdvice, r.UnmarkedRetries = Range{0.005, 0.6}, Range{0, 0.7}, 0.3
	return r
}

// LateMeters returns AnyQuotas with a meter lag of 1.5 to 5 s.
func LateMeters() DeploymentRanges {
	r := AnyQuotas()
	r.MeterLag = Range{1.5, 5}
	return r
}

// DrawDeployment draws a deployment and a run without faults: load is 1.5 times as high for some
// seconds, and traffic shifts between zones. The seed determines the spec.
func DrawDeployment(seed uint64, r DeploymentRanges) Spec {
	rng := rand.New(rand.NewPCG(seed, 0xde91))
	s := Spec{Seed: seed, LoadFor: r.LoadFor, Config: r.drawConfig(rng), Mix: []float64{1}, WorkSigma: 0.8,
		NetworkDelay: [2]time.Duration{300 * time.Microsecond, 2 * time.Millisecond},
		ListDelay:    [2]time.Duration{200 * time.Millisecond, 2 * time.Second},
		Handshake:    0.001, MeterLag: r.MeterLag.drawDuration(rng), Reference: ReferencePolicy{Lag: referenceLag}}
	s.Work = []float64{r.Work.draw(rng)}
	r.drawClients(rng, &s)
	inside := r.Inside.draw(rng) * float64(r.Gateways) / 300
	r.drawFleet(rng, &s, inside)
	r.drawCustomers(rng, &s, inside)
	r.drawEvents(rng, &s)
	return s
}

func (r *DeploymentRanges) drawConfig(rng *rand.Rand) choice.Config {
	c := choice.Config{
		MeterPeriod: r.MeterPeriod.drawDuration(rng), MaxUnits: 1, MaxAttempts: 3, Hedging: true, Probing: true, Cancelling: true,
		RetryAfter: true, MaxRetryAfter: time.Second, WeightsTrusted: true,
		ColdCapacity: 0.25, WarmUpTime: 17 * time.Second, CrashMultiple: 4, CrashAfter: 3 * time.Second, DrainGrace: time.Second, CrossZoneCost: 0.01,
		Classes: []choice.Class{{Aim: r.Aim.drawDuration(rng), Deadline: r.Deadline.drawDuration(rng), Worth: 1, LateWorth: 0.2}},
	}
	count := len(r.Plans)
	if r.PlanCount > 0 {
		count = 1 + rng.IntN(r.PlanCount)
	}
	for _, p := range r.Plans[:count] {
		c.Plans = append(c.Plans, p.draw(rng))
	}
	return c
}

// draw draws a plan. Its burst is at least two requests, and four with a ceiling.
func (r *PlanRanges) draw(rng *rand.Rand) choice.Plan {
	p := choice.Plan{Rate: r.Rate.drawLog(rng), Price: r.Price.draw(rng), OverCost: r.OverCost.draw(rng)}
	p.Burst = max(2, p.Rate*r.BurstSeconds.draw(rng))
	if rng.Float64() < r.CeilingProbability {
		multiple := r.Ceiling.draw(rng)
		p.Burst = max(4, p.Burst)
		p.CeilingRate, p.CeilingBurst = multiple*p.Rate, multiple*p.Burst
		p.CeilingTolerance = max(1, 0.1*p.CeilingBurst)
	}
	return p
}

func (r *DeploymentRanges) drawClients(rng *rand.Rand, s *Spec) {
	s.MaxTries = 1 + int(r.Retries.draw(rng))
	s.Clients = Clients{TimeoutFraction: r.TimeoutFraction.draw(rng), IgnoreAdvice: r.IgnoreAdvice.draw(rng),
		SameGateway: 1 - r.OtherGateway.draw(rng), UnmarkedRetries: rng.Float64() < r.UnmarkedRetries}
	s.RetryWait = r.Backoff.drawDuration(rng)
	switch rng.IntN(3) { // no delay, exponential backoff or a constant delay
	case 0:
		s.RetryWait = 0
	case 1:
		s.Clients.ExponentialBackoff = true
	}
}

func (r *DeploymentRanges) drawFleet(rng *rand.Rand, s *Spec, inside float64) {
	sigma := r.Unevenness.draw(rng)
	for i := range r.Gateways {
		s.Gateways = append(s.Gateways, Gateway{Zone: i % 3, Share: math.Exp(sigma * rng.NormFloat64())})
	}
	backends := inside * s.Work[0] / r.Load.draw(rng) / coresPerBackend
	for i := range max(4, int(backends)) {
		s.Backends = append(s.Backends, Backend{Zone: i % 3, Cores: coresPerBackend, Weight: 1})
	}
}

// customerMix describes the kinds of customers of a deployment.
type customerMix struct {
	calmUse, full, heavy, heavyMultiple, heavyFraction, spiky, spikeMultiple float64
	spikeFor, spikeEvery, day                                                time.Duration
	skew                                                                     float64
	shiftEvery                                                               time.Duration
}

func (r *DeploymentRanges) drawCustomerMix(rng *rand.Rand) customerMix {
	return customerMix{
		calmUse: r.CalmUse.draw(rng), full: r.Full.draw(rng), heavy: r.Heavy.draw(rng),
		heavyMultiple: r.HeavyMultiple.draw(rng), heavyFraction: r.HeavyFraction.draw(rng),
		spiky: r.Spiky.draw(rng), spikeMultiple: r.SpikeMultiple.draw(rng),
		spikeFor: r.SpikeSeconds.drawDuration(rng), spikeEvery: r.SpikeEvery.drawDuration(rng), day: r.LoadFor,
		skew: r.Skew.draw(rng), shiftEvery: r.ShiftEvery.drawDuration(rng),
	}
}

// spikes returns the mean request rate of a spiky customer's spikes over the whole run, within its
// quota and beyond, as multiples of its quota's rate.
func (h *customerMix) spikes(p *choice.Plan) (inside, beyond float64) {
	asked := h.spikeMultiple * h.spikeFor.Seconds()
	holds := p.Burst/p.Rate + h.spikeFor.Seconds()
	inside, beyond = min(asked, holds), max(0, asked-holds)
	return inside / h.spikeEvery.Seconds(), beyond / h.spikeEvery.Seconds()
}

// meanUse returns the mean request rate of a plan's customers within their quotas, as a multiple of its rate.
func (h *customerMix) meanUse(p *choice.Plan) float64 {
	inSpikes, _ := h.spikes(p)
	between := h.calmUse * (1 - h.spikeFor.Seconds()/h.spikeEvery.Seconds())
	return h.calmUse*(1-h.full-h.heavy-h.spiky) + fullUse*h.full +
		(h.heavyFraction+h.calmUse*(1-h.heavyFraction))*h.heavy + (between+inSpikes)*h.spiky
}

// heavyUse returns the high rate of a heavy customer of a plan, as a multiple of its rate, limited so that
// all requests beyond quotas stay within maxExcess.
func (h *customerMix) heavyUse(p *choice.Plan) float64 {
	_, beyond := h.spikes(p)
	room := maxExcess*h.meanUse(p) - beyond*h.spiky
	return min(h.heavyMultiple, 1+max(0, room)/(h.heavy*h.heavyFraction))
}

// drawCustomers draws the customers of all plans. Their number follows from the target of inside
// requests per second within quotas.
func (r *DeploymentRanges) drawCustomers(rng *rand.Rand, s *Spec, inside float64) {
	h := r.drawCustomerMix(rng)
	loads, sum := make([]float64, len(s.Config.Plans)), 0.0
	for i := range loads {
		loads[i] = r.Plans[i].Load.draw(rng)
		sum += loads[i]
	}
	for i, p := range s.Config.Plans {
		count := inside * loads[i] / sum / (p.Rate * h.meanUse(&p))
		for _, group := range h.groups(&p, count) {
			group.Plan = i
			group.Spread = spreadOf(&p, r.Plans[i].Spread.draw(rng), r.Gateways)
			s.Customers = append(s.Customers, group)
		}
	}
}

// groups returns the groups of a plan's customers, about count in total.
func (h *customerMix) groups(p *choice.Plan, count float64) []Customers {
	group := func(share, use, vary float64) Customers {
		return Customers{Count: max(1, int(share*count+0.5)), Rate: use * p.Rate, RateVariation: vary, Zipf: h.skew, ShiftEvery: h.shiftEvery}
	}
	spiky := group(h.spiky, h.calmUse, calmVary)
	spiky.BurstFactor, spiky.BurstOn, spiky.BurstOff = h.spikeMultiple/h.calmUse, h.spikeFor, h.spikeEvery-h.spikeFor
	heavy := group(h.heavy, h.calmUse, calmVary)
	heavy.BurstFactor = h.heavyUse(p) / h.calmUse
	heavy.BurstOn = time.Duration(h.heavyFraction * float64(h.day))
	heavy.BurstOff = h.day - heavy.BurstOn
	return []Customers{
		group(1-h.full-h.heavy-h.spiky, h.calmUse, calmVary),
		group(h.full, fullUse, fullVary),
		heavy,
		spiky,
	}
}

// spreadOf returns the number of gateways that a customer uses: a fraction of all, at least two, and with
// a ceiling at most so many that each one's share of the ceiling's burst is two requests.
func spreadOf(p *choice.Plan, fraction float64, gateways int) int {
	spread := fraction * float64(gateways)
	if p.CeilingRate > 0 {
		spread = min(spread, p.CeilingBurst/2)
	}
	return max(2, int(spread))
}

// drawEvents draws a surge, and a shift of traffic to one zone and back.
func (r *DeploymentRanges) drawEvents(rng *rand.Rand, s *Spec) {
	lasts := s.LoadFor.Seconds()
	s.Surge.Factor = 1.5
	s.Surge.From = Range{0.2 * lasts, 0.5 * lasts}.drawDuration(rng)
	s.Surge.To = s.Surge.From + Range{3, 6}.drawDuration(rng)
	zone, by := rng.IntN(3), Range{1.5, 3}.draw(rng)
	there := Range{0.1 * lasts, 0.5 * lasts}.drawDuration(rng)
	back := there + Range{0.2 * lasts, 0.4 * lasts}.drawDuration(rng)
	gateways := s.Gateways
	busier := func(by float64) func(*World) {
		return func(w *World) {
			w.SetShares(func(i int) float64 {
				if gateways[i].Zone == zone {
					return by * gateways[i].Share
				}
				return gateways[i].Share
			})
		}
	}
	s.Events = []Event{{there, busier(by)}, {back, busier(1)}}
}
