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

// recorder keeps every action as text and the sends and refusals by request.
type recorder struct {
	log     []string
	sent    map[uint32][]uint32 // backends by request
	refused map[uint32]bool
	failed  map[uint32]bool
	probed  []uint32
}

func record() *recorder {
	return &recorder{sent: map[uint32][]uint32{}, refused: map[uint32]bool{}, failed: map[uint32]bool{}}
}

func (r *recorder) note(format string, args ...any) {
	r.log = append(r.log, fmt.Sprintf(format, args...))
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

// plain is a deployment of four gateways with one free class and one rate plan.
func plain() choice.Config {
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

func open(t *testing.T, cfg choice.Config, list []choice.Backend) (*choice.Gateway, *recorder) {
	t.Helper()
	rec := record()
	g, err := choice.New(cfg, 7, 0, rec)
	if err != nil {
		t.Fatal(err)
	}
	g.Members(0, choice.Cached, list)
	return g, rec
}

// ask sends one request and, when it was passed, answers it well at once.
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

func TestNewNamesTheFieldItCannotServe(t *testing.T) {
	for field, spoil := range map[string]func(*choice.Config){
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
		cfg := plain()
		spoil(&cfg)
		if _, err := choice.New(cfg, 1, 0, record()); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("spoilt %s: error %v does not name it", field, err)
		}
	}
	if _, err := choice.New(plain(), 1, 0, nil); err == nil {
		t.Error("nil Actions were taken")
	}
}

// A full store of 24 units passes an even part at each of 1 to 4 gateways, and
// more only where nothing tells of others.
func TestUnmeasuredCustomerPassesItsEvenShareAtLeast(t *testing.T) {
	for spread := 1; spread <= 4; spread++ {
		g, rec := open(t, plain(), backends(4))
		passed := 0
		for i := range uint32(200) {
			if ask(g, rec, 0, choice.Request{ID: i + 1, Customer: 1, Spread: spread}, -1) {
				passed++
			}
		}
		if even := 24 / spread; passed < even || passed > 24 {
			t.Errorf("spread %d: %d passed at once, want between the even share %d and the store 24", spread, passed, even)
		}
	}
}

// loop plays one customer through some gateways and a late meter by plain
// arithmetic: no fleet, each passed request is answered at once.
func loop(t *testing.T, gates int, weights []float64, offered float64, lag int, length time.Duration) (rate, refused float64) {
	cfg := plain()
	cfg.Gateways = gates
	var gs []*choice.Gateway
	var recs []*recorder
	for range gates {
		g, rec := open(t, cfg, backends(4))
		gs, recs = append(gs, g), append(recs, rec)
	}
	p := cfg.Plans[0]
	used := make([]float64, 1+length/cfg.MeterPeriod)
	asked, passed, id, due, turn := 0.0, 0.0, uint32(0), 0.0, 0.0
	for now := 2 * ms; now < length; now += 2 * ms {
		due += offered * 0.002
		for ; due >= 1; due-- {
			turn = math.Mod(turn+0.618034, 1) // an even sequence, spread by the weights
			gate, sum := 0, weights[0]
			for turn > sum && gate < gates-1 {
				gate++
				sum += weights[gate]
			}
			reading := -1.0
			if shown := int(now/cfg.MeterPeriod) - 1 - lag; shown >= 0 {
				reading = used[shown] / (p.Rate * cfg.MeterPeriod.Seconds())
			}
			id++
			late := now > length/2
			if late {
				asked++
			}
			if ask(gs[gate], recs[gate], now, choice.Request{ID: id, Customer: 1, Spread: gates}, reading) {
				used[now/cfg.MeterPeriod]++
				if late {
					passed++
				}
			}
		}
	}
	return passed / (length / 2).Seconds(), 1 - passed/asked
}

// In the long run what all gateways pass stays near the quota, and what is
// refused near b = 1 - quota / offered, however the traffic is split.
func TestAdmittedRateHoldsTheQuota(t *testing.T) {
	for _, c := range []struct {
		gates   int
		weights []float64
		offered float64
		lag     int
	}{
		{1, []float64{1}, 30, 1},
		{3, []float64{0.34, 0.33, 0.33}, 30, 1},
		{3, []float64{0.34, 0.33, 0.33}, 60, 2},
		{3, []float64{0.8, 0.1, 0.1}, 30, 1},
		{4, []float64{0.4, 0.3, 0.2, 0.1}, 45, 2},
	} {
		rate, refused := loop(t, c.gates, c.weights, c.offered, c.lag, 60*time.Second)
		if rate < 8 || rate > 12 {
			t.Errorf("%d gateways %v offered %.0f: %.1f units a second passed, want about 10", c.gates, c.weights, c.offered, rate)
		}
		if b := 1 - 10/c.offered; math.Abs(refused-b) > 0.07 {
			t.Errorf("%d gateways %v offered %.0f: %.2f refused, want about b = %.2f", c.gates, c.weights, c.offered, refused, b)
		}
	}
	if rate, refused := loop(t, 3, []float64{0.5, 0.3, 0.2}, 5, 1, 60*time.Second); refused > 0.02 {
		t.Errorf("half the quota asked: %.2f refused (%.1f passed), want none", refused, rate)
	}
}

// A reading of several hundred per cent must not lock a customer out.
func TestWayBackAfterAHighReading(t *testing.T) {
	g, rec := open(t, plain(), backends(4))
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
		t.Errorf("%d of 24 passed once the customer asked little, want 20 at least", passed)
	}
}

