package choice_test

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"wickarch/choice"
)

const ms = time.Millisecond

// recorder records all actions as text, and the sends, refusals and failures by request.
type recorder struct {
	actions []string
	sent    map[uint32][]uint32 // backends by request
	refused map[uint32]bool
	failed  map[uint32]bool
	probed  []uint32
}

func newRecorder() *recorder {
	return &recorder{sent: map[uint32][]uint32{}, refused: map[uint32]bool{}, failed: map[uint32]bool{}}
}

func (r *recorder) note(format string, args ...any) {
	r.actions = append(r.actions, fmt.Sprintf(format, args...))
}
func (r *recorder) Send(id, backend uint32, timeout time.Duration) {
	r.note("send %d to %d within %v", id, backend, timeout)
	r.sent[id] = append(r.sent[id], backend)
}
func (r *recorder) Refuse(id uint32, after time.Duration) {
	r.note("refuse %d for %v", id, after)
	r.refused[id] = true
}
func (r *recorder) Fail(id uint32)                { r.note("fail %d", id); r.failed[id] = true }
func (r *recorder) Cancel(id uint32, attempt int) { r.note("cancel %d/%d", id, attempt) }
func (r *recorder) Probe(b uint32)                { r.note("probe %d", b); r.probed = append(r.probed, b) }
func (r *recorder) SetTimer(wait time.Duration, token uint64) {
	r.note("after %v token %d", wait, token)
}

// testConfig is a deployment of four gateways with one idempotent class and one plan with a rate.
func testConfig() choice.Config {
	return choice.Config{
		Gateways: 4, MeterPeriod: 500 * ms, MaxUnits: 1, MaxAttempts: 3,
		Classes:      []choice.Class{{Aim: 400 * ms, Deadline: 2 * time.Second, Worth: 1}},
		Plans:        []choice.Plan{{Rate: 10, Burst: 24, Price: 1, OverCost: 1}},
		ColdCapacity: 0.2, WarmUpTime: 10 * time.Second, CrashMultiple: 3, CrashAfter: 2 * time.Second,
	}
}

func backends(n uint32) (list []choice.Backend) {
	for i := range n {
		list = append(list, choice.Backend{ID: i + 1, Weight: 1})
	}
	return
}

func newGateway(t *testing.T, cfg choice.Config, list []choice.Backend) (*choice.Gateway, *recorder) {
	t.Helper()
	rec := newRecorder()
	g, err := choice.New(cfg, 7, 0, rec)
	if err != nil {
		t.Fatal(err)
	}
	g.Members(0, choice.Cached, list)
	return g, rec
}

// ask sends one request and reports whether it was admitted. If so, it succeeds at once.
func ask(g *choice.Gateway, rec *recorder, now time.Duration, r choice.Request, used float64) (passed bool) {
	if r.TimeLeft == 0 {
		r.TimeLeft = time.Second
	}
	if r.Units == 0 {
		r.Units = 1
	}
	g.Request(now, r)
	to := rec.sent[r.ID]
	if len(to) == 0 {
		return false
	}
	g.Outcome(now, choice.Outcome{ID: r.ID, Backend: to[0], Status: choice.OK, Elapsed: 10 * ms, Done: true,
		Metered: used >= 0, Used: max(used, 0)})
	return true
}

func TestNewNamesTheInvalidField(t *testing.T) {
	for field, invalidate := range map[string]func(*choice.Config){
		"Gateways":     func(c *choice.Config) { c.Gateways = 0 },
		"Self":         func(c *choice.Config) { c.Self = 4 },
		"MaxAttempts":  func(c *choice.Config) { c.MaxAttempts = 0 },
		"Classes":      func(c *choice.Config) { c.Classes = nil },
		"Aim":          func(c *choice.Config) { c.Classes[0].Aim = 0 },
		"Plans":        func(c *choice.Config) { c.Plans = nil },
		"Rate":         func(c *choice.Config) { c.Plans[0].Rate = -1 },
		"OverCost":     func(c *choice.Config) { c.Plans[0].OverCost = math.NaN() },
		"CeilingBurst": func(c *choice.Config) { c.Plans[0].CeilingBurst = math.Inf(1) },
		"MeterPeriod":  func(c *choice.Config) { c.MeterPeriod = -1 },
	} {
		cfg := testConfig()
		invalidate(&cfg)
		if _, err := choice.New(cfg, 1, 0, newRecorder()); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("invalid %s: error %v does not name it", field, err)
		}
	}
	if _, err := choice.New(testConfig(), 1, 0, nil); err == nil {
		t.Error("New accepted nil Actions")
	}
}

