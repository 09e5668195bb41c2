package subset

import (
	"cmp"
	"math"
	"slices"
)

// Settings of a fit.
const (
	rounds   = 12      // at most
	fitted   = 0.02    // it ends once every backend is this close to its part
	small    = 1 << 16 // draws for all gateways and backends up to which a fit is done at once, and keeps nothing
	stepWork = 1 << 15 // draws, and places in rows, that one step looks at in a larger one
	spare    = 8       // a row is drawn this much longer than is in use, and by one in so many: what goes leaves enough
)

// fitting works out, for each backend, the factor by which every gateway multiplies
// its part so that what all gateways together give each is as its weight, if all
// have as much to give and as many in use as this one.
//
// In a large fleet it keeps each gateway's row, the backends of its least scores in
// order, from one fit to the next. A backend that comes costs one draw for each
// gateway, one that goes is struck from the rows, and a row that gets too short is
// drawn anew. So a fit comes out as the first one would. Rows take 4 bytes for
// each gateway and each backend in use at it, and an eighth more (0.32 MB for 480
// gateways with 140 in use); twice that at most after a set has shrunk. The list
// as fitted takes 32 bytes for each backend.
type fitting struct {
	factors []factor // as last worked out, by key; nil: never
	list    []share  // by key, that rows stand for
	rows    [][]int32
	size    int  // backends in use at each gateway
	alike   bool // all weigh the same, so that no score needs a logarithm

	busy              bool // what follows is the fit's that is under way
	keep              bool // rows, for the next
	ranked            int  // rows that stand for the list
	moved             []int32
	came              []int32   // places in the list that are new, or weigh otherwise
	fed               int       // rows that have given their parts in this round
	round             int       // of proportional fitting
	want, got, factor []float64 // by place
	heap              []pair
	work              int // draws made and places in rows looked at, ever
}

// factor is what multiplies a backend's part.
type factor struct {
	key uint64
	by  float64
}

// share is what a backend is to get.
type share struct {
	key    uint64
	weight float64
}

type pair struct {
	score float64
	to    int32 // place in list
}

// factorOf is a backend's factor; 1 for one that is new, until the next fit.
func (f *fitting) factorOf(key uint64) float64 {
	i, ok := slices.BinarySearchFunc(f.factors, key, func(f factor, key uint64) int { return cmp.Compare(f.key, key) })
	if !ok {
		return 1
	}
	return f.factors[i].by
}

// begin begins a fit to a list, sorted by key.
func (f *fitting) begin(list []*member, gateways, size int) {
	before, alike := f.list, f.alike
	f.list, f.alike, f.size = make([]share, len(list)), true, size
	for i, m := range list {
		f.list[i] = share{m.Key, weightOf(&m.Backend)}
		f.alike = f.alike && f.list[i].weight == f.list[0].weight
	}
	f.busy, f.ranked, f.fed, f.round = true, 0, 0, 0
	f.keep = gateways*len(list) > small
	if !f.keep || len(f.rows) == 0 || f.alike != alike {
		f.rows, before = make([][]int32, gateways), nil
	}
	f.compare(before)
	f.want, f.got, f.factor = make([]float64, len(list)), make([]float64, len(list)), make([]float64, len(list))
	total := 0.0
	for i, s := range f.list {
		f.want[i] = s.weight
		total += s.weight
	}
	for i := range f.want {
		f.want[i] *= float64(gateways) / total
		f.factor[i] = 1
	}
}

// compare notes where the backends of the list before stand now: below 0 where they
// are gone, or weigh otherwise.
func (f *fitting) compare(before []share) {
	f.moved, f.came = make([]int32, len(before)), f.came[:0]
	i := 0
	for j, s := range f.list {
		for ; i < len(before) && before[i].key < s.key; i++ {
			f.moved[i] = -1
		}
		if i == len(before) || before[i] != s {
			f.came = append(f.came, int32(j))
			continue
		}
		f.moved[i] = int32(j)
		i++
	}
	for ; i < len(before); i++ {
		f.moved[i] = -1
	}
}

// step goes on for so many draws and places, and to the end of the row that it is
// at; in a small fleet to the end. It tells whether the fit has ended.
func (f *fitting) step(work int) bool {
	if !f.keep {
		work = math.MaxInt
	}
	for end := f.work + min(work, math.MaxInt-f.work); f.work < end; {
		switch {
		case f.ranked < len(f.rows):
			f.rank(f.ranked)
			f.ranked++
		case f.fed < len(f.rows):
			f.feed(f.rows[f.fed][:f.size])
			f.fed++
		case f.settle():
			f.end()
			return true
		}
	}
	return false
}

