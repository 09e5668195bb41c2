// Package subset selects the backends that one of many gateways uses, and the
// share of its work that each of them gets. Gateways do not communicate: each
// computes the whole assignment from the same list and the same number of
// gateways, so that the load of the backends is even over the fleet.
//
// A [Set] is a pure state machine: it has no I/O, no goroutine, no clock and no
// random numbers. Time is a [time.Duration] on the caller's clock. At one gateway
// the same backends give the same set, in whatever order they were listed.
//
// The ranking is rendezvous hashing (Thaler and Ravishankar, "Using name-based
// mappings to increase hit rates", IEEE/ACM ToN 1998), so that the removal of a
// backend affects only the gateways that use it. The shares are balanced by
// iterative proportional fitting (Sinkhorn and Knopp, 1967).
// docs/design/subsets.md compares the alternatives.
package subset

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
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
	zoneWeightPerCost     = 20.0 // extra weight of backends in the own zone per unit of CrossZoneCost above freeCrossZoneCost
	freeCrossZoneCost     = 0.03 // up to this cost the own zone is not preferred, as a preference makes the fleet's load uneven
	minCrossZoneShare     = 0.25 // minimum share of work outside the zone: if the zone fails, backends in use must remain
)

// Config holds what a deployment configures for each gateway.
type Config struct {
	Gateways      int           // number of gateways that share the backends
	Self          int           // index of this gateway, from 0
	Zone          int           // of this gateway
	CrossZoneCost float64       // cost of sending a request to another zone, as a fraction of its worth
	MaxStaleness  time.Duration // age from which an observation of a backend says little about it
}

// Backend is a backend that accepts new work.
type Backend struct {
	ID     uint32 // the caller's identifier
	Key    uint64 // unique, and the same at every gateway; see KeyOf
	Zone   int
	Weight float64 // capacity relative to the other backends; 0 or less counts as 1
}

// Candidate is one backend in a gateway's order of preference.
type Candidate struct {
	ID         uint32
	PickWeight float64 // relative share of the gateway's work: 1 on average over the first Size, an estimate beyond them
}

// Set is the set of backends that one gateway uses. It is not safe for concurrent
// use. It takes about 120 bytes for each backend, and in a large fleet the data
// that one fit keeps for the next; see fitter.
type Set struct {
	cfg              Config
	byKey            []*member // all backends, sorted by key
	ranked           []*member // sorted by score; nil while all backends are in use
	rankedZoneWeight float64   // weight of the own zone in the scores of ranked
	size             int
	order            []Candidate
	fit              fitter
	needsFit         bool // the list or the size has changed since the last fit was started

	attemptRate  float64 // moving average, per second
	inFlight     float64 // moving average of the peaks
	trafficSize  float64 // size that the traffic requires
	attempts     int     // since the last update of the size
	peakInFlight int     // maximum of attempts in flight since then
	nextUpdate   time.Duration
}

// member is a backend of the list with its rank data at this gateway.
type member struct {
	Backend
	negLogHash float64 // -ln of the gateway's hash for the backend; 0: not computed yet
	score      float64 // negLogHash over the weight
	factor     float64 // of its pick weight, from the last fit
}

// New returns an empty set. An error names the invalid field of cfg.
func New(cfg Config, now time.Duration) (*Set, error) {
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
	return &Set{cfg: cfg, nextUpdate: now + cfg.MaxStaleness}, nil
}

// KeyOf returns the key of the backend with this name.
func KeyOf(name string) uint64 {
	hash := uint64(14695981039346656037) // FNV-1a, then mixed, as its high bits are poorly distributed
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * 1099511628211
	}
	return mix(hash)
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
func unitHash(gateway, key uint64) float64 {
	return (float64(mix(key^gateway)>>11) + 0.5) / (1 << 53)
}

func weightOf(b *Backend) float64 {
	if b.Weight > 0 && !math.IsInf(b.Weight, 1) {
		return b.Weight
	}
	return 1
}

