package choice_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wickarch/choice"
)

// boundless is a limit that holds nothing back.
type boundless struct{}

func (boundless) Observe(int, float64, time.Duration)          {}
func (boundless) Step(time.Duration, choice.StepStats) float64 { return 1e9 }

// siege is all gateways of a customer's set, and one who asks, kills and waits as he likes. The store is that of
// the customer's ceiling as the platform keeps it, full at first.
type siege struct {
	t      *rapid.T
	cfg    choice.Config
	now    time.Duration
	gates  []*choice.Gateway
	recs   []*recorder
	starts uint64
	id     uint32
	store  float64
	at     time.Duration
	drawn  float64
}

func (s *siege) start(i int) {
	cfg := s.cfg
	cfg.Self, cfg.Limit = i, boundless{}
	s.starts++
	s.recs[i] = record()
	g, err := choice.New(cfg, s.starts, s.now, s.recs[i])
	if err != nil {
		s.t.Fatal(err)
	}
	g.Members(s.now, choice.Cached, backends(3))
	s.gates[i] = g
}

// take asks at a gateway until it refuses, so often at most.
func (s *siege) take(i, times int, units float64) {
	p := s.cfg.Plans[0]
	for range times {
		s.id++
		r := choice.Request{ID: s.id, Customer: 1, Spread: s.cfg.Gateways, Units: units}
		if !ask(s.gates[i], s.recs[i], s.now, r, rapid.SampledFrom([]float64{-1, 0, 0.01, 1, 50}).Draw(s.t, "reading")) {
			return
		}
		s.store = min(p.CeilingBurst, s.store+(s.now-s.at).Seconds()*p.CeilingRate) - units
		s.at = s.now
		s.drawn += units
		if s.store < -1e-6 {
			s.t.Fatalf("at %v the ceiling's store stands at %.3f, with %.1f drawn in all", s.now, s.store, s.drawn)
		}
	}
}

// all takes what each of them gives.
func (s *siege) all(units float64) {
	for i := range s.gates {
		s.take(i, 100, units)
	}
}

// For every schedule of arrivals, deaths and readings, all gateways together keep to the ceiling, without
// its slack. Play more by -rapid.checks=10000.
func TestCeilingHoldsAgainstAnAdversary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "gateways")
		cfg := plain()
		cfg.Gateways = n
		cfg.MaxCustomers = rapid.IntRange(0, 3).Draw(t, "records")
		fill := rapid.SampledFrom([]float64{0.2, 2, 10, 200}).Draw(t, "seconds to fill")
		plan := choice.Plan{Price: 1, CeilingBurst: float64(n) * rapid.Float64Range(0.5, 4).Draw(t, "burst")}
		plan.CeilingRate = plan.CeilingBurst / fill
		cfg.Plans = []choice.Plan{plan, {Price: 1}}
		s := &siege{t: t, cfg: cfg, gates: make([]*choice.Gateway, n), recs: make([]*recorder, n), store: plan.CeilingBurst}
		for i := range n {
			s.start(i)
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "gateway")
			units := rapid.SampledFrom([]float64{1, 1, 0.25, 0.6}).Draw(t, "units")
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0: // all that one gives
				s.take(i, 100, units)
			case 1: // all that all give
				s.all(units)
			case 2:
				s.take(i, 1, units)
			case 3: // the store fills, a little or wholly
				s.now += time.Duration(rapid.Float64Range(0, 1.5).Draw(t, "fill") * fill * float64(time.Second))
			case 4: // long enough for the idle to be forgotten, beside others who ask
				s.now += time.Duration(fill * float64(time.Second))
				s.all(units)
				s.now += 40 * time.Second
				s.id++
				ask(s.gates[i], s.recs[i], s.now, choice.Request{ID: s.id, Customer: 2, Plan: 1, Spread: n}, -1)
				s.all(units)
			case 5: // seven in ten die and come back knowing nothing
				for i := range n {
					if i%10 < 7 {
						s.start(i)
					}
				}
			case 6: // another waits in its place while it goes on, and begins when it has stopped
				old, rec := s.gates[i], s.recs[i]
				s.start(i)
				next, nextRec := s.gates[i], s.recs[i]
				s.gates[i], s.recs[i] = old, rec
				s.now += time.Duration(rapid.Float64Range(0, 1).Draw(t, "wait") * fill * float64(time.Second))
				s.take(i, 100, units)
				s.gates[i], s.recs[i] = next, nextRec
				next.PredecessorStopped(s.now)
			case 7: // the same customer under a plan without a ceiling
				s.id++
				ask(s.gates[i], s.recs[i], s.now, choice.Request{ID: s.id, Customer: 1, Plan: 1, Spread: n}, -1)
			case 8: // others crowd his record out, everywhere
				s.all(units)
				for i := range n {
					for k := range uint64(8) {
						s.id++
						ask(s.gates[i], s.recs[i], s.now, choice.Request{ID: s.id, Customer: 10 + k, Plan: 1, Spread: n}, -1)
					}
				}
				s.all(units)
			}
		}
	})
}

// A hundred thousand customers who ask once each leave no more records than are to be kept, and one who asks again and
// again is not forgotten for them.
func TestRecordsOfCustomersAreBounded(t *testing.T) {
	cfg := plain()
	cfg.MaxCustomers = 1000
	g, rec := open(t, cfg, backends(4))
	for i := range uint32(100_000) {
		now := time.Duration(i) * 10 * time.Microsecond
		ask(g, rec, now, choice.Request{ID: i + 10, Customer: uint64(i), Spread: 4}, -1)
		if i%500 == 0 { // his share of the store is six units, and fills within a second
			ask(g, rec, now, choice.Request{ID: 2_000_000 + i, Customer: 1 << 40, Spread: 4}, -1)
		}
		if n := choice.KnownCustomers(g); n > 1000 {
			t.Fatalf("%d records", n)
		}
	}
	passed := 0
	for i := range uint32(20) {
		if ask(g, rec, time.Second, choice.Request{ID: 3_000_000 + i, Customer: 1 << 40, Spread: 4}, -1) {
			passed++
		}
	}
	if passed > 0 {
		t.Errorf("one who has used up his share is known no more: %d passed", passed)
	}
	ask(g, rec, time.Hour, choice.Request{ID: 4_000_000, Customer: 1 << 41, Spread: 4}, -1)
	if n := choice.RetainedCustomers(g); n != 1 {
		t.Errorf("an hour later %d records are held for one who asks", n)
	}
}