// The same reading comes with many answers of one period; each period counts
// once, or the store would run down with every answer.
func TestRepeatedReadingCountsOnce(t *testing.T) {
	g, rec := open(t, plain(), backends(4))
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

// A long wait for a reading must not run the share down for good: what was
// passed long ago has been filled again.
func TestShareFillsWithoutReadings(t *testing.T) {
	g, rec := open(t, plain(), backends(4))
	id, refused := uint32(0), 0
	for now := time.Duration(0); now < 40*time.Second; now += 500 * ms { // 2 a second, of an even part of 2.5
		id++
		if !ask(g, rec, now, choice.Request{ID: id, Customer: 1, Spread: 4}, -1) {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d refused within the even part", refused, id)
	}
}

// Where thirty gateways share a customer, the even part of his store is less than one request. It passes
// as often as it is large: were it never passed, those who ask most would get half of their quota at best.
func TestShareBelowOneRequestPassesAsOftenAsItIsLarge(t *testing.T) {
	cfg := plain()
	cfg.Gateways = 30 // a part of 0.8
	g, rec := open(t, cfg, backends(40))
	id, passed := uint32(0), 0
	const customers = 500
	for now := time.Duration(0); now < 6*time.Second; now += 100 * ms {
		for c := range uint64(customers) {
			id++
			ask(g, rec, now, choice.Request{ID: id, Customer: c, Spread: 30}, 5)
		}
	}
	for c := range uint64(customers) { // the part has filled since, and the chance is what it was
		id++
		if ask(g, rec, 11*time.Second, choice.Request{ID: id, Customer: c, Spread: 30}, -1) {
			passed++
		}
	}
	if got := float64(passed) / customers; got < 0.7 || got > 0.95 {
		t.Errorf("%.2f of the first requests pass on a part of 0.8", got)
	}
}

// With three quarters of the prior out, a customer whose store holds units is passed, though his chance has
// been low.
func TestStoreThatHoldsUnitsHasAClaimToThePrior(t *testing.T) {
	cfg := plain()
	cfg.Gateways = 1 // a prior of 20 and chance arrivals' 4.5
	g, rec := open(t, cfg, backends(4))
	id, last := uint32(0), 10*time.Second
	for now := time.Duration(0); now < last/2; now += 100 * ms {
		id++
		ask(g, rec, now, choice.Request{ID: id, Customer: 0, Spread: 1}, 5)
	}
	for i := range uint32(18) {
		g.Request(last, choice.Request{ID: 100_000 + i, Customer: uint64(10 + i), Spread: 1, Units: 1, TimeLeft: time.Second})
	}
	if !ask(g, rec, last, choice.Request{ID: id + 1, Customer: 0, Spread: 1}, -1) {
		t.Errorf("one whose store has filled again is refused, %d times for pressure", g.Refusals(choice.ByOverload))
	}
}

// A customer that the meter shows calm does not pass a spike at the chance 1
// until the late meter shows it.
func TestSpikeIsHeldBeforeTheMeterShowsIt(t *testing.T) {
	g, rec := open(t, plain(), backends(4))
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
		t.Errorf("%d of 200 passed, more than the whole store and its refill", passed)
	}
}

func TestOpenCapIsHeldLocally(t *testing.T) {
	cfg := plain()
	cfg.Plans = []choice.Plan{{Open: 4, Price: 1}}
	g, rec := open(t, cfg, backends(4))
	for i := range uint32(6) {
		g.Request(0, choice.Request{ID: i + 1, Customer: 1, Spread: 2, Units: 1, TimeLeft: time.Second})
	}
	if len(rec.sent) != 2 || len(rec.refused) != 4 {
		t.Errorf("%d sent and %d refused, want the even part of 2 and 4", len(rec.sent), len(rec.refused))
	}
}

// A restarted gateway cannot know what it drew before, so its part of a
// ceiling starts empty and fills.
func TestCeilingPartStartsEmpty(t *testing.T) {
	cfg := plain()
	cfg.Plans[0].CeilingRate, cfg.Plans[0].CeilingBurst = 20, 48
	g, rec := open(t, cfg, backends(4))
	if ask(g, rec, 0, choice.Request{ID: 1, Customer: 1, Spread: 2}, -1) {
		t.Error("passed from a part that is empty")
	}
	if !ask(g, rec, 200*ms, choice.Request{ID: 2, Customer: 1, Spread: 2}, -1) {
		t.Error("refused with two units filled")
	}
}

// A gateway that waited for another in its place to stop begins with nothing
// then, however long it has waited: that one drew until now.
func TestCeilingPartIsEmptyWhereAnotherGatewayStopped(t *testing.T) {
	cfg := plain()
	cfg.Plans[0].CeilingRate, cfg.Plans[0].CeilingBurst = 20, 48
	g, rec := open(t, cfg, backends(4))
	g.PredecessorStopped(time.Minute)
	if ask(g, rec, time.Minute, choice.Request{ID: 1, Customer: 1, Spread: 2}, -1) {
		t.Error("passed from a part that the gateway before may have drawn")
	}
	if !ask(g, rec, time.Minute+200*ms, choice.Request{ID: 2, Customer: 1, Spread: 2}, -1) {
		t.Error("refused with two units filled")
	}
}

func TestBadRequestsAreAnswered(t *testing.T) {
	g, rec := open(t, plain(), backends(2))
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
		t.Errorf("sent %v for events that name nothing known", rec.sent)
	}
}

