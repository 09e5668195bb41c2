package choice_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wickarch/choice"
)

// lowerCeiling is the ceiling of a gateway that has a new plan while others may still have the old one.
func lowerCeiling(a, b choice.Plan) choice.Plan {
	a.CeilingRate, a.CeilingBurst = min(a.CeilingRate, b.CeilingRate), min(a.CeilingBurst, b.CeilingBurst)
	return a
}

// A changed ceiling reaches each gateway at a different time. For any schedule of requests, restarts and changes,
// all gateways together must keep to the higher ceiling until all have the new one, and to the new one from then on.
func TestCeilingHoldsWhileItChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "gateways")
		draw := func() choice.Plan {
			p := choice.Plan{Price: 1, CeilingBurst: float64(n) * rapid.Float64Range(0.5, 4).Draw(t, "burst")}
			p.CeilingRate = p.CeilingBurst / rapid.SampledFrom([]float64{0.2, 2, 10, 200}).Draw(t, "seconds to fill")
			if rapid.Bool().Draw(t, "with a quota") {
				p.Rate, p.Burst = 1e6, 1e6
			}
			return p
		}
		old := draw()
		next, updated := old, make([]bool, n) // the newest version, and which gateways have it
		cfg := testConfig()
		cfg.Gateways = n
		cfg.MaxCustomers = rapid.IntRange(0, 3).Draw(t, "records")
		cfg.Plans = []choice.Plan{old, {Price: 1}}
		s := &adversary{t: t, cfg: cfg, gateways: make([]*choice.Gateway, n), recorders: make([]*recorder, n), level: old.CeilingBurst}
		for i := range n {
			s.startGateway(i)
		}
		// setLevel moves the bucket to the ceiling in force: the higher of both.
		setLevel := func() {
			s.level = min(s.level+(s.now-s.levelAt).Seconds()*s.cfg.Plans[0].CeilingRate, s.cfg.Plans[0].CeilingBurst)
			s.levelAt = s.now
			s.cfg.Plans = []choice.Plan{{Price: 1, CeilingRate: max(old.CeilingRate, next.CeilingRate), CeilingBurst: max(old.CeilingBurst, next.CeilingBurst)}, {Price: 1}}
			s.level = min(s.level, s.cfg.Plans[0].CeilingBurst)
		}
		terms := func(p choice.Plan) choice.Terms {
			return choice.Terms{Plans: []choice.Plan{p, {Price: 1}}, MaxAttempts: 3}
		}
		change := func(i int, p choice.Plan) {
			if err := s.gateways[i].SetTerms(s.now, terms(p)); err != nil {
				t.Fatal(err)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "gateway")
			units := rapid.SampledFrom([]float64{1, 1, 0.25, 0.6}).Draw(t, "units")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 9: // all gateways restart
				for i := range n {
					s.startGateway(i)
					if updated[i] {
						change(i, lowerCeiling(next, old))
					} else {
						change(i, old)
					}
				}
			case 0:
				s.requestUntilRefused(i, 100, units)
			case 1:
				s.takeAll(units)
			case 2:
				s.now += time.Duration(rapid.Float64Range(0, 15).Draw(t, "fill") * float64(time.Second))
			case 3: // a new version, once all gateways have the last one
				if old == next {
					next, updated = draw(), make([]bool, n)
					setLevel()
				}
			case 4: // it reaches one gateway
				updated[i] = true
				change(i, lowerCeiling(next, old))
			case 5: // it reaches the rest and settles, at a different time for each
				for i := range n {
					if !updated[i] {
						change(i, lowerCeiling(next, old))
					}
				}
				old, updated = next, make([]bool, n)
				setLevel()
				drained := rapid.Bool().Draw(t, "drained")
				for i := range n {
					if drained {
						s.requestUntilRefused(i, 100, units)
					}
					change(i, next)
				}
				if rapid.Bool().Draw(t, "at once") {
					s.takeAll(units)
				}
			case 6: // one gateway restarts with the terms that it updated stored
				s.startGateway(i)
				p := old
				if updated[i] {
					p = lowerCeiling(next, old)
				}
				change(i, p)
			case 7: // requests of other customers evict the record
				for k := range uint64(8) {
					s.id++
					ask(s.gateways[i], s.recorders[i], s.now, choice.Request{ID: s.id, Customer: 10 + k, Plan: 1, Spread: n}, -1)
				}
				s.requestUntilRefused(i, 100, units)
			case 8: // long enough for idle records to be swept, while another customer sends requests
				s.now += 40 * time.Second
				s.id++
				ask(s.gateways[i], s.recorders[i], s.now, choice.Request{ID: s.id, Customer: 2, Plan: 1, Spread: n}, -1)
				s.requestUntilRefused(i, 100, units)
			}
		}
	})
}

// A changed ceiling must apply from then on, to customers with and without a record.
func TestChangedCeilingIsEnforced(t *testing.T) {
	for _, known := range []bool{true, false} {
		for _, to := range []float64{1, 100} {
			cfg := testConfig()
			cfg.Gateways, cfg.Plans = 1, []choice.Plan{{Price: 1, CeilingRate: 10, CeilingBurst: 10}}
			g, rec := newGateway(t, cfg, backends(3))
			id := uint32(0)
			passes := func(now time.Duration, plan int) bool {
				id++
				return ask(g, rec, now, choice.Request{ID: id, Customer: 7, Plan: plan, Spread: 1, Units: 1}, -1)
			}
			if known {
				passes(0, 0)
			}
			now := time.Minute
			if err := g.SetTerms(now, choice.Terms{Plans: []choice.Plan{{Price: 1, CeilingRate: to, CeilingBurst: to}, {Price: 1}}, MaxAttempts: 3}); err != nil {
				t.Fatal(err)
			}
			passed := 0.0
			for end := now + 20*time.Second; now < end; now += 2 * time.Millisecond {
				if passes(now, 0) && now > end-10*time.Second { // after the burst
					passed++
				}
			}
			if passed < 0.9*10*to || passed > 10*to+1 {
				t.Errorf("customer known %v: %v units in 10 s at a ceiling of %v a second", known, passed, to)
			}
			if !passes(now, 1) {
				t.Error("a new plan admits nothing")
			}
		}
	}
}

