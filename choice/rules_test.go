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
		if err := flag.Set("rapid.seed", "20261128"); err != nil { // the same verdict at every run
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// checker holds the five rules as an outsider sees them: it watches events and
// actions and shares no code with the module.
type checker struct {
	cfg      choice.Config
	now      time.Duration
	backends map[uint32]seenBackend
	reqs     map[uint32]*seenRequest
	ceilings map[uint64]*seenCeiling
	broken   []string
}

type seenBackend struct {
	choice.Backend
	barred bool
	told   time.Duration
	work   []time.Duration // sends since its last start
}

type seenRequest struct {
	choice.Request
	gateway int
	due     time.Duration
	sent    []seenAttempt
	ended   bool
}

type seenAttempt struct {
	to        choice.Backend
	at        time.Duration
	out, safe bool
}

type seenCeiling struct {
	level float64
	at    time.Duration
}

func newChecker(cfg choice.Config) *checker {
	return &checker{cfg: cfg, backends: map[uint32]seenBackend{}, reqs: map[uint32]*seenRequest{}, ceilings: map[uint64]*seenCeiling{}}
}

func (k *checker) breach(rule int, format string, args ...any) {
	k.broken = append(k.broken, fmt.Sprintf("rule %d at %v: ", rule, k.now)+fmt.Sprintf(format, args...))
}

func (k *checker) request(gateway int, r choice.Request) {
	k.reqs[r.ID] = &seenRequest{Request: r, gateway: gateway, due: k.now + r.TimeLeft}
}

func (k *checker) members(kind choice.ListKind, list []choice.Backend) {
	if kind != choice.Delta && kind != choice.Failed {
		for id, b := range k.backends {
			if !b.barred {
				b.barred, b.told = true, k.now
			}
			k.backends[id] = b
		}
	}
	for _, m := range list {
		b, had := k.backends[m.ID]
		if had && b.Started != m.Started {
			b.work = nil
		}
		was := b.barred
		b.Backend, b.barred = m, m.State != choice.Ready
		if b.barred && (!was || !had) {
			b.told = k.now
		}
		k.backends[m.ID] = b
	}
}

func (k *checker) send(id, backend uint32) {
	r, b := k.reqs[id], k.backends[backend]
	if r == nil || r.ended {
		k.breach(1, "send for request %d that is over", id)
		return
	}
	if b.barred && k.now > b.told+k.cfg.DrainGrace {
		k.breach(3, "send of request %d to backend %d, draining or gone", id, backend)
	}
	cl := k.cfg.Classes[r.Class]
	var first *seenAttempt // the first attempt that may have run
	for i := range r.sent {
		a := &r.sent[i]
		if a.out && !k.cfg.Hedging {
			k.breach(2, "request %d has two attempts out", id)
		}
		if !a.safe && first == nil {
			first = a
		}
	}
	if first != nil {
		switch cl.Effect {
		case choice.AtMostOnce:
			k.breach(2, "request %d may have run and is sent again", id)
		case choice.Deduplicated:
			inside := cl.Group == choice.GroupAll || cl.Group == choice.GroupZone && first.to.Zone == b.Zone && b.Zone >= 0 ||
				cl.Group == choice.GroupCell && first.to.Cell == b.Cell
			if !inside || k.now-first.at > cl.Window {
				k.breach(2, "request %d is sent again outside its group or window", id)
			}
		}
	}
	if len(r.sent) == 0 {
		k.draw(r)
	}
	if age := k.now - b.Started; b.StartKnown && age < k.cfg.WarmUpTime {
		k.cold(b, age)
		b.work = append(b.work, k.now)
		k.backends[backend] = b
	}
	r.sent = append(r.sent, seenAttempt{to: b.Backend, at: k.now, out: true})
}

// draw takes a first attempt's units from the ceiling's one store.
func (k *checker) draw(r *seenRequest) {
	p := k.cfg.Plans[r.Plan]
	if p.CeilingRate == 0 {
		return
	}
	c := k.ceilings[r.Customer]
	if c == nil {
		c = &seenCeiling{level: p.CeilingBurst, at: k.now}
		k.ceilings[r.Customer] = c
	}
	c.level = min(p.CeilingBurst, c.level+(k.now-c.at).Seconds()*p.CeilingRate) - r.Units
	c.at = k.now
	if c.level < -p.CeilingTolerance-1e-6 {
		k.breach(5, "customer %d stands at %.2f of its ceiling", r.Customer, c.level)
	}
}

// coldCapacity is what a warm backend of these tests can do, requests a second.
const coldCapacity = 40

func (k *checker) cold(b seenBackend, age time.Duration) {
	n := 1
	for _, at := range b.work {
		if at > k.now-k.cfg.CrashAfter {
			n++
		}
	}
	share := k.cfg.ColdCapacity + (1-k.cfg.ColdCapacity)*age.Seconds()/k.cfg.WarmUpTime.Seconds()
	if most := k.cfg.CrashMultiple*share*coldCapacity*k.cfg.CrashAfter.Seconds() + 8; float64(n) > most {
		k.breach(4, "cold backend %d was sent %d in %v, more than %.0f", b.ID, n, k.cfg.CrashAfter, most)
	}
}

func (k *checker) outcome(id uint32, attempt int, st choice.Status, over bool) {
	r := k.reqs[id]
	a := &r.sent[attempt]
	a.out = false
	a.safe = st == choice.Refused || st == choice.ConnectFailed || st == choice.Unsent
	r.ended = r.ended || over
}

func (k *checker) refuse(id uint32) {
	r := k.reqs[id]
	if r == nil {
		return
	}
	for _, a := range r.sent {
		cl := k.cfg.Classes[r.Class]
		if !a.safe && (cl.Effect == choice.AtMostOnce || cl.Effect == choice.Deduplicated && cl.Group != choice.GroupAll) {
			k.breach(2, "request %d may have run and is refused", id)
		}
	}
	r.ended = true
}

// time ends what is overdue.
func (k *checker) time(now time.Duration, slack time.Duration) {
	k.now = now
	for id, r := range k.reqs {
		if !r.ended && now > r.due+slack {
			k.breach(1, "request %d has no answer", id)
			r.ended = true
		}
	}
}

// Each rule is broken by hand; the checker must say so.
func TestCheckerCatchesEachRule(t *testing.T) {
	cfg := settings(0)
	ready := choice.Backend{ID: 1, Zone: 0, Cell: 0}
	other := choice.Backend{ID: 2, Zone: 1, Cell: 1}
	cases := []struct {
		name string
		rule string
		act  func(k *checker)
	}{
		{"lost", "rule 1", func(k *checker) { k.time(10*time.Second, 8*time.Millisecond) }},
		{"sent after the end", "rule 1", func(k *checker) { k.refuse(1); k.send(1, 1) }},
		{"single shot again", "rule 2", func(k *checker) { k.send(2, 1); k.outcome(2, 0, choice.Error, false); k.send(2, 2) }},
		{"single shot refused", "rule 2", func(k *checker) { k.send(2, 1); k.outcome(2, 0, choice.Timeout, false); k.refuse(2) }},
		{"two out", "rule 2", func(k *checker) { k.cfg.Hedging = false; k.send(1, 1); k.send(1, 2) }},
		{"outside the group", "rule 2", func(k *checker) { k.send(3, 1); k.outcome(3, 0, choice.Reset, false); k.send(3, 2) }},
		{"draining", "rule 3", func(k *checker) {
			k.members(choice.Delta, []choice.Backend{{ID: 1, State: choice.Draining}})
			k.now += time.Second
			k.send(1, 1)
		}},
		{"left out of a full list", "rule 3", func(k *checker) {
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
			if len(k.broken) == 0 || k.broken[0][:6] != c.rule {
				t.Fatalf("checker said %q, want a breach of %s", k.broken, c.rule)
			}
		})
	}
}

// settings gives one of several deployments of the tests' own.
func settings(kind int) choice.Config {
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

// world drives gateways with random but legal events and keeps the checker informed.
type world struct {
	t      *rapid.T
	k      *checker
	cfg    choice.Config
	gates  []*choice.Gateway
	inst   []int // gateway of a request id, by order
	out    []pending
	nextID uint32
	list   []choice.Backend
}

type pending struct {
	gate    int
	id      uint32
	attempt int
	backend uint32
	sent    time.Duration
	due     time.Duration
}

type port struct {
	w    *world
	gate int
}

func (p port) Send(id, backend uint32, timeout time.Duration) {
	w := p.w
	w.k.send(id, backend)
	r := w.k.reqs[id]
	due := r.due
	if timeout > 0 {
		due = min(due, w.k.now+timeout)
	}
	w.out = append(w.out, pending{p.gate, id, len(r.sent) - 1, backend, w.k.now, due})
}
func (p port) Refuse(id uint32, _ time.Duration) { p.w.k.refuse(id) }
func (p port) Fail(id uint32) {
	if r := p.w.k.reqs[id]; r != nil {
		r.ended = true
	}
}
func (p port) Cancel(uint32, int)             {}
func (p port) Probe(uint32)                   {}
func (p port) SetTimer(time.Duration, uint64) {}

func (w *world) start(g int) {
	cfg := w.cfg
	cfg.Self = g
	gate, err := choice.New(cfg, uint64(g)+99, w.k.now, port{w, g})
	if err != nil {
		w.t.Fatal(err)
	}
	w.gates[g] = gate
	gate.Members(w.k.now, choice.Cached, w.list)
}

// end gives one pending attempt its outcome.
func (w *world) end(i int, st choice.Status) {
	p := w.out[i]
	w.out = append(w.out[:i], w.out[i+1:]...)
	r := w.k.reqs[p.id]
	over := r.ended || st == choice.OK
	w.k.outcome(p.id, p.attempt, st, over)
	w.gates[p.gate].Outcome(w.k.now, choice.Outcome{
		ID: p.id, Attempt: p.attempt, Backend: p.backend, Status: st, Elapsed: w.k.now - p.sent, Done: over,
		Metered: st == choice.OK, Used: float64(rapid.IntRange(0, 300).Draw(w.t, "used")) / 100,
	})
}

func (w *world) step() {
	t := w.t
	wait := rapid.IntRange(0, 60).Draw(t, "wait")
	if rapid.IntRange(0, 39).Draw(t, "stall") == 0 {
		wait = rapid.IntRange(300, 1400).Draw(t, "standstill") // all that is due is found at once after it
	}
	w.k.now += time.Duration(wait) * time.Millisecond
	for i := len(w.out) - 1; i >= 0; i-- {
		if i < len(w.out) && w.out[i].due <= w.k.now {
			w.end(i, choice.Timeout)
		}
	}
	w.k.time(w.k.now, 80*time.Millisecond)
	g := rapid.IntRange(0, len(w.gates)-1).Draw(t, "gate")
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0, 1, 2, 3:
		for range rapid.IntRange(1, 6).Draw(t, "burst") {
			w.nextID++
			r := choice.Request{
				ID: w.nextID, Class: rapid.IntRange(0, 2).Draw(t, "class"), Plan: rapid.IntRange(0, 3).Draw(t, "plan"),
				TimeLeft: time.Duration(rapid.IntRange(100, 1500).Draw(t, "left")) * time.Millisecond,
				Units:    float64(rapid.IntRange(1, 2).Draw(t, "units")), Spread: len(w.gates),
			}
			if r.Plan == 1 && r.Spread > 10 { // under a ceiling a spread leaves two requests for each of its gateways
				if r.Spread = 10; g >= r.Spread {
					r.Plan, r.Spread = 0, len(w.gates)
				}
			}
			r.Customer = uint64(r.Plan*10 + rapid.IntRange(0, 1).Draw(t, "customer"))
			w.k.request(g, r)
			w.gates[g].Request(w.k.now, r)
		}
	case 4, 5, 6:
		if len(w.out) > 0 {
			st := choice.Status(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 4, 5}).Draw(t, "status"))
			w.end(rapid.IntRange(0, len(w.out)-1).Draw(t, "which"), st)
		}
	case 7:
		b := &w.list[rapid.IntRange(0, len(w.list)-1).Draw(t, "backend")]
		b.State = choice.State(rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "state"))
		if b.State == choice.Ready && rapid.Bool().Draw(t, "restarts") {
			b.Started, b.StartKnown = w.k.now, true
		}
		w.k.members(choice.Delta, []choice.Backend{*b})
		for _, gate := range w.gates {
			gate.Members(w.k.now, choice.Delta, []choice.Backend{*b})
		}
	case 8:
		if rapid.IntRange(0, 5).Draw(t, "crash") == 0 {
			// The gateway dies: what it held is the clients' to try again.
			kept := w.out[:0]
			for _, p := range w.out {
				if p.gate != g {
					kept = append(kept, p)
				}
			}
			w.out = kept
			for _, r := range w.k.reqs {
				if r.gateway == g {
					r.ended = true
				}
			}
			w.start(g)
		}
	case 9:
		if len(w.out) > 0 {
			p := w.out[rapid.IntRange(0, len(w.out)-1).Draw(t, "gone")]
			w.k.reqs[p.id].ended = true
			w.gates[p.gate].Disconnected(w.k.now, p.id)
		} else {
			w.gates[g].Timer(w.k.now, uint64(w.nextID)<<8|1)
		}
	}
	for _, p := range append([]pending(nil), w.out...) {
		if w.k.now-p.sent > 100*time.Millisecond {
			w.gates[p.gate].Timer(w.k.now, uint64(p.id)<<8|uint64(len(w.k.reqs[p.id].sent)))
		}
	}
}

