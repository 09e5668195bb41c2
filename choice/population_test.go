package choice_test

import (
	"math"
	"testing"
	"time"

	"wickarch/choice"
)

// The plans of these tests, by the use that the meter shows of their customers.
const (
	calmPlan = iota
	heavyPlan
	harmlessPlan // as heavyPlan, but use beyond the quota costs nothing
	ceilingPlan
	plansOfManyGateways
)

// manyGateways is a deployment in which each customer uses all of 100 gateways.
func manyGateways() choice.Config {
	cfg := testConfig()
	cfg.Gateways = 100
	cfg.Plans = make([]choice.Plan, plansOfManyGateways)
	for i := range cfg.Plans {
		cfg.Plans[i] = choice.Plan{Rate: 1, Burst: 3, Price: 1, OverCost: 1}
	}
	cfg.Plans[harmlessPlan].OverCost = 0
	cfg.Plans[ceilingPlan].CeilingRate, cfg.Plans[ceilingPlan].CeilingBurst = 100, 300
	return cfg
}

// population sends requests of customers that the gateway has no record of.
type population struct {
	gateway  *choice.Gateway
	recorder *recorder
	now      time.Duration
	lastID   uint32
}

func newPopulation(t *testing.T) *population {
	t.Helper()
	g, rec := newGateway(t, manyGateways(), backends(40))
	return &population{gateway: g, recorder: rec, now: 10 * time.Second}
}

// ask sends one request of each of some new customers of a plan and returns the share that is admitted. Each
// answer carries used as its reading, or no reading if used is below 0.
func (p *population) ask(plan, customers int, used float64) float64 {
	passed := 0
	for range customers {
		p.lastID++
		p.now += 10 * ms
		request := choice.Request{ID: p.lastID, Customer: uint64(p.lastID), Plan: plan, Spread: 100}
		if ask(p.gateway, p.recorder, p.now, request, used) {
			passed++
		}
	}
	return float64(passed) / float64(customers)
}

const noReading = -1

// For a customer without a reading, a gateway must use the readings of the plan's other customers. Without them
// it admitted all requests, and hundreds of gateways together admitted many times the quota.
func TestCustomerWithoutReadingGetsThePlansEstimate(t *testing.T) {
	p := newPopulation(t)
	p.ask(calmPlan, 60, 0.3)
	p.ask(heavyPlan, 60, 4)
	p.ask(harmlessPlan, 60, 4)
	if got := p.ask(calmPlan, 500, noReading); got < 0.98 {
		t.Errorf("plan of customers below their quota: %.2f of the new ones pass, want all", got)
	}
	if got := p.ask(heavyPlan, 500, noReading); got > 0.6 || got < 0.02 {
		t.Errorf("plan of customers at four times their quota: %.2f of the new ones pass, want some, at most 0.6", got)
	}
	if got := p.ask(harmlessPlan, 500, noReading); got < 0.98 {
		t.Errorf("plan without a cost beyond the quota: %.2f of the new ones pass, want all", got)
	}
}

// When a plan's customers use more, and then less again, the latest readings must count.
func TestPlansReadingsAreFollowed(t *testing.T) {
	p := newPopulation(t)
	p.ask(heavyPlan, 3000, 0.1)
	p.ask(heavyPlan, 300, 4)
	if got := p.ask(heavyPlan, 500, noReading); got > 0.6 {
		t.Errorf("%.2f of the new customers pass once the plan's use four times their quota, want at most 0.6", got)
	}
	p.ask(heavyPlan, 4000, 0.1)
	if got := p.ask(heavyPlan, 500, noReading); got < 0.95 {
		t.Errorf("%.2f of the new customers pass once the plan's use little again, want all", got)
	}
}

// If the meter shows four times the quota while half of the requests were refused, customers have requested more
// than four times the quota. The estimate must divide by the admission probability applied.
func TestAppliedProbabilityCorrectsTheUse(t *testing.T) {
	p := newPopulation(t)
	p.ask(heavyPlan, 400, 4)
	if got := p.ask(heavyPlan, 1000, noReading); got > 0.2 {
		t.Errorf("%.2f of the new ones pass, want fewer than the 0.36 that a use of four would let in", got)
	}
}

// An impossible reading must be counted and ignored; a possible but absurd one must count as one customer's.
func TestImpossibleReadingsAreDropped(t *testing.T) {
	p := newPopulation(t)
	p.ask(calmPlan, 60, 0.3)
	p.ask(ceilingPlan, 60, 0.3)
	p.ask(ceilingPlan, 10, 2000) // 1,000 units in a period, over a ceiling of 300 and 50
	for _, used := range []float64{math.NaN(), math.Inf(1), -3} {
		p.lastID++
		p.gateway.Request(p.now, choice.Request{ID: p.lastID, Customer: uint64(p.lastID), Spread: 100, Units: 1, TimeLeft: time.Second})
		if len(p.recorder.sent[p.lastID]) == 0 {
			t.Fatalf("a customer below its quota was refused before the reading %v", used)
		}
		p.gateway.Outcome(p.now, choice.Outcome{ID: p.lastID, Status: choice.OK, Done: true, Metered: true, Used: used})
	}
	if got := p.gateway.InvalidReadings(); got != 13 {
		t.Errorf("%d readings counted as invalid, want 13", got)
	}
	p.ask(calmPlan, 1, 1e12)
	for plan, name := range map[int]string{calmPlan: "without", ceilingPlan: "with"} {
		if got := p.ask(plan, 500, noReading); got < 0.9 {
			t.Errorf("plan %s a ceiling: %.2f of the new customers pass after false readings, want all", name, got)
		}
	}
}

// A plan that is added at run time must start without readings.
func TestNewPlanBeginsWithoutReadings(t *testing.T) {
	p := newPopulation(t)
	p.ask(heavyPlan, 60, 4)
	terms := choice.Terms{Plans: append(manyGateways().Plans, choice.Plan{Rate: 1, Burst: 3, Price: 1, OverCost: 1}), MaxAttempts: 3}
	if err := p.gateway.SetTerms(p.now, terms); err != nil {
		t.Fatal(err)
	}
	if got := p.ask(plansOfManyGateways, 500, noReading); got < 0.98 {
		t.Errorf("%.2f of the customers of a new plan pass, want all", got)
	}
}

// A ceiling counts the units that a request names. The meter may show more if units are settled afterwards: such
// a reading must not be dropped.
func TestReadingOfSettledUnitsMayExceedTheCeiling(t *testing.T) {
	cfg := manyGateways()
	cfg.MaxUnits = 6
	g, rec := newGateway(t, cfg, backends(4))
	ask(g, rec, time.Second, choice.Request{ID: 1, Customer: 1, Plan: ceilingPlan, Spread: 1}, 1200) // 600 units, of 6 x 350
	if got := g.InvalidReadings(); got != 0 {
		t.Errorf("a reading of 600 units was dropped, though 350 requests may have counted 6 each")
	}
	ask(g, rec, 2*time.Second, choice.Request{ID: 2, Customer: 2, Plan: ceilingPlan, Spread: 1}, 6000)
	if got := g.InvalidReadings(); got != 1 {
		t.Errorf("%d readings dropped, want only that of 3,000 units", got)
	}
}
