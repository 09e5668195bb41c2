package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Gate is what a release is judged by.
type Gate struct {
	Soak             time.Duration `json:"soak"`     // that each wave serves, whole and proven, at least
	MinRequests      uint64        `json:"requests"` // wanted where changed, to judge by
	StallTimeout     time.Duration `json:"patience"` // without progress, then it halts
	Alpha            float64       `json:"alpha"`    // chance that a good release is halted by its figures, over all its waves
	Margin           float64       `json:"margin"`   // of the share refused or failed: a smaller difference does not matter
	MaxLatencyFactor float64       `json:"slower"`   // factor of the mean latency: a smaller one does not matter
}

// DefaultGate is the gate that an order starts from.
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

// Count is what became of requests of one class.
type Count struct {
	Served  uint64 `json:"s"`
	Refused uint64 `json:"r"`
	Failed  uint64 `json:"f"`
}

// Stats are what a member's program has done since it started.
type Stats struct {
	BootID          uint64           `json:"boot"` // another one after each start
	Classes         map[string]Count `json:"classes,omitempty"`
	InFlightSeconds float64          `json:"open"`   // requests open, added up over time, in request seconds
	Deaths          uint64           `json:"deaths"` // of the program, unasked, since the agent started
}

const (
	mostClasses    = 32
	mostStrata     = 8 // zones that are judged apart
	leastUnchanged = 3
	leastForRate   = 20 // requests of a member, below which its latency is not taken
)

// sample is a member's figures at a time.
type sample struct {
	at time.Duration
	f  Stats
}

// track is what the leader keeps of one member's figures: two samples to count
// from, the newer of which takes over from the older, so that the window slides.
type track struct {
	changed    bool
	zone       string
	older, mid sample
	last       sample
	mayCompare bool // it serves, and is proven
}

// record takes in figures. A start of the program begins the count anew.
func (t *track) record(now time.Duration, f Stats, changed, serves bool) {
	if len(f.Classes) > mostClasses {
		f.Classes = nil
	}
	if t.last.f.BootID != f.BootID || t.changed != changed || !t.mayCompare || t.last.at == 0 {
		from := f
		if t.last.at > 0 && t.changed == changed {
			from.Deaths = min(f.Deaths, t.older.f.Deaths) // a death stays in the window in which it came
		}
		t.older, t.mid = sample{now, from}, sample{now, from}
	}
	t.changed, t.mayCompare = changed, serves
	t.last = sample{now, f}
}

// delta is what was done in the window.
type delta struct {
	zone    string
	classes map[string]Count
	open    float64
	deaths  uint64
	span    time.Duration
}

func (d delta) requests() (n uint64) {
	for _, c := range d.classes {
		n += c.Served + c.Refused + c.Failed
	}
	return n
}

func (t *track) delta() delta {
	d := delta{zone: t.zone, classes: map[string]Count{}, span: t.last.at - t.older.at}
	for name, c := range t.last.f.Classes {
		o := t.older.f.Classes[name]
		d.classes[name] = Count{less(c.Served, o.Served), less(c.Refused, o.Refused), less(c.Failed, o.Failed)}
	}
	d.open = t.last.f.InFlightSeconds - t.older.f.InFlightSeconds
	d.deaths = less(t.last.f.Deaths, t.older.f.Deaths)
	return d
}

// less subtracts counts of which the first should not be the smaller one.
func less(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}

// judge compares the changed part with the unchanged part.
type judge struct {
	gate    Gate
	rollout string
	waves   int
	looks   int
	nextAt  uint64 // requests at the last look
	died    uint64 // and deaths
	last    Verdict
}

// Verdict is what a gate says.
type Verdict struct {
	Failure              Fault   // what it fails by; nil
	Insufficient         Fault   // what it has too little of to tell; nil
	Requests             uint64  // requests where changed
	NoBaseline           bool    // too few unchanged members are left to compare figures with
	DetectableDifference float64 // the smallest difference of shares that it would halt by now, in the class with most requests
}

