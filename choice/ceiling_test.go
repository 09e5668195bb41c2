package choice_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wickarch/choice"
)

// unlimited is a Limiter without a limit.
type unlimited struct{}

func (unlimited) Observe(int, float64, time.Duration)          {}
func (unlimited) Step(time.Duration, choice.StepStats) float64 { return 1e9 }

// adversary drives all gateways of one customer with any sequence of requests, restarts and waits. level is that
// of the ceiling's token bucket as the platform keeps it, which is full at first.
type adversary struct {
	t         *rapid.T
	cfg       choice.Config
	now       time.Duration
	gateways  []*choice.Gateway
	recorders []*recorder
	starts    uint64
	id        uint32
	level     float64
	levelAt   time.Duration
	admitted  float64
}

func (s *adversary) startGateway(i int) {
	cfg := s.cfg
	cfg.Self, cfg.Limit = i, unlimited{}
	s.starts++
	s.recorders[i] = newRecorder()
	g, err := choice.New(cfg, s.starts, s.now, s.recorders[i])
	if err != nil {
		s.t.Fatal(err)
	}
	g.Members(s.now, choice.Cached, backends(3))
	s.gateways[i] = g
}

// requestUntilRefused sends requests to a gateway until it refuses one, or up to a number of times.
func (s *adversary) requestUntilRefused(i, times int, units float64) {
	p := s.cfg.Plans[0]
	for range times {
		s.id++
		r := choice.Request{ID: s.id, Customer: 1, Spread: s.cfg.Gateways, Units: units}
		if !ask(s.gateways[i], s.recorders[i], s.now, r, rapid.SampledFrom([]float64{-1, 0, 0.01, 1, 50}).Draw(s.t, "reading")) {
			return
		}
		s.level = min(p.CeilingBurst, s.level+(s.now-s.levelAt).Seconds()*p.CeilingRate) - units
		s.levelAt = s.now
		s.admitted += units
		if s.level < -1e-6 {
			s.t.Fatalf("at %v the ceiling's token bucket is at %.3f, with %.1f units admitted in all", s.now, s.level, s.admitted)
		}
	}
}

// takeAll sends requests to each gateway until it refuses one.
func (s *adversary) takeAll(units float64) {
	for i := range s.gateways {
		s.requestUntilRefused(i, 100, units)
	}
}

// All gateways together must keep to the ceiling without its tolerance, for any schedule of requests, restarts
// and readings. More checks: -rapid.checks=10000.
func TestCeilingHoldsForRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "gateways")
		cfg := testConfig()
		cfg.Gateways = n
		cfg.MaxCustomers = rapid.IntRange(0, 3).Draw(t, "records")
		fill := rapid.SampledFrom([]float64{0.2, 2, 10, 200}).Draw(t, "seconds to fill")
		plan := choice.Plan{Price: 1, CeilingBurst: float64(n) * rapid.Float64Range(0.5, 4).Draw(t, "burst")}
		plan.CeilingRate = plan.CeilingBurst / fill
		cfg.Plans = []choice.Plan{plan, {Price: 1}}
		s := &adversary{t: t, cfg: cfg, gateways: make([]*choice.Gateway, n), recorders: make([]*recorder, n), level: plan.CeilingBurst}
		for i := range n {
			s.startGateway(i)
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "gateway")
			units := rapid.SampledFrom([]float64{1, 1, 0.25, 0.6}).Draw(t, "units")
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0: // all that one gateway admits
				s.requestUntilRefused(i, 100, units)
			case 1: // all that every gateway admits
				s.takeAll(units)
			case 2:
				s.requestUntilRefused(i, 1, units)
			case 3: // the bucket refills, partly or fully
				s.now += time.Duration(rapid.Float64Range(0, 1.5).Draw(t, "fill") * fill * float64(time.Second))
			case 4: // long enough for idle records to be swept, while another customer sends requests
				s.now += time.Duration(fill * float64(time.Second))
				s.takeAll(units)
				s.now += 40 * time.Second
				s.id++
				ask(s.gateways[i], s.recorders[i], s.now, choice.Request{ID: s.id, Customer: 2, Plan: 1, Spread: n}, -1)
				s.takeAll(units)
			case 5: // seven in ten gateways restart without their state
				for i := range n {
					if i%10 < 7 {
						s.startGateway(i)
					}
				}
			case 6: // a successor starts while the gateway still runs, and takes over when it has stopped
				old, rec := s.gateways[i], s.recorders[i]
				s.startGateway(i)
				next, nextRec := s.gateways[i], s.recorders[i]
				s.gateways[i], s.recorders[i] = old, rec
				s.now += time.Duration(rapid.Float64Range(0, 1).Draw(t, "wait") * fill * float64(time.Second))
				s.requestUntilRefused(i, 100, units)
				s.gateways[i], s.recorders[i] = next, nextRec
				next.PredecessorStopped(s.now)
			case 7: // the same customer under a plan without a ceiling
				s.id++
				ask(s.gateways[i], s.recorders[i], s.now, choice.Request{ID: s.id, Customer: 1, Plan: 1, Spread: n}, -1)
			case 8: // requests of other customers evict the record at every gateway
				s.takeAll(units)
				for i := range n {
					for k := range uint64(8) {
						s.id++
						ask(s.gateways[i], s.recorders[i], s.now, choice.Request{ID: s.id, Customer: 10 + k, Plan: 1, Spread: n}, -1)
					}
				}
				s.takeAll(units)
			}
		}
	})
}

// 100,000 customers with one request each must not leave more records than MaxCustomers, nor evict the record of
// a customer with frequent requests.
func TestCustomerRecordsAreBounded(t *testing.T) {
	cfg := testConfig()
	cfg.MaxCustomers = 1000
	g, rec := newGateway(t, cfg, backends(4))
	for i := range uint32(100_000) {
		now := time.Duration(i) * 10 * time.Microsecond
		ask(g, rec, now, choice.Request{ID: i + 10, Customer: uint64(i), Spread: 4}, -1)
		if i%500 == 0 { // its share of the bucket is six units, and fills within a second
			ask(g, rec, now, choice.Request{ID: 2_000_000 + i, Customer: 1 << 40, Spread: 4}, -1)
		}
		if n := choice.KnownCustomers(g); n > 1000 {
			t.Fatalf("%d records, want at most 1000", n)
		}
	}
	passed := 0
	for i := range uint32(20) {
		if ask(g, rec, time.Second, choice.Request{ID: 3_000_000 + i, Customer: 1 << 40, Spread: 4}, -1) {
			passed++
		}
	}
	if passed > 0 {
		t.Errorf("the record of a customer that has used up its share was evicted: %d requests passed", passed)
	}
	ask(g, rec, time.Hour, choice.Request{ID: 4_000_000, Customer: 1 << 41, Spread: 4}, -1)
	if n := choice.RetainedCustomers(g); n != 1 {
		t.Errorf("an hour later %d records are retained, want 1", n)
	}
}
