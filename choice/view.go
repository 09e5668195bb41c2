package choice

// What a gateway tells of itself. Nothing in this file decides.

import "time"

// Cause is why a try was refused at once.
type Cause int

// The causes, in the order in which a try meets them.
const (
	ByOverload     Cause = iota // the limit on attempts out
	ByCeiling                   // this gateway's part of the hard ceiling
	ByOpenAttempts              // its part of the attempts that the plan lets be open
	ByUncertainty               // others may have drawn what the meter last showed
	ByProbability               // the admission probability
	ByNoBackend                 // no backend takes it
	causes
)

// String names a cause as operators see it.
func (c Cause) String() string {
	return [...]string{"pressure", "ceiling", "open", "doubt", "chance", "backends"}[c]
}

// Causes are all of them.
func Causes() (all []Cause) {
	for c := range causes {
		all = append(all, c)
	}
	return all
}

// Refusals is how many tries this gateway has refused for a cause.
func (g *Gateway) Refusals(c Cause) uint64 { return g.refusals[c] }

// InvalidReadings is how many readings this gateway has set aside because no meter can show them: negative, not a
// number, or beyond the customer's ceiling.
func (g *Gateway) InvalidReadings() uint64 { return g.misread }

// LimitView is how the limit on attempts out stands.
type LimitView struct {
	MaxInFlight  float64 // attempts that may be out
	Baseline     float64 // attempts that its share of the fleet is taken to work well with, before it has shown
	InFlight     int     // attempts out
	LatencyRatio float64 // of answers, over the calm one: above 1 the limit falls; 0: not known
}

// Limit tells how the limit stands.
func (g *Gateway) Limit() LimitView {
	v := LimitView{MaxInFlight: g.room(), Baseline: g.prior(), InFlight: g.out}
	if l, own := g.limit.(*limit); own {
		v.LatencyRatio = l.ratio
	}
	return v
}

// View tells what is known of each ready backend, in the order in which they are turned to.
func (g *Gateway) View(now time.Duration) (all []BackendView) {
	g.now = now
	order, size := g.order, float64(g.size)
	if len(order) == 0 {
		order, size = g.fleet, float64(len(g.fleet))
	}
	warm := 0.0
	for _, b := range order {
		if b.State != Ready {
			continue
		}
		v := BackendView{ID: b.ID, PickWeight: b.part, Capacity: g.warmth(b), Latency: b.lat, FailureRate: b.fails}
		v.InFlight, v.Ejected, v.Unresponsive = b.out, now < b.until, g.silent(b)
		if v.Used = !v.Ejected && !v.Unresponsive && warm < size; v.Used {
			warm += v.Capacity
		}
		all = append(all, v)
	}
	return all
}

// UnavailableBackends is how many of the listed backends get no work now but for want of others.
func (g *Gateway) UnavailableBackends(now time.Duration) (n int) {
	g.now = now
	for _, b := range g.backends {
		if b.State == Draining || b.State == Ready && (now < b.until || g.silent(b)) {
			n++
		}
	}
	return n
}
