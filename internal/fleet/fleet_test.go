package fleet_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wickarch/choice"
	"wickarch/internal/fleet"
	"wickarch/subset"
)

const ms = time.Millisecond

// testGateway is one of 300 gateways with 100 backends. It counts its attempts by backend.
type testGateway struct {
	*choice.Gateway
	*fleet.Fleet
	t         *testing.T
	now       time.Duration
	lastID    uint32
	backendOf map[uint32]uint32 // backend by request
	attempts  map[uint32]int    // number by backend
}

func (g *testGateway) Send(id, backend uint32, _ time.Duration) {
	g.backendOf[id] = backend
	g.attempts[backend]++
	g.Fleet.Sent()
}
func (g *testGateway) Refuse(uint32, time.Duration)   {}
func (g *testGateway) Fail(uint32)                    {}
func (g *testGateway) Cancel(uint32, int)             {}
func (g *testGateway) Probe(uint32)                   {}
func (g *testGateway) SetTimer(time.Duration, uint64) {}

func key(b choice.Backend) uint64 { return subset.KeyOf(fmt.Sprint("s-", b.ID)) }

func backends(from, n uint32) (list []choice.Backend) {
	for i := range n {
		list = append(list, choice.Backend{ID: from + i, Weight: 1, Zone: int(i % 3)})
	}
	return list
}

var config = choice.Config{
	Gateways: 300, Self: 17, MaxUnits: 1, MaxAttempts: 1, Cancelling: true,
	Classes:      []choice.Class{{Aim: 400 * ms, Deadline: 60 * time.Second, Worth: 1}},
	Plans:        []choice.Plan{{Price: 1}},
	ColdCapacity: 0.15, WarmUpTime: 10 * time.Second, CrashMultiple: 3, CrashAfter: 1500 * ms,
}

func newGateway(t *testing.T) *testGateway { return newGatewayWith(t, config) }

func newGatewayWith(t *testing.T, cfg choice.Config) *testGateway {
	g := &testGateway{t: t, backendOf: map[uint32]uint32{}, attempts: map[uint32]int{}}
	var err error
	if g.Gateway, err = choice.New(cfg, 1, 0, g); err != nil {
		t.Fatal(err)
	}
	if g.Fleet, err = fleet.New(cfg, g.Gateway, 0); err != nil {
		t.Fatal(err)
	}
	g.Fleet.Members(0, choice.Full, backends(1, 100), key)
	return g
}

// ask sends one request, which must not be refused, and returns its backend.
func (g *testGateway) ask() (id, backend uint32) {
	g.t.Helper()
	g.now += 100 * ms
	g.lastID++
	g.Request(g.now, choice.Request{ID: g.lastID, Customer: uint64(g.lastID), Spread: 1, Units: 1, TimeLeft: 30 * time.Second})
	g.Step(g.now)
	backend, ok := g.backendOf[g.lastID]
	if !ok {
		g.t.Fatalf("request %d is refused, with up to %d attempts in flight", g.lastID, g.lastID)
	}
	return g.lastID, backend
}

func (g *testGateway) end(id uint32, status choice.Status) {
	g.Fleet.Ended()
	g.Outcome(g.now+20*ms, choice.Outcome{ID: id, Backend: g.backendOf[id], Status: status, Elapsed: 20 * ms, Done: status == choice.OK})
}

// warmUp sends 200 requests and returns the backends used.
func (g *testGateway) warmUp() map[uint32]int {
	g.attempts = map[uint32]int{}
	for range 200 {
		id, _ := g.ask()
		g.end(id, choice.OK)
	}
	return maps.Clone(g.attempts)
}

func TestOnlyASubsetIsUsed(t *testing.T) {
	g := newGateway(t)
	used := g.warmUp()
	if n, of := g.Size(); len(used) > n || n > 20 || of != 100 {
		t.Errorf("%d backends got attempts, %d of %d are in use, want 20 of 100 at most", len(used), n, of)
	}
}

