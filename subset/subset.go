// Package subset decides which of many backends one of many gateways uses, and
// for how large a part of its work each. Gateways do not talk: each works the
// whole assignment out of the same list and the same number of gateways, so that
// what all of them use comes out even.
//
// A [Set] is a pure state machine: it has no I/O, no goroutine, no clock and no
// random numbers. Time is a [time.Duration] on the caller's clock. The same
// backends give the same set at a gateway, in whatever order they came.
//
// The ranking is rendezvous hashing (Thaler and Ravishankar, "Using name-based
// mappings to increase hit rates", IEEE/ACM ToN 1998), so that a backend which
// goes moves its own pairs alone. Its parts are evened out by proportional
// fitting of the assignment (Sinkhorn and Knopp, 1967). docs/design/subsets.md
// weighs the other ways.
package subset

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Settings. Each is a ratio to what Config and the list state.
const (
	least     = 4    // backends in use at least, where there are so many: choice among them, and what a failure of one takes
	cover     = 16   // gateways that use each backend at least, on average: unequal traffic evens out over several only
	nearlyAll = 0.7  // a set of more than this part of all backends is all of them
	roomOut   = 2.0  // backends in use for each attempt out: so many free ones, warm, are met by the next attempt
	rateSpans = 2.0  // spans of Config.MaxStaleness over which the rate is averaged while it grows ...
	restSpans = 30.0 // ... and while it falls: a set shrinks slowly, as its connections are paid for
	stepUp    = 1.25 // the size changes only where the need is off by more than this, so that noise moves nothing
	pull      = 20.0 // how much more a backend of the own zone is worth, for each unit of the price of leaving it ...
	freely    = 0.03 // ... beyond this: for less the zone is left freely, as to prefer it makes the fleet's load uneven
	away      = 0.25 // part of the work that leaves the zone at least: its loss must not be met by strangers alone
)

// Config is what a deployment states to each gateway.
type Config struct {
	Gateways      int           // that share the backends
	Self          int           // number of this one, from 0
	Zone          int           // of this gateway
	CrossZoneCost float64       // price of a request that leaves the zone, as a part of its worth
	MaxStaleness  time.Duration // what was seen of a backend tells little after this
}

// Backend is one that takes new work.
type Backend struct {
	ID     uint32 // the caller's number for it
	Key    uint64 // the same at every gateway, different for each backend: see KeyOf
	Zone   int
	Weight float64 // its size among the others'; 0 or less: 1
}

// Candidate is one backend in the order in which a gateway turns to them.
type Candidate struct {
	ID         uint32
	PickWeight float64 // of the gateway's work while the first Size are in use, 1 on average; beyond them an estimate
}

// Set is what one gateway uses. It is not safe for concurrent use. It keeps about
// 120 bytes for each backend, and in a large fleet what a fit leaves for the next:
// see fitting.
type Set struct {
	cfg    Config
	list   []*member // by key
	ranked []*member // by score; nil while all are in use
	own    float64   // how much more the own zone counts in these scores
	size   int
	order  []Candidate
	fit    fitting
	stray  bool // the list has changed since the last fit began

	rate  float64 // attempts a second
	out   float64 // attempts out, most of late
	level float64 // size that the traffic asks for
	sent  int     // since the last step
	peak  int     // attempts out at most since then
	next  time.Duration
}

// member is one backend of the list, as this gateway ranks it.
type member struct {
	Backend
	draw  float64 // -ln of the gateway's draw for it; 0: not drawn yet
	score float64 // that over its weight
	part  float64 // factor as last fitted
}

// New makes a set. Its error names the field of cfg that cannot be served.
func New(cfg Config, now time.Duration) (*Set, error) {
	switch {
	case cfg.Gateways < 1:
		return nil, fmt.Errorf("subset: Config.Gateways is %d, want at least 1", cfg.Gateways)
	case cfg.Self < 0 || cfg.Self >= cfg.Gateways:
		return nil, fmt.Errorf("subset: Config.Self is %d, outside the %d gateways", cfg.Self, cfg.Gateways)
	case cfg.MaxStaleness <= 0:
		return nil, fmt.Errorf("subset: Config.Stale is %v, want more than 0", cfg.MaxStaleness)
	case !(cfg.CrossZoneCost >= 0) || math.IsInf(cfg.CrossZoneCost, 1):
		return nil, fmt.Errorf("subset: Config.CrossZoneCost is %v, want 0 or more", cfg.CrossZoneCost)
	}
	return &Set{cfg: cfg, next: now + cfg.MaxStaleness}, nil
}

