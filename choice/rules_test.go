package choice_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wickarch/choice"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261128"); err != nil { // the same result in every run
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// checker checks the five rules from the outside: it sees only events and
// actions and shares no code with the package. Rule 1: each request gets one
// answer in time. 2: its attempts respect its class's effect. 3: no attempt goes
// to a draining or removed backend. 4: none overloads a cold one. 5: customers
// keep to their ceilings.
type checker struct {
	cfg        choice.Config
	now        time.Duration
	backends   map[uint32]backendState
	requests   map[uint32]*requestState
	ceilings   map[uint64]*ceilingState
	violations []string
}

type backendState struct {
	choice.Backend
	barred   bool // must get no new attempts
	barredAt time.Duration
	sends    []time.Duration // sends since its last start
}

type requestState struct {
	choice.Request
	gateway  int
	deadline time.Duration
	attempts []attemptState
	done     bool
}

type attemptState struct {
	target             choice.Backend
	sentAt             time.Duration
	inFlight, neverRan bool
}

type ceilingState struct {
	level   float64
	levelAt time.Duration
}

func newChecker(cfg choice.Config) *checker {
	return &checker{cfg: cfg, backends: map[uint32]backendState{}, requests: map[uint32]*requestState{},
		ceilings: map[uint64]*ceilingState{}}
}

func (k *checker) violation(rule int, format string, args ...any) {
	k.violations = append(k.violations, fmt.Sprintf("rule %d at %v: ", rule, k.now)+fmt.Sprintf(format, args...))
}

func (k *checker) request(gateway int, r choice.Request) {
	k.requests[r.ID] = &requestState{Request: r, gateway: gateway, deadline: k.now + r.TimeLeft}
}

func (k *checker) members(kind choice.ListKind, list []choice.Backend) {
	if kind != choice.Delta && kind != choice.Failed {
		for id, b := range k.backends {
			if !b.barred {
				b.barred, b.barredAt = true, k.now
			}
			k.backends[id] = b
		}
	}
	for _, m := range list {
		b, had := k.backends[m.ID]
		if had && b.Started != m.Started {
			b.sends = nil
		}
		was := b.barred
		b.Backend, b.barred = m, m.State != choice.Ready
		if b.barred && (!was || !had) {
			b.barredAt = k.now
		}
		k.backends[m.ID] = b
	}
}

func (k *checker) send(id, backend uint32) {
	r, b := k.requests[id], k.backends[backend]
	if r == nil || r.done {
		k.violation(1, "send for request %d that is done", id)
		return
	}
	if b.barred && k.now > b.barredAt+k.cfg.DrainGrace {
		k.violation(3, "send of request %d to backend %d, which is draining or removed", id, backend)
	}
	cl := k.cfg.Classes[r.Class]
	var first *attemptState // the first attempt that may have run
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.inFlight && !k.cfg.Hedging {
			k.violation(2, "request %d has two attempts in flight", id)
		}
		if !a.neverRan && first == nil {
			first = a
		}
	}
	if first != nil {
		switch cl.Effect {
		case choice.AtMostOnce:
			k.violation(2, "request %d may have run and is sent again", id)
		case choice.Deduplicated:
			inside := cl.Group == choice.GroupAll || cl.Group == choice.GroupZone && first.target.Zone == b.Zone && b.Zone >= 0 ||
				cl.Group == choice.GroupCell && first.target.Cell == b.Cell
			if !inside || k.now-first.sentAt > cl.Window {
				k.violation(2, "request %d is sent again outside its group or window", id)
			}
		}
	}
	if len(r.attempts) == 0 {
		k.drawCeiling(r)
	}
	if age := k.now - b.Started; b.StartKnown && age < k.cfg.WarmUpTime {
		k.checkCold(b, age)
		b.sends = append(b.sends, k.now)
		k.backends[backend] = b
	}
	r.attempts = append(r.attempts, attemptState{target: b.Backend, sentAt: k.now, inFlight: true})
}

// drawCeiling takes the units of a first attempt from the ceiling's token bucket, of which there is one.
func (k *checker) drawCeiling(r *requestState) {
	p := k.cfg.Plans[r.Plan]
	if p.CeilingRate == 0 {
		return
	}
	c := k.ceilings[r.Customer]
	if c == nil {
		c = &ceilingState{level: p.CeilingBurst, levelAt: k.now}
		k.ceilings[r.Customer] = c
	}
	c.level = min(p.CeilingBurst, c.level+(k.now-c.levelAt).Seconds()*p.CeilingRate) - r.Units
	c.levelAt = k.now
	if c.level < -p.CeilingTolerance-1e-6 {
		k.violation(5, "the ceiling's token bucket of customer %d is at %.2f", r.Customer, c.level)
	}
}

