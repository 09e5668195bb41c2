package subset_test

// reference is package subset before it kept rows from one fit to the next: each list
// is sorted anew, and each fit computes a hash for every gateway and backend. The code
// is unchanged except for names and comments.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"wickarch/subset"
)

// Settings, relative to the values of Config and to the list.
const (
	minSize               = 4    // minimum of backends in use: leaves a choice, and limits the share that one failure affects
	minGatewaysPerBackend = 16   // minimum on average: uneven traffic of gateways only averages out over several
	useAllShare           = 0.7  // a set of at least this share of the list is extended to the whole list
	backendsPerInFlight   = 2.0  // backends in use per attempt in flight, so that the next one finds idle, warm backends
	riseTimeConstant      = 2.0  // of the traffic averages while they rise, in units of Config.MaxStaleness
	fallTimeConstant      = 30.0 // the same while they fall: a set shrinks slowly, as its connections are already set up
	resizeRatio           = 1.25 // hysteresis: the size changes only if demand is off by more than this, not with noise
	maxRounds             = 12   // of proportional fitting
	tolerance             = 0.02 // a fit ends once the share of each backend is within this of its target
	zoneWeightPerCost     = 20.0 // extra weight of backends in the own zone per unit of CrossZoneCost above freeCrossZoneCost
	freeCrossZoneCost     = 0.03 // up to this cost the own zone is not preferred, as a preference makes the fleet's load uneven
	minCrossZoneShare     = 0.25 // minimum share of work outside the zone: if the zone fails, backends in use must remain
)

// reference is the set of backends that one gateway uses. It is not safe for concurrent use.
type reference struct {
	cfg      subset.Config
	byKey    []subset.Backend // sorted by key
	size     int
	order    []subset.Candidate
	factors  map[uint64]float64 // of the pick weights, by key, from the last fit
	needsFit bool               // the list has changed since the last fit

	attemptRate  float64 // moving average, per second
	inFlight     float64 // moving average of the peaks
	trafficSize  float64 // size that the traffic requires
	attempts     int     // since the last update of the size
	peakInFlight int     // maximum of attempts in flight since then
	nextUpdate   time.Duration
	scratch      []scoredEntry // reused by rebuildOrder
}

type scoredEntry struct {
	score float64
	index int32 // in byKey
}

// newReference returns an empty set. An error names the invalid field of cfg.
func newReference(cfg subset.Config, now time.Duration) (*reference, error) {
	switch {
	case cfg.Gateways < 1:
		return nil, fmt.Errorf("subset: Config.Gateways is %d, want at least 1", cfg.Gateways)
	case cfg.Self < 0 || cfg.Self >= cfg.Gateways:
		return nil, fmt.Errorf("subset: Config.Self is %d, outside the %d gateways", cfg.Self, cfg.Gateways)
	case cfg.MaxStaleness <= 0:
		return nil, fmt.Errorf("subset: Config.MaxStaleness is %v, want more than 0", cfg.MaxStaleness)
	case !(cfg.CrossZoneCost >= 0) || math.IsInf(cfg.CrossZoneCost, 1):
		return nil, fmt.Errorf("subset: Config.CrossZoneCost is %v, want 0 or more", cfg.CrossZoneCost)
	}
	return &reference{cfg: cfg, nextUpdate: now + cfg.MaxStaleness}, nil
}

// mix is the finalizer of splitmix64 (Steele, Lea and Flood, "Fast splittable
// pseudorandom number generators", OOPSLA 2014).
func mix(z uint64) uint64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// unitHash hashes a gateway and a backend to a number uniform over 0 to 1. In
// ascending order of -ln(unitHash) / weight, a backend ranks first with a
// probability proportional to its weight (weighted rendezvous hashing:
// Schindelhauer and Schomaker, "Weighted distributed hash tables", SPAA 2005).
func unitHash(gateway uint64, b *subset.Backend) float64 {
	return (float64(mix(b.Key^gateway)>>11) + 0.5) / (1 << 53)
}

func weightOf(b *subset.Backend) float64 {
	if b.Weight > 0 && !math.IsInf(b.Weight, 1) {
		return b.Weight
	}
	return 1
}

