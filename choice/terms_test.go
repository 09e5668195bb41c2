package choice_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wickarch/choice"
)

// lower is the ceiling that one keeps who has a new plan while others may have the old one.
func lower(a, b choice.Plan) choice.Plan {
	a.CeilingRate, a.CeilingBurst = min(a.CeilingRate, b.CeilingRate), min(a.CeilingBurst, b.CeilingBurst)
	return a
}

// For every schedule of arrivals, deaths and changes of the ceiling, which reach each gateway at a moment of its
// own, all together keep to the higher of both while one has the old, and to the new one from when all have it.
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
		next, has := old, make([]bool, n) // the newest version, and who decides by it
		cfg := plain()
		cfg.Gateways = n
		cfg.MaxCustomers = rapid.IntRange(0, 3).Draw(t, "records")
		cfg.Plans = []choice.Plan{old, {Price: 1}}
		s := &siege{t: t, cfg: cfg, gates: make([]*choice.Gateway, n), recs: make([]*recorder, n), store: old.CeilingBurst}
		for i := range n {
			s.start(i)
		}
		// bounds makes the store that of the ceiling in force: the higher one of both.
		bounds := func() {
			s.store = min(s.store+(s.now-s.at).Seconds()*s.cfg.Plans[0].CeilingRate, s.cfg.Plans[0].CeilingBurst)
			s.at = s.now
			s.cfg.Plans = []choice.Plan{{Price: 1, CeilingRate: max(old.CeilingRate, next.CeilingRate), CeilingBurst: max(old.CeilingBurst, next.CeilingBurst)}, {Price: 1}}
			s.store = min(s.store, s.cfg.Plans[0].CeilingBurst)
		}
		terms := func(p choice.Plan) choice.Terms {
			return choice.Terms{Plans: []choice.Plan{p, {Price: 1}}, MaxAttempts: 3}
		}
		change := func(i int, p choice.Plan) {
			if err := s.gates[i].SetTerms(s.now, terms(p)); err != nil {
				t.Fatal(err)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "gateway")
			units := rapid.SampledFrom([]float64{1, 1, 0.25, 0.6}).Draw(t, "units")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 9: // all die
				for i := range n {
					s.start(i)
					if has[i] {
						change(i, lower(next, old))
					} else {
						change(i, old)
					}
				}
			case 0:
				s.take(i, 100, units)
			case 1:
				s.all(units)
			case 2:
				s.now += time.Duration(rapid.Float64Range(0, 15).Draw(t, "fill") * float64(time.Second))
			case 3: // a new version, once the one before has settled
				if old == next {
					next, has = draw(), make([]bool, n)
					bounds()
				}
			case 4: // it reaches one
				has[i] = true
				change(i, lower(next, old))
			case 5: // it reaches the rest, and settles: each is told at a moment of its own
				for i := range n {
					if !has[i] {
						change(i, lower(next, old))
					}
				}
				old, has = next, make([]bool, n)
				bounds()
				drained := rapid.Bool().Draw(t, "drained")
				for i := range n {
					if drained {
						s.take(i, 100, units)
					}
					change(i, next)
				}
				if rapid.Bool().Draw(t, "at once") {
					s.all(units)
				}
			case 6: // one dies, and comes back with what it kept
				s.start(i)
				p := old
				if has[i] {
					p = lower(next, old)
				}
				change(i, p)
			case 7: // others crowd his record out
				for k := range uint64(8) {
					s.id++
					ask(s.gates[i], s.recs[i], s.now, choice.Request{ID: s.id, Customer: 10 + k, Plan: 1, Spread: n}, -1)
				}
				s.take(i, 100, units)
			case 8: // long enough for the idle to be forgotten, beside others who ask
				s.now += 40 * time.Second
				s.id++
				ask(s.gates[i], s.recs[i], s.now, choice.Request{ID: s.id, Customer: 2, Plan: 1, Spread: n}, -1)
				s.take(i, 100, units)
			}
		}
	})
}

