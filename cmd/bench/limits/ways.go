package main

import (
	"math"
	"time"

	"wickarch/choice"
)

// limiterCase is a named constructor of limiters, one for each gateway.
type limiterCase struct {
	name string
	make func(aim time.Duration) choice.Limiter // nil: the gateway's default
}

var ways = []limiterCase{
	{"as landed (constant, shrinks)", func(time.Duration) choice.Limiter { return &shrinkOnly{opened: 1} }},
	{"AIMD", func(time.Duration) choice.Limiter { return &aimd{opened: 1} }},
	{"Vegas", func(time.Duration) choice.Limiter { return &vegas{opened: 1} }},
	{"gradient (two averages)", func(time.Duration) choice.Limiter { return &gradient{opened: 1} }},
	{"probed minimum (Envoy)", func(time.Duration) choice.Limiter { return &minLatencyProbe{opened: 1} }},
	{"rate and base latency (BBR)", func(aim time.Duration) choice.Limiter { return &bbr{opened: 1, aim: aim.Seconds()} }},
	{"own", nil},
}

// samples aggregates the latencies of a step, in units of the aim.
type samples struct{ sum, lowest, n float64 }

func (s *samples) Observe(_ int, aims float64, _ time.Duration) {
	aims = min(aims, 1) // a refusal counts as a missed aim
	if s.n == 0 || aims < s.lowest {
		s.lowest = aims
	}
	s.sum += aims
	s.n++
}

// take returns the mean and minimum of the step and starts the next.
func (s *samples) take() (mean, lowest, n float64) {
	mean, lowest, n = s.sum/max(s.n, 1), s.lowest, s.n
	*s = samples{}
	return
}

// constant is a fixed limit, as set by an operator who knows the fleet.
type constant float64

func (constant) Observe(int, float64, time.Duration)                     {}
func (c constant) Step(time.Duration, choice.StepStats) (opened float64) { return float64(c) }

// shrinkOnly is the default limiter before this comparison: it shrinks from the prior and grows back at most to it.
type shrinkOnly struct {
	sum, n, ratio, opened float64
}

func (l *shrinkOnly) Observe(_ int, aims float64, _ time.Duration) {
	l.sum += min(2, aims/0.35)
	l.n++
}

func (l *shrinkOnly) Step(_ time.Duration, s choice.StepStats) float64 {
	if l.n > 0 || s.MaxInFlight == 0 {
		n := max(l.n, 1)
		l.ratio += min(0.3, 0.2*n) * (l.sum/n - l.ratio)
	}
	l.sum, l.n = 0, 0
	l.opened = min(1, max(0.2, l.opened*(1+min(0.1, max(-0.25, 0.25*(1-l.ratio))))))
	return l.opened
}

// aimd adds an attempt in each step in which the limit restricts load, and decreases by a quarter
// when the mean latency exceeds half of the aim (Chiu and Jain, 1989; concurrency-limits' AIMDLimit).
type aimd struct {
	samples
	opened float64
}

func (l *aimd) Step(_ time.Duration, s choice.StepStats) float64 {
	mean, _, n := l.take()
	if n > 0 && mean > 0.5 {
		l.opened = max(0.05, l.opened*0.75)
	} else if s.Limited {
		l.opened += 1 / max(s.Baseline, 1e-9)
	}
	return l.opened
}

// vegas keeps the number of queued attempts, estimated from latency over its minimum, within bounds
// (Brakmo and Peterson, 1995; concurrency-limits' VegasLimit with its alpha and beta).
type vegas struct {
	samples
	opened, base float64
}

func (l *vegas) Step(_ time.Duration, s choice.StepStats) float64 {
	mean, lowest, n := l.take()
	if n == 0 {
		return l.opened
	}
	if l.base == 0 || lowest < l.base {
		l.base = lowest
	}
	limit := l.opened * s.Baseline
	queued, step := limit*(1-l.base/mean), math.Log10(max(limit, 1))+1
	switch {
	case queued > 6*step:
		limit -= step
	case queued < 3*step && s.Limited:
		limit += step
	}
	l.opened = max(0.05, limit/max(s.Baseline, 1e-9))
	return l.opened
}

// gradient compares a short average of latency with a long one (concurrency-limits' Gradient2Limit).
type gradient struct {
	samples
	opened, long float64
}

func (l *gradient) Step(_ time.Duration, s choice.StepStats) float64 {
	mean, _, n := l.take()
	if n == 0 {
		return l.opened
	}
	if l.long == 0 {
		l.long = mean
	}
	l.long += (1 - math.Exp(-n/600)) * (mean - l.long)
	if l.long > 2*mean {
		l.long *= 0.95
	}
	limit := l.opened * s.Baseline
	if !s.Limited && s.MaxInFlight < limit/2 {
		return l.opened
	}
	next := limit*max(0.5, min(1, 1.5*l.long/mean)) + math.Sqrt(limit)
	l.opened = max(0.05, (0.8*limit+0.2*next)/max(s.Baseline, 1e-9))
	return l.opened
}

// minLatencyProbe measures the minimum latency periodically, by limiting the attempts in flight to a
// few (Envoy's adaptive concurrency filter).
type minLatencyProbe struct {
	samples
	opened, base, sum, n float64
	until, next          time.Duration
}

func (l *minLatencyProbe) Step(now time.Duration, s choice.StepStats) float64 {
	mean, _, n := l.take()
	few := 3 / max(s.Baseline, 1e-9)
	if now >= l.next {
		l.next, l.until, l.sum, l.n = now+30*time.Second, now+time.Second, 0, 0
	}
	if now < l.until {
		l.sum, l.n = l.sum+mean*n, l.n+n
		return min(l.opened, few)
	}
	if l.n > 0 {
		l.base, l.n = l.sum/l.n, 0
	}
	if n == 0 || l.base == 0 {
		return l.opened
	}
	limit := l.opened * s.Baseline
	limit = limit*max(0.5, min(2, 1.25*l.base/mean)) + math.Sqrt(limit)
	if !s.Limited {
		limit = min(limit, max(2*s.MaxInFlight, l.opened*s.Baseline))
	}
	l.opened = max(few, limit/max(s.Baseline, 1e-9))
	return l.opened
}

// bbr limits to twice the product of the maximum rate of answers and the minimum mean
// latency of the last 10 s (Cardwell et al., CACM 2017), and probes with a quarter more.
type bbr struct {
	samples
	opened, aim  float64     // the aim in seconds, as latencies are in units of the aim
	rates, means [50]float64 // of the last 10 s
	at           int
	last         time.Duration
}

func (l *bbr) Step(now time.Duration, s choice.StepStats) float64 {
	mean, _, n := l.take()
	span := max((now - l.last).Seconds(), 0.01)
	l.last = now
	l.at = (l.at + 1) % len(l.rates)
	l.rates[l.at], l.means[l.at] = n/span, mean
	rate, base := 0.0, math.Inf(1)
	for i := range l.rates {
		rate = max(rate, l.rates[i])
		if l.means[i] > 0 {
			base = min(base, l.means[i])
		}
	}
	if math.IsInf(base, 1) {
		return l.opened
	}
	gain := 2.0
	if l.at%8 == 0 {
		gain *= 1.25
	}
	l.opened = max(0.05, gain*rate*base*l.aim/max(s.Baseline, 1e-9)+2/max(s.Baseline, 1e-9))
	return l.opened
}