// SetBackends replaces the list by all backends that accept new work, in any order.
// Of two with the same key the first counts. Size and Order follow at once. Pick
// weights are fitted to a changed list at most once per Config.MaxStaleness, as the
// cost of a fit grows with the number of gateways and backends.
func (s *reference) SetBackends(list []subset.Backend) {
	s.byKey = append(s.byKey[:0], list...)
	slices.SortStableFunc(s.byKey, func(a, b subset.Backend) int { return cmp.Compare(a.Key, b.Key) })
	s.byKey = slices.CompactFunc(s.byKey, func(a, b subset.Backend) bool { return a.Key == b.Key })
	s.resize()
	s.needsFit = true
	if s.factors == nil && !s.UsesAll() {
		s.fit()
	}
	s.rebuildOrder()
}

// RecordAttempt counts a first attempt; inFlight is the number of attempts in flight.
func (s *reference) RecordAttempt(inFlight int) {
	s.attempts++
	s.peakInFlight = max(s.peakInFlight, inFlight)
}

// Step advances the time. It returns true if Order or Size has changed.
func (s *reference) Step(now time.Duration) bool {
	if now < s.nextUpdate {
		return false
	}
	elapsed := (now - s.nextUpdate + s.cfg.MaxStaleness).Seconds()
	s.nextUpdate = now + s.cfg.MaxStaleness
	smooth := func(average *float64, sample float64) {
		timeConstant := fallTimeConstant
		if sample > *average {
			timeConstant = riseTimeConstant
		}
		*average += (1 - math.Exp(-elapsed/s.cfg.MaxStaleness.Seconds()/timeConstant)) * (sample - *average)
	}
	smooth(&s.attemptRate, float64(s.attempts)/elapsed)
	smooth(&s.inFlight, float64(s.peakInFlight))
	s.attempts, s.peakInFlight = 0, 0
	if need := max(s.attemptRate*s.cfg.MaxStaleness.Seconds(), backendsPerInFlight*s.inFlight); need > s.trafficSize ||
		need*resizeRatio < s.trafficSize {
		s.trafficSize = need * math.Sqrt(resizeRatio) // demand may vary in both directions without a resize
	}
	resized := s.resize()
	if !resized && !s.needsFit {
		return false
	}
	if (resized || s.needsFit) && !s.UsesAll() {
		s.fit()
	}
	s.rebuildOrder()
	return true
}

// Size returns how many backends, the first of Order, are in use while all of them
// accept work.
func (s *reference) Size() int { return s.size }

// UsesAll reports whether all backends are in use, which leaves nothing to select.
func (s *reference) UsesAll() bool { return s.size >= len(s.byKey) }

// Order returns all backends in this gateway's order of preference. It is valid
// until the next call of SetBackends or Step.
func (s *reference) Order() []subset.Candidate { return s.order }

// resize recomputes the size, and reports whether it has changed.
func (s *reference) resize() bool {
	n, previous := float64(len(s.byKey)), s.size
	size := math.Ceil(max(minSize, minGatewaysPerBackend*n/float64(s.cfg.Gateways), s.trafficSize))
	if size >= useAllShare*n {
		size = n
	}
	s.size = int(size)
	return s.size != previous
}

// rebuildOrder recomputes the order and the pick weights.
func (s *reference) rebuildOrder() {
	s.order = s.order[:0]
	if s.UsesAll() { // in the order of the keys: the rank is meaningless here, and nothing may depend on it
		for i := range s.byKey {
			s.order = append(s.order, subset.Candidate{ID: s.byKey[i].ID, PickWeight: 1})
		}
		return
	}
	zoneWeight := s.ownZoneWeight()
	row := s.scratch[:0]
	for i := range s.byKey {
		b := &s.byKey[i]
		weight := weightOf(b)
		if b.Zone == s.cfg.Zone {
			weight *= zoneWeight
		}
		row = append(row, scoredEntry{-math.Log(unitHash(mix(uint64(s.cfg.Self)), b)) / weight, int32(i)})
	}
	slices.SortFunc(row, func(a, b scoredEntry) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.index, b.index))
	})
	sum := 0.0
	for i, p := range row {
		b := &s.byKey[p.index]
		factor, ok := s.factors[b.Key]
		if !ok {
			factor = 1 // new, until the next fit
		}
		if i < s.size {
			sum += factor
		}
		s.order = append(s.order, subset.Candidate{ID: b.ID, PickWeight: factor})
	}
	for i := range s.order {
		s.order[i].PickWeight *= float64(s.size) / sum
	}
	s.scratch = row[:0]
}

