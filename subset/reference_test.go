package subset_test

// reference is package subset as it stood before rows were kept from one fit to the
// next: each list is sorted anew, and each fit draws for every gateway and backend.
// Its code is left as it was but for its names.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"wickarch/subset"
)

// Settings. Each is a ratio to what Config and the list state.
const (
	least     = 4    // backends in use at least, where there are so many: choice among them, and what a failure of one takes
	cover     = 16   // gateways that use each backend at least, on average: unequal traffic evens out over several only
	nearlyAll = 0.7  // a set of more than this part of all backends is all of them
	roomOut   = 2.0  // backends in use for each attempt out: so many free ones, warm, are met by the next attempt
	rateSpans = 2.0  // spans of Config.Stale over which the rate is averaged while it grows ...
	restSpans = 30.0 // ... and while it falls: a set shrinks slowly, as its connections are paid for
	stepUp    = 1.25 // the size changes only where the need is off by more than this, so that noise moves nothing
	rounds    = 12   // of proportional fitting, at most
	fitted    = 0.02 // it ends once every backend is this close to its part
	pull      = 20.0 // how much more a backend of the own zone is worth, for each unit of the price of leaving it ...
	freely    = 0.03 // ... beyond this: for less the zone is left freely, as to prefer it makes the fleet's load uneven
	away      = 0.25 // part of the work that leaves the zone at least: its loss must not be met by strangers alone
)

// reference is what one gateway uses. It is not safe for concurrent use.
type reference struct {
	cfg   subset.Config
	list  []subset.Backend // by key
	size  int
	order []subset.Candidate
	even  map[uint64]float64 // factors of parts, by key, as last fitted
	stray bool               // the list has changed since

	rate  float64 // attempts a second
	out   float64 // attempts out, most of late
	level float64 // size that the traffic asks for
	sent  int     // since the last step
	peak  int     // attempts out at most since then
	next  time.Duration
	rows  []pair // scratch of the fitting
}

type pair struct {
	score float64
	to    int32 // place in list
}

// newReference makes a set. Its error names the field of cfg that cannot be served.
func newReference(cfg subset.Config, now time.Duration) (*reference, error) {
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
	return &reference{cfg: cfg, next: now + cfg.MaxStaleness}, nil
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
func draw(gateway uint64, b *subset.Backend) float64 {
	return (float64(mix(b.Key^gateway)>>11) + 0.5) / (1 << 53)
}

func weightOf(b *subset.Backend) float64 {
	if b.Weight > 0 && !math.IsInf(b.Weight, 1) {
		return b.Weight
	}
	return 1
}

// Members takes the backends that take new work, all of them, in any order. Of
// two with one key the first counts. What is in use, and in which order, follows
// at once; parts are fitted to a list that changes again and again once in each
// span of Config.Stale, as that costs time for every gateway and backend.
func (s *reference) Members(list []subset.Backend) {
	s.list = append(s.list[:0], list...)
	slices.SortStableFunc(s.list, func(a, b subset.Backend) int { return cmp.Compare(a.Key, b.Key) })
	s.list = slices.CompactFunc(s.list, func(a, b subset.Backend) bool { return a.Key == b.Key })
	s.resize()
	s.stray = true
	if s.even == nil && !s.Whole() {
		s.fit()
	}
	s.arrange()
}

// Sent notes a first attempt, with so many attempts out.
func (s *reference) Sent(out int) {
	s.sent++
	s.peak = max(s.peak, out)
}

// Step takes the time. It returns true if Order or Size has changed.
func (s *reference) Step(now time.Duration) bool {
	if now < s.next {
		return false
	}
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
	resized := s.resize()
	if !resized && !s.stray {
		return false
	}
	if (resized || s.stray) && !s.Whole() {
		s.fit()
	}
	s.arrange()
	return true
}

// Size is how many of Order are in use while all of them take work.
func (s *reference) Size() int { return s.size }

// Whole tells that all backends are in use: there is nothing to choose.
func (s *reference) Whole() bool { return s.size >= len(s.list) }

// Order is all backends, in the order in which this gateway turns to them. It is
// valid until the next call of Members or Step.
func (s *reference) Order() []subset.Candidate { return s.order }

// resize works out the size, and tells whether it has changed.
func (s *reference) resize() bool {
	n, before := float64(len(s.list)), s.size
	size := math.Ceil(max(least, cover*n/float64(s.cfg.Gateways), s.level))
	if size >= nearlyAll*n {
		size = n
	}
	s.size = int(size)
	return s.size != before
}

// arrange makes the order and the parts.
func (s *reference) arrange() {
	s.order = s.order[:0]
	if s.Whole() { // as the list stands, so that nothing hangs on a rank that means nothing
		for i := range s.list {
			s.order = append(s.order, subset.Candidate{ID: s.list[i].ID, PickWeight: 1})
		}
		return
	}
	own := s.zoneWeight()
	row := s.rows[:0]
	for i := range s.list {
		b := &s.list[i]
		w := weightOf(b)
		if b.Zone == s.cfg.Zone {
			w *= own
		}
		row = append(row, pair{-math.Log(draw(mix(uint64(s.cfg.Self)), b)) / w, int32(i)})
	}
	slices.SortFunc(row, func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.to, b.to))
	})
	sum := 0.0
	for i, p := range row {
		b := &s.list[p.to]
		part, ok := s.even[b.Key]
		if !ok {
			part = 1 // new, until the next fit
		}
		if i < s.size {
			sum += part
		}
		s.order = append(s.order, subset.Candidate{ID: b.ID, PickWeight: part})
	}
	for i := range s.order {
		s.order[i].PickWeight *= float64(s.size) / sum
	}
	s.rows = row[:0]
}