func TestRandomEventsKeepTheFiveRules(t *testing.T) {
	for kind := range 5 {
		t.Run(fmt.Sprint("settings ", kind), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				cfg := settings(kind)
				w := &world{t: t, k: newChecker(cfg), cfg: cfg, gates: make([]*choice.Gateway, cfg.Gateways)}
				w.k.now = 20 * time.Second
				for i := range uint32(6) {
					w.list = append(w.list, choice.Backend{ID: 10 + i, Zone: int(i % 3), Cell: int(i % 2), Weight: 2})
				}
				w.k.members(choice.Cached, w.list)
				for g := range w.gates {
					w.start(g)
				}
				for range rapid.IntRange(20, 200).Draw(t, "steps") {
					w.step()
					if len(w.k.broken) > 0 {
						t.Fatal(w.k.broken)
					}
				}
			})
		})
	}
}

// Four hundred gateways with nothing out at a backend that has just started: all together must keep to its budget.
func TestManyGatewaysKeepAColdBackendUp(t *testing.T) {
	cfg := plain()
	cfg.Gateways = 400
	list := backends(20)
	list[7].StartKnown, list[7].Started = true, 0
	k := newChecker(cfg)
	k.members(choice.Cached, list)
	for self := range cfg.Gateways {
		cfg.Self = self
		rec := record()
		g, err := choice.New(cfg, 7, 0, rec)
		if err != nil {
			t.Fatal(err)
		}
		g.Members(0, choice.Cached, list)
		for i := range uint32(8) { // twice what the fleet can do in the time of the budget
			id := uint32(self)*8 + i + 1
			r := choice.Request{ID: id, Customer: uint64(id), Spread: 1, Units: 1, TimeLeft: time.Second}
			k.request(self, r)
			if ask(g, rec, 0, r, -1) {
				k.send(id, rec.sent[id][0])
			}
		}
	}
	if len(k.broken) > 0 {
		t.Errorf("%d breaches, first %s", len(k.broken), k.broken[0])
	}
}
