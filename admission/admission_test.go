package admission

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func limits() Limits {
	return Limits{Places: 9, Spare: 2, Useful: 8, High: 5, Low: 3, Floor: 2,
		IdleMax: 2000 * ms, IdleMin: 50 * ms, SilentMax: 250 * ms, SilentMin: 50 * ms, Batch: 3, Pause: ms}
}

// plain is the model: what a controller knows, kept in a list that is searched.
type plain struct {
	limits   Limits
	places   []*Conn[int]
	trimming bool
	draining bool
}

func (m *plain) asked() (n int) {
	for _, p := range m.places {
		if p.asked && p.state != leaving {
			n++
		}
	}
	return n
}

func (m *plain) staying() (n int) {
	for _, p := range m.places {
		if p.state != leaving {
			n++
		}
	}
	return n
}

// check compares the controller's counts with the model's.
func (m *plain) check(t *rapid.T, d *Controller[int]) {
	f := d.Stats()
	if f.Open != len(m.places) || f.Requested != m.asked() || f.Open-f.Evicting != m.staying() {
		t.Fatalf("the controller counts %+v; there are %d, of them %d that asked and stay, %d that stay",
			f, len(m.places), m.asked(), m.staying())
	}
	if d.HasRoom() != (len(m.places) < m.limits.Places) {
		t.Fatalf("room is %v with %d of %d places taken", d.HasRoom(), len(m.places), m.limits.Places)
	}
}

// due checks each choice of Due against all that it could have chosen, and what
// it has left open afterwards.
func (m *plain) due(t *rapid.T, d *Controller[int], now time.Duration, waiting bool) (named []*Conn[int]) {
	at, any := d.NextDue(waiting)
	held := d.next > now
	spoke := 0
	var back []*Conn[int]
	d.SelectDue(now, waiting, func(p *Conn[int]) bool {
		asked := m.asked()
		if p.asked {
			asked++ // it is marked as leaving already
		}
		switch {
		case m.draining:
		case p.asked && asked <= m.limits.Floor:
			t.Fatalf("one that asked is closed with %d left, at a floor of %d", asked, m.limits.Floor)
		case p.asked && asked <= m.limits.Low && !waiting:
			t.Fatalf("trimmed to %d, below the low mark", asked-1)
		case p.asked && now-p.since < m.limits.IdleMin:
			t.Fatalf("closed after a rest of %v", now-p.since)
		case !p.asked && now-p.since < m.limits.SilentMin:
			t.Fatalf("closed after %v without a request", now-p.since)
		}
		for _, o := range m.places {
			if o.state == idle && p.asked && o.since < p.since {
				t.Fatalf("one that rests since %v is closed before one since %v", p.since, o.since)
			}
		}
		if rapid.IntRange(0, 5).Draw(t, "spoke") == 0 { // a request had come already
			spoke++
			back = append(back, p)
			return true
		}
		named = append(named, p)
		return false
	})
	for _, p := range back {
		if p.state != busy || p.asked && m.asked() == 0 {
			t.Fatalf("one that spoke as it was named is %v, not busy", p.state)
		}
	}
	if len(named)+spoke > m.limits.Batch {
		t.Fatalf("%d closed at once, %d at most", len(named), m.limits.Batch)
	}
	if len(named)+spoke > 0 && (!any || now < at) {
		t.Fatalf("closes at %v, though NextDue told %v, %v", now, at, any)
	}
	if len(named)+spoke == 0 && any && now >= at && !held {
		t.Fatalf("closes nothing at %v, though NextDue told %v", now, at)
	}
	if held && len(named)+spoke > 0 {
		t.Fatal("a batch comes before its pause is over")
	}
	if held || len(named)+spoke == m.limits.Batch {
		return named
	}
	if asked := m.asked(); asked > m.limits.High {
		m.trimming = true
	} else if asked <= m.limits.Low {
		m.trimming = false
	}
	leavingNow := len(m.places) - m.staying()
	for _, p := range m.places {
		age := now - p.since
		switch {
		case m.draining && p.state == idle, m.draining && p.state == silent && age >= m.limits.SilentMax:
			t.Fatal("one at rest stays through a drain")
		case waiting && leavingNow == 0 && p.state == idle && m.asked() > m.limits.Floor && age >= m.limits.IdleMin:
			t.Fatalf("a client waits while one that rests for %v keeps its place", age)
		case waiting && leavingNow == 0 && p.state == silent && m.staying() >= m.limits.Places && age >= m.limits.SilentMin:
			t.Fatalf("a client waits while one that is silent for %v keeps its place", age)
		case m.trimming && p.state == idle && age >= m.limits.IdleMax:
			t.Fatalf("one rests for %v, not yet down to the low mark", age)
		}
	}
	return named
}