// look judges once. Each look spends a part of the gate's alpha, so that all
// looks of all waves together halt a good release with that chance at most
// (a union bound, the k-th look having 6/(pi k)^2 of it).
func (j *judge) look(changed, unchanged []delta) (v Verdict) {
	for _, d := range changed {
		v.Requests += d.requests()
	}
	// What is not at the same time is no comparison: a day's changes would be put down to
	// the release. With hardly any unchanged member left only deaths and starts are judged.
	v.NoBaseline = len(unchanged) < leastUnchanged
	if v.Requests < j.gate.MinRequests {
		v.Insufficient = &TooFew{Rollout: j.rollout, Got: v.Requests, Want: j.gate.MinRequests}
	}
	died := uint64(0)
	for _, d := range changed {
		died += d.deaths
	}
	// Looks that come as the requests grow by a quarter are few, so that each may spend much.
	if grown := 4*v.Requests >= 5*j.nextAt || v.Requests < j.nextAt/2; v.Requests < j.gate.MinRequests/4 && died == 0 || !grown && died <= j.died {
		v.Failure, v.DetectableDifference = j.last.Failure, j.last.DetectableDifference
		return v
	}
	defer func() { j.last = v }()
	j.nextAt, j.died = v.Requests, died
	j.looks++
	zones := map[string]bool{}
	classes := map[string]bool{}
	for _, d := range changed {
		zones[d.zone] = true
		for c := range d.classes {
			classes[c] = true
		}
	}
	most := uint64(0)
	strata := []string{""}
	if len(zones) > 1 && len(zones) <= mostStrata {
		strata = append(strata, slices.Sorted(maps.Keys(zones))...)
	}
	tests := float64(len(strata) * (2*len(classes) + 2))
	bound := j.gate.Alpha / float64(max(1, j.waves)) * 6 / math.Pow(math.Pi*float64(j.looks), 2) / tests
	try := func(figure, class string, c, u, p float64) {
		if p < bound && v.Failure == nil {
			v.Failure = &GateFailed{Rollout: j.rollout, Metric: figure, Class: class, Changed: c, Unchanged: u, P: p, Bound: bound}
		}
	}
	for _, zone := range strata {
		in := func(list []delta) []delta {
			if zone == "" {
				return list
			}
			return slices.DeleteFunc(slices.Clone(list), func(d delta) bool { return d.zone != zone })
		}
		c, u := in(changed), in(unchanged)
		at := ""
		if zone != "" {
			at = " in " + zone
		}
		for _, class := range slices.Sorted(maps.Keys(classes)) {
			if v.NoBaseline {
				break
			}
			for _, f := range []struct {
				name string
				of   func(Count) uint64
			}{{"share refused", func(c Count) uint64 { return c.Refused }}, {"share failed", func(c Count) uint64 { return c.Failed }}} {
				pc, pu, p, se, df := shares(c, u, class, f.of, j.gate.Margin)
				if n := asked(c, class); zone == "" && n > most && se > 0 {
					most = n
					v.DetectableDifference = j.gate.Margin + se*distuv.StudentsT{Sigma: 1, Nu: max(1, df)}.Quantile(1-bound)
				}
				try(f.name+at, class, pc, pu, p)
			}
		}
		if !v.NoBaseline {
			lc, lu, p := latencies(c, u, j.gate.MaxLatencyFactor)
			try("mean latency in seconds"+at, "", lc, lu, p)
		}
		dc, du, p := deaths(c, u)
		try("deaths"+at, "", dc, du, p)
	}
	return v
}

// shares tests whether the share of requests that ended badly is larger where
// changed by more than the margin. Members differ by themselves (uneven quotas):
// the variance is that of a quasi-binomial whose dispersion is estimated within both
// parts (McCullagh and Nelder, 1989, 4.5), by Student's t.
func shares(changed, unchanged []delta, class string, bad func(Count) uint64, margin float64) (pc, pu, p, se, df float64) {
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
	// The difference is tested against the margin. Half a request more keeps the variance above 0.
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
		phi, df = 2, 3 // too few to tell how they differ: a guess on the careful side
	}
	se = math.Sqrt(phi * v * (1/nc + 1/nu))
	return pc, pu, tail((pc-pu-margin)/se, df), se, df
}

// asked counts the requests of a class.
func asked(list []delta, class string) (n uint64) {
	for _, d := range list {
		c := d.classes[class]
		n += c.Served + c.Refused + c.Failed
	}
	return n
}

// latencies tests whether the mean latency of members, as requests open over
// requests ended (Little's law), is larger where changed by more than a factor.
func latencies(changed, unchanged []delta, factor float64) (c, u, p float64) {
	logs := func(list []delta) (l []float64) {
		for _, d := range list {
			if n := d.requests(); n >= leastForRate && d.open > 0 {
				l = append(l, math.Log(d.open/float64(n)))
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
	// Members that are alike by chance do not make the next one alike: 5% at least.
	v = max(v, 0.05*0.05)
	t := (mc - mu - math.Log(factor)) / math.Sqrt(v*(1/float64(len(lc))+1/float64(len(lu))))
	return math.Exp(mc), math.Exp(mu), tail(t, df)
}

// deaths tests whether programs die more often where changed: of all deaths, the
// changed part's are binomial by its part of the time.
func deaths(changed, unchanged []delta) (c, u, p float64) {
	sum := func(list []delta) (n uint64, t float64) {
		for _, d := range list {
			n += d.deaths
			t += d.span.Seconds()
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

func tail(t, df float64) float64 {
	if t <= 0 {
		return 1
	}
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: max(1, df)}.Survival(t)
}

// String words a verdict.
func (v Verdict) String() string {
	switch {
	case v.Failure != nil:
		return v.Failure.Error()
	case v.Insufficient != nil:
		return v.Insufficient.Error()
	}
	if v.NoBaseline {
		return fmt.Sprintf("%d requests; too few unchanged members are left to compare with: deaths and starts are judged", v.Requests)
	}
	if v.DetectableDifference > 0 {
		return fmt.Sprintf("good so far by %d requests; %.0f%% more refused or failed would be seen", v.Requests, 100*v.DetectableDifference)
	}
	return fmt.Sprintf("good so far by %d requests", v.Requests)
}