// A changed ceiling is the one that holds from then on, for customers that are known and for others.
func TestChangedCeilingIsGivenOut(t *testing.T) {
	for _, known := range []bool{true, false} {
		for _, to := range []float64{1, 100} {
			cfg := plain()
			cfg.Gateways, cfg.Plans = 1, []choice.Plan{{Price: 1, CeilingRate: 10, CeilingBurst: 10}}
			g, rec := open(t, cfg, backends(3))
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
				if passes(now, 0) && now > end-10*time.Second { // behind the burst
					passed++
				}
			}
			if passed < 0.9*10*to || passed > 10*to+1 {
				t.Errorf("known %v: %v units in 10 s at a ceiling of %v a second", known, passed, to)
			}
			if !passes(now, 1) {
				t.Error("a plan that is new passes nothing")
			}
		}
	}
}

// A quota's readings come as parts of its rate, or of its open attempts where it has none.
func TestChangedQuotaIsHeld(t *testing.T) {
	cfg := plain()
	cfg.Gateways, cfg.Plans = 1, []choice.Plan{{Rate: 10, Burst: 10, Price: 1, OverCost: 1}}
	g, rec := open(t, cfg, backends(3))
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
		t.Errorf("%d requests in 10 s at 10 a second, and %d at 40", before, after)
	}
	if err := g.SetTerms(time.Minute, choice.Terms{Plans: []choice.Plan{{Open: 2, Price: 1, OverCost: 1}}, MaxAttempts: 3}); err != nil {
		t.Fatal(err)
	}
	if n := run(time.Minute, 61*time.Second, 0.1); n < 95 {
		t.Errorf("a tenth of the quota on open attempts, which takes the rate's place, is in use, and %d of 100 pass", n)
	}
}

// What can't be served changes nothing.
func TestBadTermsLeaveTheOldOnes(t *testing.T) {
	cfg := plain()
	g, rec := open(t, cfg, backends(3))
	for name, bad := range map[string]choice.Terms{"no attempts": {Plans: cfg.Plans}, "no plans": {MaxAttempts: 3},
		"a rate below 0": {Plans: []choice.Plan{{Rate: -1}}, MaxAttempts: 3}} {
		if g.SetTerms(0, bad) == nil {
			t.Errorf("%s is taken", name)
		}
	}
	if !ask(g, rec, time.Second, choice.Request{ID: 1, Customer: 1, Spread: 1, Units: 1}, -1) {
		t.Error("nothing passes any more")
	}
}

// What a ceiling's part holds when it is changed is what has filled by the old terms, for one who has drawn on it,
// for one who is not known yet, and for one who would be forgotten by the new terms.
func TestChangedCeilingFillsFromWhatWasThere(t *testing.T) {
	for name, c := range map[string]struct {
		drawn, at time.Duration // when he took all that there was, if he did, and when the terms change
		plan      choice.Plan
		to        choice.Plan
		most      float64       // units at once ...
		later     time.Duration // ... so long after the change
	}{
		"known":     {100 * time.Second, 101 * time.Second, choice.Plan{CeilingRate: 1, CeilingBurst: 10}, choice.Plan{CeilingRate: 100, CeilingBurst: 100}, 1, 0},
		"not known": {-1, 2 * time.Second, choice.Plan{CeilingRate: 1, CeilingBurst: 10}, choice.Plan{CeilingRate: 100, CeilingBurst: 100}, 2, 0},
		"idle":      {200 * time.Second, 231 * time.Second, choice.Plan{CeilingRate: 0.01, CeilingBurst: 1}, choice.Plan{CeilingRate: 1, CeilingBurst: 31}, 5.31, 5 * time.Second},
		"lowered":   {-1, 100 * time.Second, choice.Plan{CeilingRate: 1, CeilingBurst: 10}, choice.Plan{CeilingRate: 1, CeilingBurst: 3}, 3, 0},
	} {
		cfg := plain()
		cfg.Gateways, cfg.Plans = 1, []choice.Plan{c.plan, {}}
		g, rec := open(t, cfg, backends(3))
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
		if c.drawn >= 0 {
			take(c.drawn, 1, 0)
		}
		if err := g.SetTerms(c.at, choice.Terms{Plans: []choice.Plan{c.to, {}}, MaxAttempts: 3}); err != nil {
			t.Fatal(err)
		}
		ask(g, rec, c.at+c.later, choice.Request{ID: 1 << 30, Customer: 2, Plan: 1, Spread: 1}, -1)
		if got := take(c.at+c.later, 1, 0); got > c.most+1e-6 || got < c.most-0.05 {
			t.Errorf("%s: %v units at once, want %v", name, got, c.most)
		}
	}
}