// fullCapacity is the capacity of a warm backend in these tests, requests per second.
const fullCapacity = 40

func (k *checker) checkCold(b backendState, age time.Duration) {
	n := 1
	for _, at := range b.sends {
		if at > k.now-k.cfg.CrashAfter {
			n++
		}
	}
	share := k.cfg.ColdCapacity + (1-k.cfg.ColdCapacity)*age.Seconds()/k.cfg.WarmUpTime.Seconds()
	if maxSends := k.cfg.CrashMultiple*share*fullCapacity*k.cfg.CrashAfter.Seconds() + 8; float64(n) > maxSends {
		k.violation(4, "cold backend %d got %d attempts in %v, more than %.0f", b.ID, n, k.cfg.CrashAfter, maxSends)
	}
}

func (k *checker) outcome(id uint32, attempt int, status choice.Status, answered bool) {
	r := k.requests[id]
	a := &r.attempts[attempt]
	a.inFlight = false
	a.neverRan = status == choice.Refused || status == choice.ConnectFailed || status == choice.Unsent
	r.done = r.done || answered
}

func (k *checker) refuse(id uint32) {
	r := k.requests[id]
	if r == nil {
		return
	}
	for _, a := range r.attempts {
		cl := k.cfg.Classes[r.Class]
		if !a.neverRan && (cl.Effect == choice.AtMostOnce || cl.Effect == choice.Deduplicated && cl.Group != choice.GroupAll) {
			k.violation(2, "request %d may have run and is refused", id)
		}
	}
	r.done = true
}

// advance sets the time and reports requests whose answer is overdue.
func (k *checker) advance(now time.Duration, slack time.Duration) {
	k.now = now
	for id, r := range k.requests {
		if !r.done && now > r.deadline+slack {
			k.violation(1, "request %d got no answer in time", id)
			r.done = true
		}
	}
}