// SetBackends replaces the list by all backends that accept new work, in any order.
// Of two with the same key the first counts. Size and Order follow at once. Pick
// weights are fitted to a changed list at most once per Config.MaxStaleness, as the
// cost of a fit grows with the number of gateways and backends.
func (s *Set) SetBackends(list []Backend) {
	type entry struct {
		key   uint64
		index int
	}
	entries := make([]entry, len(list))
	for i := range list {
		entries[i] = entry{list[i].Key, i}
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Or(cmp.Compare(a.key, b.key), a.index-b.index) })
	members := make([]member, 0, len(list)) // never reallocated: s.byKey points into it
	s.byKey, s.ranked = make([]*member, 0, len(list)), nil
	for i, p := range entries {
		if i == 0 || p.key != entries[i-1].key {
			members = append(members, member{Backend: list[p.index], factor: s.fit.factorOf(p.key)})
			s.byKey = append(s.byKey, &members[len(members)-1])
		}
	}
	s.onListChange()
}

// Change is one change of the list of backends.
type Change struct {
	Backend
	Removed bool // it accepts no new work; only ID and Key are used
}

// Update applies changes to the list, one after the other. The result is that of
// SetBackends with the resulting list, but only the changed backends are processed.
// A change whose key is listed under another ID is ignored, which shows in Len.
func (s *Set) Update(changes []Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		i, found := slices.BinarySearchFunc(s.byKey, c.Key, func(m *member, key uint64) int { return cmp.Compare(m.Key, key) })
		if found && s.byKey[i].ID != c.ID || !found && c.Removed {
			continue
		}
		if found {
			if s.ranked != nil {
				rank, _ := slices.BinarySearchFunc(s.ranked, s.byKey[i], compareScores)
				s.ranked = slices.Delete(s.ranked, rank, rank+1)
			}
			s.byKey = slices.Delete(s.byKey, i, i+1)
		}
		if !c.Removed {
			m := &member{Backend: c.Backend, factor: s.fit.factorOf(c.Key)}
			s.byKey = slices.Insert(s.byKey, i, m)
			if s.ranked != nil {
				s.setScore(m)
				rank, _ := slices.BinarySearchFunc(s.ranked, m, compareScores)
				s.ranked = slices.Insert(s.ranked, rank, m)
			}
		}
	}
	s.onListChange()
}

// Len returns the number of backends in the list.
func (s *Set) Len() int { return len(s.byKey) }

// onListChange updates the size and the order after a change of the list. The
// first fit is run at once and in full.
func (s *Set) onListChange() {
	s.resize()
	s.needsFit = true
	if s.fit.factors == nil && !s.UsesAll() {
		s.advanceFit(math.MaxInt)
	}
	s.rebuildOrder()
}

// RecordAttempt counts a first attempt; inFlight is the number of attempts in flight.
func (s *Set) RecordAttempt(inFlight int) {
	s.attempts++
	s.peakInFlight = max(s.peakInFlight, inFlight)
}

// Step advances the time. It returns true if Order or Size has changed. In a large
// fleet one call does a small part of a fit; until it is complete, the previous
// pick weights stay in force.
func (s *Set) Step(now time.Duration) bool {
	due := now >= s.nextUpdate
	resized := due && s.updateSize(now)
	s.needsFit = s.needsFit || resized && s.fit.running // the running fit is for the previous size
	changed := resized || due && s.needsFit
	if !s.UsesAll() && (changed || s.fit.running) {
		changed = s.advanceFit(stepWork) || resized
	}
	if changed {
		s.rebuildOrder()
	}
	return changed
}

// updateSize recomputes how many backends the traffic requires, once per
// Config.MaxStaleness, and reports whether the size has changed.
func (s *Set) updateSize(now time.Duration) bool {
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
	return s.resize()
}

// Size returns how many backends, the first of Order, are in use while all of them
// accept work.
func (s *Set) Size() int { return s.size }

