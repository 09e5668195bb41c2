package ingress

import (
	"maps"
	"slices"
	"time"
)

// recentIDs remembers the ids of open requests and of those that may have run. An id is remembered for one retention
// period at least, and for two at most.
type recentIDs struct {
	retention         time.Duration
	limit             int // ids that are remembered at most
	rotatedAt         time.Duration
	current, previous map[uint64]struct{}
}

// idResult is the result of adding an id.
type idResult uint8

const (
	idAdded idResult = iota
	idKnown          // a request with this id is open, or may have run
	idsFull          // no further id can be remembered
)

// add remembers an id.
func (r *recentIDs) add(id uint64, now time.Duration) idResult {
	if age := now - r.rotatedAt; r.current == nil || age >= r.retention {
		if r.previous = r.current; age >= 2*r.retention {
			r.previous = nil
		}
		r.current, r.rotatedAt = map[uint64]struct{}{}, now
	}
	if _, known := r.previous[id]; known {
		return idKnown
	}
	if _, known := r.current[id]; known {
		return idKnown
	}
	if r.count() >= r.limit {
		return idsFull
	}
	r.current[id] = struct{}{}
	return idAdded
}

// addAll remembers the ids of another process, whatever their number.
func (r *recentIDs) addAll(ids []uint64, now time.Duration) {
	if r.current == nil {
		r.current, r.rotatedAt = map[uint64]struct{}{}, now
	}
	for _, id := range ids {
		r.current[id] = struct{}{}
	}
}

// all returns the ids that are remembered.
func (r *recentIDs) all() []uint64 {
	return slices.AppendSeq(slices.Collect(maps.Keys(r.current)), maps.Keys(r.previous))
}

// count returns the number of ids that are remembered.
func (r *recentIDs) count() int { return len(r.current) + len(r.previous) }

// remove forgets an id.
func (r *recentIDs) remove(id uint64) {
	delete(r.current, id)
	delete(r.previous, id)
}