// Out of descriptors with the floor's connections alone at rest: one that has
// asked must still make room, or nobody comes in any more.
func TestShrunkDoorStillMakesRoom(t *testing.T) {
	d, err := New[int](Defaults(563, 341))
	if err != nil {
		t.Fatal(err)
	}
	for range 45 {
		p := &Conn[int]{}
		d.Admit(p, 0)
		d.MarkBusy(p, true)
		d.MarkIdle(p, 0)
	}
	d.Shrink()
	if err := d.limits.Check(); err != nil {
		t.Error(err)
	}
	for now := time.Second; !d.HasRoom(); now += time.Second {
		before := d.Stats().Open
		d.SelectDue(now, true, func(p *Conn[int]) bool { d.Release(p); return false })
		if d.Stats().Open == before {
			t.Fatalf("no room with %d of %d at rest", before, d.limits.Places)
		}
	}
}

// Any sequence of events keeps the counts, the order, the floor and the limits.
func TestDoorKeepsItsMarks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &plain{limits: limits()}
		d, err := New[int](m.limits)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		one := func(t *rapid.T, what string, ok func(*Conn[int]) bool) *Conn[int] {
			var of []*Conn[int]
			for _, p := range m.places {
				if ok(p) {
					of = append(of, p)
				}
			}
			if len(of) == 0 {
				t.Skip("no " + what)
			}
			return rapid.SampledFrom(of).Draw(t, what)
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				if !d.HasRoom() {
					t.Skip("full")
				}
				p := &Conn[int]{}
				m.places = append(m.places, p)
				d.Admit(p, now)
			},
			"crowd": func(t *rapid.T) { // that has asked and rests
				for n := rapid.IntRange(1, 9).Draw(t, "clients"); n > 0 && d.HasRoom(); n-- {
					p := &Conn[int]{}
					m.places = append(m.places, p)
					d.Admit(p, now)
					d.MarkBusy(p, true)
					d.MarkIdle(p, now)
				}
			},
			"gone": func(*rapid.T) {
				for _, p := range m.places {
					if p.Evicting() {
						d.Release(p)
					}
				}
				m.places = slices.DeleteFunc(m.places, func(p *Conn[int]) bool { return p.state == absent })
			},
			"work": func(t *rapid.T) {
				p := one(t, "place", func(p *Conn[int]) bool { return true })
				d.MarkBusy(p, rapid.Bool().Draw(t, "asked"))
			},
			"rest": func(t *rapid.T) {
				d.MarkIdle(one(t, "busy place", func(p *Conn[int]) bool { return p.state == busy }), now)
			},
			"leave": func(t *rapid.T) {
				p := one(t, "place", func(p *Conn[int]) bool { return true })
				d.Release(p)
				d.Release(p) // told twice, it counts once
				m.places = slices.DeleteFunc(m.places, func(o *Conn[int]) bool { return o == p })
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.SampledFrom([]int{0, 1, 5, 60, 300, 2500}).Draw(t, "ms")) * ms
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 30).Draw(t, "whether") == 0 {
					d.Drain()
					m.draining = true
				}
			},
			"due": func(t *rapid.T) { m.due(t, d, now, !d.HasRoom() && rapid.Bool().Draw(t, "waiting")) },
			"":    func(t *rapid.T) { m.check(t, d) },
		})
	})
}

// world is a controller in virtual time, between a listener's queue and clients.
type world struct {
	t      *testing.T
	d      *Controller[int]
	rng    *rand.Rand
	now    time.Duration
	queue  []arrival // clients that wait to be taken
	open   []*conn
	closed int
	waits  []time.Duration // of usual clients, for a place
}

type arrival struct {
	at    time.Duration
	usual bool
}

type conn struct {
	Conn[int]
	usual bool
	until time.Duration // of its request, and then of its client's patience
}

// step is one millisecond. A usual client asks as soon as it is taken, for 5 to
// 100 ms, and holds its connection afterwards; others say nothing.
func (w *world) step(usual float64, others int, hold time.Duration) {
	w.now += ms
	for p := usual; p > 0; p-- {
		if w.rng.Float64() < p {
			w.queue = append(w.queue, arrival{w.now, true})
		}
	}
	for range others {
		w.queue = append(w.queue, arrival{w.now, false})
	}
	for _, c := range slices.Clone(w.open) {
		switch {
		case c.Evicting():
			w.leave(c)
		case c.state == busy && w.now >= c.until:
			w.d.MarkIdle(&c.Conn, w.now)
			c.until = w.now + hold
		case c.state == idle && w.now >= c.until:
			w.leave(c)
		}
	}
	for len(w.queue) > 0 && w.d.HasRoom() {
		a := w.queue[0]
		w.queue = w.queue[1:]
		c := &conn{usual: a.usual}
		w.open = append(w.open, c)
		w.d.Admit(&c.Conn, w.now)
		if a.usual {
			w.waits = append(w.waits, w.now-a.at)
			w.d.MarkBusy(&c.Conn, true)
			c.until = w.now + time.Duration(5+w.rng.IntN(95))*ms
		}
	}
	waiting := len(w.queue) > 0
	w.d.SelectDue(w.now, waiting, func(*Conn[int]) bool { w.closed++; return false })
	if !waiting || w.d.next > w.now || w.d.leaving > 0 {
		return
	}
	for _, c := range w.open {
		if c.state == idle && w.now-c.since > w.d.limits.IdleMin && w.d.asked > w.d.limits.Floor {
			w.t.Fatalf("at %v a client waits while one that rests since %v keeps its place", w.now, c.since)
		}
	}
}