// UsesAll reports whether all backends are in use, which leaves nothing to select.
func (s *Set) UsesAll() bool { return s.size >= len(s.byKey) }

// Order returns all backends in this gateway's order of preference. It is valid
// until the next call of SetBackends, Update or Step.
func (s *Set) Order() []Candidate { return s.order }

// resize recomputes the size, and reports whether it has changed.
func (s *Set) resize() bool {
	n, previous := float64(len(s.byKey)), s.size
	size := math.Ceil(max(minSize, minGatewaysPerBackend*n/float64(s.cfg.Gateways), s.trafficSize))
	if size >= useAllShare*n {
		size = n
	}
	s.size = int(size)
	return s.size != previous
}

// rebuildOrder recomputes the order and the pick weights.
func (s *Set) rebuildOrder() {
	s.order = s.order[:0]
	if s.UsesAll() { // in the order of the keys: the rank is meaningless here, and nothing may depend on it
		s.ranked = nil
		for _, m := range s.byKey {
			s.order = append(s.order, Candidate{m.ID, 1})
		}
		return
	}
	if zoneWeight := s.ownZoneWeight(); s.ranked == nil || zoneWeight != s.rankedZoneWeight {
		s.rankedZoneWeight = zoneWeight
		s.ranked = append(s.ranked[:0], s.byKey...)
		for _, m := range s.ranked {
			s.setScore(m)
		}
		slices.SortFunc(s.ranked, compareScores)
	}
	sum := 0.0
	for i, m := range s.ranked {
		if i < s.size {
			sum += m.factor
		}
		s.order = append(s.order, Candidate{m.ID, m.factor})
	}
	for i := range s.order {
		s.order[i].PickWeight *= float64(s.size) / sum
	}
}

// setScore computes the score of a backend at this gateway.
func (s *Set) setScore(m *member) {
	if m.negLogHash == 0 {
		m.negLogHash = -math.Log(unitHash(mix(uint64(s.cfg.Self)), m.Key))
	}
	weight := weightOf(&m.Backend)
	if m.Zone == s.cfg.Zone {
		weight *= s.rankedZoneWeight
	}
	m.score = m.negLogHash / weight
}

func compareScores(a, b *member) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.Key, b.Key))
}

// ownZoneWeight returns the weight of a backend in the own zone relative to others.
// It grows with the cost of leaving the zone, within the capacity of the zone for
// the gateways in it (assumed to be equally many in each zone). At least
// minCrossZoneShare of the work leaves the zone, so that backends in use remain if
// the zone fails.
func (s *Set) ownZoneWeight() float64 {
	if s.cfg.CrossZoneCost <= freeCrossZoneCost {
		return 1
	}
	var zones []int
	totalWeight, ownWeight := 0.0, 0.0
	for _, m := range s.byKey {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
		totalWeight += weightOf(&m.Backend)
		if m.Zone == s.cfg.Zone {
			ownWeight += weightOf(&m.Backend)
		}
	}
	ownShare := ownWeight / totalWeight
	maxShare := min(1-minCrossZoneShare, ownShare*float64(len(zones)))
	if ownShare <= 0 || ownShare >= maxShare {
		return 1
	}
	return max(1, min(1+zoneWeightPerCost*max(0, s.cfg.CrossZoneCost-freeCrossZoneCost), maxShare*(1-ownShare)/(ownShare*(1-maxShare))))
}

// advanceFit starts a fit or continues the running one, for about this many units
// of work. It reports whether the fit is complete and its factors are in force.
func (s *Set) advanceFit(work int) bool {
	if !s.fit.running {
		s.needsFit = false
		s.fit.start(s.byKey, s.cfg.Gateways, s.size)
	}
	if !s.fit.step(work) {
		return false
	}
	for _, m := range s.byKey {
		m.factor = s.fit.factorOf(m.Key)
	}
	return true
}