func TestNoBackendMeansARefusal(t *testing.T) {
	g, rec := open(t, plain(), nil)
	ask(g, rec, 0, choice.Request{ID: 1, Customer: 1, Spread: 1}, -1)
	if !rec.refused[1] {
		t.Error("held with no backend to send to")
	}
}

// A backend that fails fast holds little work; its short queue must not draw
// traffic to it.
func TestFastFailingBackendIsEjected(t *testing.T) {
	g, rec := open(t, plain(), backends(6))
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
		t.Errorf("%d of 600 went to the backend that fails all, want 30 at most", toBad)
	}
}

// A backend that takes attempts and answers none is passed over before any of
// them has timed out.
func TestSilentBackendIsPassedOver(t *testing.T) {
	g, rec := open(t, plain(), backends(4))
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
		t.Errorf("%d sent to a backend silent for a second, want 2 at most", late)
	}
}

func TestColdBackendGetsALittleAtATime(t *testing.T) {
	g, rec := open(t, plain(), backends(3))
	g.Members(0, choice.Delta, []choice.Backend{{ID: 9, Weight: 1, StartKnown: true, Started: 1}})
	out := 0
	for i := range uint32(20) {
		g.Request(2, choice.Request{ID: i + 1, Customer: uint64(i), Spread: 1, Units: 1, TimeLeft: time.Second})
		if slices.Contains(rec.sent[i+1], 9) {
			out++
		}
	}
	if out > 1 {
		t.Errorf("%d attempts out at a backend at a fifth of its capacity, want 1 at most", out)
	}
}

