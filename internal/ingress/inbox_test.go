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

// A run of changes calls the loop once and comes as one list; a whole list stays one of its own, in its place.
func TestChangesOfOneRoundComeTogether(t *testing.T) {
	var b inbox
	calls := 0
	for n := range 840 {
		if b.put(MemberList{Revision: int64(n), Members: []Member{{ID: fmt.Sprint(n)}}}) {
			calls++
		}
	}
	all := b.take()
	if calls != 1 || len(all) != 1 || len(all[0].Members) != 840 || all[0].Revision != 839 || all[0].Complete {
		t.Fatalf("%d calls for %d lists, the first of %d members at revision %d", calls, len(all), len(all[0].Members), all[0].Revision)
	}
	for n, m := range all[0].Members {
		if m.ID != fmt.Sprint(n) {
			t.Fatalf("member %d is %s", n, m.ID)
		}
	}
	if len(b.take()) != 0 || !b.put(MemberList{Revision: 1}) {
		t.Error("once taken, the next list doesn't call")
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

// What the ingress knows and uses is the same, whether changes come one by one or as a run: members that drain,
// go, come back, start anew, move, or take an address over.
func TestRunOfChangesLeavesTheSame(t *testing.T) {
	for seed := range uint64(30) {
		one, run := newSimulation(t, seed, 8, nil), newSimulation(t, seed, 8, nil)
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
				one.do(func() { one.ingress.UpdateMembers(l) })
				run.ingress.enqueueMembers(l)
			}
			run.do(func() {})
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
				used, of := i.ingress.loop.fleet.Size()
				return append(all, fmt.Sprint(used, of))
			}
			if a, b := state(one), state(run); !slices.Equal(a, b) {
				t.Fatalf("seed %d, round %d: %v one by one, %v as a run", seed, round, a, b)
			}
		}
	}
}
