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

// model is the reference model of a controller: a list of connections that is searched.
type model struct {
	limits   Limits
	conns    []*Conn[int]
	trimming bool
	draining bool
}

func (m *model) requested() (n int) {
	for _, p := range m.conns {
		if p.requested && p.state != evicting {
			n++
		}
	}
	return n
}

func (m *model) remaining() (n int) {
	for _, p := range m.conns {
		if p.state != evicting {
			n++
		}
	}
	return n
}

// checkCounts compares the controller's counts with the model's.
func (m *model) checkCounts(t *rapid.T, controller *Controller[int]) {
	stats := controller.Stats()
	if stats.Open != len(m.conns) || stats.Requested != m.requested() || stats.Open-stats.Evicting != m.remaining() {
		t.Fatalf("the controller counts %+v; want %d open, %d requested, %d not evicting",
			stats, len(m.conns), m.requested(), m.remaining())
	}
	if controller.HasRoom() != (len(m.conns) < m.limits.Places) {
		t.Fatalf("HasRoom is %v with %d of %d places taken", controller.HasRoom(), len(m.conns), m.limits.Places)
	}
}

// checkSelectDue checks each connection that SelectDue selects against all others, and
// afterwards those that it has not selected.
func (m *model) checkSelectDue(t *rapid.T, controller *Controller[int], now time.Duration, waiting bool) (selected []*Conn[int]) {
	at, scheduled := controller.NextDue(waiting)
	paused := controller.nextBatch > now
	kept := 0
	var keptConns []*Conn[int]
	controller.SelectDue(now, waiting, func(p *Conn[int]) bool {
		requested := m.requested()
		if p.requested {
			requested++ // it is evicting already
		}
		switch {
		case m.draining:
		case p.requested && requested <= m.limits.Floor:
			t.Fatalf("a connection with requests is selected with %d left, at a floor of %d", requested, m.limits.Floor)
		case p.requested && requested <= m.limits.Low && !waiting:
			t.Fatalf("trimmed to %d, below the low-water mark", requested-1)
		case p.requested && now-p.since < m.limits.IdleMin:
			t.Fatalf("selected after being idle for %v", now-p.since)
		case !p.requested && now-p.since < m.limits.SilentMin:
			t.Fatalf("selected after %v without a request", now-p.since)
		}
		for _, o := range m.conns {
			if o.state == idle && p.requested && o.since < p.since {
				t.Fatalf("a connection idle since %v is selected before one idle since %v", p.since, o.since)
			}
		}
		if rapid.IntRange(0, 5).Draw(t, "request arrives") == 0 { // a request has arrived meanwhile
			kept++
			keptConns = append(keptConns, p)
			return true
		}
		selected = append(selected, p)
		return false
	})
	for _, p := range keptConns {
		if p.state != busy || p.requested && m.requested() == 0 {
			t.Fatalf("a connection that was selected and kept is in state %v, want busy", p.state)
		}
	}
	if len(selected)+kept > m.limits.Batch {
		t.Fatalf("%d selected at once, want at most %d", len(selected), m.limits.Batch)
	}
	if len(selected)+kept > 0 && (!scheduled || now < at) {
		t.Fatalf("selects at %v, but NextDue was %v, %v", now, at, scheduled)
	}
	if len(selected)+kept == 0 && scheduled && now >= at && !paused {
		t.Fatalf("selects nothing at %v, but NextDue was %v", now, at)
	}
	if paused && len(selected)+kept > 0 {
		t.Fatal("a batch comes before the pause is over")
	}
	if paused || len(selected)+kept == m.limits.Batch {
		return selected
	}
	if requested := m.requested(); requested > m.limits.High {
		m.trimming = true
	} else if requested <= m.limits.Low {
		m.trimming = false
	}
	evictingNow := len(m.conns) - m.remaining()
	for _, p := range m.conns {
		age := now - p.since
		switch {
		case m.draining && p.state == idle, m.draining && p.state == silent && age >= m.limits.SilentMax:
			t.Fatal("a connection with nothing open stays during a drain")
		case waiting && evictingNow == 0 && p.state == idle && m.requested() > m.limits.Floor && age >= m.limits.IdleMin:
			t.Fatalf("a client waits while a connection idle for %v keeps its place", age)
		case waiting && evictingNow == 0 && p.state == silent && m.remaining() >= m.limits.Places && age >= m.limits.SilentMin:
			t.Fatalf("a client waits while a connection silent for %v keeps its place", age)
		case m.trimming && p.state == idle && age >= m.limits.IdleMax:
			t.Fatalf("a connection is idle for %v above the low-water mark", age)
		}
	}
	return selected
}

