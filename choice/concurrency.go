package choice

// Pressure. When the fleet itself is full, requests miss their aim together; a limit on attempts out keeps
// the rest inside it, its last part for the work of most worth. Nobody tells how much a fleet takes, so the
// limit finds its size: it begins wide, falls when latency does, from what is really out, and grows while it
// alone holds work back. docs/design/concurrency-limit.md weighs the ways to do so.

import (
	"math"
	"time"
)

// Settings of the limit.
const (
	calmAims    = 0.35 // latency, as a part of what the work itself leaves of the aim, at which it is pressed
	limitCut    = 0.50 // most that a cut takes off the limit
	limitGrow   = 0.10 // most that one step adds to it: below the prior of itself, beyond it of that
	limitCalm   = 0.7  // ratio below which it grows beyond the prior
	limitForget = 30.0 // seconds after which a limit that holds nothing back is what it was at the start
	pressLatest = 0.3  // most weight of one step's answers in the mean latency, once there are some
	pressMost   = 2.0  // calm latencies as which one answer counts at most, near a median
	pressFull   = 8.0  // calm latencies as which a backend's refusal counts: one in eight is tolerated
	pressAnswer = 0.2  // weight of one answer in it
	pressDoubt  = 3.0  // answers that a calm fleet counts as behind a cut, until others have come
	stillMost   = 0.6  // part of an aim that latency without load is taken for at most
	stillAnswer = 0.05 // weight of one answer in a class's mean latency, and of one step in what stays of it
	priorOut    = 5.0  // attempts out that each ready backend is taken to work well with, before it has shown
	limitWidest = 2.0  // priors that the limit begins with ...
	limitStart  = 64.0 // attempts of all gateways together that it lets out in any case until it has fallen
	limitLeast  = 0.2  // prior that stays open
	limitSlack  = 1.0  // deviations by which chance may take the attempts out beyond the prior
	limitSpare  = 0.5  // share of the limit kept for the work of most worth
	peakFades   = 3.0  // seconds in which the most attempts out of late is forgotten
	unitSteps   = 5.0  // steps in which growth beyond the prior doubles after a cut
)

// Limiter bounds the attempts out of one gateway, in parts of a prior: what its share of the fleet is taken
// to work well with before anything has shown.
type Limiter interface {
	// Observe takes the latency of an answer or timeout, as a multiple of its class's aim and as a duration.
	// A refusal by an overloaded backend counts as +Inf aims.
	Observe(class int, aims float64, took time.Duration)
	// Step takes the time and what has been since the last step. It returns how many priors may be out.
	Step(now time.Duration, s StepStats) float64
}

// StepStats is what has been since a Limiter's last step.
type StepStats struct {
	MaxInFlight float64 // attempts out at most
	Baseline    float64 // attempts, as it is now
	Limited     bool    // the limit has held work back
}

// limit is the gateway's own Limiter: additive growth that quickens with the time since the last cut, as in
// H-TCP (Leith and Shorten, PFLDnet 2004), and cuts in proportion to how far latency is beyond the calm one.
// Behind a cut it waits for as long as answers take, and then takes their mean afresh: what comes sooner
// tells of what was out before.
type limit struct {
	opened float64       // priors that may be out
	ratio  float64       // mean latency over the calm one, smoothed
	weight float64       // answers that it rests on
	sum, n float64       // latencies over the calm one since the last step
	took   float64       // mean latency, seconds
	peak   float64       // most priors out, of late
	step   time.Duration // that a step takes
	last   time.Duration // the last step
	cut    time.Duration // the last cut
	deaf   time.Duration // until then answers tell of what was out before it
	mean   []float64     // by class: latency in aims
	still  []float64     // by class: what of it stays with the limit at its least: load can't be its cause
}

func newLimit(classes int, step, now time.Duration) *limit {
	l := limit{opened: limitWidest, step: step, last: now, cut: now, deaf: now}
	l.mean, l.still = make([]float64, classes), make([]float64, classes)
	return &l
}

