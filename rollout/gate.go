package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Gate holds the criteria that a release must meet.
type Gate struct {
	Soak             time.Duration `json:"soak"`     // minimum time that a wave is in service, complete and proven, before the next one
	MinRequests      uint64        `json:"requests"` // requests on changed members that a verdict requires
	StallTimeout     time.Duration `json:"patience"` // time without progress after which the rollout halts
	Alpha            float64       `json:"alpha"`    // probability that a good release is halted by its stats, over all its waves
	Margin           float64       `json:"margin"`   // tolerated increase of the share refused or failed
	MaxLatencyFactor float64       `json:"slower"`   // tolerated increase of the mean latency, as a factor above 1
}

// DefaultGate returns the default criteria.
func DefaultGate() Gate {
	return Gate{Soak: time.Minute, MinRequests: 500, StallTimeout: 15 * time.Minute, Alpha: 0.01, Margin: 0.02, MaxLatencyFactor: 1.5}
}

func (g Gate) check() error {
	switch {
	case g.Soak <= 0 || g.StallTimeout <= g.Soak:
		return &BadRequest{"a gate's soak is above 0, and its patience above the soak"}
	case !(g.Alpha > 0 && g.Alpha < 0.5) || !(g.Margin > 0 && g.Margin < 1) || !(g.MaxLatencyFactor > 1):
		return &BadRequest{"a gate's alpha is above 0 and below 0.5, margin between 0 and 1, slower above 1"}
	}
	return nil
}

// Count holds the outcomes of the requests of one class.
type Count struct {
	Served  uint64 `json:"s"`
	Refused uint64 `json:"r"`
	Failed  uint64 `json:"f"`
}

// Stats are the counters of a member's program since it started.
type Stats struct {
	BootID          uint64           `json:"boot"` // differs after each start of the program
	Classes         map[string]Count `json:"classes,omitempty"`
	InFlightSeconds float64          `json:"open"`   // requests in flight, integrated over time, in request seconds
	Deaths          uint64           `json:"deaths"` // unexpected exits of the program since the agent started
}

const (
	maxClasses         = 32
	maxStrata          = 8 // zones that are compared separately
	minUnchanged       = 3
	minLatencyRequests = 20 // requests below which a member's latency is ignored
)

// sample is a member's stats at one time.
type sample struct {
	at    time.Duration
	stats Stats
}

// statsWindow is a sliding window over one member's stats: counts are relative to start,
// which nextStart replaces when the window moves on.
type statsWindow struct {
	changed          bool
	zone             string
	start, nextStart sample
	last             sample
	comparable       bool // the member is ready, proven or not
}

// record adds a sample. A start of the program resets the window.
func (t *statsWindow) record(now time.Duration, f Stats, changed, serves bool) {
	if len(f.Classes) > maxClasses {
		f.Classes = nil
	}
	if t.last.stats.BootID != f.BootID || t.changed != changed || !t.comparable || t.last.at == 0 {
		from := f
		if t.last.at > 0 && t.changed == changed {
			from.Deaths = min(f.Deaths, t.start.stats.Deaths) // a death stays in the window in which it occurred
		}
		t.start, t.nextStart = sample{now, from}, sample{now, from}
	}
	t.changed, t.comparable = changed, serves
	t.last = sample{now, f}
}

// delta holds the counts of a window.
type delta struct {
	zone            string
	classes         map[string]Count
	inFlightSeconds float64
	deaths          uint64
	duration        time.Duration
}

func (d delta) requests() (n uint64) {
	for _, c := range d.classes {
		n += c.Served + c.Refused + c.Failed
	}
	return n
}

func (t *statsWindow) delta() delta {
	d := delta{zone: t.zone, classes: map[string]Count{}, duration: t.last.at - t.start.at}
	for name, c := range t.last.stats.Classes {
		o := t.start.stats.Classes[name]
		d.classes[name] = Count{saturatingSub(c.Served, o.Served), saturatingSub(c.Refused, o.Refused), saturatingSub(c.Failed, o.Failed)}
	}
	d.inFlightSeconds = t.last.stats.InFlightSeconds - t.start.stats.InFlightSeconds
	d.deaths = saturatingSub(t.last.stats.Deaths, t.start.stats.Deaths)
	return d
}

// saturatingSub returns a - b, or 0 if b is larger.
func saturatingSub(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}

// gateEvaluator compares the changed members of a rollout with the unchanged ones.
type gateEvaluator struct {
	gate         Gate
	rollout      string
	waves        int
	evaluations  int
	lastRequests uint64 // requests at the last evaluation
	lastDeaths   uint64 // deaths at the last evaluation
	lastVerdict  Verdict
}