// Without a reading, the full token bucket of 24 units must admit at least its
// even share at each of 1 to 4 gateways, and never more than the whole.
func TestUnmeasuredCustomerPassesItsEvenShareAtLeast(t *testing.T) {
	for spread := 1; spread <= 4; spread++ {
		g, rec := newGateway(t, testConfig(), backends(4))
		passed := 0
		for i := range uint32(200) {
			if ask(g, rec, 0, choice.Request{ID: i + 1, Customer: 1, Spread: spread}, -1) {
				passed++
			}
		}
		if even := 24 / spread; passed < even || passed > 24 {
			t.Errorf("spread %d: %d passed at once, want between the even share %d and the bucket of 24", spread, passed, even)
		}
	}
}

// admittedRate simulates one customer, some gateways and a delayed meter. Each
// admitted request is answered at once.
func admittedRate(t *testing.T, gateways int, weights []float64, offered float64, lag int, length time.Duration) (rate, refused float64) {
	cfg := testConfig()
	cfg.Gateways = gateways
	var instances []*choice.Gateway
	var recorders []*recorder
	for range gateways {
		g, rec := newGateway(t, cfg, backends(4))
		instances, recorders = append(instances, g), append(recorders, rec)
	}
	p := cfg.Plans[0]
	used := make([]float64, 1+length/cfg.MeterPeriod)
	offeredCount, passed, id, pending, position := 0.0, 0.0, uint32(0), 0.0, 0.0
	for now := 2 * ms; now < length; now += 2 * ms {
		pending += offered * 0.002
		for ; pending >= 1; pending-- {
			position = math.Mod(position+0.618034, 1) // a low-discrepancy sequence, distributed by the weights
			index, sum := 0, weights[0]
			for position > sum && index < gateways-1 {
				index++
				sum += weights[index]
			}
			reading := -1.0
			if shown := int(now/cfg.MeterPeriod) - 1 - lag; shown >= 0 {
				reading = used[shown] / (p.Rate * cfg.MeterPeriod.Seconds())
			}
			id++
			counted := now > length/2
			if counted {
				offeredCount++
			}
			if ask(instances[index], recorders[index], now, choice.Request{ID: id, Customer: 1, Spread: gateways}, reading) {
				used[now/cfg.MeterPeriod]++
				if counted {
					passed++
				}
			}
		}
	}
	return passed / (length / 2).Seconds(), 1 - passed/offeredCount
}

// In the long run, the rate that all gateways admit must be near the quota, and
// the share refused near b = 1 - quota / offered, for any split of the traffic.
func TestAdmittedRateHoldsTheQuota(t *testing.T) {
	for _, c := range []struct {
		gateways int
		weights  []float64
		offered  float64
		lag      int
	}{
		{1, []float64{1}, 30, 1},
		{3, []float64{0.34, 0.33, 0.33}, 30, 1},
		{3, []float64{0.34, 0.33, 0.33}, 60, 2},
		{3, []float64{0.8, 0.1, 0.1}, 30, 1},
		{4, []float64{0.4, 0.3, 0.2, 0.1}, 45, 2},
	} {
		rate, refused := admittedRate(t, c.gateways, c.weights, c.offered, c.lag, 60*time.Second)
		if rate < 8 || rate > 12 {
			t.Errorf("%d gateways %v offered %.0f: %.1f units a second passed, want about 10", c.gateways, c.weights, c.offered, rate)
		}
		if b := 1 - 10/c.offered; math.Abs(refused-b) > 0.07 {
			t.Errorf("%d gateways %v offered %.0f: %.2f refused, want about b = %.2f", c.gateways, c.weights, c.offered, refused, b)
		}
	}
	if rate, refused := admittedRate(t, 3, []float64{0.5, 0.3, 0.2}, 5, 1, 60*time.Second); refused > 0.02 {
		t.Errorf("half the quota offered: %.2f refused (%.1f passed), want none", refused, rate)
	}
}

