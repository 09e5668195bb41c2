package emulate

// Deployments drawn by seed from ranges: a fleet, its customers and a calm day on it.

import (
	"math"
	"math/rand/v2"
	"time"

	"wickarch/choice"
)

// Range is what a figure is drawn from, evenly.
type Range struct{ Least, Most float64 }

func (r Range) draw(rng *rand.Rand) float64 { return r.Least + (r.Most-r.Least)*rng.Float64() }

// drawLog draws so that each factor is as likely, however small the figure.
func (r Range) drawLog(rng *rand.Rand) float64 {
	return r.Least * math.Pow(r.Most/r.Least, rng.Float64())
}

func (r Range) drawDuration(rng *rand.Rand) time.Duration {
	return time.Duration(r.draw(rng) * float64(time.Second))
}

// PlanRanges is one plan of drawn deployments.
type PlanRanges struct {
	Load         Range // its part of what is asked inside the quotas, relative to the other plans'
	Rate         Range // drawn by its logarithm
	BurstSeconds Range // of Rate
	Price        Range
	OverCost     Range
	Spread       Range   // part of the gateways through which a customer's requests come
	Ceiling      Range   // times Rate and Burst
	WithCeiling  float64 // chance that it has one
}

// DeploymentRanges is what deployments are drawn from. Times are in seconds.
type DeploymentRanges struct {
	Gateways int
	For      time.Duration // of load

	Inside     Range // tries a second asked inside the quotas, for 300 gateways
	Load       Range // these as a part of what the backends can do
	Unevenness Range // of gateways' traffic: sigma of its logarithm

	PlanCount int // so many of Plans, by lot; 0: all
	Plans     []PlanRanges

	// Shares of the customers, and what they ask as multiples of their rate. Those that
	// are neither full, heavy nor spiky are calm.
	CalmUse, Full, Heavy, HeavyMultiple, Spiky, SpikeMultiple Range
	SpikeSeconds, SpikeEvery                                  Range
	HeavyPart                                                 Range // of the day in which heavy customers ask so much

	Skew  Range // Zipf exponent of the parts of a customer's gateways
	Shift Range // time after which another gateway has the largest part

	Work, Aim, Deadline Range // seconds

	MeterPeriod, MeterLag Range

	Retries   Range // of clients; the whole part counts
	Patience  Range
	Backoff   Range
	Ignore    Range // chance that advice is not followed
	Elsewhere Range // chance that the next try goes to a gateway drawn anew
	Unmarked  float64
}

// The figures of customers who use nearly all of their quota, and of how much customers of a kind differ.
const (
	fullUse  = 0.92
	fullVary = 0.08
	calmVary = 0.35

	// mostExcess bounds what is asked beyond the quotas, as a multiple of what is asked inside.
	mostExcess = 0.9
	coresEach  = 2
	// lateView is how late the policy that deployments are held against sees the true stores. With it the
	// policy's price is 0.76 of ours as landed on small quotas; on the users' bench it is 0.85.
	lateView = 120 * time.Millisecond
)

