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

// comparison holds a set that gets changes, and the reference, which gets the whole list each time.
type comparison struct {
	*testing.T
	*subset.Set
	ref  *reference
	list map[uint64]subset.Backend
	now  time.Duration
	rng  *rand.Rand
}

func newComparison(t *testing.T, cfg subset.Config, list []subset.Backend, seed uint64) *comparison {
	t.Helper()
	cfg.MaxStaleness = maxStaleness
	ref, err := newReference(cfg, 0)
	if err != nil {
		t.Fatal(err)
	}
	b := &comparison{T: t, Set: newSet(t, cfg, list), ref: ref, list: map[uint64]subset.Backend{}, rng: rand.New(rand.NewPCG(seed, 0))}
	for _, backend := range list {
		b.list[backend.Key] = backend
	}
	ref.SetBackends(list)
	return b
}

// RecordAttempt records an attempt in both.
func (b *comparison) RecordAttempt(inFlight int) {
	b.Set.RecordAttempt(inFlight)
	b.ref.RecordAttempt(inFlight)
}

// update applies changes to both.
func (b *comparison) update(changes ...subset.Change) {
	for _, c := range changes {
		if c.Removed {
			delete(b.list, c.Key)
		} else {
			b.list[c.Key] = c.Backend
		}
	}
	b.Update(changes)
	b.ref.SetBackends(slices.Collect(maps.Values(b.list)))
}

// step advances the time of both; if exact, their results must be equal.
func (b *comparison) step(d time.Duration, exact bool) {
	b.Helper()
	b.now += d
	if changed, want := b.Step(b.now), b.ref.Step(b.now); exact && changed != want {
		b.Fatalf("Step returns %v, want %v", changed, want)
	}
}

// finishFits completes the running fit, and the next one, of the changes made during the first.
func (b *comparison) finishFits() {
	for range 2 {
		b.step(2*maxStaleness, false)
		for subset.FitRunning(b.Set) && !b.UsesAll() {
			b.Step(b.now)
		}
	}
}

// wantEqual compares order, size and pick weights. In large fleets the weights are summed in another order, so
// that they differ by rounding errors.
func (b *comparison) wantEqual(maxRelError float64) {
	b.Helper()
	if b.Size() != b.ref.Size() || len(b.Order()) != len(b.ref.Order()) || b.UsesAll() != b.ref.UsesAll() {
		b.Fatalf("%d of %d in use, want %d of %d", b.Size(), len(b.Order()), b.ref.Size(), len(b.ref.Order()))
	}
	for i, want := range b.ref.Order() {
		if got := b.Order()[i]; got.ID != want.ID || math.Abs(got.PickWeight-want.PickWeight) > maxRelError*want.PickWeight {
			b.Fatalf("candidate %d of %d: %v, want %v", i, len(b.Order()), got, want)
		}
	}
}

// randomChanges returns changes that remove, add or restore backends, or change their weights or zones.
func (b *comparison) randomChanges(pool []subset.Backend, mixedWeights bool) (changes []subset.Change) {
	n := 1 + b.rng.IntN(3)
	if b.rng.IntN(6) == 0 {
		n = 1 + b.rng.IntN(len(pool)/3)
	}
	for range n {
		backend := pool[b.rng.IntN(len(pool))]
		_, listed := b.list[backend.Key]
		if mixedWeights {
			backend.Weight = float64(1 + b.rng.IntN(4))
		}
		if b.rng.IntN(8) == 0 {
			backend.Zone = b.rng.IntN(4)
		}
		changes = append(changes, subset.Change{Backend: backend, Removed: listed && b.rng.IntN(4) > 0})
	}
	return changes
}