// A reading of several times the quota must not lock a customer out for good.
func TestHighReadingDoesNotLockCustomerOut(t *testing.T) {
	g, rec := newGateway(t, testConfig(), backends(4))
	id := uint32(0)
	for now := time.Duration(0); now < 3*time.Second; now += 20 * ms {
		id++
		ask(g, rec, now, choice.Request{ID: id, Customer: 1, Spread: 2}, 9)
	}
	passed := 0
	for now := 3 * time.Second; now < 9*time.Second; now += 250 * ms {
		id++
		if ask(g, rec, now, choice.Request{ID: id, Customer: 1, Spread: 2}, 0.2) {
			passed++
		}
	}
	if passed < 20 {
		t.Errorf("%d of 24 passed after the customer reduced its use, want 20 at least", passed)
	}
}

// Many answers carry the reading of the same period. Each period must count
// once, or every answer would lower the token bucket level.
func TestRepeatedReadingCountsOnce(t *testing.T) {
	g, rec := newGateway(t, testConfig(), backends(4))
	id, refused := uint32(0), 0
	for now := time.Duration(0); now < 20*time.Second; now += 125 * ms { // 8 a second, under the quota of 10
		id++
		if !ask(g, rec, now, choice.Request{ID: id, Customer: 1, Spread: 1}, 0.8) {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d refused under the quota", refused, id)
	}
}

// Without readings for a long time, the share of the token bucket must still
// refill, or it would stay empty.
func TestShareFillsWithoutReadings(t *testing.T) {
	g, rec := newGateway(t, testConfig(), backends(4))
	id, refused := uint32(0), 0
	for now := time.Duration(0); now < 40*time.Second; now += 500 * ms { // 2 a second, of an even share of 2.5
		id++
		if !ask(g, rec, now, choice.Request{ID: id, Customer: 1, Spread: 4}, -1) {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d refused within the even share", refused, id)
	}
}

// With 30 gateways, the even share of a customer's token bucket is less than one unit. It must admit a request in
// that proportion of cases: if it never did, customers with high demand would get at most half of their quota.
func TestShareBelowOneUnitAdmitsInProportion(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 30 // a share of 0.8
	g, rec := newGateway(t, cfg, backends(40))
	id, passed := uint32(0), 0
	const customers = 500
	for now := time.Duration(0); now < 6*time.Second; now += 100 * ms {
		for c := range uint64(customers) {
			id++
			ask(g, rec, now, choice.Request{ID: id, Customer: c, Spread: 30}, 5)
		}
	}
	for c := range uint64(customers) { // the share has refilled, and the admission probability is unchanged
		id++
		if ask(g, rec, 11*time.Second, choice.Request{ID: id, Customer: c, Spread: 30}, -1) {
			passed++
		}
	}
	if got := float64(passed) / customers; got < 0.7 || got > 0.95 {
		t.Errorf("%.2f of the first requests pass with a share of 0.8, want 0.7 to 0.95", got)
	}
}

// With three quarters of the baseline in flight, a request that the customer's token bucket covers must be
// admitted, even if its admission probability has been low.
func TestCoveredRequestMayUseTheWholeBaseline(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 1 // a baseline of 20, and 4.5 for random arrivals
	g, rec := newGateway(t, cfg, backends(4))
	id, last := uint32(0), 10*time.Second
	for now := time.Duration(0); now < last/2; now += 100 * ms {
		id++
		ask(g, rec, now, choice.Request{ID: id, Customer: 0, Spread: 1}, 5)
	}
	for i := range uint32(18) {
		g.Request(last, choice.Request{ID: 100_000 + i, Customer: uint64(10 + i), Spread: 1, Units: 1, TimeLeft: time.Second})
	}
	if !ask(g, rec, last, choice.Request{ID: id + 1, Customer: 0, Spread: 1}, -1) {
		t.Errorf("a request was refused after the bucket had refilled; %d refusals by the limit", g.Refusals(choice.ByOverload))
	}
}

// A spike of a customer that the meter shows below its quota must be limited
// before the delayed meter shows it.
func TestSpikeIsLimitedBeforeTheMeterShowsIt(t *testing.T) {
	g, rec := newGateway(t, testConfig(), backends(4))
	id := uint32(0)
	for now := time.Duration(0); now < 10*time.Second; now += 400 * ms {
		id++
		ask(g, rec, now, choice.Request{ID: id, Customer: 1, Spread: 3}, 0.75)
	}
	passed := 0
	for now := 10 * time.Second; now < 11*time.Second; now += 5 * ms { // 200 a second
		id++
		if ask(g, rec, now, choice.Request{ID: id, Customer: 1, Spread: 3}, 0.75) {
			passed++
		}
	}
	if passed > 34 {
		t.Errorf("%d of 200 passed, more than the whole bucket and its refill", passed)
	}
}

func TestOpenCapIsHeldLocally(t *testing.T) {
	cfg := testConfig()
	cfg.Plans = []choice.Plan{{Open: 4, Price: 1}}
	g, rec := newGateway(t, cfg, backends(4))
	for i := range uint32(6) {
		g.Request(0, choice.Request{ID: i + 1, Customer: 1, Spread: 2, Units: 1, TimeLeft: time.Second})
	}
	if len(rec.sent) != 2 || len(rec.refused) != 4 {
		t.Errorf("%d sent and %d refused, want the even share of 2 and 4", len(rec.sent), len(rec.refused))
	}
}

// A restarted gateway doesn't know what it admitted before, so its share of a
// ceiling must start empty.
func TestCeilingShareStartsEmpty(t *testing.T) {
	cfg := testConfig()
	cfg.Plans[0].CeilingRate, cfg.Plans[0].CeilingBurst = 20, 48
	g, rec := newGateway(t, cfg, backends(4))
	if ask(g, rec, 0, choice.Request{ID: 1, Customer: 1, Spread: 2}, -1) {
		t.Error("passed with an empty share")
	}
	if !ask(g, rec, 200*ms, choice.Request{ID: 2, Customer: 1, Spread: 2}, -1) {
		t.Error("refused with two units filled")
	}
}

// When a gateway's predecessor stops, its share must be empty, however long it
// has waited: the predecessor may have used the share until then.
func TestCeilingShareIsEmptyWhenPredecessorStops(t *testing.T) {
	cfg := testConfig()
	cfg.Plans[0].CeilingRate, cfg.Plans[0].CeilingBurst = 20, 48
	g, rec := newGateway(t, cfg, backends(4))
	g.PredecessorStopped(time.Minute)
	if ask(g, rec, time.Minute, choice.Request{ID: 1, Customer: 1, Spread: 2}, -1) {
		t.Error("passed with a share that the predecessor may have used")
	}
	if !ask(g, rec, time.Minute+200*ms, choice.Request{ID: 2, Customer: 1, Spread: 2}, -1) {
		t.Error("refused with two units filled")
	}
}

func TestBadRequestsAreAnswered(t *testing.T) {
	g, rec := newGateway(t, testConfig(), backends(2))
	for i, r := range []choice.Request{
		{Class: 5, Units: 1, TimeLeft: time.Second}, {Class: -1, Units: 1, TimeLeft: time.Second},
		{Plan: 3, Units: 1, TimeLeft: time.Second}, {Units: math.NaN(), TimeLeft: time.Second}, {Units: 1},
	} {
		r.ID = uint32(i + 1)
		g.Request(0, r)
		if !rec.refused[r.ID] {
			t.Errorf("request %+v has no answer", r)
		}
	}
	g.Outcome(0, choice.Outcome{ID: 99})
	g.Outcome(0, choice.Outcome{ID: 1, Attempt: 7})
	g.Disconnected(0, 99)
	g.Timer(0, 1<<40)
	g.Probed(0, choice.ProbeResult{Backend: 99})
	if len(rec.sent) != 0 {
		t.Errorf("sent %v for events of unknown requests and backends", rec.sent)
	}
}

func TestRequestWithoutBackendIsRefused(t *testing.T) {
	g, rec := newGateway(t, testConfig(), nil)
	ask(g, rec, 0, choice.Request{ID: 1, Customer: 1, Spread: 1}, -1)
	if !rec.refused[1] {
		t.Error("a request was not refused, though there is no backend")
	}
}

// A backend that fails fast has few attempts in flight. It must not attract
// traffic for that.
func TestFastFailingBackendIsEjected(t *testing.T) {
	g, rec := newGateway(t, testConfig(), backends(6))
	toBad := 0
	for i := range uint32(600) {
		now, id := time.Duration(i)*10*ms, i+1
		g.Request(now, choice.Request{ID: id, Customer: uint64(i % 300), Spread: 1, Units: 1, TimeLeft: time.Second})
		st := choice.OK
		if b := rec.sent[id][0]; b == 3 {
			st = choice.Error
			toBad++
		}
		g.Outcome(now, choice.Outcome{ID: id, Backend: rec.sent[id][0], Status: st, Elapsed: 5 * ms, Done: true})
	}
	if toBad > 30 {
		t.Errorf("%d of 600 went to the backend that fails all attempts, want 30 at most", toBad)
	}
}

// A backend that answers no attempt must be skipped before any of them has
// timed out.
func TestUnresponsiveBackendIsSkipped(t *testing.T) {
	g, rec := newGateway(t, testConfig(), backends(4))
	late := 0
	for i := range uint32(300) {
		now, id := time.Duration(i)*10*ms, i+1
		g.Request(now, choice.Request{ID: id, Customer: uint64(i), Spread: 1, Units: 1, TimeLeft: 20 * time.Second})
		if b := rec.sent[id][0]; b != 2 {
			g.Outcome(now, choice.Outcome{ID: id, Backend: b, Status: choice.OK, Elapsed: 5 * ms, Done: true})
		} else if now > time.Second {
			late++
		}
	}
	if late > 2 {
		t.Errorf("%d sent to a backend without an answer for a second, want 2 at most", late)
	}
}

func TestColdBackendGetsOneAttemptAtATime(t *testing.T) {
	g, rec := newGateway(t, testConfig(), backends(3))
	g.Members(0, choice.Delta, []choice.Backend{{ID: 9, Weight: 1, StartKnown: true, Started: 1}})
	out := 0
	for i := range uint32(20) {
		g.Request(2, choice.Request{ID: i + 1, Customer: uint64(i), Spread: 1, Units: 1, TimeLeft: time.Second})
		if slices.Contains(rec.sent[i+1], 9) {
			out++
		}
	}
	if out > 1 {
		t.Errorf("%d attempts in flight at a backend at a fifth of its capacity, want 1 at most", out)
	}
}

// Under overload every answer misses its aim. The limit must fall until they meet it.
func TestOverloadLowersTheLimit(t *testing.T) {
	g, rec := newGateway(t, testConfig(), backends(4))
	id, maxHeld := uint32(0), 0
	held := []uint32{}
	for now := time.Duration(0); now < 8*time.Second; now += 10 * ms {
		id++
		g.Request(now, choice.Request{ID: id, Customer: uint64(id), Spread: 1, Units: 1, TimeLeft: 9 * time.Second})
		if len(rec.sent[id]) > 0 {
			held = append(held, id)
		}
		if now > 6*time.Second {
			maxHeld = max(maxHeld, len(held))
		}
		if len(held) > 0 && now%(50*ms) == 0 {
			g.Outcome(now, choice.Outcome{ID: held[0], Backend: rec.sent[held[0]][0], Status: choice.OK,
				Elapsed: 800 * ms, Done: true})
			held = held[1:]
		}
	}
	if maxHeld > 3 {
		t.Errorf("%d attempts in flight after seconds of answers at twice the aim, want 3 at most", maxHeld)
	}
}

func TestFurtherAttemptsHoldTheRules(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = append(cfg.Classes, choice.Class{Aim: 400 * ms, Deadline: time.Second, Worth: 1, Effect: choice.AtMostOnce})
	for _, c := range []struct {
		class         int
		status        choice.Status
		again, failed bool
	}{
		{0, choice.Error, true, false}, {0, choice.Refused, true, false},
		{1, choice.Refused, true, false}, {1, choice.ConnectFailed, true, false},
		{1, choice.Error, false, true}, {1, choice.Timeout, false, true}, {1, choice.Reset, false, true},
	} {
		g, rec := newGateway(t, cfg, backends(4))
		g.Request(0, choice.Request{ID: 1, Class: c.class, Customer: 1, Spread: 1, Units: 1, TimeLeft: time.Second})
		g.Outcome(10*ms, choice.Outcome{ID: 1, Backend: rec.sent[1][0], Status: c.status, Elapsed: 10 * ms})
		if again := len(rec.sent[1]) == 2; again != c.again || rec.failed[1] != c.failed {
			t.Errorf("class %d after %d: sent again %v, failed %v", c.class, c.status, again, rec.failed[1])
		}
		if c.again && rec.sent[1][0] == rec.sent[1][1] {
			t.Errorf("class %d after %d: sent again to the same backend", c.class, c.status)
		}
	}
}

func TestSameEventsGiveTheSameActions(t *testing.T) {
	play := func() []string {
		cfg := testConfig()
		cfg.Probing, cfg.ReportFields, cfg.Hedging = true, []string{"inflight"}, true
		g, rec := newGateway(t, cfg, backends(5))
		for i := range uint32(800) {
			now := time.Duration(i) * 4 * ms
			ask(g, rec, now, choice.Request{ID: i + 1, Customer: uint64(i % 7), Spread: 3}, float64(i%5)/2)
			if i%50 == 0 {
				g.Timer(now, 0)
			}
		}
		return rec.actions
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Error("two runs of the same events had different actions")
	}
}

// The first reading of a customer comes with an empty local history. It must not
// count as if all requests had been refused.
func TestFirstReadingKeepsTheProbability(t *testing.T) {
	cfg := testConfig()
	cfg.Plans = []choice.Plan{{Open: 8, Price: 1}}
	g, rec := newGateway(t, cfg, backends(4))
	passed := 0
	for i := range uint32(40) {
		if ask(g, rec, time.Duration(i)*10*ms, choice.Request{ID: i + 1, Customer: 1, Spread: 1}, 1) {
			passed++
		}
	}
	if passed < 38 {
		t.Errorf("%d of 40 passed with the peak at the limit, want 38 at least", passed)
	}
}

// A failed connect causes no work at a backend, so it must be retried elsewhere
// even if the retry budget is used up.
func TestConnectFailuresDoNotUseTheRetryBudget(t *testing.T) {
	g, rec := newGateway(t, testConfig(), backends(8))
	for i := range uint32(30) {
		now, id := time.Duration(i)*20*ms, i+1
		g.Request(now, choice.Request{ID: id, Customer: uint64(i), Spread: 1, Units: 1, TimeLeft: time.Second})
		g.Outcome(now, choice.Outcome{ID: id, Backend: rec.sent[id][0], Status: choice.ConnectFailed})
		if len(rec.sent[id]) != 2 {
			t.Fatalf("request %d was sent %d times, want 2", id, len(rec.sent[id]))
		}
		g.Outcome(now, choice.Outcome{ID: id, Attempt: 1, Backend: rec.sent[id][1], Status: choice.OK, Elapsed: 5 * ms, Done: true})
	}
}

// An idle customer's record must be kept until its share of the ceiling has refilled.
func TestCeilingOutlivesAnIdleCustomer(t *testing.T) {
	cfg := testConfig()
	cfg.Plans[0] = choice.Plan{Rate: 100, Burst: 100, CeilingRate: 0.5, CeilingBurst: 40, Price: 1}
	g, rec := newGateway(t, cfg, backends(4))
	now, id := 200*time.Second, uint32(0) // the share of 40 has filled
	take := func() (n int) {
		for range 60 {
			id++
			if ask(g, rec, now, choice.Request{ID: id, Customer: 1, Spread: 1}, -1) {
				n++
			}
		}
		return
	}
	if first := take(); first != 40 {
		t.Fatalf("%d passed with a full share, want 40", first)
	}
	now += 40 * time.Second
	ask(g, rec, now, choice.Request{ID: 9999, Customer: 2, Spread: 1}, -1)
	if again := take(); again > 20 {
		t.Errorf("%d passed 40 s later, want the 20 units refilled", again)
	}
}

// A request that names another plan for a customer, by mistake or on purpose,
// must not reset the state of that customer.
func TestOtherPlanLeavesTheCustomersRecord(t *testing.T) {
	cfg := testConfig()
	cfg.Plans = []choice.Plan{
		{Rate: 100, Burst: 100, CeilingRate: 0.5, CeilingBurst: 40, Price: 1}, {Rate: 100, Burst: 100, Price: 1}}
	g, rec := newGateway(t, cfg, backends(4))
	now, passed := 200*time.Second, 0 // the ceiling's share of 40 has filled
	for id := range uint32(60) {
		ask(g, rec, now, choice.Request{ID: 1000 + id, Customer: 1, Plan: 1, Spread: 1}, -1)
		if ask(g, rec, now, choice.Request{ID: id, Customer: 1, Spread: 1}, -1) {
			passed++
		}
	}
	if passed != 40 {
		t.Errorf("%d passed among another plan's requests, want the share of 40", passed)
	}
}

// Before any latency is measured, many gateways must not send more together
// than the fleet can handle.
func TestInitialLimitIsSharedByTheGateways(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 10
	g, rec := newGateway(t, cfg, backends(20))
	for i := range uint32(100) {
		g.Request(0, choice.Request{ID: i + 1, Customer: uint64(i), Spread: 1, Units: 1, TimeLeft: time.Second})
	}
	if n := len(rec.sent); n < 20 || n > 28 {
		t.Errorf("%d sent by one of ten gateways to 20 backends, want twice 10 and room for random arrivals, 28 at most", n)
	}
}

// Probes must be a share of the requests and go to each backend in turn: with 400
// gateways, probes at a fixed rate would outnumber the requests. If requests are
// so rare that a report would be outdated before the next one of the same
// backend, there must be no probes.
func TestProbeRateIsAShareOfTheRequestRate(t *testing.T) {
	for _, c := range []struct {
		gap      time.Duration
		min, max int
	}{{2 * ms, 250, 310}, {200 * ms, 0, 0}} {
		cfg := testConfig()
		cfg.Gateways, cfg.Probing, cfg.ReportFields = 400, true, []string{"inflight"}
		g, rec := newGateway(t, cfg, backends(87))
		for i := range uint32(1000) {
			ask(g, rec, time.Duration(i)*c.gap, choice.Request{ID: i + 1, Customer: uint64(i), Spread: 1}, -1)
		}
		if n := len(rec.probed); n < c.min || n > c.max {
			t.Errorf("one request per %v: %d probes for 1000 requests, want %d to %d", c.gap, n, c.min, c.max)
		}
		times := map[uint32]int{}
		for _, b := range rec.probed {
			times[b]++
		}
		for b, n := range times {
			if n < len(rec.probed)/87 || n > len(rec.probed)/87+1 {
				t.Errorf("%d of %d probes went to backend %d of 87, want each in turn", n, len(rec.probed), b)
			}
		}
	}
}

// Gateways without attempts in flight don't know of each other's picks: they must
// not all pick the same backend, whatever its size, zone or place in the list.
func TestManyGatewaysSpreadTheirPicks(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways, cfg.CrossZoneCost, cfg.WeightsTrusted = 400, 0.02, true
	list := backends(20)
	for i := range list {
		list[i].Zone, list[i].Weight = i%3, 1+float64(i%4)/20
	}
	first, sent := map[uint32]int{}, 0
	for self := range cfg.Gateways {
		cfg.Self = self
		g, rec := newGateway(t, cfg, list)
		ask(g, rec, 0, choice.Request{ID: 1, Customer: 1, Spread: 1}, -1)
		if to := rec.sent[1]; len(to) > 0 { // the limit is less than one attempt, rounded at random
			first[to[0]]++
			sent++
		}
	}
	if sent < 200 {
		t.Errorf("%d of 400 first requests sent, want 200 at least", sent)
	}
	for id := uint32(1); id <= 20; id++ {
		if n := first[id]; n > 60 {
			t.Errorf("backend %d picked by %d of 400 gateways, want about 20 and 60 at most", id, n)
		}
	}
}

// A removed backend without attempts in flight must be forgotten.
func TestRemovedBackendIsForgotten(t *testing.T) {
	g, rec := newGateway(t, testConfig(), backends(2))
	g.Members(time.Second, choice.Full, backends(1))
	for i := range uint32(20) {
		ask(g, rec, 2*time.Second, choice.Request{ID: i + 1, Customer: uint64(i), Spread: 1}, -1)
	}
	for id, to := range rec.sent {
		if slices.Contains(to, 2) {
			t.Errorf("request %d went to the removed backend", id)
		}
	}
	if n := choice.KnownBackends(g); n != 1 {
		t.Errorf("%d backends are known, want 1", n)
	}
}

// A client's retry means that another gateway has refused the request: without a
// reading of the customer, retries must pass less often than first tries.
func TestRetriesOfUnmeasuredCustomersPassLess(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 40
	cfg.Plans[0].Burst = 4 // a share of 0.1, for retries as well
	passed := map[bool]int{}
	for _, retry := range []bool{false, true} {
		g, rec := newGateway(t, cfg, backends(400))
		for i := range uint32(200) {
			if ask(g, rec, 0, choice.Request{ID: i + 1, Customer: uint64(i), Spread: 40, ClientRetry: retry}, -1) {
				passed[retry]++
			}
		}
	}
	if passed[false] < 190 || passed[true] > passed[false]*3/4 {
		t.Errorf("%d first tries and %d retries passed of 200, want 190 and at most 3/4 as many", passed[false], passed[true])
	}
}

// One of 100 gateways gets a spike of a customer without a reading. It must limit
// the spike by its local arrivals.
func TestLocalArrivalsLimitAnUnmeasuredSpike(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 100
	passed := 0
	g, rec := newGateway(t, cfg, backends(1000))
	for i := range uint32(100) {
		if ask(g, rec, time.Duration(i)*10*ms, choice.Request{ID: i + 1, Customer: 1, Spread: 100}, -1) {
			passed++
		}
	}
	if passed < 1 || passed > 12 {
		t.Errorf("%d of 100 in a second passed at one of 100 gateways with a quota of 10 a second, want 1 to 12", passed)
	}
}

// A reading far over the quota is half a minute old, without requests since. It
// must no longer refuse the customer.
func TestOutdatedReadingHasNoEffect(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 100
	passed := 0
	for customer := range uint64(40) {
		g, rec := newGateway(t, cfg, backends(1000))
		id := uint32(1)
		for i := range 3 {
			now := time.Duration(i) * 600 * ms
			ask(g, rec, now, choice.Request{ID: id, Customer: customer, Spread: 100}, 1.5)
			id++
		}
		if ask(g, rec, 30*time.Second, choice.Request{ID: id, Customer: customer, Spread: 100}, 0.2) {
			passed++
		}
	}
	if passed < 15 {
		t.Errorf("%d of 40 passed half a minute after readings of 1.5 quotas, want 15 at least", passed)
	}
}

// Readings and units that are not valid amounts must not affect the customer.
func TestInvalidReadingsAndUnitsHaveNoEffect(t *testing.T) {
	for _, bad := range []float64{math.NaN(), math.Inf(1), -1} {
		logs := [2][]string{}
		for i := range logs {
			g, rec := newGateway(t, testConfig(), backends(8))
			for id := uint32(1); id < 100; id++ {
				now := time.Duration(id) * 50 * ms
				r := choice.Request{ID: id, Customer: 1, Spread: 4, Units: 1, TimeLeft: time.Second}
				g.Request(now, r)
				if to := rec.sent[id]; len(to) > 0 {
					o := choice.Outcome{ID: id, Backend: to[0], Elapsed: 10 * ms, Done: true, Metered: true, Used: 1.2}
					if id%5 == 0 {
						o.Metered, o.Used = i == 0, bad
					}
					g.Outcome(now, o)
				}
			}
			logs[i] = rec.actions
			g.Request(6*time.Second, choice.Request{ID: 1000, Spread: 1, Units: bad, TimeLeft: time.Second})
			if !rec.refused[1000] {
				t.Errorf("a request of %v units was not refused at once", bad)
			}
		}
		if !reflect.DeepEqual(logs[0], logs[1]) {
			t.Errorf("a reading of %v changed later actions", bad)
		}
	}
}

// A backend is removed by an entry without its cell, while it has an attempt in
// flight. A deduplicated request must still be repeated only in its cell, where
// the duplicate is dropped.
func TestDeletedBackendKeepsItsCell(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].Effect, cfg.Classes[0].Group, cfg.Classes[0].Window = choice.Deduplicated, choice.GroupCell, 10*time.Second
	for seed := range uint64(20) {
		r := newRecorder()
		g, err := choice.New(cfg, seed, 0, r)
		if err != nil {
			t.Fatal(err)
		}
		g.Members(0, choice.Full, []choice.Backend{{ID: 1, Cell: 4, Weight: 1}})
		g.Request(0, choice.Request{ID: 1, Customer: 1, TimeLeft: time.Second, Units: 1, Spread: 1})
		g.Members(0, choice.Delta, []choice.Backend{{ID: 2, Cell: 0, Weight: 1}, {ID: 1, State: choice.Removed}})
		g.Outcome(ms, choice.Outcome{ID: 1, Backend: 1, Status: choice.Reset, Elapsed: ms})
		if !reflect.DeepEqual(r.sent[1], []uint32{1}) {
			t.Fatalf("sent to %v: it may run a second time, in another cell", r.sent[1])
		}
	}
}