// SmallQuotas are the ranges of deployments whose customers have quotas of about one
// request a second and come through most of the gateways, so that most tries meet a
// gateway that knows nothing of the customer.
func SmallQuotas() DeploymentRanges {
	return DeploymentRanges{
		Gateways: 300, For: 25 * time.Second,
		Inside: Range{1300, 1700}, Load: Range{0.4, 0.53}, Unevenness: Range{0.3, 0.7},
		Plans: []PlanRanges{
			{Load: Range{0.25, 0.37}, Rate: Range{0.6, 1}, BurstSeconds: Range{3.1, 5.6}, Price: Range{0.8, 0.8}, OverCost: Range{1, 1}, Spread: Range{0.5, 1}},
			{Load: Range{0.22, 0.34}, Rate: Range{0.87, 1.5}, BurstSeconds: Range{3, 6}, Price: Range{1.1, 1.1}, OverCost: Range{0.6, 0.6}, Spread: Range{0.5, 1},
				Ceiling: Range{1.7, 2.3}, WithCeiling: 1},
			{Load: Range{0.33, 0.49}, Rate: Range{3.5, 6}, BurstSeconds: Range{1.2, 2.8}, Price: Range{1.6, 1.6}, OverCost: Range{1, 1}, Spread: Range{0.5, 1}},
		},
		CalmUse: Range{0.16, 0.48}, Full: Range{0.08, 0.25}, Heavy: Range{0.08, 0.13}, HeavyMultiple: Range{2.1, 4.7}, HeavyPart: Range{0.5, 0.9},
		Spiky: Range{0.11, 0.23}, SpikeMultiple: Range{2.8, 6.5}, SpikeSeconds: Range{1.1, 3.6}, SpikeEvery: Range{14, 22},
		Skew: Range{0.3, 1.2}, Shift: Range{10, 21},
		Work: Range{0.12, 0.21}, Aim: Range{1.5, 1.5}, Deadline: Range{6, 6},
		MeterPeriod: Range{0.5, 0.5}, MeterLag: Range{0.31, 1.5},
		Retries: Range{0, 2.99}, Patience: Range{0.5, 1}, Backoff: Range{0.075, 0.6}, Ignore: Range{0.13, 0.53}, Elsewhere: Range{0.15, 0.77},
	}
}

// TinyQuotas are SmallQuotas of a fifth to two fifths of a request a second, without ceilings, before
// backends that have twice the room: nothing but the quotas holds a customer back.
func TinyQuotas() DeploymentRanges {
	r := SmallQuotas()
	r.Load = Range{0.2, 0.25}
	for i := range r.Plans {
		p := &r.Plans[i]
		p.Rate, p.BurstSeconds, p.OverCost = Range{0.2, 0.4}, Range{8, 14}, Range{1, 1}
		p.Ceiling, p.WithCeiling = Range{}, 0
	}
	return r
}

// AnyQuotas are wide ranges: quotas from far below one to 15 requests a second, small and
// large sets, one to three plans, meters up to 1.5 s late.
func AnyQuotas() DeploymentRanges {
	r := SmallQuotas()
	plan := PlanRanges{Load: Range{0.2, 1}, Rate: Range{0.2, 15}, BurstSeconds: Range{1, 10}, Price: Range{0.5, 2.5}, OverCost: Range{0.3, 1},
		Spread: Range{0.1, 1}, Ceiling: Range{1.5, 3}, WithCeiling: 0.4}
	r.Plans, r.PlanCount = []PlanRanges{plan, plan, plan}, 3
	r.Inside, r.Load, r.Unevenness = Range{1000, 2000}, Range{0.4, 0.65}, Range{0, 0.7}
	r.CalmUse, r.Full, r.Heavy, r.HeavyMultiple = Range{0.15, 0.5}, Range{0.1, 0.3}, Range{0.04, 0.12}, Range{1.6, 5}
	r.Spiky, r.SpikeMultiple, r.SpikeSeconds, r.SpikeEvery = Range{0.1, 0.25}, Range{2, 8}, Range{0.5, 5}, Range{10, 25}
	r.Skew, r.Shift, r.Elsewhere = Range{0.2, 1.3}, Range{5, 25}, Range{0, 0.8}
	r.Work, r.Aim, r.Deadline = Range{0.05, 0.2}, Range{0.6, 1.5}, Range{2.5, 6}
	r.MeterPeriod, r.MeterLag = Range{0.5, 1}, Range{0.2, 1.5}
	r.Backoff, r.Ignore, r.Unmarked = Range{0.005, 0.6}, Range{0, 0.7}, 0.3
	return r
}

// LateMeters are AnyQuotas with meters up to 5 s late.
func LateMeters() DeploymentRanges {
	r := AnyQuotas()
	r.MeterLag = Range{1.5, 5}
	return r
}

