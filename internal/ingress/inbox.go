package ingress

import "sync"

// inbox queues updates from discovery until the loop takes them, once per round.
// Consecutive changes that arrive in between are merged into one and cost the loop as
// much as one. No update waits longer than for the round that would have taken it
// anyway. It is safe for concurrent use.
type inbox struct {
	mu    sync.Mutex
	lists []MemberList
}

// put adds a list. It reports whether the loop must be woken, which is true once for
// all lists that the loop will take together.
func (b *inbox) put(l MemberList) (wake bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lists = append(b.lists, l)
	return len(b.lists) == 1
}

// take returns the queued lists in order. Consecutive changes are merged into one
// list, with each member as often as it was received.
func (b *inbox) take() (all []MemberList) {
	b.mu.Lock()
	lists := b.lists
	b.lists = nil
	b.mu.Unlock()
	for _, l := range lists {
		if n := len(all) - 1; n >= 0 && !l.Complete && !all[n].Complete {
			all[n].Revision = l.Revision
			all[n].Members = append(all[n].Members, l.Members...)
		} else {
			all = append(all, l)
		}
	}
	return all
}