// Readings are relative to the rate, or to the limit on open attempts without a rate: a change of either counts.
func TestChangedQuotaIsEnforced(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways, cfg.Plans = 1, []choice.Plan{{Rate: 10, Burst: 10, Price: 1, OverCost: 1}}
	g, rec := newGateway(t, cfg, backends(3))
	id := uint32(0)
	run := func(from, to time.Duration, used float64) (passed int) {
		for now := from; now < to; now += 10 * ms {
			id++
			if ask(g, rec, now, choice.Request{ID: id, Customer: 1, Spread: 1, Units: 1}, used) {
				passed++
			}
		}
		return passed
	}
	run(0, 20*time.Second, 1)
	before := run(20*time.Second, 30*time.Second, 1)
	if err := g.SetTerms(30*time.Second, choice.Terms{Plans: []choice.Plan{{Rate: 40, Burst: 40, Price: 1, OverCost: 1}}, MaxAttempts: 3}); err != nil {
		t.Fatal(err)
	}
	run(30*time.Second, 50*time.Second, 1)
	after := run(50*time.Second, 60*time.Second, 1)
	if after < 2*before {
		t.Errorf("%d requests passed in 10 s at 10 a second and %d at 40, want at least twice as many", before, after)
	}
	if err := g.SetTerms(time.Minute, choice.Terms{Plans: []choice.Plan{{Open: 2, Price: 1, OverCost: 1}}, MaxAttempts: 3}); err != nil {
		t.Fatal(err)
	}
	if n := run(time.Minute, 61*time.Second, 0.1); n < 95 {
		t.Errorf("%d of 100 requests pass with a tenth of the new quota on open attempts in use, want 95 at least", n)
	}
}

// Terms that are rejected must not change anything.
func TestInvalidTermsChangeNothing(t *testing.T) {
	cfg := testConfig()
	g, rec := newGateway(t, cfg, backends(3))
	for name, bad := range map[string]choice.Terms{"no attempts": {Plans: cfg.Plans}, "no plans": {MaxAttempts: 3},
		"a rate below 0": {Plans: []choice.Plan{{Rate: -1}}, MaxAttempts: 3}} {
		if g.SetTerms(0, bad) == nil {
			t.Errorf("terms with %s were accepted", name)
		}
	}
	if !ask(g, rec, time.Second, choice.Request{ID: 1, Customer: 1, Spread: 1, Units: 1}, -1) {
		t.Error("a request was refused after terms were rejected")
	}
}

// When a ceiling changes, a gateway's share of its bucket must keep the level that it has by the old terms: for a
// customer that has drawn on it, one without a record, and one whose record the new terms would sweep.
func TestChangedCeilingKeepsItsLevel(t *testing.T) {
	for name, c := range map[string]struct {
		usedUpAt, changeAt time.Duration // when the customer used up the share (-1: never), and when the terms change
		plan               choice.Plan
		to                 choice.Plan
		maxUnits           float64       // units admitted at once ...
		later              time.Duration // ... this long after the change
	}{
		"known":     {100 * time.Second, 101 * time.Second, choice.Plan{CeilingRate: 1, CeilingBurst: 10}, choice.Plan{CeilingRate: 100, CeilingBurst: 100}, 1, 0},
		"not known": {-1, 2 * time.Second, choice.Plan{CeilingRate: 1, CeilingBurst: 10}, choice.Plan{CeilingRate: 100, CeilingBurst: 100}, 2, 0},
		"idle":      {200 * time.Second, 231 * time.Second, choice.Plan{CeilingRate: 0.01, CeilingBurst: 1}, choice.Plan{CeilingRate: 1, CeilingBurst: 31}, 5.31, 5 * time.Second},
		"lowered":   {-1, 100 * time.Second, choice.Plan{CeilingRate: 1, CeilingBurst: 10}, choice.Plan{CeilingRate: 1, CeilingBurst: 3}, 3, 0},
	} {
		cfg := testConfig()
		cfg.Gateways, cfg.Plans = 1, []choice.Plan{c.plan, {}}
		g, rec := newGateway(t, cfg, backends(3))
		id := uint32(0)
		take := func(now time.Duration, customer uint64, plan int) (units float64) {
			const each = 1.0 / 64
			for {
				id++
				if !ask(g, rec, now, choice.Request{ID: id, Customer: customer, Plan: plan, Spread: 1, Units: each}, -1) || units > 200 {
					return units
				}
				units += each
			}
		}
		if c.usedUpAt >= 0 {
			take(c.usedUpAt, 1, 0)
		}
		if err := g.SetTerms(c.changeAt, choice.Terms{Plans: []choice.Plan{c.to, {}}, MaxAttempts: 3}); err != nil {
			t.Fatal(err)
		}
		ask(g, rec, c.changeAt+c.later, choice.Request{ID: 1 << 30, Customer: 2, Plan: 1, Spread: 1}, -1)
		if got := take(c.changeAt+c.later, 1, 0); got > c.maxUnits+1e-6 || got < c.maxUnits-0.05 {
			t.Errorf("%s: %v units admitted at once, want %v", name, got, c.maxUnits)
		}
	}
}
