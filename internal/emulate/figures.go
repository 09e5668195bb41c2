package emulate

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"wickarch/choice"
)

// Figures are the results of a run, counted by the models. Worth is a class's worth times
// a plan's price.
type Figures struct {
	Inside               float64 // worth of the requests that an oracle would serve within the quotas
	Served               float64 // worth served in time and within the quotas; late answers count with the class's LateWorth
	BeyondWorth          float64 // cost of the tries sent on beyond the quotas
	ReferenceBeyondWorth float64 // the same under the reference policy
	ReferenceServed      float64 // worth that the reference policy accepts within the quotas

	TriesWithReading                                                                  int // at gateways that had a reading of the customer
	Tries, Passed, Beyond, Refused, RefusedWithRoom, Failed, Disconnected, Unanswered int
	Attempts, CrossZone, Handshakes, Probes                                           int

	Work, Wasted float64   // core-seconds: all, and those started for attempts that had already ended
	Load         []float64 // core-seconds of each backend
	Latency      []time.Duration
	Classes      []ClassFigures
	Seconds      []Second // of the load
	Groups       []GroupFigures
	Causes       map[choice.Cause]uint64 // tries refused at once, by cause, as counted by the gateways' last generations

	Crashed         int     // cold backends that crashed under overload
	MaxColdLoad     float64 // maximum work sent to a cold backend, over what the cold-start rule allows
	CeilingPassed   int
	MinCeilingLevel float64 // minimum token bucket level of a ceiling

	RejectingAll        int           // gateways that rejected all tries for rejectingAllFor, at least rejectingAllTries of them
	LongestRejectingAll time.Duration // longest time for which one did so, with at least rejectingAllTries in the last rejectingAllFor

	Events int
}

// A gateway counts as rejecting everything under the criterion of the users' acceptance trial.
const (
	rejectingAllFor   = 4 * time.Second
	rejectingAllTries = 15
)

// ClassFigures are the figures of one class.
type ClassFigures struct {
	Asked, AskedInside, Served int
	Inside, Worth              float64
}

// GroupFigures are the figures of one group of customers.
type GroupFigures struct {
	Inside, Served                                  float64 // worth
	Tries, Passed, Beyond, Refused, RefusedWithRoom int
}

// Second holds the figures of one second of a run.
type Second struct {
	Inside, Served float64 // worth, by the time of the first try
	Passed         []int   // tries sent on by each gateway
}

// second returns the figures of the second that contains a time. Times after the load count in the last.
func (w *World) second(at time.Duration) *Second {
	return &w.figures.Seconds[min(int(at/time.Second), len(w.figures.Seconds)-1)]
}

// Within returns the worth asked within the quotas, and what was served of it, of the
// seconds from up to, but not including, to.
func (f *Figures) Within(from, to int) (inside, served float64) {
	for _, s := range f.Seconds[from:to] {
		inside, served = inside+s.Inside, served+s.Served
	}
	return
}

// Fairness returns Jain's index of the tries that gateways sent on in these seconds: 1 if all
// sent the same number, 1 over the number of gateways if one sent all (Jain, Chiu and Hawe,
// DEC-TR-301, 1984). Only gateways selected by the filter count; nil selects all.
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

// Worth returns the fraction of the worth asked within the quotas that was served.
func (f *Figures) Worth() float64 { return f.Served / f.Inside }

// OverQuota returns the cost of what was sent on beyond the quotas, over the worth asked within them.
func (f *Figures) OverQuota() float64 { return f.BeyondWorth / f.Inside }

// ReferenceOverQuota returns OverQuota of the reference policy on the same arrivals.
func (f *Figures) ReferenceOverQuota() float64 { return f.ReferenceBeyondWorth / f.Inside }

// Excess returns OverQuota minus that of the reference policy.
func (f *Figures) Excess() float64 { return f.OverQuota() - f.ReferenceOverQuota() }

// Net returns the fraction of worth served minus the cost of what was sent on beyond the quotas.
func (f *Figures) Net() float64 { return f.Worth() - f.OverQuota() }

// ReferenceWorth returns the fraction of the worth asked within the quotas that the reference policy accepts.
func (f *Figures) ReferenceWorth() float64 { return f.ReferenceServed / f.Inside }

// AskedBeyond returns the number of requests beyond the quotas over those within them, not counting retries.
func (f *Figures) AskedBeyond() float64 {
	asked, inside := 0, 0
	for _, c := range f.Classes {
		asked, inside = asked+c.Asked, inside+c.AskedInside
	}
	return float64(asked-inside) / float64(max(inside, 1))
}

// TriesPerRequest returns the mean number of tries per request.
func (f *Figures) TriesPerRequest() float64 {
	asked := 0
	for _, c := range f.Classes {
		asked += c.Asked
	}
	return float64(f.Tries) / float64(max(asked, 1))
}

// MaxOverMeanLoad returns the maximum over the mean load of the selected backends; nil selects all.
func (f *Figures) MaxOverMeanLoad(of func(backend int) bool) float64 {
	highest, sum, n := 0.0, 0.0, 0
	for i, l := range f.Load {
		if of == nil || of(i) {
			highest, sum, n = max(highest, l), sum+l, n+1
		}
	}
	return highest / sum * float64(n)
}

// Quantile returns a quantile of the latency of answers.
func (f *Figures) Quantile(q float64) time.Duration {
	if len(f.Latency) == 0 {
		return 0
	}
	slices.Sort(f.Latency)
	return f.Latency[min(len(f.Latency)-1, int(q*float64(len(f.Latency))))]
}

// String formats the main figures as one line.
func (f *Figures) String() string {
	var b strings.Builder
	per := func(n int, of int) float64 { return float64(n) / float64(max(of, 1)) }
	fmt.Fprintf(&b, "worth %.3f  passed %.3f  refused with room %.3f  beyond %.3f  failed %.3f", f.Worth(), per(f.Passed, f.Tries),
		per(f.RefusedWithRoom, f.Tries), per(f.Beyond, f.Passed), per(f.Failed+f.Unanswered, f.Tries))
	fmt.Fprintf(&b, "  handshakes %.3f  probes %.3f  crossed %.2f  wasted %.3f  p50 %v p99 %v  fallen %d (%.2f)  ceiling passed %d",
		per(f.Handshakes, f.Passed), per(f.Probes, f.Passed), per(f.CrossZone, f.Attempts), f.Wasted/max(f.Work, 1e-9),
		f.Quantile(0.5).Round(time.Millisecond), f.Quantile(0.99).Round(time.Millisecond), f.Crashed, f.MaxColdLoad, f.CeilingPassed)
	return b.String()
}

func sortedIDs[V any](m map[uint32]V) []uint32 { return slices.Sorted(maps.Keys(m)) }