// In a jam every answer misses its aim; fewer attempts out bring them back.
func TestJamNarrowsTheWindow(t *testing.T) {
	g, rec := open(t, plain(), backends(4))
	id, most := uint32(0), 0
	held := []uint32{}
	for now := time.Duration(0); now < 8*time.Second; now += 10 * ms {
		id++
		g.Request(now, choice.Request{ID: id, Customer: uint64(id), Spread: 1, Units: 1, TimeLeft: 9 * time.Second})
		if len(rec.sent[id]) > 0 {
			held = append(held, id)
		}
		if now > 6*time.Second {
			most = max(most, len(held))
		}
		if len(held) > 0 && now%(50*ms) == 0 {
			g.Outcome(now, choice.Outcome{ID: held[0], Backend: rec.sent[held[0]][0], Status: choice.OK,
				Elapsed: 800 * ms, Done: true})
			held = held[1:]
		}
	}
	if most > 3 {
		t.Errorf("%d attempts out after seconds of answers at twice the aim, want 3 at most", most)
	}
}

func TestFurtherAttemptsHoldTheRules(t *testing.T) {
	cfg := plain()
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
		g, rec := open(t, cfg, backends(4))
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
		cfg := plain()
		cfg.Probing, cfg.ReportFields, cfg.Hedging = true, []string{"inflight"}, true
		g, rec := open(t, cfg, backends(5))
		for i := range uint32(800) {
			now := time.Duration(i) * 4 * ms
			ask(g, rec, now, choice.Request{ID: i + 1, Customer: uint64(i % 7), Spread: 3}, float64(i%5)/2)
			if i%50 == 0 {
				g.Timer(now, 0)
			}
		}
		return rec.log
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Error("two runs of the same events differ")
	}
}

// Before a customer was known nothing of it was refused: its first reading, at
// the quota, must not read the empty history as if all had been.
func TestFirstReadingKeepsTheChance(t *testing.T) {
	cfg := plain()
	cfg.Plans = []choice.Plan{{Open: 8, Price: 1}}
	g, rec := open(t, cfg, backends(4))
	passed := 0
	for i := range uint32(40) {
		if ask(g, rec, time.Duration(i)*10*ms, choice.Request{ID: i + 1, Customer: 1, Spread: 1}, 1) {
			passed++
		}
	}
	if passed < 38 {
		t.Errorf("%d of 40 passed with the peak at the cap, want 38 at least", passed)
	}
}

// A connect failure costs no backend any work, so it is tried elsewhere even
// with the budget for further attempts spent.
func TestConnectFailuresAreFreeOfTheBudget(t *testing.T) {
	g, rec := open(t, plain(), backends(8))
	for i := range uint32(30) {
		now, id := time.Duration(i)*20*ms, i+1
		g.Request(now, choice.Request{ID: id, Customer: uint64(i), Spread: 1, Units: 1, TimeLeft: time.Second})
		g.Outcome(now, choice.Outcome{ID: id, Backend: rec.sent[id][0], Status: choice.ConnectFailed})
		if len(rec.sent[id]) != 2 {
			t.Fatalf("request %d was sent %d times, want a second", id, len(rec.sent[id]))
		}
		g.Outcome(now, choice.Outcome{ID: id, Attempt: 1, Backend: rec.sent[id][1], Status: choice.OK, Elapsed: 5 * ms, Done: true})
	}
}

// A ceiling's part that is not full again must not be forgotten with its customer.
func TestCeilingOutlivesAnIdleCustomer(t *testing.T) {
	cfg := plain()
	cfg.Plans[0] = choice.Plan{Rate: 100, Burst: 100, CeilingRate: 0.5, CeilingBurst: 40, Price: 1}
	g, rec := open(t, cfg, backends(4))
	now, id := 200*time.Second, uint32(0) // the part of 40 has filled
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
		t.Fatalf("%d passed of a full part, want 40", first)
	}
	now += 40 * time.Second
	ask(g, rec, now, choice.Request{ID: 9999, Customer: 2, Spread: 1}, -1)
	if again := take(); again > 20 {
		t.Errorf("%d passed 40 s later, want the 20 that have filled", again)
	}
}

