// Package fleet keeps the subset of backends that a gateway uses in step with
// the list and with the gateway's own traffic. It joins packages subset and
// choice for whoever runs a gateway, on sockets or on the simulator's wire, and
// decides nothing itself.
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
	staleAims = 1.0 // how many of the longest aims an answer tells of its backend
	fewOf     = 8   // changes up to one in so many of the list are told one by one: more are cheaper as a list
)

// Fleet is the backends of one gateway. Its methods must not be called from
// within the gateway's actions, but for Sent.
type Fleet struct {
	gateway *choice.Gateway
	set     *subset.Set
	ready   map[uint32]subset.Backend // those that take new work
	out     int                       // attempts
	uses    []choice.Candidate
	changes []subset.Change // scratch
}

// New makes a fleet for a gateway that was made with cfg.
func New(cfg choice.Config, gateway *choice.Gateway, now time.Duration) (*Fleet, error) {
	longest := time.Duration(0)
	for _, c := range cfg.Classes {
		longest = max(longest, c.Aim)
	}
	set, err := subset.New(subset.Config{Gateways: cfg.Gateways, Self: cfg.Self, Zone: cfg.Zone,
		CrossZoneCost: cfg.CrossZoneCost, MaxStaleness: time.Duration(staleAims * float64(longest))}, now)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return &Fleet{gateway: gateway, set: set, ready: map[uint32]subset.Backend{}}, nil
}

// Members takes a list of backends. key names each by the same number at every
// gateway.
func (f *Fleet) Members(now time.Duration, kind choice.ListKind, list []choice.Backend, key func(choice.Backend) uint64) {
	f.gateway.Members(now, kind, list)
	if kind == choice.Failed {
		return
	}
	f.changes = f.changes[:0]
	if kind != choice.Delta {
		named := make(map[uint32]bool, len(list))
		for _, b := range list {
			named[b.ID] = true
		}
		for id, is := range f.ready {
			if !named[id] {
				delete(f.ready, id)
				f.changes = append(f.changes, subset.Change{Backend: is, Removed: true})
			}
		}
	}
	for _, b := range list {
		is, known := f.ready[b.ID]
		if b.State == choice.Ready {
			if now := (subset.Backend{ID: b.ID, Key: key(b), Zone: b.Zone, Weight: b.Weight}); !known || is != now {
				f.ready[b.ID] = now
				f.changes = append(f.changes, subset.Change{Backend: now})
			}
		} else if known {
			delete(f.ready, b.ID)
			f.changes = append(f.changes, subset.Change{Backend: is, Removed: true})
		}
	}
	few := len(f.changes) <= len(f.ready)/fewOf
	if few {
		f.set.Update(f.changes)
	}
	// Of two ids with one key the set knows one; that the other takes its place no change tells.
	if !few || f.set.Len() != len(f.ready) {
		f.set.SetBackends(slices.Collect(maps.Values(f.ready)))
	}
	f.use(now)
}

// use tells the gateway what to use.
func (f *Fleet) use(now time.Duration) {
	if f.set.UsesAll() {
		f.gateway.SetCandidates(now, nil, 0)
		return
	}
	f.uses = f.uses[:0]
	for _, u := range f.set.Order() {
		f.uses = append(f.uses, choice.Candidate{Backend: u.ID, PickWeight: u.PickWeight})
	}
	f.gateway.SetCandidates(now, f.uses, f.set.Size())
}

// Sent notes an attempt.
func (f *Fleet) Sent() {
	f.out++
	f.set.RecordAttempt(f.out)
}

// Ended notes the end of one.
func (f *Fleet) Ended() { f.out-- }

// Step takes the time, behind each request.
func (f *Fleet) Step(now time.Duration) {
	if f.set.Step(now) {
		f.use(now)
	}
}

// Size is how many backends are in use, and of how many.
func (f *Fleet) Size() (used, of int) { return f.set.Size(), len(f.ready) }