// KeyOf turns a backend's name into its key.
func KeyOf(name string) uint64 {
	h := uint64(14695981039346656037) // FNV-1a, then mixed: its high bits alone are poor
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return mix(h)
}

// mix is the finalizer of splitmix64 (Steele, Lea and Flood, "Fast splittable
// pseudorandom number generators", OOPSLA 2014).
func mix(z uint64) uint64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// draw is a gateway's number for a backend, even over 0 to 1. Ranked by -ln of it
// over the weight, the least first, backends come as often as they weigh (weighted
// rendezvous hashing: Schindelhauer and Schomaker, "Weighted distributed hash
// tables", SPAA 2005).
func draw(gateway, key uint64) float64 {
	return (float64(mix(key^gateway)>>11) + 0.5) / (1 << 53)
}

func weightOf(b *Backend) float64 {
	if b.Weight > 0 && !math.IsInf(b.Weight, 1) {
		return b.Weight
	}
	return 1
}

// SetBackends takes the backends that take new work, all of them, in any order. Of
// two with one key the first counts. What is in use, and in which order, follows
// at once; parts are fitted to a list that changes again and again once in each
// span of Config.MaxStaleness, as that costs time for every gateway and backend.
func (s *Set) SetBackends(list []Backend) {
	type place struct {
		key uint64
		at  int
	}
	places := make([]place, len(list))
	for i := range list {
		places[i] = place{list[i].Key, i}
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Or(cmp.Compare(a.key, b.key), a.at-b.at) })
	all := make([]member, 0, len(list))
	s.list, s.ranked = make([]*member, 0, len(list)), nil
	for i, p := range places {
		if i == 0 || p.key != places[i-1].key {
			all = append(all, member{Backend: list[p.at], part: s.fit.factorOf(p.key)})
			s.list = append(s.list, &all[len(all)-1])
		}
	}
	s.changed()
}

// Change is one change of the list.
type Change struct {
	Backend
	Removed bool // it takes no new work; its ID and Key alone count
}

// Update takes changes of the list, one after the other. It leaves what SetBackends
// would with the list that they make, but looks only at what has changed. One
// whose key stands under another ID is left out, as Len shows.
func (s *Set) Update(changes []Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		i, known := slices.BinarySearchFunc(s.list, c.Key, func(m *member, key uint64) int { return cmp.Compare(m.Key, key) })
		if known && s.list[i].ID != c.ID || !known && c.Removed {
			continue
		}
		if known {
			if s.ranked != nil {
				at, _ := slices.BinarySearchFunc(s.ranked, s.list[i], byScore)
				s.ranked = slices.Delete(s.ranked, at, at+1)
			}
			s.list = slices.Delete(s.list, i, i+1)
		}
		if !c.Removed {
			m := &member{Backend: c.Backend, part: s.fit.factorOf(c.Key)}
			s.list = slices.Insert(s.list, i, m)
			if s.ranked != nil {
				s.weigh(m)
				at, _ := slices.BinarySearchFunc(s.ranked, m, byScore)
				s.ranked = slices.Insert(s.ranked, at, m)
			}
		}
	}
	s.changed()
}

// Len is how many backends the list holds.
func (s *Set) Len() int { return len(s.list) }

// changed follows the list.
func (s *Set) changed() {
	s.resize()
	s.stray = true
	if s.fit.factors == nil && !s.UsesAll() {
		s.refit(math.MaxInt)
	}
	s.arrange()
}

// RecordAttempt notes a first attempt, with so many attempts out.
func (s *Set) RecordAttempt(out int) {
	s.sent++
	s.peak = max(s.peak, out)
}

// Step takes the time. It returns true if Order or Size has changed. In a large
// fleet one call does a small part of a fit; the parts of before hold meanwhile.
func (s *Set) Step(now time.Duration) bool {
	due := now >= s.next
	resized := due && s.follow(now)
	s.stray = s.stray || resized && s.fit.busy // that fit is for the size of before
	changed := resized || due && s.stray
	if !s.UsesAll() && (changed || s.fit.busy) {
		changed = s.refit(stepWork) || resized
	}
	if changed {
		s.arrange()
	}
	return changed
}