// A request in a customer's name that names another plan, by mistake or by
// malice, must not clear what is known of him.
func TestOtherPlanLeavesTheCustomersRecord(t *testing.T) {
	cfg := plain()
	cfg.Plans = []choice.Plan{
		{Rate: 100, Burst: 100, CeilingRate: 0.5, CeilingBurst: 40, Price: 1}, {Rate: 100, Burst: 100, Price: 1}}
	g, rec := open(t, cfg, backends(4))
	now, passed := 200*time.Second, 0 // the ceiling's part of 40 has filled
	for id := range uint32(60) {
		ask(g, rec, now, choice.Request{ID: 1000 + id, Customer: 1, Plan: 1, Spread: 1}, -1)
		if ask(g, rec, now, choice.Request{ID: id, Customer: 1, Spread: 1}, -1) {
			passed++
		}
	}
	if passed != 40 {
		t.Errorf("%d passed beside another plan's requests, want the part of 40", passed)
	}
}

// Before any latency is learned, many gateways must not let out more together
// than the fleet works well with.
func TestFirstWindowIsSharedByTheGateways(t *testing.T) {
	cfg := plain()
	cfg.Gateways = 10
	g, rec := open(t, cfg, backends(20))
	for i := range uint32(100) {
		g.Request(0, choice.Request{ID: i + 1, Customer: uint64(i), Spread: 1, Units: 1, TimeLeft: time.Second})
	}
	if n := len(rec.sent); n < 20 || n > 28 {
		t.Errorf("%d let out by one of ten gateways to 20 backends, want twice 10 and chance arrivals' slack, 28 at most", n)
	}
}