// DrawDeployment draws a deployment with a calm day: nothing fails, load is half as high
// again for some seconds, and traffic moves from zone to zone. One seed gives one spec.
func DrawDeployment(seed uint64, r DeploymentRanges) Spec {
	rng := rand.New(rand.NewPCG(seed, 0xde91))
	s := Spec{Seed: seed, For: r.For, Config: r.drawConfig(rng), Mix: []float64{1}, WorkSigma: 0.8,
		OneWay: [2]time.Duration{300 * time.Microsecond, 2 * time.Millisecond}, ListDelay: [2]time.Duration{200 * time.Millisecond, 2 * time.Second},
		Handshake: 0.001, MeterLag: r.MeterLag.drawDuration(rng), Late: LatePolicy{Lag: lateView}}
	s.Work = []float64{r.Work.draw(rng)}
	r.drawClients(rng, &s)
	inside := r.Inside.draw(rng) * float64(r.Gateways) / 300
	r.drawFleet(rng, &s, inside)
	r.drawCustomers(rng, &s, inside)
	r.drawDay(rng, &s)
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

// draw draws a plan. Its store holds two requests at least, and four under a ceiling.
func (r *PlanRanges) draw(rng *rand.Rand) choice.Plan {
	p := choice.Plan{Rate: r.Rate.drawLog(rng), Price: r.Price.draw(rng), OverCost: r.OverCost.draw(rng)}
	p.Burst = max(2, p.Rate*r.BurstSeconds.draw(rng))
	if rng.Float64() < r.WithCeiling {
		multiple := r.Ceiling.draw(rng)
		p.Burst = max(4, p.Burst)
		p.CeilingRate, p.CeilingBurst = multiple*p.Rate, multiple*p.Burst
		p.CeilingTolerance = max(1, 0.1*p.CeilingBurst)
	}
	return p
}

func (r *DeploymentRanges) drawClients(rng *rand.Rand, s *Spec) {
	s.Tries = 1 + int(r.Retries.draw(rng))
	s.Clients = Clients{Patience: r.Patience.draw(rng), Ignore: r.Ignore.draw(rng), Stay: 1 - r.Elsewhere.draw(rng), Unmarked: rng.Float64() < r.Unmarked}
	s.Wait = r.Backoff.drawDuration(rng)
	switch rng.IntN(3) { // no wait, always the same one, or each twice the one before
	case 0:
		s.Wait = 0
	case 1:
		s.Clients.Doubling = true
	}
}

func (r *DeploymentRanges) drawFleet(rng *rand.Rand, s *Spec, inside float64) {
	sigma := r.Unevenness.draw(rng)
	for i := range r.Gateways {
		s.Gateways = append(s.Gateways, Gateway{Zone: i % 3, Share: math.Exp(sigma * rng.NormFloat64())})
	}
	backends := inside * s.Work[0] / r.Load.draw(rng) / coresEach
	for i := range max(4, int(backends)) {
		s.Backends = append(s.Backends, Backend{Zone: i % 3, Cores: coresEach, Weight: 1})
	}
}

// habits are the kinds of customers of a deployment.
type habits struct {
	calmUse, full, heavy, heavyMultiple, heavyPart, spiky, spikeMultiple float64
	spikeFor, spikeEvery, day                                            time.Duration
	skew                                                                 float64
	shift                                                                time.Duration
}

func (r *DeploymentRanges) drawHabits(rng *rand.Rand) habits {
	return habits{
		calmUse: r.CalmUse.draw(rng), full: r.Full.draw(rng), heavy: r.Heavy.draw(rng), heavyMultiple: r.HeavyMultiple.draw(rng), heavyPart: r.HeavyPart.draw(rng),
		spiky: r.Spiky.draw(rng), spikeMultiple: r.SpikeMultiple.draw(rng),
		spikeFor: r.SpikeSeconds.drawDuration(rng), spikeEvery: r.SpikeEvery.drawDuration(rng), day: r.For,
		skew: r.Skew.draw(rng), shift: r.Shift.drawDuration(rng),
	}
}

// spikes is what a spiky customer of a plan asks in its spikes, inside its quota and beyond, on
// average over all of the day and in its rate.
func (h *habits) spikes(p *choice.Plan) (inside, beyond float64) {
	asked := h.spikeMultiple * h.spikeFor.Seconds()
	holds := p.Burst/p.Rate + h.spikeFor.Seconds()
	inside, beyond = min(asked, holds), max(0, asked-holds)
	return inside / h.spikeEvery.Seconds(), beyond / h.spikeEvery.Seconds()
}

// meanUse is what a customer of a plan asks inside its quota on average, in its rate.
func (h *habits) meanUse(p *choice.Plan) float64 {
	inSpikes, _ := h.spikes(p)
	between := h.calmUse * (1 - h.spikeFor.Seconds()/h.spikeEvery.Seconds())
	return h.calmUse*(1-h.full-h.heavy-h.spiky) + fullUse*h.full +
		(h.heavyPart+h.calmUse*(1-h.heavyPart))*h.heavy + (between+inSpikes)*h.spiky
}

// heavyUse is what a heavy customer of a plan asks, in its rate: no more than keeps what all ask
// beyond their quotas within mostExcess.
func (h *habits) heavyUse(p *choice.Plan) float64 {
	_, beyond := h.spikes(p)
	room := mostExcess*h.meanUse(p) - beyond*h.spiky
	return min(h.heavyMultiple, 1+max(0, room)/(h.heavy*h.heavyPart))
}

// drawCustomers draws the customers of all plans, so many that they ask for inside requests a second
// inside their quotas.
func (r *DeploymentRanges) drawCustomers(rng *rand.Rand, s *Spec, inside float64) {
	h := r.drawHabits(rng)
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

// groups are so many customers of a plan.
func (h *habits) groups(p *choice.Plan, count float64) []Customers {
	group := func(share, use, vary float64) Customers {
		return Customers{Count: max(1, int(share*count+0.5)), Rate: use * p.Rate, Vary: vary, Zipf: h.skew, Moves: h.shift}
	}
	spiky := group(h.spiky, h.calmUse, calmVary)
	spiky.Burst, spiky.On, spiky.Off = h.spikeMultiple/h.calmUse, h.spikeFor, h.spikeEvery-h.spikeFor
	heavy := group(h.heavy, h.calmUse, calmVary)
	heavy.Burst = h.heavyUse(p) / h.calmUse
	heavy.On = time.Duration(h.heavyPart * float64(h.day))
	heavy.Off = h.day - heavy.On
	return []Customers{
		group(1-h.full-h.heavy-h.spiky, h.calmUse, calmVary),
		group(h.full, fullUse, fullVary),
		heavy,
		spiky,
	}
}

// spreadOf is the size of a customer's set: a part of the gateways, two at least, and under
// a ceiling no more than leaves each of them two requests.
func spreadOf(p *choice.Plan, part float64, gateways int) int {
	spread := part * float64(gateways)
	if p.CeilingRate > 0 {
		spread = min(spread, p.CeilingBurst/2)
	}
	return max(2, int(spread))
}

// drawDay draws what happens: a surge, and traffic that moves to one zone and back.
func (r *DeploymentRanges) drawDay(rng *rand.Rand, s *Spec) {
	lasts := s.For.Seconds()
	s.Surge.By = 1.5
	s.Surge.From = Range{0.2 * lasts, 0.5 * lasts}.drawDuration(rng)
	s.Surge.To = s.Surge.From + Range{3, 6}.drawDuration(rng)
	zone, by := rng.IntN(3), Range{1.5, 3}.draw(rng)
	there := Range{0.1 * lasts, 0.5 * lasts}.drawDuration(rng)
	back := there + Range{0.2 * lasts, 0.4 * lasts}.drawDuration(rng)
	gateways := s.Gateways
	busier := func(by float64) func(*World) {
		return func(w *World) {
			w.Shares(func(i int) float64 {
				if gateways[i].Zone == zone {
					return by * gateways[i].Share
				}
				return gateways[i].Share
			})
		}
	}
	s.Events = []Event{{there, busier(by)}, {back, busier(1)}}
}