func (l *limit) Observe(class int, aims float64, took time.Duration) {
	l.took += pressAnswer * (took.Seconds() - l.took)
	if l.last < l.deaf {
		return // it tells of what was out before the cut
	}
	ratio := pressFull
	if !math.IsInf(aims, 1) {
		l.mean[class] += stillAnswer * (aims - l.mean[class])
		ratio = (aims - l.still[class]) / (calmAims * (1 - l.still[class]))
		ratio = max(0, min(pressMost, ratio))
	}
	l.sum += ratio
	l.n++
}
func (l *limit) Step(now time.Duration, s StepStats) float64 {
	span, out := (now - l.last).Seconds(), s.MaxInFlight/max(s.Baseline, 1e-9)
	l.last = now
	l.peak = max(out, l.peak*math.Exp(-span/peakFades))
	if now < l.deaf {
		return l.opened
	}
	if l.n > 0 || out == 0 { // with nothing out it is calm
		n := max(l.n, 1)
		l.weight += n
		l.ratio += max(n/l.weight, min(pressLatest, pressAnswer*n)) * (l.sum/n - l.ratio)
	}
	l.sum, l.n = 0, 0
	for c := range l.still {
		if l.opened <= limitLeast {
			l.still[c] = min(stillMost, l.still[c]+stillAnswer*(l.mean[c]-l.still[c]))
		} else {
			l.still[c] = min(l.still[c], l.mean[c])
		}
	}
	since := (now - l.cut).Seconds() / l.step.Seconds() / unitSteps
	switch {
	case l.ratio > 1: // from what is out in truth: a limit that held nothing says nothing
		l.opened = max(limitLeast, min(l.opened, max(1, l.peak))*(1-min(limitCut, limitCut*(l.ratio-1))))
		l.cut, l.deaf = now, now+seconds(l.took)
		l.ratio, l.weight, l.peak = 1, pressDoubt, out
	case l.opened < 1:
		l.opened = min(1, l.opened*(1+min(limitGrow, limitCut*(1-l.ratio))))
	case !s.Limited:
		l.opened += (1 - math.Exp(-span/limitForget)) * (limitWidest - l.opened)
	case l.ratio < limitCalm:
		l.opened += limitGrow * (1 + since*since)
	}
	return l.opened
}

// pressed tells whether the limit holds r back. Where nothing has shown what the fleet takes, the first few
// attempts out are never too many. A request that its customer's store covers has a claim to the whole prior,
// whatever the chance.
func (g *Gateway) pressed(r *request, chance float64, covered bool) bool {
	room, top := g.room(), 0.0
	for i := range g.cfg.Classes {
		top = max(top, g.worth(i))
	}
	if chance < 1 { // beyond its quota, it seems: it has no claim to what the fleet has shown to take besides
		if room = min(room, g.prior()); !covered {
			room *= 1 - limitSpare*(1-chance)
		}
	} else if g.opened >= limitWidest && float64(g.out) < limitStart/float64(g.cfg.Gateways) {
		return false
	}
	part := 1 - limitSpare*(1-g.worth(r.Class)/top)
	held := float64(g.out) >= math.Floor(room*part+g.rng.Float64())
	g.bound = g.bound || held && chance >= 1
	return held
}

// room is how many attempts may be out. Below one it is met by chance, so that the sum over gateways keeps.
func (g *Gateway) room() float64 { return g.opened * g.prior() }

// prior is this gateway's part of what the fleet is taken to work well with and what chance arrivals may add.
func (g *Gateway) prior() float64 {
	part := priorOut * float64(len(g.fleet)) / float64(g.cfg.Gateways)
	return part + limitSlack*math.Sqrt(part)
}

// limitStep is as long as an answer takes at most while nothing is pressed.
func (g *Gateway) limitStep() time.Duration { return seconds(calmAims * g.longest.Seconds()) }

func (g *Gateway) worth(class int) float64 {
	return g.cfg.Classes[class].Worth / g.classes[class].least
}

// step does what time brings: the sweep, and the limit's next step.
func (g *Gateway) step(now time.Duration) {
	g.now = now
	g.sweep()
	if now < g.nextStep {
		return
	}
	g.nextStep = now + g.limitStep()
	g.opened = g.limit.Step(now, StepStats{float64(g.most), g.prior(), g.bound})
	g.most, g.bound = g.out, false
}