// Probes keep to a share of the requests, each backend in turn: at 400 gateways a
// fixed pace would outnumber the requests. Where so few requests come that a
// report would be out of date before the next of its backend, none is asked for.
func TestProbesKeepToAShareOfTheRequests(t *testing.T) {
	for _, c := range []struct {
		gap         time.Duration
		least, most int
	}{{2 * ms, 250, 310}, {200 * ms, 0, 0}} {
		cfg := plain()
		cfg.Gateways, cfg.Probing, cfg.ReportFields = 400, true, []string{"inflight"}
		g, rec := open(t, cfg, backends(87))
		for i := range uint32(1000) {
			ask(g, rec, time.Duration(i)*c.gap, choice.Request{ID: i + 1, Customer: uint64(i), Spread: 1}, -1)
		}
		if n := len(rec.probed); n < c.least || n > c.most {
			t.Errorf("a request each %v: %d probes for 1000 requests, want %d to %d", c.gap, n, c.least, c.most)
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

// Gateways with nothing out know nothing of each other's picks: they must not
// all find the same backend best, whatever its size, zone or place in the list.
func TestManyGatewaysSpreadTheirPicks(t *testing.T) {
	cfg := plain()
	cfg.Gateways, cfg.CrossZoneCost, cfg.WeightsTrusted = 400, 0.02, true
	list := backends(20)
	for i := range list {
		list[i].Zone, list[i].Weight = i%3, 1+float64(i%4)/20
	}
	first, sent := map[uint32]int{}, 0
	for self := range cfg.Gateways {
		cfg.Self = self
		g, rec := open(t, cfg, list)
		ask(g, rec, 0, choice.Request{ID: 1, Customer: 1, Spread: 1}, -1)
		if to := rec.sent[1]; len(to) > 0 { // the window lets out a part of an attempt, by chance
			first[to[0]]++
			sent++
		}
	}
	if sent < 200 {
		t.Errorf("%d of 400 first requests sent on, want most", sent)
	}
	for id := uint32(1); id <= 20; id++ {
		if n := first[id]; n > 60 {
			t.Errorf("backend %d picked by %d of 400 gateways, want about 20 and never three times that", id, n)
		}
	}
}

// A backend that is gone with nothing out is forgotten.
func TestGoneBackendIsForgotten(t *testing.T) {
	g, rec := open(t, plain(), backends(2))
	g.Members(time.Second, choice.Full, backends(1))
	for i := range uint32(20) {
		ask(g, rec, 2*time.Second, choice.Request{ID: i + 1, Customer: uint64(i), Spread: 1}, -1)
	}
	for id, to := range rec.sent {
		if slices.Contains(to, 2) {
			t.Errorf("request %d went to the backend that is gone", id)
		}
	}
	if n := choice.KnownBackends(g); n != 1 {
		t.Errorf("%d backends are kept, want 1", n)
	}
}

// A client's repeat says that another gateway refused it: where a customer is
// not yet measured, repeats pass less often than first tries.
func TestRepeatsOfTheUnmeasuredPassLess(t *testing.T) {
	cfg := plain()
	cfg.Gateways = 40
	cfg.Plans[0].Burst = 4 // a part of 0.1, which a repeat has as well
	passed := map[bool]int{}
	for _, repeat := range []bool{false, true} {
		g, rec := open(t, cfg, backends(400))
		for i := range uint32(200) {
			if ask(g, rec, 0, choice.Request{ID: i + 1, Customer: uint64(i), Spread: 40, ClientRetry: repeat}, -1) {
				passed[repeat]++
			}
		}
	}
	if passed[false] < 190 || passed[true] > passed[false]*3/4 {
		t.Errorf("%d first tries and %d repeats passed of 200 each, want nearly all and far fewer", passed[false], passed[true])
	}
}

// One of a hundred gateways is asked again and again by a customer that it has
// not measured: no reading tells, its own arrivals must.
func TestOwnArrivalsThinOutAnUnmeasuredSpike(t *testing.T) {
	cfg := plain()
	cfg.Gateways = 100
	passed := 0
	g, rec := open(t, cfg, backends(1000))
	for i := range uint32(100) {
		if ask(g, rec, time.Duration(i)*10*ms, choice.Request{ID: i + 1, Customer: 1, Spread: 100}, -1) {
			passed++
		}
	}
	if passed < 1 || passed > 12 {
		t.Errorf("%d of 100 in a second passed at one of 100 gateways of a quota of 10 a second, want a few", passed)
	}
}

// A reading far over the quota is half a minute old and nothing was asked here
// since: it must not refuse the customer for ever.
func TestOldReadingBoundsNothing(t *testing.T) {
	cfg := plain()
	cfg.Gateways = 100
	passed := 0
	for customer := range uint64(40) {
		g, rec := open(t, cfg, backends(1000))
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
		t.Errorf("%d of 40 passed half a minute after readings of 1.5 quotas, want the chance alone to decide", passed)
	}
}

// Readings and units that are no amounts leave no trace: the customer goes on as if they had not come.
func TestReadingsAndUnitsThatAreNoAmounts(t *testing.T) {
	for _, bad := range []float64{math.NaN(), math.Inf(1), -1} {
		logs := [2][]string{}
		for i := range logs {
			g, rec := open(t, plain(), backends(8))
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
			logs[i] = rec.log
			g.Request(6*time.Second, choice.Request{ID: 1000, Spread: 1, Units: bad, TimeLeft: time.Second})
			if !rec.refused[1000] {
				t.Errorf("a request of %v units was not refused at once", bad)
			}
		}
		if !reflect.DeepEqual(logs[0], logs[1]) {
			t.Errorf("a reading of %v changed what followed", bad)
		}
	}
}

// A backend that is deleted while an attempt is out at it, by an entry that
// names nothing else of it, still bounds where a guarded request may go on: to
// its own cell, where its repeat is dropped.
func TestDeletedBackendKeepsItsCell(t *testing.T) {
	cfg := plain()
	cfg.Classes[0].Effect, cfg.Classes[0].Group, cfg.Classes[0].Window = choice.Deduplicated, choice.GroupCell, 10*time.Second
	for seed := range uint64(20) {
		r := record()
		g, err := choice.New(cfg, seed, 0, r)
		if err != nil {
			t.Fatal(err)
		}
		g.Members(0, choice.Full, []choice.Backend{{ID: 1, Cell: 4, Weight: 1}})
		g.Request(0, choice.Request{ID: 1, Customer: 1, TimeLeft: time.Second, Units: 1, Spread: 1})
		g.Members(0, choice.Delta, []choice.Backend{{ID: 2, Cell: 0, Weight: 1}, {ID: 1, State: choice.Removed}})
		g.Outcome(ms, choice.Outcome{ID: 1, Backend: 1, Status: choice.Reset, Elapsed: ms})
		if !reflect.DeepEqual(r.sent[1], []uint32{1}) {
			t.Fatalf("sent to %v: it may run a second time in another cell", r.sent[1])
		}
	}
}
