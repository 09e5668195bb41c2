package ingress

import "sync"

// inbox gathers what discovery tells until the loop takes it, which does so once
// a round: a run of changes that comes meanwhile is one change to it, and costs
// what one does. Nothing waits longer than for the round that would have taken
// it anyway. It may be used from any goroutine.
type inbox struct {
	mu    sync.Mutex
	lists []MemberList
}

// put adds a list. It tells whether the loop must be called: once for all that it
// will take together.
func (b *inbox) put(l MemberList) (call bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lists = append(b.lists, l)
	return len(b.lists) == 1
}

// take returns what has gathered, in order. Changes that follow each other come as
// one list of them all, each member as often as it was told.
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