// rank brings a gateway's row up to the list.
func (f *fitting) rank(j int) {
	row, gateway := f.rows[j], mix(uint64(j))
	f.work += len(row)
	stay := row[:0]
	for _, i := range row {
		if to := f.moved[i]; to >= 0 {
			stay = append(stay, to)
		}
	}
	most := f.size
	if f.keep {
		most = min(len(f.list), f.size+spare+f.size/spare)
	}
	switch {
	case len(stay) == 0 || 2*len(f.came) > len(f.list):
		f.rows[j] = f.draw(gateway, most)
		return
	case cap(stay) > 2*most:
		stay = append(make([]int32, 0, most), stay[:min(most, len(stay))]...)
	}
	worst := f.score(gateway, stay[len(stay)-1])
	for _, i := range f.came {
		p := f.score(gateway, i)
		if !p.less(worst) {
			continue // whatever stands beyond the row is no better
		}
		at, _ := slices.BinarySearchFunc(stay, p, func(i int32, p pair) int {
			if f.score(gateway, i).less(p) {
				return -1
			}
			return 1
		})
		if len(stay) == cap(stay) {
			stay = stay[:len(stay)-1]
		}
		stay = slices.Insert(stay, at, i)
		worst = f.score(gateway, stay[len(stay)-1])
	}
	if len(stay) < f.size {
		stay = f.draw(gateway, most)
	}
	f.rows[j] = stay
}

// score is a gateway's for one backend.
func (f *fitting) score(gateway uint64, i int32) pair {
	f.work++
	s := &f.list[i]
	u := draw(gateway, s.key)
	if f.alike {
		return pair{1 - u, i} // ranks as -ln u does
	}
	return pair{-math.Log(u) / s.weight, i}
}

// draw makes a gateway's row of its k least scores. Where rows are kept they are in order.
func (f *fitting) draw(gateway uint64, k int) []int32 {
	f.work += len(f.list)
	heap := f.heap[:0]
	for i := range f.list {
		s := &f.list[i]
		u, w := draw(gateway, s.key), 1.0
		rank := 1 - u
		if !f.alike {
			w = s.weight
		}
		if len(heap) == k && rank > heap[0].score*w {
			continue // -ln u is no less: most need no logarithm
		}
		if !f.alike {
			rank = -math.Log(u) / w
		}
		heap = keep(heap, k, pair{rank, int32(i)})
	}
	if f.keep {
		slices.SortFunc(heap, func(a, b pair) int { return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.to, b.to)) })
	}
	row := make([]int32, len(heap))
	for i, p := range heap {
		row[i] = p.to
	}
	f.heap = heap
	return row
}

// feed gives the backends in use at one gateway their parts of its work.
func (f *fitting) feed(uses []int32) {
	f.work += len(uses)
	sum := 0.0
	for _, i := range uses {
		sum += f.factor[i]
	}
	sum = 1 / sum
	for _, i := range uses {
		f.got[i] += f.factor[i] * sum
	}
}

// settle ends a round. It tells whether it was the last.
func (f *fitting) settle() bool {
	off := 0.0
	for i, got := range f.got {
		if got > 0 { // nobody uses it otherwise
			off = max(off, math.Abs(got/f.want[i]-1))
			f.factor[i] *= f.want[i] / got
		}
	}
	clear(f.got)
	f.fed = 0
	f.round++
	return off < fitted || f.round == rounds
}

// end keeps what the next fit needs, and the factors.
func (f *fitting) end() {
	f.factors = slices.Grow(f.factors[:0], len(f.list))
	for i, s := range f.list {
		f.factors = append(f.factors, factor{s.key, f.factor[i]})
	}
	f.busy, f.moved, f.want, f.got, f.factor = false, nil, nil, nil, nil
	if !f.keep {
		f.rows, f.list = nil, nil
	}
}

func (p pair) less(q pair) bool { return p.score < q.score || p.score == q.score && p.to < q.to }

// keep adds a pair to a heap of the k least, the greatest on top.
func keep(h []pair, k int, p pair) []pair {
	if len(h) < k {
		h = append(h, p)
		for i := len(h) - 1; i > 0 && h[(i-1)/2].less(h[i]); i = (i - 1) / 2 {
			h[(i-1)/2], h[i] = h[i], h[(i-1)/2]
		}
		return h
	}
	if !p.less(h[0]) {
		return h
	}
	h[0] = p
	for i := 0; ; {
		c := 2*i + 1
		if c >= k {
			return h
		}
		if c+1 < k && h[c].less(h[c+1]) {
			c++
		}
		if !h[i].less(h[c]) {
			return h
		}
		h[i], h[c] = h[c], h[i]
		i = c
	}
}
