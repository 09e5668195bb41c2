// Package fleet updates the subset of backends that a gateway uses when
// discovery's list or the gateway's traffic changes. It connects packages subset
// and choice for the ingress and the simulators, and decides nothing itself.
package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"wickarch/choice"
	"wickarch/subset"
)

const (
	maxStaleAims = 1.0 // longest aims for which an answer counts as current for its backend
	deltaDivisor = 8   // changes up to 1/8 of the list are applied one by one; for more, a full list is cheaper
)

// Fleet holds the backends of one gateway. Its methods must not be called from
// within the gateway's actions, except Sent.
type Fleet struct {
	gateway    *choice.Gateway
	selection  *subset.Set
	ready      map[uint32]subset.Backend // ready backends by ID
	inFlight   int                       // attempts in flight
	candidates []choice.Candidate
	changes    []subset.Change // scratch
}

// New creates a Fleet for a gateway that was created with cfg.
func New(cfg choice.Config, gateway *choice.Gateway, now time.Duration) (*Fleet, error) {
	longest := time.Duration(0)
	for _, c := range cfg.Classes {
		longest = max(longest, c.Aim)
	}
	set, err := subset.New(subset.Config{Gateways: cfg.Gateways, Self: cfg.Self, Zone: cfg.Zone,
		CrossZoneCost: cfg.CrossZoneCost, MaxStaleness: time.Duration(maxStaleAims * float64(longest))}, now)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return &Fleet{gateway: gateway, selection: set, ready: map[uint32]subset.Backend{}}, nil
}

// Members applies a list of backends. key returns a backend's number, which must be
// the same at every gateway.
func (f *Fleet) Members(now time.Duration, kind choice.ListKind, list []choice.Backend, key func(choice.Backend) uint64) {
	f.gateway.Members(now, kind, list)
	if kind == choice.Failed {
		return
	}
	f.changes = f.changes[:0]
	if kind != choice.Delta {
		listed := make(map[uint32]bool, len(list))
		for _, b := range list {
			listed[b.ID] = true
		}
		for id, current := range f.ready {
			if !listed[id] {
				delete(f.ready, id)
				f.changes = append(f.changes, subset.Change{Backend: current, Removed: true})
			}
		}
	}
	for _, b := range list {
		current, known := f.ready[b.ID]
		if b.State == choice.Ready {
			if now := (subset.Backend{ID: b.ID, Key: key(b), Zone: b.Zone, Weight: b.Weight}); !known || current != now {
				f.ready[b.ID] = now
				f.changes = append(f.changes, subset.Change{Backend: now})
			}
		} else if known {
			delete(f.ready, b.ID)
			f.changes = append(f.changes, subset.Change{Backend: current, Removed: true})
		}
	}
	incremental := len(f.changes) <= len(f.ready)/deltaDivisor
	if incremental {
		f.selection.Update(f.changes)
	}
	// Of two backends with one key, the subset holds one. No change reports that the other replaces it.
	if !incremental || f.selection.Len() != len(f.ready) {
		f.selection.SetBackends(slices.Collect(maps.Values(f.ready)))
	}
	f.updateCandidates(now)
}

// updateCandidates passes the subset to the gateway.
func (f *Fleet) updateCandidates(now time.Duration) {
	if f.selection.UsesAll() {
		f.gateway.SetCandidates(now, nil, 0)
		return
	}
	f.candidates = f.candidates[:0]
	for _, use := range f.selection.Order() {
		f.candidates = append(f.candidates, choice.Candidate{Backend: use.ID, PickWeight: use.PickWeight})
	}
	f.gateway.SetCandidates(now, f.candidates, f.selection.Size())
}

// Sent counts an attempt that starts.
func (f *Fleet) Sent() {
	f.inFlight++
	f.selection.RecordAttempt(f.inFlight)
}

// Ended counts an attempt that has ended.
func (f *Fleet) Ended() { f.inFlight-- }

// Step advances the time. It must be called after each request.
func (f *Fleet) Step(now time.Duration) {
	if f.selection.Step(now) {
		f.updateCandidates(now)
	}
}

// Size returns the number of backends in use and the number of ready backends.
func (f *Fleet) Size() (used, of int) { return f.selection.Size(), len(f.ready) }