// Verdict is the result of a gate's evaluation.
type Verdict struct {
	Failure              Fault   // criterion that is not met, or nil
	Insufficient         Fault   // data that is still missing, or nil
	Requests             uint64  // requests on changed members
	NoBaseline           bool    // too few unchanged members are left for a comparison of stats
	DetectableDifference float64 // the smallest difference in shares that would halt it now, in the class with the most requests
}

// evaluate judges once. Each evaluation spends a part of the gate's alpha, so that all
// evaluations of all waves together halt a good release with probability alpha at most
// (a union bound, the k-th evaluation having 6/(pi k)^2 of it).
func (j *gateEvaluator) evaluate(changed, unchanged []delta) (v Verdict) {
	for _, d := range changed {
		v.Requests += d.requests()
	}
	// Only members observed at the same time are compared: otherwise changes over the day would be
	// attributed to the release. With hardly any unchanged member left, only deaths and starts are judged.
	v.NoBaseline = len(unchanged) < minUnchanged
	if v.Requests < j.gate.MinRequests {
		v.Insufficient = &TooFew{Rollout: j.rollout, Got: v.Requests, Want: j.gate.MinRequests}
	}
	deathCount := uint64(0)
	for _, d := range changed {
		deathCount += d.deaths
	}
	// An evaluation only when requests have grown by a quarter keeps them few, so that each may spend more of alpha.
	if grown := 4*v.Requests >= 5*j.lastRequests || v.Requests < j.lastRequests/2; v.Requests < j.gate.MinRequests/4 && deathCount == 0 ||
		!grown && deathCount <= j.lastDeaths {
		v.Failure, v.DetectableDifference = j.lastVerdict.Failure, j.lastVerdict.DetectableDifference
		return v
	}
	defer func() { j.lastVerdict = v }()
	j.lastRequests, j.lastDeaths = v.Requests, deathCount
	j.evaluations++
	zones := map[string]bool{}
	classes := map[string]bool{}
	for _, d := range changed {
		zones[d.zone] = true
		for c := range d.classes {
			classes[c] = true
		}
	}
	largest := uint64(0)
	strata := []string{""}
	if len(zones) > 1 && len(zones) <= maxStrata {
		strata = append(strata, slices.Sorted(maps.Keys(zones))...)
	}
	tests := float64(len(strata) * (2*len(classes) + 2))
	bound := j.gate.Alpha / float64(max(1, j.waves)) * 6 / math.Pow(math.Pi*float64(j.evaluations), 2) / tests
	check := func(metric, class string, c, u, p float64) {
		if p < bound && v.Failure == nil {
			v.Failure = &GateFailed{Rollout: j.rollout, Metric: metric, Class: class, Changed: c, Unchanged: u, P: p, Bound: bound}
		}
	}
	for _, zone := range strata {
		inZone := func(list []delta) []delta {
			if zone == "" {
				return list
			}
			return slices.DeleteFunc(slices.Clone(list), func(d delta) bool { return d.zone != zone })
		}
		c, u := inZone(changed), inZone(unchanged)
		suffix := ""
		if zone != "" {
			suffix = " in " + zone
		}
		for _, class := range slices.Sorted(maps.Keys(classes)) {
			if v.NoBaseline {
				break
			}
			for _, f := range []struct {
				name string
				of   func(Count) uint64
			}{{"share refused", func(c Count) uint64 { return c.Refused }}, {"share failed", func(c Count) uint64 { return c.Failed }}} {
				pc, pu, p, se, df := compareShares(c, u, class, f.of, j.gate.Margin)
				if n := countRequests(c, class); zone == "" && n > largest && se > 0 {
					largest = n
					v.DetectableDifference = j.gate.Margin + se*distuv.StudentsT{Sigma: 1, Nu: max(1, df)}.Quantile(1-bound)
				}
				check(f.name+suffix, class, pc, pu, p)
			}
		}
		if !v.NoBaseline {
			lc, lu, p := compareLatencies(c, u, j.gate.MaxLatencyFactor)
			check("mean latency in seconds"+suffix, "", lc, lu, p)
		}
		dc, du, p := compareDeaths(c, u)
		check("deaths"+suffix, "", dc, du, p)
	}
	return v
}