// Up to 300 gateways with 200 backends the set is bit for bit that of the reference, at each step. Keeping rows and
// ranks between fits must not change results.
func TestSmallFleetMatchesReferenceExactly(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		n := 2 + rng.IntN(199)
		gateways := 1 + rng.IntN(300)
		if seed%4 == 0 {
			n, gateways = 200, 300
		}
		cfg := subset.Config{Gateways: gateways, Self: rng.IntN(gateways), CrossZoneCost: []float64{0, 0.05, 0.5}[rng.IntN(3)]}
		pool := backends(0, n, 3)
		b := newComparison(t, cfg, pool[:1+rng.IntN(n)], seed)
		b.wantEqual(0)
		for range 60 {
			switch b.rng.IntN(4) {
			case 0:
				b.update(b.randomChanges(pool, seed%3 == 0)...)
			case 1: // the whole list
				whole := slices.Clone(pool[b.rng.IntN(n):])
				clear(b.list)
				for _, backend := range whole {
					b.list[backend.Key] = backend
				}
				b.SetBackends(whole)
				b.ref.SetBackends(whole)
			default:
				for range b.rng.IntN(60) {
					b.RecordAttempt(b.rng.IntN(12))
				}
				b.step(time.Duration(b.rng.Int64N(int64(2*maxStaleness))), true)
			}
			b.wantEqual(0)
		}
	}
}

// In a large fleet the pick weights are those of a first fit to the same list, whatever came before: changes during
// a running fit, sizes that followed traffic, a fleet that was small for a while.
func TestIncrementalFitMatchesFitFromScratch(t *testing.T) {
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 2))
		gateways := 300 + rng.IntN(300)
		n := 240 + rng.IntN(200)
		cfg := subset.Config{Gateways: gateways, Self: rng.IntN(gateways), CrossZoneCost: []float64{0, 0.05, 0.5}[rng.IntN(3)]}
		pool := backends(0, n, 3)
		b := newComparison(t, cfg, pool[:n*3/4], seed)
		b.wantEqual(1e-9)
		for range 8 {
			for range b.rng.IntN(5) {
				b.update(b.randomChanges(pool, seed%2 == 0)...)
				switch b.rng.IntN(4) {
				case 0:
					b.step(maxStaleness, false)
				case 1:
					b.step(time.Duration(b.rng.Int64N(int64(maxStaleness/4))), false)
				case 2:
					for range 40 * b.rng.IntN(8) {
						b.RecordAttempt(3)
					}
				}
			}
			b.finishFits()
			b.wantEqual(1e-9)
		}
	}
}

// After a change of one backend, a fit computes one hash per gateway and scans its row; it does not hash the whole
// fleet again. Checks counts, not times. A fleet of twice the size costs twice as much, not four times.
func TestSingleChangeFitCost(t *testing.T) {
	cost := func(gateways, n int) (perChange, firstFit int) {
		list := backends(0, n, 5)
		s := newSet(t, subset.Config{Gateways: gateways}, list)
		firstFit = subset.FitWork(s)
		now := time.Duration(0)
		const changes = 40
		for i := range changes { // a backend is removed and restored, then the next one
			c := subset.Change{Backend: list[i/2*7%n], Removed: i%2 == 0}
			s.Update([]subset.Change{c})
			before := subset.FitWork(s)
			for now += maxStaleness; s.Step(now) || subset.FitRunning(s); {
				if subset.FitWork(s)-before > 1<<30 {
					t.Fatal("the fit does not end")
				}
			}
			perChange += (subset.FitWork(s) - before) / changes
		}
		return perChange, firstFit
	}
	var costs []int
	for _, c := range [][2]int{{480, 400}, {960, 800}} {
		gateways, n := c[0], c[1]
		perChange, firstFit := cost(gateways, n)
		size := newSet(t, subset.Config{Gateways: gateways}, backends(0, n, 5)).Size()
		row := size + 8 + size/8
		// Each row is scanned once, its last entry and the new backend are hashed, and it is used in at most 12 rounds.
		// The rows that hold the backend, and as many again, may be built anew.
		limit := gateways*(row+2+12*size) + 2*gateways*size/n*(8+n)
		t.Logf("%d gateways, %d backends, %d in use: work of %d for a change, %d for the first fit, limit %d",
			gateways, n, size, perChange, firstFit, limit)
		if perChange > limit {
			t.Errorf("%d gateways, %d backends: a change costs %d hashes and row entries, want at most %d", gateways, n, perChange, limit)
		}
		costs = append(costs, perChange)
	}
	if costs[1] > costs[0]*5/2 {
		t.Errorf("with twice the gateways and backends a change costs %d hashes and row entries, %d before", costs[1], costs[0])
	}
}