// follow works out anew, once a span, how many backends the traffic asks for, and
// tells whether that is another size.
func (s *Set) follow(now time.Duration) bool {
	span := (now - s.next + s.cfg.MaxStaleness).Seconds()
	s.next = now + s.cfg.MaxStaleness
	follow := func(v *float64, seen float64) {
		spans := restSpans
		if seen > *v {
			spans = rateSpans
		}
		*v += (1 - math.Exp(-span/s.cfg.MaxStaleness.Seconds()/spans)) * (seen - *v)
	}
	follow(&s.rate, float64(s.sent)/span)
	follow(&s.out, float64(s.peak))
	s.sent, s.peak = 0, 0
	if need := max(s.rate*s.cfg.MaxStaleness.Seconds(), roomOut*s.out); need > s.level || need*stepUp < s.level {
		s.level = need * math.Sqrt(stepUp) // room on both sides, so that the need may wander
	}
	return s.resize()
}

// Size is how many of Order are in use while all of them take work.
func (s *Set) Size() int { return s.size }

// UsesAll tells that all backends are in use: there is nothing to choose.
func (s *Set) UsesAll() bool { return s.size >= len(s.list) }

// Order is all backends, in the order in which this gateway turns to them. It is
// valid until the next call of SetBackends or Step.
func (s *Set) Order() []Candidate { return s.order }

// resize works out the size, and tells whether it has changed.
func (s *Set) resize() bool {
	n, before := float64(len(s.list)), s.size
	size := math.Ceil(max(least, cover*n/float64(s.cfg.Gateways), s.level))
	if size >= nearlyAll*n {
		size = n
	}
	s.size = int(size)
	return s.size != before
}

// arrange makes the order and the parts.
func (s *Set) arrange() {
	s.order = s.order[:0]
	if s.UsesAll() { // as the list stands, so that nothing hangs on a rank that means nothing
		s.ranked = nil
		for _, m := range s.list {
			s.order = append(s.order, Candidate{m.ID, 1})
		}
		return
	}
	if own := s.zoneWeight(); s.ranked == nil || own != s.own {
		s.own = own
		s.ranked = append(s.ranked[:0], s.list...)
		for _, m := range s.ranked {
			s.weigh(m)
		}
		slices.SortFunc(s.ranked, byScore)
	}
	sum := 0.0
	for i, m := range s.ranked {
		if i < s.size {
			sum += m.part
		}
		s.order = append(s.order, Candidate{m.ID, m.part})
	}
	for i := range s.order {
		s.order[i].PickWeight *= float64(s.size) / sum
	}
}

// weigh works out the score of a backend at this gateway.
func (s *Set) weigh(m *member) {
	if m.draw == 0 {
		m.draw = -math.Log(draw(mix(uint64(s.cfg.Self)), m.Key))
	}
	w := weightOf(&m.Backend)
	if m.Zone == s.cfg.Zone {
		w *= s.own
	}
	m.score = m.draw / w
}

func byScore(a, b *member) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.Key, b.Key))
}

// zoneWeight is how much more a backend of the own zone counts: as the price of
// leaving it asks, as far as the zone can carry the gateways that lie in it (of
// which each zone is taken to have as many), and never so far that its loss
// would leave nothing in use.
func (s *Set) zoneWeight() float64 {
	if s.cfg.CrossZoneCost <= freely {
		return 1
	}
	var zones []int
	all, own := 0.0, 0.0
	for _, m := range s.list {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
		all += weightOf(&m.Backend)
		if m.Zone == s.cfg.Zone {
			own += weightOf(&m.Backend)
		}
	}
	share := own / all
	most := min(1-away, share*float64(len(zones)))
	if share <= 0 || share >= most {
		return 1
	}
	return max(1, min(1+pull*max(0, s.cfg.CrossZoneCost-freely), most*(1-share)/(share*(1-most))))
}

// refit begins a fit, or goes on with one, for about so many units of work. It
// tells whether the fit has ended and its parts are in force.
func (s *Set) refit(work int) bool {
	if !s.fit.busy {
		s.stray = false
		s.fit.begin(s.list, s.cfg.Gateways, s.size)
	}
	if !s.fit.step(work) {
		return false
	}
	for _, m := range s.list {
		m.part = s.fit.factorOf(m.Key)
	}
	return true
}
