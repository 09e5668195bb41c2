package choice

// Limit on attempts in flight. When the backends are overloaded, all requests miss their aims together. The
// limit keeps the load below that point and reserves its last part for the requests of most worth. The
// fleet's capacity is unknown, so the limit adapts: it starts high, is cut from the measured peak in flight
// when latency rises, and grows while it alone holds requests back. docs/design/concurrency-limit.md compares
// the alternatives.

import (
	"math"
	"time"
)

// Settings of the limit. Its unit is the baseline, and a latency ratio is relative to the target latency.
const (
	targetAims         = 0.35 // target latency above the base latency, as a share of the rest of the aim
	maxCut             = 0.50 // max share of the limit that one cut removes
	maxGrowth          = 0.10 // max growth per step, relative to the smaller of limit and baseline
	growBelow          = 0.7  // latency ratio below which it grows beyond the baseline
	driftSeconds       = 30.0 // time constant of the return to the initial limit while nothing is held back
	maxStepWeight      = 0.3  // max weight of one step's answers in the mean ratio, after the first ones
	maxAnswerRatio     = 2.0  // max ratio of one answer, so that the mean is near the median
	refusalRatio       = 8.0  // ratio of a refusal by a backend: one in eight answers is tolerated
	answerWeight       = 0.2  // weight of one answer in the mean ratio
	postCutWeight      = 3.0  // answers at the target ratio that are assumed after a cut, until others come
	maxBase            = 0.6  // max base latency, as a share of the aim
	baseWeight         = 0.05 // weight of an answer in a class's mean latency, of a step in its base latency
	backendBaseline    = 5.0  // attempts in flight that a ready backend is assumed to handle well
	initialFactor      = 2.0  // initial limit, in baselines
	freeInFlight       = 64.0 // attempts of all gateways together that are not held back before the first cut
	minFactor          = 0.2  // min limit, in baselines
	baselineDeviations = 1.0  // standard deviations of random arrivals that the baseline allows for
	reserved           = 0.5  // share of the limit that is reserved for the requests of most worth
	peakSeconds        = 3.0  // time constant in which the recent peak decays
	growthSteps        = 5.0  // steps after a cut until growth beyond the baseline has doubled
)

// Limiter limits the attempts in flight of one gateway. Its unit is the baseline: the attempts that this
// gateway's share of the fleet is assumed to handle well before anything has been measured.
type Limiter interface {
	// Observe takes the latency of an answer or timeout, as a multiple of its class's aim and as a duration.
	// A refusal by an overloaded backend counts as +Inf aims.
	Observe(class int, aims float64, took time.Duration)
	// Step takes the time and the figures since the last step. It returns the limit in baselines.
	Step(now time.Duration, s StepStats) float64
}

// StepStats are the figures of the time since a Limiter's last step.
type StepStats struct {
	MaxInFlight float64 // max attempts in flight
	Baseline    float64 // current baseline, attempts
	Limited     bool    // the limit has held requests back
}

// latencyLimiter is the gateway's own Limiter. It grows additively, faster with the time since the last cut,
// as in H-TCP (Leith and Shorten, PFLDnet 2004), and cuts in proportion to the latency above the target.
// After a cut it ignores answers for one mean latency, as they reflect the attempts in flight before the cut,
// and then starts a new mean.
type latencyLimiter struct {
	factor               float64       // limit in baselines
	ratio                float64       // mean latency ratio, smoothed
	ratioWeight          float64       // answers in that mean
	ratioSum, ratioCount float64       // latency ratios since the last step
	meanLatency          float64       // seconds
	peak                 float64       // recent max in flight, in baselines
	interval             time.Duration // between steps
	lastStep             time.Duration
	lastCut              time.Duration
	ignoreUntil          time.Duration // answers before this reflect the attempts before the last cut
	latency              []float64     // by class: mean latency in aims
	base                 []float64     // by class: latency at the min limit, not caused by load
}

func newLatencyLimiter(classes int, step, now time.Duration) *latencyLimiter {
	l := latencyLimiter{factor: initialFactor, interval: step, lastStep: now, lastCut: now, ignoreUntil: now}
	l.latency, l.base = make([]float64, classes), make([]float64, classes)
	return &l
}