// ownZoneWeight returns the weight of a backend in the own zone relative to others.
// It grows with the cost of leaving the zone, within the capacity of the zone for
// the gateways in it (assumed to be equally many in each zone). At least
// minCrossZoneShare of the work leaves the zone, so that backends in use remain if
// the zone fails.
func (s *reference) ownZoneWeight() float64 {
	zones := map[int]bool{}
	totalWeight, ownWeight := 0.0, 0.0
	for i := range s.byKey {
		b := &s.byKey[i]
		zones[b.Zone] = true
		totalWeight += weightOf(b)
		if b.Zone == s.cfg.Zone {
			ownWeight += weightOf(b)
		}
	}
	ownShare := ownWeight / totalWeight
	maxShare := min(1-minCrossZoneShare, ownShare*float64(len(zones)))
	if ownShare <= 0 || ownShare >= maxShare {
		return 1
	}
	return max(1, min(1+zoneWeightPerCost*max(0, s.cfg.CrossZoneCost-freeCrossZoneCost), maxShare*(1-ownShare)/(ownShare*(1-maxShare))))
}

// fit computes, for each backend, the factor by which every gateway multiplies the
// backend's share, so that the total load of each backend is proportional to its
// weight. It assumes that all gateways have the same load and the same number of
// backends in use as this one.
func (s *reference) fit() {
	s.needsFit = false
	n, k := len(s.byKey), s.size
	equalWeights := !slices.ContainsFunc(s.byKey, func(b subset.Backend) bool { return weightOf(&b) != weightOf(&s.byKey[0]) })
	rows := make([]int32, 0, s.cfg.Gateways*k)
	heap := make([]scoredEntry, 0, k)
	for j := range s.cfg.Gateways {
		heap = heap[:0]
		gateway := mix(uint64(j))
		for i := range s.byKey {
			b := &s.byKey[i]
			u, weight := unitHash(gateway, b), 1.0
			entryScore := 1 - u // same order as -ln u
			if !equalWeights {
				weight = weightOf(b)
			}
			if len(heap) == k && entryScore > heap[0].score*weight {
				continue // -ln u is at least 1-u, so most backends need no logarithm
			}
			if !equalWeights {
				entryScore = -math.Log(u) / weight
			}
			heap = pushBounded(heap, k, scoredEntry{entryScore, int32(i)})
		}
		for _, p := range heap {
			rows = append(rows, p.index)
		}
	}
	target, total := make([]float64, n), 0.0
	for i := range s.byKey {
		target[i] = weightOf(&s.byKey[i])
		total += target[i]
	}
	factor, assigned := make([]float64, n), make([]float64, n)
	for i := range target {
		target[i] *= float64(s.cfg.Gateways) / total
		factor[i] = 1
	}
	for range maxRounds {
		clear(assigned)
		for j := 0; j < len(rows); j += k {
			sum := 0.0
			for _, i := range rows[j : j+k] {
				sum += factor[i]
			}
			sum = 1 / sum
			for _, i := range rows[j : j+k] {
				assigned[i] += factor[i] * sum
			}
		}
		maxError := 0.0
		for i := range factor {
			if assigned[i] > 0 { // otherwise no gateway uses it
				maxError = max(maxError, math.Abs(assigned[i]/target[i]-1))
				factor[i] *= target[i] / assigned[i]
			}
		}
		if maxError < tolerance {
			break
		}
	}
	s.factors = make(map[uint64]float64, n)
	for i := range factor {
		s.factors[s.byKey[i].Key] = factor[i]
	}
}

// pushBounded adds an entry to a max-heap of the k lowest scores.
func pushBounded(heap []scoredEntry, k int, p scoredEntry) []scoredEntry {
	less := func(a, b scoredEntry) bool { return a.score < b.score || a.score == b.score && a.index < b.index }
	if len(heap) < k {
		heap = append(heap, p)
		for i := len(heap) - 1; i > 0 && less(heap[(i-1)/2], heap[i]); i = (i - 1) / 2 {
			heap[(i-1)/2], heap[i] = heap[i], heap[(i-1)/2]
		}
		return heap
	}
	if !less(p, heap[0]) {
		return heap
	}
	heap[0] = p
	for i := 0; ; {
		child := 2*i + 1
		if child >= k {
			return heap
		}
		if child+1 < k && less(heap[child], heap[child+1]) {
			child++
		}
		if !less(heap[i], heap[child]) {
			return heap
		}
		heap[i], heap[child] = heap[child], heap[i]
		i = child
	}
}
