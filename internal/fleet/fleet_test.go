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

// gate is one of 300 gateways over 100 backends, and where its attempts went.
type gate struct {
	*choice.Gateway
	*fleet.Fleet
	t      *testing.T
	now    time.Duration
	lastID uint32
	sent   map[uint32]uint32 // the backend by request
	times  map[uint32]int    // attempts by backend
}

func (g *gate) Send(id, backend uint32, _ time.Duration) {
	g.sent[id] = backend
	g.times[backend]++
	g.Fleet.Sent()
}
func (g *gate) Refuse(uint32, time.Duration)   {}
func (g *gate) Fail(uint32)                    {}
func (g *gate) Cancel(uint32, int)             {}
func (g *gate) Probe(uint32)                   {}
func (g *gate) SetTimer(time.Duration, uint64) {}

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

func open(t *testing.T) *gate { return openWith(t, config) }

func openWith(t *testing.T, cfg choice.Config) *gate {
	g := &gate{t: t, sent: map[uint32]uint32{}, times: map[uint32]int{}}
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

// ask sends one request and returns its backend; it must not be refused.
func (g *gate) ask() (id, backend uint32) {
	g.t.Helper()
	g.now += 100 * ms
	g.lastID++
	g.Request(g.now, choice.Request{ID: g.lastID, Customer: uint64(g.lastID), Spread: 1, Units: 1, TimeLeft: 30 * time.Second})
	g.Step(g.now)
	backend, ok := g.sent[g.lastID]
	if !ok {
		g.t.Fatalf("request %d is refused, with %d attempts out", g.lastID, g.lastID)
	}
	return g.lastID, backend
}

func (g *gate) end(id uint32, status choice.Status) {
	g.Fleet.Ended()
	g.Outcome(g.now+20*ms, choice.Outcome{ID: id, Backend: g.sent[id], Status: status, Elapsed: 20 * ms, Done: status == choice.OK})
}

// warm has the gateway serve for a while, and returns what it uses.
func (g *gate) warm() map[uint32]int {
	g.times = map[uint32]int{}
	for range 200 {
		id, _ := g.ask()
		g.end(id, choice.OK)
	}
	return maps.Clone(g.times)
}

func TestFewBackendsAreUsed(t *testing.T) {
	g := open(t)
	used := g.warm()
	if n, of := g.Size(); len(used) > n || n > 20 || of != 100 {
		t.Errorf("%d backends are met, %d of %d are in use", len(used), n, of)
	}
}

// All that a gateway uses goes, in whatever way: the next request goes to others
// at once, and is neither refused nor made to wait.
func TestAllOfTheSubsetGone(t *testing.T) {
	for name, lose := range map[string]func(g *gate, used map[uint32]int){
		"draining": func(g *gate, used map[uint32]int) {
			var list []choice.Backend
			for _, b := range backends(1, 100) {
				if used[b.ID] > 0 {
					b.State = choice.Draining
					list = append(list, b)
				}
			}
			g.Fleet.Members(g.now, choice.Delta, list, key)
		},
		"removed": func(g *gate, used map[uint32]int) {
			var list []choice.Backend
			for _, b := range backends(1, 100) {
				if used[b.ID] == 0 {
					list = append(list, b)
				}
			}
			g.Fleet.Members(g.now, choice.Full, list, key)
		},
		"replaced": func(g *gate, used map[uint32]int) {
			clear(used)
			for id := range uint32(100) {
				used[id+1] = 1
			}
			g.Fleet.Members(g.now, choice.Full, backends(501, 100), key)
		},
		"cold": func(g *gate, used map[uint32]int) {
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
				g.t.Errorf("%d of 30 requests went to cold backends, beside 90 that are warm", cold)
			}
			clear(used)
		},
		"silent": func(g *gate, used map[uint32]int) {
			_, one := g.ask()
			_, two := g.ask()
			maps.DeleteFunc(used, func(id uint32, _ int) bool { return id != one && id != two })
			g.now += 200 * ms
		},
		"failing": func(g *gate, used map[uint32]int) {
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
			if lost > 20 { // now and then each is tried again
				g.t.Errorf("%d of 100 requests went to backends that fail all", lost)
			}
			clear(used)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := open(t)
			used := g.warm()
			lose(g, used)
			for range 5 {
				id, b := g.ask()
				if used[b] > 0 {
					t.Errorf("a request goes to %d, which is lost", b)
				}
				g.end(id, choice.OK)
			}
		})
	}
}

// Deltas, a run of them and whole lists that make one list make one order.
func TestDeltasMakeTheOrderOfTheList(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		cfg := config
		cfg.Gateways = []int{300, 1000}[seed%2]
		deltas, whole := openWith(t, cfg), openWith(t, cfg)
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
			order := func(g *gate) (ids []uint32) {
				for _, v := range g.View(g.now) {
					ids = append(ids, v.ID)
				}
				return ids
			}
			a, of := deltas.Size()
			b, also := whole.Size()
			if got, want := order(deltas), order(whole); !slices.Equal(got, want) || a != b || of != also {
				t.Fatalf("seed %d, change %d: %d of %d %v, want %d of %d %v", seed, n, a, of, got, b, also, want)
			}
		}
	}
}

// Of two with one key one is in use; when it goes the other takes its place.
func TestTwoWithOneKey(t *testing.T) {
	g := open(t)
	twin := choice.Backend{ID: 500, Weight: 1}
	same := func(b choice.Backend) uint64 {
		if b.ID == 500 {
			b.ID = 7
		}
		return key(b)
	}
	has := func() (n int) {
		for _, v := range g.View(g.now) {
			if v.ID == 7 || v.ID == 500 {
				n++
			}
		}
		return n
	}
	for _, gone := range []uint32{7, 500} {
		g.Fleet.Members(g.now, choice.Delta, []choice.Backend{{ID: 7, Weight: 1}, twin}, same)
		if has() != 1 {
			t.Errorf("with both listed %d are in the order", has())
		}
		g.Fleet.Members(g.now, choice.Delta, []choice.Backend{{ID: gone, State: choice.Removed}}, same)
		if has() != 1 {
			t.Errorf("when %d has gone %d are in the order", gone, has())
		}
	}
}