func (l *latencyLimiter) Observe(class int, aims float64, took time.Duration) {
	l.meanLatency += answerWeight * (took.Seconds() - l.meanLatency)
	if l.lastStep < l.ignoreUntil {
		return // it reflects the attempts in flight before the cut
	}
	ratio := refusalRatio
	if !math.IsInf(aims, 1) {
		l.latency[class] += baseWeight * (aims - l.latency[class])
		ratio = (aims - l.base[class]) / (targetAims * (1 - l.base[class]))
		ratio = max(0, min(maxAnswerRatio, ratio))
	}
	l.ratioSum += ratio
	l.ratioCount++
}
func (l *latencyLimiter) Step(now time.Duration, s StepStats) float64 {
	elapsed, inFlight := (now - l.lastStep).Seconds(), s.MaxInFlight/max(s.Baseline, 1e-9)
	l.lastStep = now
	l.peak = max(inFlight, l.peak*math.Exp(-elapsed/peakSeconds))
	if now < l.ignoreUntil {
		return l.factor
	}
	if l.ratioCount > 0 || inFlight == 0 { // an idle gateway counts as one answer of ratio 0
		n := max(l.ratioCount, 1)
		l.ratioWeight += n
		l.ratio += max(n/l.ratioWeight, min(maxStepWeight, answerWeight*n)) * (l.ratioSum/n - l.ratio)
	}
	l.ratioSum, l.ratioCount = 0, 0
	for c := range l.base {
		if l.factor <= minFactor {
			l.base[c] = min(maxBase, l.base[c]+baseWeight*(l.latency[c]-l.base[c]))
		} else {
			l.base[c] = min(l.base[c], l.latency[c])
		}
	}
	sinceCut := (now - l.lastCut).Seconds() / l.interval.Seconds() / growthSteps
	switch {
	case l.ratio > 1: // cut from the peak: a limit that wasn't reached tells nothing about the fleet
		l.factor = max(minFactor, min(l.factor, max(1, l.peak))*(1-min(maxCut, maxCut*(l.ratio-1))))
		l.lastCut, l.ignoreUntil = now, now+seconds(l.meanLatency)
		l.ratio, l.ratioWeight, l.peak = 1, postCutWeight, inFlight
	case l.factor < 1:
		l.factor = min(1, l.factor*(1+min(maxGrowth, maxCut*(1-l.ratio))))
	case !s.Limited:
		l.factor += (1 - math.Exp(-elapsed/driftSeconds)) * (initialFactor - l.factor)
	case l.ratio < growBelow:
		l.factor += maxGrowth * (1 + sinceCut*sinceCut)
	}
	return l.factor
}

// overLimit reports whether the limit holds r back. Before the first cut, the first few attempts in flight
// are never too many. A request that its customer's token bucket covers may use the whole baseline, whatever
// its admission probability.
func (g *Gateway) overLimit(r *request, probability float64, covered bool) bool {
	limit, maxRate := g.limit(), 0.0
	for i := range g.cfg.Classes {
		maxRate = max(maxRate, g.worthRate(i))
	}
	if probability < 1 { // probably beyond its quota: may not use the limit beyond the baseline
		if limit = min(limit, g.baseline()); !covered {
			limit *= 1 - reserved*(1-probability)
		}
	} else if g.limitFactor >= initialFactor && float64(g.inFlight) < freeInFlight/float64(g.cfg.Gateways) {
		return false
	}
	share := 1 - reserved*(1-g.worthRate(r.Class)/maxRate)
	over := float64(g.inFlight) >= math.Floor(limit*share+g.rng.Float64())
	g.limited = g.limited || over && probability >= 1
	return over
}

// limit is the max attempts in flight. Callers round it at random, so that the sum over all gateways holds.
func (g *Gateway) limit() float64 { return g.limitFactor * g.baseline() }

// baseline is this gateway's share of what the fleet is assumed to handle well, and room for random arrivals.
func (g *Gateway) baseline() float64 {
	share := backendBaseline * float64(len(g.fleet)) / float64(g.cfg.Gateways)
	return share + baselineDeviations*math.Sqrt(share)
}

// limitInterval is the max latency of an answer at the target: the time between two steps of the limit.
func (g *Gateway) limitInterval() time.Duration { return seconds(targetAims * g.maxAim.Seconds()) }

// worthRate is a class's worth per second of its latency without load.
func (g *Gateway) worthRate(class int) float64 {
	return g.cfg.Classes[class].Worth / g.classes[class].lowest
}

// advance sets the time, sweeps idle customers and steps the limit if they are due.
func (g *Gateway) advance(now time.Duration) {
	g.now = now
	g.sweep()
	if now < g.nextLimitStep {
		return
	}
	g.nextLimitStep = now + g.limitInterval()
	g.limitFactor = g.limiter.Step(now, StepStats{float64(g.peakInFlight), g.baseline(), g.limited})
	g.peakInFlight, g.limited = g.inFlight, false
}