// The checker must report a deliberate violation of each rule.
func TestCheckerCatchesEachRule(t *testing.T) {
	cfg := testDeployment(0)
	ready := choice.Backend{ID: 1, Zone: 0, Cell: 0}
	other := choice.Backend{ID: 2, Zone: 1, Cell: 1}
	cases := []struct {
		name string
		rule string
		act  func(k *checker)
	}{
		{"no answer", "rule 1", func(k *checker) { k.advance(10*time.Second, 8*time.Millisecond) }},
		{"sent after the answer", "rule 1", func(k *checker) { k.refuse(1); k.send(1, 1) }},
		{"at most once, sent again", "rule 2", func(k *checker) { k.send(2, 1); k.outcome(2, 0, choice.Error, false); k.send(2, 2) }},
		{"at most once, refused", "rule 2", func(k *checker) { k.send(2, 1); k.outcome(2, 0, choice.Timeout, false); k.refuse(2) }},
		{"two in flight", "rule 2", func(k *checker) { k.cfg.Hedging = false; k.send(1, 1); k.send(1, 2) }},
		{"outside the group", "rule 2", func(k *checker) { k.send(3, 1); k.outcome(3, 0, choice.Reset, false); k.send(3, 2) }},
		{"draining", "rule 3", func(k *checker) {
			k.members(choice.Delta, []choice.Backend{{ID: 1, State: choice.Draining}})
			k.now += time.Second
			k.send(1, 1)
		}},
		{"missing in a full list", "rule 3", func(k *checker) {
			k.members(choice.Full, []choice.Backend{other})
			k.now += time.Second
			k.send(1, 1)
		}},
		{"cold", "rule 4", func(k *checker) {
			k.members(choice.Delta, []choice.Backend{{ID: 1, StartKnown: true, Started: k.now}})
			for i := range uint32(200) {
				k.request(0, choice.Request{ID: 100 + i, TimeLeft: time.Second})
				k.send(100+i, 1)
			}
		}},
		{"ceiling", "rule 5", func(k *checker) {
			for i := range uint32(40) {
				k.request(0, choice.Request{ID: 100 + i, Plan: 1, Customer: 7, Units: 1, TimeLeft: time.Second})
				k.send(100+i, 1)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			k := newChecker(cfg)
			k.now = time.Second
			k.members(choice.Cached, []choice.Backend{ready, other})
			for id := range uint32(3) {
				k.request(0, choice.Request{ID: id + 1, Class: int(id), TimeLeft: time.Second, Units: 1})
			}
			c.act(k)
			if len(k.violations) == 0 || k.violations[0][:6] != c.rule {
				t.Fatalf("checker reported %q, want a violation of %s", k.violations, c.rule)
			}
		})
	}
}

// testDeployment returns one of five deployments.
func testDeployment(kind int) choice.Config {
	cfg := choice.Config{
		Gateways: 3, Tick: 2 * time.Millisecond, MeterPeriod: 500 * time.Millisecond, MaxUnits: 2,
		Classes: []choice.Class{
			{Aim: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 1, Effect: choice.Idempotent},
			{Aim: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 4, Effect: choice.AtMostOnce},
			{Aim: 300 * time.Millisecond, Deadline: time.Second, Worth: 2, Effect: choice.Deduplicated,
				Group: choice.Group((kind + 1) % 3), Window: 700 * time.Millisecond},
		},
		Plans: []choice.Plan{
			{Rate: 5, Burst: 10, Price: 1, OverCost: 1},
			{Rate: 8, Burst: 12, Price: 2, OverCost: 1, CeilingRate: 14, CeilingBurst: 20, CeilingTolerance: 2},
			{Open: 3, Price: 1, OverCost: 1},
			{Rate: 10, Burst: 20, Open: 5, Price: 1, OverCost: 1},
		},
		MaxAttempts: 4, Hedging: kind%2 == 1, Cancelling: kind != 2, Probing: kind == 3,
		ReportFields: []string{"inflight"}, RetryAfter: true, MaxRetryAfter: time.Second, WeightsTrusted: true,
		ColdCapacity: 0.2, WarmUpTime: 10 * time.Second, CrashMultiple: 3, CrashAfter: 2 * time.Second, DrainGrace: 500 * time.Millisecond,
	}
	switch kind {
	case 3:
		cfg.Gateways = 1
	case 4:
		cfg.Gateways = 50
	}
	return cfg
}

// simulation sends gateways random but valid events, and reports them to the checker.
type simulation struct {
	t        *rapid.T
	rules    *checker
	cfg      choice.Config
	gateways []*choice.Gateway
	inst     []int // gateway of a request id, by order
	inFlight []pendingAttempt
	nextID   uint32
	backends []choice.Backend
}

type pendingAttempt struct {
	gatewayIndex int
	id           uint32
	attempt      int
	backend      uint32
	sentAt       time.Duration
	deadline     time.Duration
}

type simulationActions struct {
	run     *simulation
	gateway int
}

func (p simulationActions) Send(id, backend uint32, timeout time.Duration) {
	w := p.run
	w.rules.send(id, backend)
	r := w.rules.requests[id]
	deadline := r.deadline
	if timeout > 0 {
		deadline = min(deadline, w.rules.now+timeout)
	}
	w.inFlight = append(w.inFlight, pendingAttempt{p.gateway, id, len(r.attempts) - 1, backend, w.rules.now, deadline})
}
func (p simulationActions) Refuse(id uint32, _ time.Duration) { p.run.rules.refuse(id) }
func (p simulationActions) Fail(id uint32) {
	if r := p.run.rules.requests[id]; r != nil {
		r.done = true
	}
}
func (p simulationActions) Cancel(uint32, int)             {}
func (p simulationActions) Probe(uint32)                   {}
func (p simulationActions) SetTimer(time.Duration, uint64) {}

func (w *simulation) start(index int) {
	cfg := w.cfg
	cfg.Self = index
	gateway, err := choice.New(cfg, uint64(index)+99, w.rules.now, simulationActions{w, index})
	if err != nil {
		w.t.Fatal(err)
	}
	w.gateways[index] = gateway
	gateway.Members(w.rules.now, choice.Cached, w.backends)
}

// end reports the outcome of an attempt in flight.
func (w *simulation) end(i int, status choice.Status) {
	p := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	r := w.rules.requests[p.id]
	answered := r.done || status == choice.OK
	w.rules.outcome(p.id, p.attempt, status, answered)
	w.gateways[p.gatewayIndex].Outcome(w.rules.now, choice.Outcome{
		ID: p.id, Attempt: p.attempt, Backend: p.backend, Status: status, Elapsed: w.rules.now - p.sentAt, Done: answered,
		Metered: status == choice.OK, Used: float64(rapid.IntRange(0, 300).Draw(w.t, "used")) / 100,
	})
}

func (w *simulation) step() {
	t := w.t
	wait := rapid.IntRange(0, 60).Draw(t, "wait")
	if rapid.IntRange(0, 39).Draw(t, "stall") == 0 {
		wait = rapid.IntRange(300, 1400).Draw(t, "standstill") // a pause of the process: all that is overdue is handled at once after it
	}
	w.rules.now += time.Duration(wait) * time.Millisecond
	for i := len(w.inFlight) - 1; i >= 0; i-- {
		if i < len(w.inFlight) && w.inFlight[i].deadline <= w.rules.now {
			w.end(i, choice.Timeout)
		}
	}
	w.rules.advance(w.rules.now, 80*time.Millisecond)
	index := rapid.IntRange(0, len(w.gateways)-1).Draw(t, "gate")
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0, 1, 2, 3:
		for range rapid.IntRange(1, 6).Draw(t, "burst") {
			w.nextID++
			r := choice.Request{
				ID: w.nextID, Class: rapid.IntRange(0, 2).Draw(t, "class"), Plan: rapid.IntRange(0, 3).Draw(t, "plan"),
				TimeLeft: time.Duration(rapid.IntRange(100, 1500).Draw(t, "left")) * time.Millisecond,
				Units:    float64(rapid.IntRange(1, 2).Draw(t, "units")), Spread: len(w.gateways),
			}
			if r.Plan == 1 && r.Spread > 10 { // so that each gateway's share of the ceiling is two units
				if r.Spread = 10; index >= r.Spread {
					r.Plan, r.Spread = 0, len(w.gateways)
				}
			}
			r.Customer = uint64(r.Plan*10 + rapid.IntRange(0, 1).Draw(t, "customer"))
			w.rules.request(index, r)
			w.gateways[index].Request(w.rules.now, r)
		}
	case 4, 5, 6:
		if len(w.inFlight) > 0 {
			status := choice.Status(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 4, 5}).Draw(t, "status"))
			w.end(rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "which"), status)
		}
	case 7:
		b := &w.backends[rapid.IntRange(0, len(w.backends)-1).Draw(t, "backend")]
		b.State = choice.State(rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "state"))
		if b.State == choice.Ready && rapid.Bool().Draw(t, "restarts") {
			b.Started, b.StartKnown = w.rules.now, true
		}
		w.rules.members(choice.Delta, []choice.Backend{*b})
		for _, gate := range w.gateways {
			gate.Members(w.rules.now, choice.Delta, []choice.Backend{*b})
		}
	case 8:
		if rapid.IntRange(0, 5).Draw(t, "crash") == 0 {
			// The gateway crashes: its requests are left to the clients' retries.
			kept := w.inFlight[:0]
			for _, p := range w.inFlight {
				if p.gatewayIndex != index {
					kept = append(kept, p)
				}
			}
			w.inFlight = kept
			for _, r := range w.rules.requests {
				if r.gateway == index {
					r.done = true
				}
			}
			w.start(index)
		}
	case 9:
		if len(w.inFlight) > 0 {
			p := w.inFlight[rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "gone")]
			w.rules.requests[p.id].done = true
			w.gateways[p.gatewayIndex].Disconnected(w.rules.now, p.id)
		} else {
			w.gateways[index].Timer(w.rules.now, uint64(w.nextID)<<8|1)
		}
	}
	for _, p := range append([]pendingAttempt(nil), w.inFlight...) {
		if w.rules.now-p.sentAt > 100*time.Millisecond {
			w.gateways[p.gatewayIndex].Timer(w.rules.now, uint64(p.id)<<8|uint64(len(w.rules.requests[p.id].attempts)))
		}
	}
}