func (w *world) leave(c *conn) {
	w.d.Release(&c.Conn)
	w.open = slices.DeleteFunc(w.open, func(o *conn) bool { return o == c })
}

func newWorld(t *testing.T, seed uint64, m Limits) *world {
	d, err := New[int](m)
	if err != nil {
		t.Fatal(err)
	}
	return &world{t: t, d: d, rng: rand.New(rand.NewPCG(seed, 1))}
}

func large() Limits {
	return Limits{Places: 211, Spare: 13, Useful: 128, High: 64, Low: 56, Floor: 32, IdleMax: 2000 * ms,
		IdleMin: 50 * ms, SilentMax: 250 * ms, SilentMin: 50 * ms, Batch: 64, Pause: ms}
}

// Clients open a connection for each request and hold it for 2 s. Held so long,
// 140 requests a second take 280 places of the 128 that they may have; nobody
// may find all of them taken, and nobody be closed below the low mark.
func TestHeldConnectionsLeavePlacesFree(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, seed, large())
		most := 0
		for range 10_000 {
			w.step(0.14, 0, 2*time.Second)
			most = max(most, w.d.Stats().Requested)
		}
		if most > 120 {
			t.Errorf("seed %d: %d places of 128 are taken", seed, most)
		}
		if slices.Max(w.waits) > 0 {
			t.Errorf("seed %d: a client waits for %v", seed, slices.Max(w.waits))
		}
	}
}

// While places suffice nobody is closed, for however long it rests.
func TestNobodyIsClosedWhilePlacesSuffice(t *testing.T) {
	w := newWorld(t, 1, large())
	for range 20_000 {
		w.step(0.015, 0, 3*time.Second)
	}
	if w.closed > 0 {
		t.Errorf("%d connections are closed with places to spare", w.closed)
	}
}

// A flood of connections that say nothing takes no place for long: usual
// clients wait for no more than the flood's turns before theirs.
func TestSilentFloodLeavesUsualClientsTheirPlaces(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(t, seed, large())
		for range 5000 {
			w.step(0.1, 1, time.Second) // a thousand a second that stay silent
		}
		if longest := slices.Max(w.waits); longest > 200*ms {
			t.Errorf("seed %d: a usual client waits for %v", seed, longest)
		}
	}
}

// All places are taken by connections at rest when a fleet reconnects.
func TestReconnectingFleetFindsPlaces(t *testing.T) {
	w := newWorld(t, 1, large())
	for range 400 {
		w.step(1, 0, time.Hour)
	}
	for range 100 {
		w.queue = append(w.queue, arrival{w.now, true})
	}
	for range 500 {
		w.step(0, 0, time.Hour)
	}
	if len(w.queue) > 0 {
		t.Errorf("%d clients wait still", len(w.queue))
	}
}

func TestMassCloseGoesInPacedBatches(t *testing.T) {
	m := limits()
	m.Places, m.Spare, m.Batch = 50_000, 0, 64
	d, err := New[int](m)
	if err != nil {
		t.Fatal(err)
	}
	for range 50_000 {
		d.Admit(&Conn[int]{}, 0)
	}
	d.Drain()
	total, now := 0, m.SilentMax
	for batches := 0; ; batches++ {
		at, any := d.NextDue(false)
		if !any {
			break
		}
		if batches > 0 && at != now+m.Pause {
			t.Fatalf("a batch at %v, %v after the one before", at, at-now)
		}
		now = at
		n := 0
		d.SelectDue(now, false, func(p *Conn[int]) bool { n++; d.Release(p); return false })
		if n > m.Batch {
			t.Fatalf("%d at once", n)
		}
		total += n
	}
	if total != 50_000 || now > m.SilentMax+time.Second {
		t.Errorf("%d closed in %v", total, now)
	}
}

