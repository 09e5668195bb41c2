package ingress

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"wickarch/choice"
)

// Consecutive changes wake the loop once and are merged into one list; full lists are not merged and keep
// their order.
func TestChangesOfOneRoundAreMerged(t *testing.T) {
	var b inbox
	wakes := 0
	for n := range 840 {
		if b.put(MemberList{Revision: int64(n), Members: []Member{{ID: fmt.Sprint(n)}}}) {
			wakes++
		}
	}
	all := b.take()
	if wakes != 1 || len(all) != 1 || len(all[0].Members) != 840 || all[0].Revision != 839 || all[0].Complete {
		t.Fatalf("%d wakes for %d lists, the first with %d members at revision %d", wakes, len(all), len(all[0].Members), all[0].Revision)
	}
	for n, m := range all[0].Members {
		if m.ID != fmt.Sprint(n) {
			t.Fatalf("member %d has ID %s", n, m.ID)
		}
	}
	if len(b.take()) != 0 || !b.put(MemberList{Revision: 1}) {
		t.Error("the inbox is not empty after take, or the next list does not wake the loop")
	}
	for n, complete := range []bool{false, true, true, false, false} {
		b.put(MemberList{Revision: int64(n + 2), Complete: complete, Members: []Member{{ID: "x"}}})
	}
	var got []string
	for _, l := range b.take() {
		got = append(got, fmt.Sprint(l.Revision, l.Complete, len(l.Members)))
	}
	if want := []string{"2 false 1", "3 true 1", "4 true 1", "6 false 2"}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// Guards against merging that changes the result: the backends known and used must be the same whether changes
// are applied one by one or merged, for members that drain, go, return, restart, move, or reuse an address.
func TestMergedChangesHaveSameResult(t *testing.T) {
	for seed := range uint64(30) {
		single, merged := newSimulation(t, seed, 8, nil), newSimulation(t, seed, 8, nil)
		rng := rand.New(rand.NewPCG(seed, 0))
		revision := int64(1)
		for round := range 10 {
			for range 1 + rng.IntN(12) {
				revision++
				n := rng.IntN(10)
				m := Member{ID: fmt.Sprint(n), HostPort: fmt.Sprintf("10.0.1.%d:7", 1+(n+rng.IntN(5)/4)%10), Locality: "a", Flavor: "std",
					Phase: []string{PhaseServing, PhaseServing, PhaseDraining, PhaseDeleted}[rng.IntN(4)], Size: 1, UpSince: int64(rng.IntN(3))}
				l := MemberList{Revision: revision, Members: []Member{m}}
				if rng.IntN(12) == 0 {
					l.Complete = true
				}
				single.do(func() { single.ingress.UpdateMembers(l) })
				merged.ingress.enqueueMembers(l)
			}
			merged.do(func() {})
			state := func(i *simulation) (all []string) {
				known := i.ingress.loop.pool.BackendIDs()
				for _, name := range slices.Sorted(maps.Keys(known)) {
					all = append(all, fmt.Sprint(name, "=", known[name]))
				}
				view := i.ingress.loop.gateway.View(i.net.Now())
				slices.SortFunc(view, func(a, b choice.BackendView) int { return cmp.Compare(a.ID, b.ID) })
				for _, v := range view {
					all = append(all, fmt.Sprint(v.ID, v.Used, v.PickWeight))
				}
				used, total := i.ingress.loop.fleet.Size()
				return append(all, fmt.Sprint(used, total))
			}
			if a, b := state(single), state(merged); !slices.Equal(a, b) {
				t.Fatalf("seed %d, round %d: %v one by one, %v merged", seed, round, a, b)
			}
		}
	}
}