// compareShares tests whether the share of requests with a bad outcome is larger on
// changed members by more than the margin. Members differ in any case (uneven quotas):
// the variance is that of a quasi-binomial whose dispersion is estimated within both
// groups (McCullagh and Nelder, 1989, 4.5), and the test is Student's t.
func compareShares(changed, unchanged []delta, class string, bad func(Count) uint64, margin float64) (pc, pu, p, se, df float64) {
	sum := func(list []delta) (n, b float64) {
		for _, d := range list {
			c := d.classes[class]
			n += float64(c.Served + c.Refused + c.Failed)
			b += float64(bad(c))
		}
		return n, b
	}
	nc, bc := sum(changed)
	nu, bu := sum(unchanged)
	if nc == 0 || nu == 0 {
		return 0, 0, 1, 0, 0
	}
	pc, pu = bc/nc, bu/nu
	// The difference is tested against the margin. The half request (0.5/nu) below keeps the variance above 0.
	q := pu + margin
	v := q * (1 - q)
	phi := 0.0
	df = -2.0
	for i, list := range [][]delta{changed, unchanged} {
		p := max([]float64{pc, pu}[i], 0.5/nu)
		for _, d := range list {
			c := d.classes[class]
			if n := float64(c.Served + c.Refused + c.Failed); n > 0 {
				e := float64(bad(c)) - n*p
				phi += e * e / (n * p * (1 - min(p, 0.99)))
				df++
			}
		}
	}
	if df >= 3 {
		phi = max(1, phi/df)
	} else {
		phi, df = 2, 3 // too few members to estimate the dispersion: conservative values
	}
	se = math.Sqrt(phi * v * (1/nc + 1/nu))
	return pc, pu, upperTail((pc-pu-margin)/se, df), se, df
}

func countRequests(list []delta, class string) (n uint64) {
	for _, d := range list {
		c := d.classes[class]
		n += c.Served + c.Refused + c.Failed
	}
	return n
}

// compareLatencies tests whether the mean latency of members (request seconds in flight per
// request ended, by Little's law) is larger on changed members by more than a factor.
func compareLatencies(changed, unchanged []delta, factor float64) (c, u, p float64) {
	logs := func(list []delta) (l []float64) {
		for _, d := range list {
			if n := d.requests(); n >= minLatencyRequests && d.inFlightSeconds > 0 {
				l = append(l, math.Log(d.inFlightSeconds/float64(n)))
			}
		}
		return l
	}
	lc, lu := logs(changed), logs(unchanged)
	if len(lc) == 0 || len(lu) < 3 {
		return 0, 0, 1
	}
	mean := func(l []float64) (m, v float64) {
		for _, x := range l {
			m += x / float64(len(l))
		}
		for _, x := range l {
			v += (x - m) * (x - m) / float64(max(1, len(l)-1))
		}
		return m, v
	}
	mc, vc := mean(lc)
	mu, vu := mean(lu)
	df := float64(len(lc) + len(lu) - 2)
	v := (vc*float64(len(lc)-1) + vu*float64(len(lu)-1)) / df
	// Standard deviation of 5% at least: a few members that happen to be alike say little about the others.
	v = max(v, 0.05*0.05)
	t := (mc - mu - math.Log(factor)) / math.Sqrt(v*(1/float64(len(lc))+1/float64(len(lu))))
	return math.Exp(mc), math.Exp(mu), upperTail(t, df)
}

// compareDeaths tests whether programs die more often on changed members: of all deaths,
// theirs are binomial with their share of the observed time.
func compareDeaths(changed, unchanged []delta) (c, u, p float64) {
	sum := func(list []delta) (n uint64, t float64) {
		for _, d := range list {
			n += d.deaths
			t += d.duration.Seconds()
		}
		return n, t
	}
	nc, tc := sum(changed)
	nu, tu := sum(unchanged)
	if nc < 2 || tc+tu == 0 {
		return float64(nc), float64(nu), 1
	}
	b := distuv.Binomial{N: float64(nc + nu), P: min(tc/(tc+tu), 1-1e-9)}
	return float64(nc), float64(nu), 1 - b.CDF(float64(nc)-1)
}

func upperTail(t, df float64) float64 {
	if t <= 0 {
		return 1
	}
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: max(1, df)}.Survival(t)
}

// String describes the verdict.
func (v Verdict) String() string {
	switch {
	case v.Failure != nil:
		return v.Failure.Error()
	case v.Insufficient != nil:
		return v.Insufficient.Error()
	}
	if v.NoBaseline {
		return fmt.Sprintf("%d requests; too few unchanged members are left to compare with: only deaths and starts are judged", v.Requests)
	}
	if v.DetectableDifference > 0 {
		return fmt.Sprintf("no regression in %d requests; %.0f%% more refused or failed would be detected",
			v.Requests, 100*v.DetectableDifference)
	}
	return fmt.Sprintf("no regression in %d requests", v.Requests)
}