// Descriptors run out with no more idle connections than the floor. If the floor did not
// shrink too, none would be closed and no client could connect any more.
func TestShrunkControllerStillFreesPlaces(t *testing.T) {
	controller, err := New[int](Defaults(563, 341))
	if err != nil {
		t.Fatal(err)
	}
	for range 45 {
		p := &Conn[int]{}
		controller.Admit(p, 0)
		controller.MarkBusy(p, true)
		controller.MarkIdle(p, 0)
	}
	controller.Shrink()
	if err := controller.limits.Check(); err != nil {
		t.Error(err)
	}
	for now := time.Second; !controller.HasRoom(); now += time.Second {
		before := controller.Stats().Open
		controller.SelectDue(now, true, func(p *Conn[int]) bool { controller.Release(p); return false })
		if controller.Stats().Open == before {
			t.Fatalf("no room with %d connections open in %d places", before, controller.limits.Places)
		}
	}
}

// Under any sequence of events the controller keeps its counts, the order of selection, the floor
// and the limits.
func TestControllerKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{limits: limits()}
		controller, err := New[int](m.limits)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		pick := func(t *rapid.T, kind string, ok func(*Conn[int]) bool) *Conn[int] {
			var matching []*Conn[int]
			for _, p := range m.conns {
				if ok(p) {
					matching = append(matching, p)
				}
			}
			if len(matching) == 0 {
				t.Skip("no " + kind)
			}
			return rapid.SampledFrom(matching).Draw(t, kind)
		}
		t.Repeat(map[string]func(*rapid.T){
			"new connection": func(t *rapid.T) {
				if !controller.HasRoom() {
					t.Skip("full")
				}
				p := &Conn[int]{}
				m.conns = append(m.conns, p)
				controller.Admit(p, now)
			},
			"admit idle": func(t *rapid.T) { // idle connections after a request
				for n := rapid.IntRange(1, 9).Draw(t, "clients"); n > 0 && controller.HasRoom(); n-- {
					p := &Conn[int]{}
					m.conns = append(m.conns, p)
					controller.Admit(p, now)
					controller.MarkBusy(p, true)
					controller.MarkIdle(p, now)
				}
			},
			"release evicted": func(*rapid.T) {
				for _, p := range m.conns {
					if p.Evicting() {
						controller.Release(p)
					}
				}
				m.conns = slices.DeleteFunc(m.conns, func(p *Conn[int]) bool { return p.state == unmanaged })
			},
			"turn busy": func(t *rapid.T) {
				p := pick(t, "connection", func(p *Conn[int]) bool { return true })
				controller.MarkBusy(p, rapid.Bool().Draw(t, "requested"))
			},
			"set idle": func(t *rapid.T) {
				controller.MarkIdle(pick(t, "busy connection", func(p *Conn[int]) bool { return p.state == busy }), now)
			},
			"release one": func(t *rapid.T) {
				p := pick(t, "connection", func(p *Conn[int]) bool { return true })
				controller.Release(p)
				controller.Release(p) // a second release has no effect
				m.conns = slices.DeleteFunc(m.conns, func(o *Conn[int]) bool { return o == p })
			},
			"time passes": func(t *rapid.T) {
				now += time.Duration(rapid.SampledFrom([]int{0, 1, 5, 60, 300, 2500}).Draw(t, "ms")) * ms
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 30).Draw(t, "whether") == 0 {
					controller.Drain()
					m.draining = true
				}
			},
			"due": func(t *rapid.T) {
				m.checkSelectDue(t, controller, now, !controller.HasRoom() && rapid.Bool().Draw(t, "waiting"))
			},
			"": func(t *rapid.T) { m.checkCounts(t, controller) },
		})
	})
}

