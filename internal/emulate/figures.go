package emulate

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"wickarch/choice"
)

// Figures is what a run came to, counted at the models. Worth is that of the
// classes times the plans' price.
type Figures struct {
	Inside          float64 // worth asked that an oracle would serve inside the quotas
	Served          float64 // worth served in time and inside them; late answers count in part
	BeyondWorth     float64 // what tries sent on beyond the quotas cost
	BeyondWorthLate float64 // and what they would cost under the late-seeing policy
	ServedLate      float64 // worth that this policy passes inside the quotas

	Known                                                                 int // tries at gateways that held a reading of their customer already
	Tries, Passed, Beyond, Refused, RefusedWithRoom, Failed, Broken, Lost int
	Attempts, Crossed, Handshakes, Probes                                 int

	Work, Wasted float64   // core-seconds; begun for attempts that had been given up
	Load         []float64 // core-seconds of each backend
	Latency      []time.Duration
	Classes      []ClassFigures
	Seconds      []Second // of the time of load
	Groups       []GroupFigures
	Causes       map[choice.Cause]uint64 // of tries refused at once, as the gateways that lived to the end tell

	Fallen        int     // cold backends pushed over
	Coldest       float64 // most that a cold backend was sent, over what the rule allows
	CeilingPassed int
	CeilingLeast  float64 // lowest level of a ceiling's store

	Shut    int           // gateways that turned away all they got for shutFor on end, shutTries or more
	ShutFor time.Duration // longest time for which one did, with as many in the last shutFor

	Events int
}

// What the users' standing trial takes for a gateway that turns away all it gets.
const (
	shutFor   = 4 * time.Second
	shutTries = 15
)

// ClassFigures are those of one class.
type ClassFigures struct {
	Asked, AskedInside, Served int
	Inside, Worth              float64
}

// GroupFigures are those of one group of customers.
type GroupFigures struct {
	Inside, Served                                  float64 // worth
	Tries, Passed, Beyond, Refused, RefusedWithRoom int
}

// Second is one second of a run.
type Second struct {
	Inside, Served float64 // worth, by when the client asked first
	Passed         []int   // tries sent on by each gateway
}

// second is that of a time; what comes after the load counts in the last.
func (w *World) second(at time.Duration) *Second {
	return &w.figures.Seconds[min(int(at/time.Second), len(w.figures.Seconds)-1)]
}

// Within is the worth asked inside the quotas, and what was served of it, of the
// seconds from one on and before another.
func (f *Figures) Within(from, to int) (inside, served float64) {
	for _, s := range f.Seconds[from:to] {
		inside, served = inside+s.Inside, served+s.Served
	}
	return
}

// Fairness is Jain's index of what gateways sent on in these seconds: 1 where all
// sent as much, 1 over their number where one sent it all (Jain, Chiu and Hawe,
// DEC-TR-301, 1984). Those of them count that a filter takes.
func (f *Figures) Fairness(from, to int, of func(gateway int) bool) float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for i := range f.Seconds[0].Passed {
		if of != nil && !of(i) {
			continue
		}
		x := 0.0
		for _, s := range f.Seconds[from:to] {
			x += float64(s.Passed[i])
		}
		sum, squares, n = sum+x, squares+x*x, n+1
	}
	return sum * sum / (n * squares)
}

// Worth is the share of the worth asked inside the quotas that was served.
func (f *Figures) Worth() float64 { return f.Served / f.Inside }

// OverQuota is the price of what was sent on beyond the quotas, over the worth asked inside them.
func (f *Figures) OverQuota() float64 { return f.BeyondWorth / f.Inside }

// OverQuotaLate is that of the late-seeing policy on the same arrivals.
func (f *Figures) OverQuotaLate() float64 { return f.BeyondWorthLate / f.Inside }

// Excess is how far OverQuota lies above that of the late-seeing policy.
func (f *Figures) Excess() float64 { return f.OverQuota() - f.OverQuotaLate() }

// Net is the worth served less the price of what passed beyond the quotas.
func (f *Figures) Net() float64 { return f.Worth() - f.OverQuota() }

// WorthLate is the share of the worth asked inside the quotas that the late-seeing policy passes.
func (f *Figures) WorthLate() float64 { return f.ServedLate / f.Inside }

// AskedBeyond is what clients asked first beyond the quotas, over what they asked inside them.
func (f *Figures) AskedBeyond() float64 {
	asked, inside := 0, 0
	for _, c := range f.Classes {
		asked, inside = asked+c.Asked, inside+c.AskedInside
	}
	return float64(asked-inside) / float64(max(inside, 1))
}

// TriesPerRequest is how often a client tries, on average.
func (f *Figures) TriesPerRequest() float64 {
	asked := 0
	for _, c := range f.Classes {
		asked += c.Asked
	}
	return float64(f.Tries) / float64(max(asked, 1))
}

// Spread is the load of the most loaded of some backends over the mean one.
func (f *Figures) Spread(of func(backend int) bool) float64 {
	most, sum, n := 0.0, 0.0, 0
	for i, l := range f.Load {
		if of == nil || of(i) {
			most, sum, n = max(most, l), sum+l, n+1
		}
	}
	return most / sum * float64(n)
}

// Quantile is a quantile of the latency of answers.
func (f *Figures) Quantile(q float64) time.Duration {
	if len(f.Latency) == 0 {
		return 0
	}
	slices.Sort(f.Latency)
	return f.Latency[min(len(f.Latency)-1, int(q*float64(len(f.Latency))))]
}

// String tells the figures in a line.
func (f *Figures) String() string {
	var b strings.Builder
	per := func(n int, of int) float64 { return float64(n) / float64(max(of, 1)) }
	fmt.Fprintf(&b, "worth %.3f  passed %.3f  refused with room %.3f  beyond %.3f  failed %.3f", f.Worth(), per(f.Passed, f.Tries),
		per(f.RefusedWithRoom, f.Tries), per(f.Beyond, f.Passed), per(f.Failed+f.Lost, f.Tries))
	fmt.Fprintf(&b, "  handshakes %.3f  probes %.3f  crossed %.2f  wasted %.3f  p50 %v p99 %v  fallen %d (%.2f)  ceiling passed %d",
		per(f.Handshakes, f.Passed), per(f.Probes, f.Passed), per(f.Crossed, f.Attempts), f.Wasted/max(f.Work, 1e-9),
		f.Quantile(0.5).Round(time.Millisecond), f.Quantile(0.99).Round(time.Millisecond), f.Fallen, f.Coldest, f.CeilingPassed)
	return b.String()
}

func sortedIDs[V any](m map[uint32]V) []uint32 { return slices.Sorted(maps.Keys(m)) }
