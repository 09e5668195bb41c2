package subset

import (
	"cmp"
	"math"
	"slices"
)

// Settings of a fit.
const (
	maxRounds      = 12      // of proportional fitting
	tolerance      = 0.02    // a fit ends once the share of each backend is within this of its target
	smallFitHashes = 1 << 16 // hashes (gateways times backends) up to which a fit runs in one step and keeps no rows
	stepWork       = 1 << 15 // hashes and row entries that one step of a larger fit processes
	rowSlack       = 8       // extra entries of a row, and divisor of the size for further ones, to last through removals
)

// fitter computes, for each backend, the factor by which every gateway multiplies
// the backend's share, so that the total load of each backend is proportional to
// its weight. It assumes that all gateways have the same load and the same number
// of backends in use as this one.
//
// In a large fleet it keeps each gateway's row, the backends with the lowest scores
// in order, from one fit to the next. A new backend costs one hash per gateway, a
// removed one is deleted from the rows, and a row that becomes too short is built
// anew. The result is that of a fit from scratch. Rows take 4 bytes for each
// gateway and backend in use at it, and an eighth more (0.32 MB for 480 gateways
// with 140 in use); at most twice that after a set has shrunk. The fitted list
// takes 32 bytes for each backend.
type fitter struct {
	factors      []keyFactor // result of the last fit, sorted by key; nil before the first
	entries      []keyWeight // sorted by key; rows hold indexes into it
	rows         [][]int32
	size         int  // backends in use at each gateway
	equalWeights bool // all weights are equal, so that scores need no logarithm

	running                  bool      // a fit is in progress; the fields below are its state
	keepRows                 bool      // for the next fit
	rowsUpdated              int       // rows brought up to date with the list
	newIndex                 []int32   // by previous index: index in entries, or -1
	added                    []int32   // indexes in entries that are new or have another weight
	rowsAssigned             int       // rows whose work has been assigned in this round
	round                    int       // of proportional fitting
	target, assigned, factor []float64 // by index in entries
	heap                     []scoredEntry
	work                     int // hashes computed and row entries processed, in total
}

// keyFactor is the factor of one backend's share.
type keyFactor struct {
	key    uint64
	factor float64
}

// keyWeight is the weight of one backend.
type keyWeight struct {
	key    uint64
	weight float64
}

type scoredEntry struct {
	score float64
	index int32 // in fitter.entries
}

// factorOf returns a backend's factor; 1 for a new one until the next fit.
func (f *fitter) factorOf(key uint64) float64 {
	i, ok := slices.BinarySearchFunc(f.factors, key, func(f keyFactor, key uint64) int { return cmp.Compare(f.key, key) })
	if !ok {
		return 1
	}
	return f.factors[i].factor
}

// start starts a fit to a list that is sorted by key.
func (f *fitter) start(list []*member, gateways, size int) {
	previous, previouslyEqual := f.entries, f.equalWeights
	f.entries, f.equalWeights, f.size = make([]keyWeight, len(list)), true, size
	for i, m := range list {
		f.entries[i] = keyWeight{m.Key, weightOf(&m.Backend)}
		f.equalWeights = f.equalWeights && f.entries[i].weight == f.entries[0].weight
	}
	f.running, f.rowsUpdated, f.rowsAssigned, f.round = true, 0, 0, 0
	f.keepRows = gateways*len(list) > smallFitHashes
	if !f.keepRows || len(f.rows) == 0 || f.equalWeights != previouslyEqual {
		f.rows, previous = make([][]int32, gateways), nil
	}
	f.diffEntries(previous)
	f.target, f.assigned, f.factor = make([]float64, len(list)), make([]float64, len(list)), make([]float64, len(list))
	total := 0.0
	for i, s := range f.entries {
		f.target[i] = s.weight
		total += s.weight
	}
	for i := range f.target {
		f.target[i] *= float64(gateways) / total
		f.factor[i] = 1
	}
}

// diffEntries sets newIndex for the entries of the previous list (-1 for those that
// are removed or have another weight), and added.
func (f *fitter) diffEntries(previous []keyWeight) {
	f.newIndex, f.added = make([]int32, len(previous)), f.added[:0]
	i := 0
	for j, s := range f.entries {
		for ; i < len(previous) && previous[i].key < s.key; i++ {
			f.newIndex[i] = -1
		}
		if i == len(previous) || previous[i] != s {
			f.added = append(f.added, int32(j))
			continue
		}
		f.newIndex[i] = int32(j)
		i++
	}
	for ; i < len(previous); i++ {
		f.newIndex[i] = -1
	}
}

// step continues the fit for this many hashes and row entries, and to the end of
// the current row; without kept rows (a small fleet) to the end of the fit. It
// reports whether the fit is complete.
func (f *fitter) step(work int) bool {
	if !f.keepRows {
		work = math.MaxInt
	}
	for limit := f.work + min(work, math.MaxInt-f.work); f.work < limit; {
		switch {
		case f.rowsUpdated < len(f.rows):
			f.updateRow(f.rowsUpdated)
			f.rowsUpdated++
		case f.rowsAssigned < len(f.rows):
			f.assign(f.rows[f.rowsAssigned][:f.size])
			f.rowsAssigned++
		case f.finishRound():
			f.finish()
			return true
		}
	}
	return false
}