// simulation runs a controller in virtual time, between a listener's queue and clients.
type simulation struct {
	t          *testing.T
	controller *Controller[int]
	rng        *rand.Rand
	now        time.Duration
	queue      []arrival // clients that wait to be accepted
	conns      []*clientConn
	closed     int
	waitTimes  []time.Duration // of active clients, for a place
}

type arrival struct {
	arrivedAt time.Duration
	active    bool
}

type clientConn struct {
	Conn[int]
	active   bool
	deadline time.Duration // end of the request, then of the time that its client holds the connection
}

// step simulates one millisecond. An active client sends a request as soon as it is
// accepted, which takes 5 to 100 ms, and then holds its connection for holdTime;
// silent clients send nothing.
func (w *simulation) step(activePerStep float64, silentPerStep int, holdTime time.Duration) {
	w.now += ms
	for p := activePerStep; p > 0; p-- {
		if w.rng.Float64() < p {
			w.queue = append(w.queue, arrival{w.now, true})
		}
	}
	for range silentPerStep {
		w.queue = append(w.queue, arrival{w.now, false})
	}
	for _, c := range slices.Clone(w.conns) {
		switch {
		case c.Evicting():
			w.disconnect(c)
		case c.state == busy && w.now >= c.deadline:
			w.controller.MarkIdle(&c.Conn, w.now)
			c.deadline = w.now + holdTime
		case c.state == idle && w.now >= c.deadline:
			w.disconnect(c)
		}
	}
	for len(w.queue) > 0 && w.controller.HasRoom() {
		next := w.queue[0]
		w.queue = w.queue[1:]
		c := &clientConn{active: next.active}
		w.conns = append(w.conns, c)
		w.controller.Admit(&c.Conn, w.now)
		if next.active {
			w.waitTimes = append(w.waitTimes, w.now-next.arrivedAt)
			w.controller.MarkBusy(&c.Conn, true)
			c.deadline = w.now + time.Duration(5+w.rng.IntN(95))*ms
		}
	}
	waiting := len(w.queue) > 0
	w.controller.SelectDue(w.now, waiting, func(*Conn[int]) bool { w.closed++; return false })
	if !waiting || w.controller.nextBatch > w.now || w.controller.evicting > 0 {
		return
	}
	for _, c := range w.conns {
		if c.state == idle && w.now-c.since > w.controller.limits.IdleMin && w.controller.requested > w.controller.limits.Floor {
			w.t.Fatalf("at %v a client waits while a connection idle since %v keeps its place", w.now, c.since)
		}
	}
}

func (w *simulation) disconnect(c *clientConn) {
	w.controller.Release(&c.Conn)
	w.conns = slices.DeleteFunc(w.conns, func(o *clientConn) bool { return o == c })
}

func newSimulation(t *testing.T, seed uint64, limits Limits) *simulation {
	controller, err := New[int](limits)
	if err != nil {
		t.Fatal(err)
	}
	return &simulation{t: t, controller: controller, rng: rand.New(rand.NewPCG(seed, 1))}
}

func largeLimits() Limits {
	return Limits{Places: 211, Spare: 13, Useful: 128, High: 64, Low: 56, Floor: 32, IdleMax: 2000 * ms,
		IdleMin: 50 * ms, SilentMax: 250 * ms, SilentMin: 50 * ms, Batch: 64, Pause: ms}
}

// Clients open a connection for each request and hold it for 2 s. At 140 requests per
// second that would take 280 places, of the 128 that they can have. Idle connections
// must be closed early enough that no client waits.
func TestHeldConnectionsLeavePlacesFree(t *testing.T) {
	for seed := range uint64(20) {
		w := newSimulation(t, seed, largeLimits())
		maxTaken := 0
		for range 10_000 {
			w.step(0.14, 0, 2*time.Second)
			maxTaken = max(maxTaken, w.controller.Stats().Requested)
		}
		if maxTaken > 120 {
			t.Errorf("seed %d: %d places of 128 are taken, want at most 120", seed, maxTaken)
		}
		if slices.Max(w.waitTimes) > 0 {
			t.Errorf("seed %d: a client waits for %v, want no wait", seed, slices.Max(w.waitTimes))
		}
	}
}