// The five rules must hold for any sequence of events, in each deployment.
func TestRandomEventsKeepTheFiveRules(t *testing.T) {
	for kind := range 5 {
		t.Run(fmt.Sprint("deployment ", kind), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				cfg := testDeployment(kind)
				w := &simulation{t: t, rules: newChecker(cfg), cfg: cfg, gateways: make([]*choice.Gateway, cfg.Gateways)}
				w.rules.now = 20 * time.Second
				for i := range uint32(6) {
					w.backends = append(w.backends, choice.Backend{ID: 10 + i, Zone: int(i % 3), Cell: int(i % 2), Weight: 2})
				}
				w.rules.members(choice.Cached, w.backends)
				for g := range w.gateways {
					w.start(g)
				}
				for range rapid.IntRange(20, 200).Draw(t, "steps") {
					w.step()
					if len(w.rules.violations) > 0 {
						t.Fatal(w.rules.violations)
					}
				}
			})
		})
	}
}

// Each of 400 gateways has nothing in flight at a backend that has just started: together they must not send it
// more than it can handle.
func TestManyGatewaysDoNotOverloadAColdBackend(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 400
	list := backends(20)
	list[7].StartKnown, list[7].Started = true, 0
	k := newChecker(cfg)
	k.members(choice.Cached, list)
	for self := range cfg.Gateways {
		cfg.Self = self
		rec := newRecorder()
		g, err := choice.New(cfg, 7, 0, rec)
		if err != nil {
			t.Fatal(err)
		}
		g.Members(0, choice.Cached, list)
		for i := range uint32(8) { // twice the fleet's capacity in CrashAfter
			id := uint32(self)*8 + i + 1
			r := choice.Request{ID: id, Customer: uint64(id), Spread: 1, Units: 1, TimeLeft: time.Second}
			k.request(self, r)
			if ask(g, rec, 0, r, -1) {
				k.send(id, rec.sent[id][0])
			}
		}
	}
	if len(k.violations) > 0 {
		t.Errorf("%d violations, the first is %s", len(k.violations), k.violations[0])
	}
}
