package subset_test

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wickarch/subset"
)

// both is a set that learns changes, and the reference that is told the whole list each time.
type both struct {
	*testing.T
	*subset.Set
	ref  *reference
	list map[uint64]subset.Backend
	now  time.Duration
	rng  *rand.Rand
}

func openBoth(t *testing.T, cfg subset.Config, list []subset.Backend, seed uint64) *both {
	t.Helper()
	cfg.MaxStaleness = stale
	ref, err := newReference(cfg, 0)
	if err != nil {
		t.Fatal(err)
	}
	b := &both{T: t, Set: open(t, cfg, list), ref: ref, list: map[uint64]subset.Backend{}, rng: rand.New(rand.NewPCG(seed, 0))}
	for _, o := range list {
		b.list[o.Key] = o
	}
	ref.Members(list)
	return b
}

// Sent tells both of an attempt.
func (b *both) Sent(out int) {
	b.Set.RecordAttempt(out)
	b.ref.Sent(out)
}

// change tells both of changes.
func (b *both) change(changes ...subset.Change) {
	for _, c := range changes {
		if c.Removed {
			delete(b.list, c.Key)
		} else {
			b.list[c.Key] = c.Backend
		}
	}
	b.Update(changes)
	b.ref.Members(slices.Collect(maps.Values(b.list)))
}

// step lets both take the time; the set's answer is checked where exact.
func (b *both) step(d time.Duration, exact bool) {
	b.Helper()
	b.now += d
	if changed, want := b.Step(b.now), b.ref.Step(b.now); exact && changed != want {
		b.Fatalf("a step tells of a change: %v, want %v", changed, want)
	}
}

// settle ends the fit that is under way, and the next, of what has changed during that.
func (b *both) settle() {
	for range 2 {
		b.step(2*stale, false)
		for subset.Busy(b.Set) && !b.UsesAll() {
			b.Step(b.now)
		}
	}
}

// compare finds the same order, size and parts. Sums of parts come in another order in large fleets.
func (b *both) compare(slack float64) {
	b.Helper()
	if b.Size() != b.ref.Size() || len(b.Order()) != len(b.ref.Order()) || b.UsesAll() != b.ref.Whole() {
		b.Fatalf("%d of %d in use, want %d of %d", b.Size(), len(b.Order()), b.ref.Size(), len(b.ref.Order()))
	}
	for i, want := range b.ref.Order() {
		if u := b.Order()[i]; u.ID != want.ID || math.Abs(u.PickWeight-want.PickWeight) > slack*want.PickWeight {
			b.Fatalf("place %d of %d: %v, want %v", i, len(b.Order()), u, want)
		}
	}
}

// random is some changes: backends that go, come, come back, weigh otherwise or lie elsewhere.
func (b *both) random(pool []subset.Backend, uneven bool) (changes []subset.Change) {
	n := 1 + b.rng.IntN(3)
	if b.rng.IntN(6) == 0 {
		n = 1 + b.rng.IntN(len(pool)/3)
	}
	for range n {
		o := pool[b.rng.IntN(len(pool))]
		_, known := b.list[o.Key]
		if uneven {
			o.Weight = float64(1 + b.rng.IntN(4))
		}
		if b.rng.IntN(8) == 0 {
			o.Zone = b.rng.IntN(4)
		}
		changes = append(changes, subset.Change{Backend: o, Removed: known && b.rng.IntN(4) > 0})
	}
	return changes
}

// Up to 300 gateways before 200 backends all is as it was, to the last bit and at each step.
func TestSmallFleetIsAsBefore(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		n := 2 + rng.IntN(199)
		gateways := 1 + rng.IntN(300)
		if seed%4 == 0 {
			n, gateways = 200, 300
		}
		cfg := subset.Config{Gateways: gateways, Self: rng.IntN(gateways), CrossZoneCost: []float64{0, 0.05, 0.5}[rng.IntN(3)]}
		pool := backends(0, n, 3)
		b := openBoth(t, cfg, pool[:1+rng.IntN(n)], seed)
		b.compare(0)
		for range 60 {
			switch b.rng.IntN(4) {
			case 0:
				b.change(b.random(pool, seed%3 == 0)...)
			case 1: // a whole list
				some := slices.Clone(pool[b.rng.IntN(n):])
				clear(b.list)
				for _, o := range some {
					b.list[o.Key] = o
				}
				b.SetBackends(some)
				b.ref.Members(some)
			default:
				for range b.rng.IntN(60) {
					b.Sent(b.rng.IntN(12))
				}
				b.step(time.Duration(b.rng.Int64N(int64(2*stale))), true)
			}
			b.compare(0)
		}
	}
}

// In a large fleet the parts come out as those of a first fit to the same list, whatever came before: changes
// told while a fit was under way, sizes that followed traffic, a fleet that was small for a while.
func TestFitAfterChangesIsThatFromScratch(t *testing.T) {
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 2))
		gateways := 300 + rng.IntN(300)
		n := 240 + rng.IntN(200)
		cfg := subset.Config{Gateways: gateways, Self: rng.IntN(gateways), CrossZoneCost: []float64{0, 0.05, 0.5}[rng.IntN(3)]}
		pool := backends(0, n, 3)
		b := openBoth(t, cfg, pool[:n*3/4], seed)
		b.compare(1e-9)
		for range 8 {
			for range b.rng.IntN(5) {
				b.change(b.random(pool, seed%2 == 0)...)
				switch b.rng.IntN(4) {
				case 0:
					b.step(stale, false)
				case 1:
					b.step(time.Duration(b.rng.Int64N(int64(stale/4))), false)
				case 2:
					for range 40 * b.rng.IntN(8) {
						b.Sent(3)
					}
				}
			}
			b.settle()
			b.compare(1e-9)
		}
	}
}

