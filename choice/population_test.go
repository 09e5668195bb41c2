package choice_test

import (
	"math"
	"testing"
	"time"

	"wickarch/choice"
)

// The plans of these tests, by what their customers are shown to use.
const (
	calmPlan = iota
	heavyPlan
	harmlessPlan // as heavy, but what passes beyond the quota costs nothing
	ceilingPlan
	plansOfManyGateways
)

// manyGateways is a deployment in which a customer comes through all of a hundred gateways.
func manyGateways() choice.Config {
	cfg := plain()
	cfg.Gateways = 100
	cfg.Plans = make([]choice.Plan, plansOfManyGateways)
	for i := range cfg.Plans {
		cfg.Plans[i] = choice.Plan{Rate: 1, Burst: 3, Price: 1, OverCost: 1}
	}
	cfg.Plans[harmlessPlan].OverCost = 0
	cfg.Plans[ceilingPlan].CeilingRate, cfg.Plans[ceilingPlan].CeilingBurst = 100, 300
	return cfg
}

// population asks for customers that no one has met before.
type population struct {
	gateway  *choice.Gateway
	recorder *recorder
	now      time.Duration
	asked    uint32
}

func newPopulation(t *testing.T) *population {
	t.Helper()
	g, rec := open(t, manyGateways(), backends(40))
	return &population{gateway: g, recorder: rec, now: 10 * time.Second}
}

// ask has so many new customers of a plan ask once, and tells the part of them that passes. The answer of each
// shows this use of its customer, or none where that is below 0.
func (p *population) ask(plan, customers int, used float64) float64 {
	passed := 0
	for range customers {
		p.asked++
		p.now += 10 * ms
		request := choice.Request{ID: p.asked, Customer: uint64(p.asked), Plan: plan, Spread: 100}
		if ask(p.gateway, p.recorder, p.now, request, used) {
			passed++
		}
	}
	return float64(passed) / float64(customers)
}

const noReading = -1

// A gateway that has heard nothing of a customer goes by what the readings of the plan's others show. Without
// that it passed all of them, and hundreds of gateways together passed many times the quota.
func TestCustomerWithoutReadingMeetsWhatItsPlanShows(t *testing.T) {
	p := newPopulation(t)
	p.ask(calmPlan, 60, 0.3)
	p.ask(heavyPlan, 60, 4)
	p.ask(harmlessPlan, 60, 4)
	if got := p.ask(calmPlan, 500, noReading); got < 0.98 {
		t.Errorf("plan of calm customers: %.2f of the new ones pass, want all", got)
	}
	if got := p.ask(heavyPlan, 500, noReading); got > 0.6 || got < 0.02 {
		t.Errorf("plan of customers at four times their quota: %.2f of the new ones pass, want some, at most 0.6", got)
	}
	if got := p.ask(harmlessPlan, 500, noReading); got < 0.98 {
		t.Errorf("plan in which nothing beyond the quota costs: %.2f of the new ones pass, want all", got)
	}
}

// A plan's customers come to use more, and less again: the latest readings count.
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

// Customers that are shown at four times their quota while half of their requests were refused have asked for
// more than four times.
func TestUseIsTakenForWhatWasAskedByTheChanceApplied(t *testing.T) {
	p := newPopulation(t)
	p.ask(heavyPlan, 400, 4)
	if got := p.ask(heavyPlan, 1000, noReading); got > 0.2 {
		t.Errorf("%.2f of the new ones pass, want fewer than the 0.36 that a use of four would let in", got)
	}
}

// What cannot be a reading is counted and left out; one that is merely absurd weighs as one customer's.
func TestImpossibleReadingsAreSetAside(t *testing.T) {
	p := newPopulation(t)
	p.ask(calmPlan, 60, 0.3)
	p.ask(ceilingPlan, 60, 0.3)
	p.ask(ceilingPlan, 10, 2000) // 1,000 units in a period, over a ceiling of 300 and 50
	for _, used := range []float64{math.NaN(), math.Inf(1), -3} {
		p.asked++
		p.gateway.Request(p.now, choice.Request{ID: p.asked, Customer: uint64(p.asked), Spread: 100, Units: 1, TimeLeft: time.Second})
		if len(p.recorder.sent[p.asked]) == 0 {
			t.Fatalf("a calm customer was refused behind %v", used)
		}
		p.gateway.Outcome(p.now, choice.Outcome{ID: p.asked, Status: choice.OK, Done: true, Metered: true, Used: used})
	}
	if got := p.gateway.InvalidReadings(); got != 13 {
		t.Errorf("%d readings counted as set aside, want 13", got)
	}
	p.ask(calmPlan, 1, 1e12)
	for plan, name := range map[int]string{calmPlan: "without", ceilingPlan: "with"} {
		if got := p.ask(plan, 500, noReading); got < 0.9 {
			t.Errorf("plan %s a ceiling: %.2f of the new customers pass behind false readings, want all", name, got)
		}
	}
}

// A plan that comes while the gateway runs begins with no readings of its own.
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

// A ceiling takes the units that a request names; the meter may show more, where these are settled afterwards.
func TestReadingOfSettledUnitsMayPassTheCeiling(t *testing.T) {
	cfg := manyGateways()
	cfg.MaxUnits = 6
	g, rec := open(t, cfg, backends(4))
	ask(g, rec, time.Second, choice.Request{ID: 1, Customer: 1, Plan: ceilingPlan, Spread: 1}, 1200) // 600 units, of 6 x 350
	if got := g.InvalidReadings(); got != 0 {
		t.Errorf("a reading of 600 units was set aside, though 350 requests may have counted 6 each")
	}
	ask(g, rec, 2*time.Second, choice.Request{ID: 2, Customer: 2, Plan: ceilingPlan, Spread: 1}, 6000)
	if got := g.InvalidReadings(); got != 1 {
		t.Errorf("%d readings set aside, want that of 3,000 units", got)
	}
}