// zoneWeight is how much more a backend of the own zone counts: as the price of
// leaving it asks, as far as the zone can carry the gateways that lie in it (of
// which each zone is taken to have as many), and never so far that its loss
// would leave nothing in use.
func (s *reference) zoneWeight() float64 {
	zones := map[int]bool{}
	all, own := 0.0, 0.0
	for i := range s.list {
		b := &s.list[i]
		zones[b.Zone] = true
		all += weightOf(b)
		if b.Zone == s.cfg.Zone {
			own += weightOf(b)
		}
	}
	share := own / all
	most := min(1-away, share*float64(len(zones)))
	if share <= 0 || share >= most {
		return 1
	}
	return max(1, min(1+pull*max(0, s.cfg.CrossZoneCost-freely), most*(1-share)/(share*(1-most))))
}

// fit works out, for each backend, the factor by which every gateway multiplies
// its part so that what all gateways together give each is as its weight, if all
// have as much to give and as many in use as this one.
func (s *reference) fit() {
	s.stray = false
	n, k := len(s.list), s.size
	alike := !slices.ContainsFunc(s.list, func(b subset.Backend) bool { return weightOf(&b) != weightOf(&s.list[0]) })
	uses := make([]int32, 0, s.cfg.Gateways*k)
	heap := make([]pair, 0, k)
	for j := range s.cfg.Gateways {
		heap = heap[:0]
		gateway := mix(uint64(j))
		for i := range s.list {
			b := &s.list[i]
			u, w := draw(gateway, b), 1.0
			rank := 1 - u // ranks as -ln u does
			if !alike {
				w = weightOf(b)
			}
			if len(heap) == k && rank > heap[0].score*w {
				continue // -ln u is no less: most need no logarithm
			}
			if !alike {
				rank = -math.Log(u) / w
			}
			heap = keep(heap, k, pair{rank, int32(i)})
		}
		for _, p := range heap {
			uses = append(uses, p.to)
		}
	}
	want, total := make([]float64, n), 0.0
	for i := range s.list {
		want[i] = weightOf(&s.list[i])
		total += want[i]
	}
	factor, got := make([]float64, n), make([]float64, n)
	for i := range want {
		want[i] *= float64(s.cfg.Gateways) / total
		factor[i] = 1
	}
	for range rounds {
		clear(got)
		for j := 0; j < len(uses); j += k {
			sum := 0.0
			for _, i := range uses[j : j+k] {
				sum += factor[i]
			}
			sum = 1 / sum
			for _, i := range uses[j : j+k] {
				got[i] += factor[i] * sum
			}
		}
		off := 0.0
		for i := range factor {
			if got[i] > 0 { // nobody uses it otherwise
				off = max(off, math.Abs(got[i]/want[i]-1))
				factor[i] *= want[i] / got[i]
			}
		}
		if off < fitted {
			break
		}
	}
	s.even = make(map[uint64]float64, n)
	for i := range factor {
		s.even[s.list[i].Key] = factor[i]
	}
}

// keep adds a pair to a heap of the k least, the greatest on top.
func keep(h []pair, k int, p pair) []pair {
	less := func(a, b pair) bool { return a.score < b.score || a.score == b.score && a.to < b.to }
	if len(h) < k {
		h = append(h, p)
		for i := len(h) - 1; i > 0 && less(h[(i-1)/2], h[i]); i = (i - 1) / 2 {
			h[(i-1)/2], h[i] = h[i], h[(i-1)/2]
		}
		return h
	}
	if !less(p, h[0]) {
		return h
	}
	h[0] = p
	for i := 0; ; {
		c := 2*i + 1
		if c >= k {
			return h
		}
		if c+1 < k && less(h[c], h[c+1]) {
			c++
		}
		if !less(h[i], h[c]) {
			return h
		}
		h[i], h[c] = h[c], h[i]
		i = c
	}
}