// A change of one member costs a fit a draw for each gateway and a look at its row, not the whole fleet's draws.
// Counts, not times. Twice the fleet costs twice as much, not four times.
func TestChangeCostsItsOwnDraws(t *testing.T) {
	cost := func(gateways, n int) (each, whole int) {
		list := backends(0, n, 5)
		s := open(t, subset.Config{Gateways: gateways}, list)
		whole = subset.Work(s)
		now := time.Duration(0)
		const changes = 40
		for i := range changes { // goes, comes back, the next one goes
			c := subset.Change{Backend: list[i/2*7%n], Removed: i%2 == 0}
			s.Update([]subset.Change{c})
			before := subset.Work(s)
			for now += stale; s.Step(now) || subset.Busy(s); {
				if subset.Work(s)-before > 1<<30 {
					t.Fatal("the fit has no end")
				}
			}
			each += (subset.Work(s) - before) / changes
		}
		return each, whole
	}
	var costs []int
	for _, c := range [][2]int{{480, 400}, {960, 800}} {
		gateways, n := c[0], c[1]
		each, whole := cost(gateways, n)
		size := open(t, subset.Config{Gateways: gateways}, backends(0, n, 5)).Size()
		row := size + 8 + size/8
		// Each row is looked at once, its worst and the new one are drawn; it feeds 12 rounds at most. The rows
		// that name the backend, and as many again, may be drawn anew.
		most := gateways*(row+2+12*size) + 2*gateways*size/n*(8+n)
		t.Logf("%d gateways, %d backends, %d in use: %d for a change, %d for the first fit, %d allowed", gateways, n, size, each, whole, most)
		if each > most {
			t.Errorf("%d gateways, %d backends: a change costs %d draws and places, want %d at most", gateways, n, each, most)
		}
		costs = append(costs, each)
	}
	if costs[1] > costs[0]*5/2 {
		t.Errorf("twice the gateways and backends: a change costs %d draws and places, %d before", costs[1], costs[0])
	}
}

// A fifth of the fleet that goes is struck from the rows, and one that comes back is drawn alone.
func TestZoneCostsItsOwnDraws(t *testing.T) {
	list := backends(0, 1600, 5)
	s := open(t, subset.Config{Gateways: 480}, list)
	whole := subset.Work(s)
	now := time.Duration(0)
	for _, part := range [][]subset.Backend{list[320:], list, list[:1280], list} {
		s.SetBackends(part)
		before := subset.Work(s)
		for now += stale; s.Step(now) || subset.Busy(s); {
		}
		cost := subset.Work(s) - before
		t.Logf("%d of %d listed: %d draws and places, %d for the first fit", len(part), len(list), cost, whole)
		if cost > whole/2 {
			t.Errorf("%d of %d listed: %d draws and places, want half of a first fit at most", len(part), len(list), cost)
		}
	}
}

// One step does a bounded part of a large fit, whatever has changed.
func TestStepIsBounded(t *testing.T) {
	list := backends(0, 1200, 5)
	s := open(t, subset.Config{Gateways: 480}, list)
	now := time.Duration(0)
	for _, part := range [][]subset.Backend{list[:960], list, list[:10], list[600:], list} {
		s.SetBackends(part)
		for now += stale; ; {
			before := subset.Work(s)
			s.Step(now)
			if did := subset.Work(s) - before; did > 1<<15+2*len(list) {
				t.Fatalf("a step costs %d draws and places", did)
			}
			if !subset.Busy(s) || s.UsesAll() {
				break
			}
		}
	}
}

// What is kept for fits is as told: by rows in a large fleet, next to nothing in a small one.
func TestKeptMemory(t *testing.T) {
	for _, c := range []struct{ gateways, backends, most int }{{300, 200, 16 << 10}, {23, 59, 4 << 10}, {480, 1600, 360 << 10}} {
		list := backends(0, c.backends, 5)
		s := open(t, subset.Config{Gateways: c.gateways}, list)
		now := time.Duration(0)
		for i := range 200 { // 20 go, 20 come back, again and again
			s.Update([]subset.Change{{Backend: list[i%20], Removed: i/20%2 == 0}})
			for now += stale; s.Step(now) || subset.Busy(s); {
			}
		}
		t.Logf("%d gateways, %d backends: %d bytes", c.gateways, c.backends, subset.Kept(s))
		if n := subset.Kept(s); n > c.most {
			t.Errorf("%d gateways, %d backends: %d bytes are kept, want %d at most", c.gateways, c.backends, n, c.most)
		}
	} // Rows don't grow with the list where what is in use doesn't.
	list := backends(0, 400, 5)
	s := open(t, subset.Config{Gateways: 2000}, list[:40])
	now := time.Duration(0)
	for n := 40; n < len(list); n++ {
		s.Update([]subset.Change{{Backend: list[n]}})
		for now += stale; s.Step(now) || subset.Busy(s); {
		}
	}
	if n := subset.Kept(s); s.Size() != 4 || n > 2000*(24+4*12)+64*len(list) {
		t.Errorf("2,000 gateways with %d of a growing list in use: %d bytes are kept", s.Size(), n)
	}
}