// updateRow brings a gateway's row up to date with the list.
func (f *fitter) updateRow(j int) {
	row, gateway := f.rows[j], mix(uint64(j))
	f.work += len(row)
	kept := row[:0]
	for _, i := range row {
		if index := f.newIndex[i]; index >= 0 {
			kept = append(kept, index)
		}
	}
	maxLen := f.size
	if f.keepRows {
		maxLen = min(len(f.entries), f.size+rowSlack+f.size/rowSlack)
	}
	switch {
	case len(kept) == 0 || 2*len(f.added) > len(f.entries):
		f.rows[j] = f.buildRow(gateway, maxLen)
		return
	case cap(kept) > 2*maxLen:
		kept = append(make([]int32, 0, maxLen), kept[:min(maxLen, len(kept))]...)
	}
	last := f.scoreOf(gateway, kept[len(kept)-1])
	for _, i := range f.added {
		candidate := f.scoreOf(gateway, i)
		if !candidate.less(last) {
			continue // backends beyond the row have no lower scores
		}
		position, _ := slices.BinarySearchFunc(kept, candidate, func(i int32, p scoredEntry) int {
			if f.scoreOf(gateway, i).less(p) {
				return -1
			}
			return 1
		})
		if len(kept) == cap(kept) {
			kept = kept[:len(kept)-1]
		}
		kept = slices.Insert(kept, position, i)
		last = f.scoreOf(gateway, kept[len(kept)-1])
	}
	if len(kept) < f.size {
		kept = f.buildRow(gateway, maxLen)
	}
	f.rows[j] = kept
}

// scoreOf computes a gateway's score for one backend.
func (f *fitter) scoreOf(gateway uint64, i int32) scoredEntry {
	f.work++
	s := &f.entries[i]
	u := unitHash(gateway, s.key)
	if f.equalWeights {
		return scoredEntry{1 - u, i} // same order as -ln u
	}
	return scoredEntry{-math.Log(u) / s.weight, i}
}

// buildRow returns a gateway's row: the k backends with the lowest scores, sorted if
// rows are kept.
func (f *fitter) buildRow(gateway uint64, k int) []int32 {
	f.work += len(f.entries)
	heap := f.heap[:0]
	for i := range f.entries {
		s := &f.entries[i]
		u, entryWeight := unitHash(gateway, s.key), 1.0
		entryScore := 1 - u
		if !f.equalWeights {
			entryWeight = s.weight
		}
		if len(heap) == k && entryScore > heap[0].score*entryWeight {
			continue // -ln u is at least 1-u, so most backends need no logarithm
		}
		if !f.equalWeights {
			entryScore = -math.Log(u) / entryWeight
		}
		heap = pushBounded(heap, k, scoredEntry{entryScore, int32(i)})
	}
	if f.keepRows {
		slices.SortFunc(heap, func(a, b scoredEntry) int {
			return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.index, b.index))
		})
	}
	row := make([]int32, len(heap))
	for i, p := range heap {
		row[i] = p.index
	}
	f.heap = heap
	return row
}

// assign adds one gateway's work to the backends in its row.
func (f *fitter) assign(row []int32) {
	f.work += len(row)
	sum := 0.0
	for _, i := range row {
		sum += f.factor[i]
	}
	sum = 1 / sum
	for _, i := range row {
		f.assigned[i] += f.factor[i] * sum
	}
}

// finishRound corrects the factors after a round, and reports whether it was the last.
func (f *fitter) finishRound() bool {
	maxError := 0.0
	for i, got := range f.assigned {
		if got > 0 { // otherwise no gateway uses it
			maxError = max(maxError, math.Abs(got/f.target[i]-1))
			f.factor[i] *= f.target[i] / got
		}
	}
	clear(f.assigned)
	f.rowsAssigned = 0
	f.round++
	return maxError < tolerance || f.round == maxRounds
}

// finish stores the factors, and keeps what the next fit needs.
func (f *fitter) finish() {
	f.factors = slices.Grow(f.factors[:0], len(f.entries))
	for i, s := range f.entries {
		f.factors = append(f.factors, keyFactor{s.key, f.factor[i]})
	}
	f.running, f.newIndex, f.target, f.assigned, f.factor = false, nil, nil, nil, nil
	if !f.keepRows {
		f.rows, f.entries = nil, nil
	}
}

func (p scoredEntry) less(q scoredEntry) bool {
	return p.score < q.score || p.score == q.score && p.index < q.index
}

// pushBounded adds an entry to a max-heap of the k lowest scores.
func pushBounded(heap []scoredEntry, k int, p scoredEntry) []scoredEntry {
	if len(heap) < k {
		heap = append(heap, p)
		for i := len(heap) - 1; i > 0 && heap[(i-1)/2].less(heap[i]); i = (i - 1) / 2 {
			heap[(i-1)/2], heap[i] = heap[i], heap[(i-1)/2]
		}
		return heap
	}
	if !p.less(heap[0]) {
		return heap
	}
	heap[0] = p
	for i := 0; ; {
		child := 2*i + 1
		if child >= k {
			return heap
		}
		if child+1 < k && heap[child].less(heap[child+1]) {
			child++
		}
		if !heap[i].less(heap[child]) {
			return heap
		}
		heap[i], heap[child] = heap[child], heap[i]
		i = child
	}
}