// While there are enough places, no connection is closed, however long it is idle.
func TestIdleConnectionsStayWhilePlacesSuffice(t *testing.T) {
	w := newSimulation(t, 1, largeLimits())
	for range 20_000 {
		w.step(0.015, 0, 3*time.Second)
	}
	if w.closed > 0 {
		t.Errorf("%d connections are closed with enough places free", w.closed)
	}
}

// A flood of connections without requests must not hold places for long: active clients
// wait only for the silent ones before them in the queue.
func TestSilentFloodDoesNotDelayRequestingClients(t *testing.T) {
	for seed := range uint64(10) {
		w := newSimulation(t, seed, largeLimits())
		for range 5000 {
			w.step(0.1, 1, time.Second) // a thousand silent connections per second
		}
		if longest := slices.Max(w.waitTimes); longest > 200*ms {
			t.Errorf("seed %d: an active client waits for %v, want at most 200 ms", seed, longest)
		}
	}
}

// A fleet of clients reconnects while idle connections take all places: these must be closed for it.
func TestReconnectingFleetFindsPlaces(t *testing.T) {
	w := newSimulation(t, 1, largeLimits())
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
		t.Errorf("%d clients still wait", len(w.queue))
	}
}

// A drain with 50,000 silent connections closes them in batches with a pause between them; closing
// all at once would delay the others.
func TestDrainClosesInPacedBatches(t *testing.T) {
	m := limits()
	m.Places, m.Spare, m.Batch = 50_000, 0, 64
	controller, err := New[int](m)
	if err != nil {
		t.Fatal(err)
	}
	for range 50_000 {
		controller.Admit(&Conn[int]{}, 0)
	}
	controller.Drain()
	total, now := 0, m.SilentMax
	for batches := 0; ; batches++ {
		at, scheduled := controller.NextDue(false)
		if !scheduled {
			break
		}
		if batches > 0 && at != now+m.Pause {
			t.Fatalf("a batch at %v, %v after the previous one", at, at-now)
		}
		now = at
		n := 0
		controller.SelectDue(now, false, func(p *Conn[int]) bool { n++; controller.Release(p); return false })
		if n > m.Batch {
			t.Fatalf("%d connections are selected at once", n)
		}
		total += n
	}
	if total != 50_000 || now > m.SilentMax+time.Second {
		t.Errorf("%d connections are closed in %v, want 50000 within a second after the timeout", total, now)
	}
}

// However short places are, connections up to the floor stay. The others are busy here and cannot
// be closed instead.
func TestFloorIsKeptWhileAllOthersAreBusy(t *testing.T) {
	m := limits()
	controller, err := New[int](m)
	if err != nil {
		t.Fatal(err)
	}
	conns := make([]Conn[int], m.Places)
	for i := range conns {
		controller.Admit(&conns[i], 0)
		controller.MarkBusy(&conns[i], i < m.Floor+1)
	}
	for i := range m.Floor + 1 {
		controller.MarkIdle(&conns[i], 0)
	}
	for step := range 3 {
		var selected []*Conn[int]
		controller.SelectDue(time.Hour+time.Duration(step)*time.Second, true, func(p *Conn[int]) bool {
			selected = append(selected, p)
			return false
		})
		if step == 0 && (len(selected) != 1 || selected[0] != &conns[0]) {
			t.Fatalf("%d connections are selected, want only the least recently used", len(selected))
		}
		if step > 0 && len(selected) > 0 {
			t.Fatal("a connection within the floor is selected")
		}
		for _, p := range selected {
			controller.Release(p)
			controller.Admit(p, time.Hour)
			controller.MarkBusy(p, false)
		}
	}
}