// All backends that a gateway uses are lost at once. Its next requests must go to
// other backends without refusals or delays.
func TestLossOfTheWholeSubset(t *testing.T) {
	for name, lose := range map[string]func(g *testGateway, used map[uint32]int){
		"draining": func(g *testGateway, used map[uint32]int) {
			var list []choice.Backend
			for _, b := range backends(1, 100) {
				if used[b.ID] > 0 {
					b.State = choice.Draining
					list = append(list, b)
				}
			}
			g.Fleet.Members(g.now, choice.Delta, list, key)
		},
		"removed": func(g *testGateway, used map[uint32]int) {
			var list []choice.Backend
			for _, b := range backends(1, 100) {
				if used[b.ID] == 0 {
					list = append(list, b)
				}
			}
			g.Fleet.Members(g.now, choice.Full, list, key)
		},
		"replaced": func(g *testGateway, used map[uint32]int) {
			clear(used)
			for id := range uint32(100) {
				used[id+1] = 1
			}
			g.Fleet.Members(g.now, choice.Full, backends(501, 100), key)
		},
		"cold": func(g *testGateway, used map[uint32]int) {
			var list []choice.Backend
			for _, b := range backends(1, 100) {
				if used[b.ID] > 0 {
					b.Started, b.StartKnown = g.now, true
					list = append(list, b)
				}
			}
			g.Fleet.Members(g.now, choice.Delta, list, key)
			cold := 0
			for range 30 {
				id, b := g.ask()
				if used[b] > 0 {
					cold++
				}
				g.end(id, choice.OK)
			}
			if cold > 5 {
				g.t.Errorf("%d of 30 requests went to cold backends, though 90 are warm, want 5 at most", cold)
			}
			clear(used)
		},
		"unresponsive": func(g *testGateway, used map[uint32]int) {
			_, one := g.ask()
			_, two := g.ask()
			maps.DeleteFunc(used, func(id uint32, _ int) bool { return id != one && id != two })
			g.now += 200 * ms
		},
		"failing": func(g *testGateway, used map[uint32]int) {
			lost := 0
			for n := range 150 {
				id, b := g.ask()
				if used[b] == 0 {
					g.end(id, choice.OK)
					continue
				}
				g.end(id, choice.Error)
				if n >= 50 {
					lost++
				}
			}
			if lost > 20 { // each is tried again from time to time
				g.t.Errorf("%d of 100 requests went to backends that fail all, want 20 at most", lost)
			}
			clear(used)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway(t)
			used := g.warmUp()
			lose(g, used)
			for range 5 {
				id, b := g.ask()
				if used[b] > 0 {
					t.Errorf("a request went to backend %d, which is lost", b)
				}
				g.end(id, choice.OK)
			}
		})
	}
}

// Small and large deltas and full lists must give the same order for the same list.
func TestDeltasAndFullListsGiveTheSameOrder(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		cfg := config
		cfg.Gateways = []int{300, 1000}[seed%2]
		deltas, whole := newGatewayWith(t, cfg), newGatewayWith(t, cfg)
		list := backends(1, 100)
		for n := range 60 {
			var changed []choice.Backend
			for range 1 + rng.IntN([]int{2, 30}[n%2]) {
				b := &list[rng.IntN(len(list))]
				b.State = []choice.State{choice.Ready, choice.Ready, choice.Draining, choice.Removed}[rng.IntN(4)]
				if rng.IntN(10) == 0 {
					b.Weight = float64(1 + rng.IntN(3))
				}
				changed = append(changed, *b)
			}
			listed := slices.DeleteFunc(slices.Clone(list), func(b choice.Backend) bool { return b.State == choice.Removed })
			if n%7 == 6 {
				deltas.Fleet.Members(deltas.now, choice.Full, listed, key)
			} else {
				deltas.Fleet.Members(deltas.now, choice.Delta, changed, key)
			}
			whole.Fleet.Members(whole.now, choice.Full, listed, key)
			order := func(g *testGateway) (ids []uint32) {
				for _, v := range g.View(g.now) {
					ids = append(ids, v.ID)
				}
				return ids
			}
			a, of := deltas.Size()
			b, wantOf := whole.Size()
			if got, want := order(deltas), order(whole); !slices.Equal(got, want) || a != b || of != wantOf {
				t.Fatalf("seed %d, change %d: %d of %d %v, want %d of %d %v", seed, n, a, of, got, b, wantOf, want)
			}
		}
	}
}

// Of two backends with one key, one must be in use. When it is removed, the other must replace it.
func TestTwoBackendsWithOneKey(t *testing.T) {
	g := newGateway(t)
	duplicate := choice.Backend{ID: 500, Weight: 1}
	sameKey := func(b choice.Backend) uint64 {
		if b.ID == 500 {
			b.ID = 7
		}
		return key(b)
	}
	count := func() (n int) {
		for _, v := range g.View(g.now) {
			if v.ID == 7 || v.ID == 500 {
				n++
			}
		}
		return n
	}
	for _, removed := range []uint32{7, 500} {
		g.Fleet.Members(g.now, choice.Delta, []choice.Backend{{ID: 7, Weight: 1}, duplicate}, sameKey)
		if count() != 1 {
			t.Errorf("with both listed, %d are in the order, want 1", count())
		}
		g.Fleet.Members(g.now, choice.Delta, []choice.Backend{{ID: removed, State: choice.Removed}}, sameKey)
		if count() != 1 {
			t.Errorf("after backend %d was removed, %d are in the order, want 1", removed, count())
		}
	}
}