// When a fifth of the fleet is removed or restored, rows are not built anew: the removed backends are deleted from
// them, and only the restored ones are hashed.
func TestZoneChangeFitCost(t *testing.T) {
	list := backends(0, 1600, 5)
	s := newSet(t, subset.Config{Gateways: 480}, list)
	firstFit := subset.FitWork(s)
	now := time.Duration(0)
	for _, listed := range [][]subset.Backend{list[320:], list, list[:1280], list} {
		s.SetBackends(listed)
		before := subset.FitWork(s)
		for now += maxStaleness; s.Step(now) || subset.FitRunning(s); {
		}
		cost := subset.FitWork(s) - before
		t.Logf("%d of %d backends listed: %d hashes and row entries, %d for the first fit", len(listed), len(list), cost, firstFit)
		if cost > firstFit/2 {
			t.Errorf("%d of %d backends listed: %d hashes and row entries, want at most half of a first fit", len(listed), len(list), cost)
		}
	}
}

// The work of one step of a large fit is bounded, whatever has changed; a request waits for it.
func TestStepWorkIsBounded(t *testing.T) {
	list := backends(0, 1200, 5)
	s := newSet(t, subset.Config{Gateways: 480}, list)
	now := time.Duration(0)
	for _, listed := range [][]subset.Backend{list[:960], list, list[:10], list[600:], list} {
		s.SetBackends(listed)
		for now += maxStaleness; ; {
			before := subset.FitWork(s)
			s.Step(now)
			if work := subset.FitWork(s) - before; work > 1<<15+2*len(list) {
				t.Fatalf("a step costs %d hashes and row entries", work)
			}
			if !subset.FitRunning(s) || s.UsesAll() {
				break
			}
		}
	}
}

// The memory kept for fits is as documented: rows in a large fleet, next to nothing in a small one.
func TestFitMemoryIsBounded(t *testing.T) {
	for _, c := range []struct{ gateways, backends, limit int }{{300, 200, 16 << 10}, {23, 59, 4 << 10}, {480, 1600, 360 << 10}} {
		list := backends(0, c.backends, 5)
		s := newSet(t, subset.Config{Gateways: c.gateways}, list)
		now := time.Duration(0)
		for i := range 200 { // 20 backends are removed and restored, repeatedly
			s.Update([]subset.Change{{Backend: list[i%20], Removed: i/20%2 == 0}})
			for now += maxStaleness; s.Step(now) || subset.FitRunning(s); {
			}
		}
		t.Logf("%d gateways, %d backends: %d bytes", c.gateways, c.backends, subset.FitBytes(s))
		if n := subset.FitBytes(s); n > c.limit {
			t.Errorf("%d gateways, %d backends: %d bytes are kept, want at most %d", c.gateways, c.backends, n, c.limit)
		}
	} // Rows don't grow with the list while the number of backends in use stays the same.
	list := backends(0, 400, 5)
	s := newSet(t, subset.Config{Gateways: 2000}, list[:40])
	now := time.Duration(0)
	for n := 40; n < len(list); n++ {
		s.Update([]subset.Change{{Backend: list[n]}})
		for now += maxStaleness; s.Step(now) || subset.FitRunning(s); {
		}
	}
	if n := subset.FitBytes(s); s.Size() != 4 || n > 2000*(24+4*12)+64*len(list) {
		t.Errorf("2,000 gateways with %d of a growing list in use: %d bytes are kept", s.Size(), n)
	}
}