// The process gets fewer descriptors than its limits say: places must shrink to what is available,
// and grow back later.
func TestShrinkFollowsAvailableDescriptors(t *testing.T) {
	controller, err := New[int](limits())
	if err != nil {
		t.Fatal(err)
	}
	first := &Conn[int]{}
	controller.Admit(first, 0)
	for range 4 {
		controller.Admit(&Conn[int]{}, 0)
	}
	controller.Shrink()
	controller.Shrink() // no effect while more connections are open than the lowered limit
	if controller.HasRoom() || controller.limits.Places != 4 {
		t.Errorf("HasRoom is %v with %d places, 5 connections open and no descriptor left", controller.HasRoom(), controller.limits.Places)
	}
	controller.Release(first)
	if controller.HasRoom() {
		t.Error("HasRoom would use the descriptor that is reserved for other purposes")
	}
	controller.SelectDue(time.Second, true, func(p *Conn[int]) bool { controller.Release(p); return false })
	if !controller.HasRoom() {
		t.Error("no connection is closed to get down to the places available")
	}
	for more := true; more; {
		before := controller.Stats().Places
		more = controller.Grow()
		if after := controller.Stats().Places; after <= before || after > limits().Places {
			t.Fatalf("Grow changes %d places to %d", before, after)
		}
	}
	if controller.limits != limits() {
		t.Errorf("limits after growing back are %+v", controller.limits)
	}
	if err := controller.limits.Check(); err != nil {
		t.Error(err)
	}
}

func TestInvalidLimitsAreRejected(t *testing.T) {
	for field, change := range map[string]func(*Limits){
		"places": func(m *Limits) { m.Places = 0 }, "spare": func(m *Limits) { m.Spare = 9 },
		"floor": func(m *Limits) { m.Floor = 4 }, "low": func(m *Limits) { m.Low = 6 },
		"useful": func(m *Limits) { m.Useful = 10 }, "rest": func(m *Limits) { m.IdleMin = 0 },
		"silent": func(m *Limits) { m.SilentMax = 1 }, "batch": func(m *Limits) { m.Batch = 0 },
	} {
		m := limits()
		change(&m)
		if _, err := New[int](m); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error is %v, want one that names the limit", field, err)
		}
	}
}

func BenchmarkIdleConnections(b *testing.B) {
	m := limits()
	m.Places, m.Useful, m.High, m.Low, m.Floor = 1<<20, 1<<20, 1<<19, 1<<19, 0
	controller, _ := New[int](m)
	conns := make([]Conn[int], 200_000)
	for i := range conns {
		controller.Admit(&conns[i], 0)
		controller.MarkBusy(&conns[i], true)
		controller.MarkIdle(&conns[i], 0)
	}
	for i := 0; b.Loop(); i++ {
		p := &conns[i%len(conns)]
		controller.MarkBusy(p, true)
		controller.MarkIdle(p, time.Duration(i))
		controller.SelectDue(time.Duration(i), false, func(*Conn[int]) bool { return false })
	}
}

// After a brief shortage of descriptors, places are restored in a few growing steps, so that
// clients do not wait for minutes. After another shortage the steps start small again.
func TestPlacesAreRestoredSoonAfterShortage(t *testing.T) {
	controller, err := New[int](Defaults(500, 300))
	if err != nil {
		t.Fatal(err)
	}
	causeShortage := func() {
		t.Helper()
		var open []*Conn[int]
		for len(open) < 20 {
			p := &Conn[int]{}
			controller.Admit(p, 0)
			open = append(open, p)
		}
		controller.limits.Places = 19 // as after an earlier Shrink
		controller.Shrink()
		for _, p := range open {
			controller.Release(p)
		}
	}
	for range 2 {
		causeShortage()
		if before := controller.limits.Places; !controller.Grow() || controller.limits.Places > before+2 {
			t.Errorf("the first step grows %d places to %d, want at most 2 more", before, controller.limits.Places)
		}
		steps := 1
		for controller.Grow() {
			steps++
		}
		if steps > 9 {
			t.Errorf("%d steps from 17 places to 500, want at most 9", steps)
		}
	}
}