// However short places are, the floor's connections stay.
func TestFloorIsKeptWhenAllElseIsBusy(t *testing.T) {
	m := limits()
	d, err := New[int](m)
	if err != nil {
		t.Fatal(err)
	}
	places := make([]Conn[int], m.Places)
	for i := range places {
		d.Admit(&places[i], 0)
		d.MarkBusy(&places[i], i < m.Floor+1)
	}
	for i := range m.Floor + 1 {
		d.MarkIdle(&places[i], 0)
	}
	for step := range 3 {
		var named []*Conn[int]
		d.SelectDue(time.Hour+time.Duration(step)*time.Second, true, func(p *Conn[int]) bool { named = append(named, p); return false })
		if step == 0 && (len(named) != 1 || named[0] != &places[0]) {
			t.Fatalf("%d are closed, want the longest unused", len(named))
		}
		if step > 0 && len(named) > 0 {
			t.Fatal("one of the floor is closed")
		}
		for _, p := range named {
			d.Release(p)
			d.Admit(p, time.Hour)
			d.MarkBusy(p, false)
		}
	}
}

// The process got fewer descriptors than it was told of.
func TestShrinkKeepsToWhatThereIs(t *testing.T) {
	d, err := New[int](limits())
	if err != nil {
		t.Fatal(err)
	}
	first := &Conn[int]{}
	d.Admit(first, 0)
	for range 4 {
		d.Admit(&Conn[int]{}, 0)
	}
	d.Shrink()
	d.Shrink() // told again before any has gone: it counts once
	if d.HasRoom() || d.limits.Places != 4 {
		t.Errorf("room %v, %d places with 5 open and no descriptor left", d.HasRoom(), d.limits.Places)
	}
	d.Release(first)
	if d.HasRoom() {
		t.Error("the descriptor left to all else is taken")
	}
	d.SelectDue(time.Second, true, func(p *Conn[int]) bool { d.Release(p); return false })
	if !d.HasRoom() {
		t.Error("none is closed to keep to the places that there are")
	}
	for more := true; more; {
		before := d.Stats().Places
		more = d.Grow()
		if after := d.Stats().Places; after <= before || after > limits().Places {
			t.Fatalf("%d places grow to %d", before, after)
		}
	}
	if d.limits != limits() {
		t.Errorf("grown back to %+v", d.limits)
	}
	if err := d.limits.Check(); err != nil {
		t.Error(err)
	}
}

func TestMarksAreChecked(t *testing.T) {
	for field, change := range map[string]func(*Limits){
		"places": func(m *Limits) { m.Places = 0 }, "spare": func(m *Limits) { m.Spare = 9 },
		"floor": func(m *Limits) { m.Floor = 4 }, "low": func(m *Limits) { m.Low = 6 },
		"useful": func(m *Limits) { m.Useful = 10 }, "rest": func(m *Limits) { m.IdleMin = 0 },
		"silent": func(m *Limits) { m.SilentMax = 1 }, "batch": func(m *Limits) { m.Batch = 0 },
	} {
		m := limits()
		change(&m)
		if _, err := New[int](m); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

func BenchmarkDoorAtRest(b *testing.B) {
	m := limits()
	m.Places, m.Useful, m.High, m.Low, m.Floor = 1<<20, 1<<20, 1<<19, 1<<19, 0
	d, _ := New[int](m)
	places := make([]Conn[int], 200_000)
	for i := range places {
		d.Admit(&places[i], 0)
		d.MarkBusy(&places[i], true)
		d.MarkIdle(&places[i], 0)
	}
	for i := 0; b.Loop(); i++ {
		p := &places[i%len(places)]
		d.MarkBusy(p, true)
		d.MarkIdle(p, time.Duration(i))
		d.SelectDue(time.Duration(i), false, func(*Conn[int]) bool { return false })
	}
}

// A shortage that lasted for a moment does not keep clients waiting for minutes;
// one that comes again is met with small steps.
func TestPlacesComeBackSoonAfterAShortage(t *testing.T) {
	d, err := New[int](Defaults(500, 300))
	if err != nil {
		t.Fatal(err)
	}
	short := func() {
		t.Helper()
		var open []*Conn[int]
		for len(open) < 20 {
			p := &Conn[int]{}
			d.Admit(p, 0)
			open = append(open, p)
		}
		d.limits.Places = 19 // as a shrink before it left them
		d.Shrink()
		for _, p := range open {
			d.Release(p)
		}
	}
	for range 2 {
		short()
		if before := d.limits.Places; !d.Grow() || d.limits.Places > before+2 {
			t.Errorf("the first step takes %d places to %d", before, d.limits.Places)
		}
		steps := 1
		for d.Grow() {
			steps++
		}
		if steps > 9 {
			t.Errorf("%d steps from 17 places to 500", steps)
		}
	}
}
