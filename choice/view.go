package choice

// Status of a gateway for operators. Nothing in this file decides.

import "time"

// Cause is why a request was refused without an attempt.
type Cause int

// The causes, in the order of the checks.
const (
	ByOverload     Cause = iota // the limit on attempts in flight
	ByCeiling                   // this gateway's share of the hard limit
	ByOpenAttempts              // its share of the plan's limit on open attempts
	ByUncertainty               // other gateways may have used the tokens that the meter last showed
	ByProbability               // the admission probability
	ByNoBackend                 // no backend is available
	causeCount
)

// String returns the name of a cause in status output.
func (c Cause) String() string {
	return [...]string{"pressure", "ceiling", "open", "doubt", "chance", "backends"}[c]
}

// Causes returns all causes.
func Causes() (all []Cause) {
	for c := range causeCount {
		all = append(all, c)
	}
	return all
}

// Refusals returns how many requests this gateway has refused for a cause.
func (g *Gateway) Refusals(c Cause) uint64 { return g.refusals[c] }

// CustomerRecords returns the number of customer records that are held.
func (g *Gateway) CustomerRecords() int { return len(g.records) }

// InvalidReadings returns how many readings this gateway has dropped because no meter can show them:
// negative, not a number, or beyond the customer's ceiling.
func (g *Gateway) InvalidReadings() uint64 { return g.invalidReadings }

// LimitView is the state of the limit on attempts in flight.
type LimitView struct {
	MaxInFlight  float64 // max attempts in flight
	Baseline     float64 // attempts that its share of the fleet is assumed to handle well
	InFlight     int     // attempts in flight
	LatencyRatio float64 // mean latency over the target: above 1 the limit is cut; 0: unknown
}

// Limit returns the state of the limit.
func (g *Gateway) Limit() LimitView {
	v := LimitView{MaxInFlight: g.limit(), Baseline: g.baseline(), InFlight: g.inFlight}
	if l, own := g.limiter.(*latencyLimiter); own {
		v.LatencyRatio = l.ratio
	}
	return v
}

// View returns what is known of each ready backend, in order of preference.
func (g *Gateway) View(now time.Duration) (all []BackendView) {
	g.now = now
	order, size := g.candidates, float64(g.subsetSize)
	if len(order) == 0 {
		order, size = g.fleet, float64(len(g.fleet))
	}
	warm := 0.0
	for _, b := range order {
		if b.State != Ready {
			continue
		}
		v := BackendView{ID: b.ID, PickWeight: b.pickWeight, Capacity: g.capacity(b),
			Latency: b.latency, FailureRate: b.failureRate}
		v.InFlight, v.Ejected, v.Unresponsive = b.inFlight, now < b.ejectedUntil, g.unresponsive(b)
		if v.Used = !v.Ejected && !v.Unresponsive && warm < size; v.Used {
			warm += v.Capacity
		}
		all = append(all, v)
	}
	return all
}

// UnavailableBackends returns how many of the listed backends get work only if no other is available.
func (g *Gateway) UnavailableBackends(now time.Duration) (n int) {
	g.now = now
	for _, b := range g.backends {
		if b.State == Draining || b.State == Ready && (now < b.ejectedUntil || g.unresponsive(b)) {
			n++
		}
	}
	return n
}
