package distsim

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

// cmd/bench/mutants -list internal/distsim/mutants.txt takes guards out of package distribution,
// one by one, and tells which seed notices each.

// Schedules of faults, each drawn by its seed, break nothing.
func TestSchedules(t *testing.T) {
	var versions, halts, settles, conflicts, troubles int
	for seed := uint64(1); seed <= 6; seed++ {
		r := Run(Draw(seed, 12), nil)
		for _, f := range r.Faults {
			t.Errorf("seed %d: %s", seed, f)
		}
		versions, halts, settles, conflicts, troubles = versions+r.Versions, halts+r.Halts, settles+r.Settles, conflicts+r.Conflicts, troubles+r.InjectedFaults
	}
	// So that a run in which nothing happens does not pass.
	if versions < 60 || halts < 3 || settles < 45 || conflicts < 8 || troubles < 18 {
		t.Errorf("%d versions, %d halts, %d settled, %d conflicts, %d troubles: too little to show anything", versions, halts, settles, conflicts, troubles)
	}
}

// With no faults all versions are in force everywhere within a second.
func TestCalm(t *testing.T) {
	s := Draw(1, 12)
	s.InjectFaults = false
	r := Run(s, nil)
	for _, f := range r.Faults {
		t.Error(f)
	}
	if len(r.UndisturbedTimes) < 5 || slices.Max(r.UndisturbedTimes) > time.Second {
		t.Errorf("%v", r.UndisturbedTimes)
	}
}

func TestSameSeedGivesTheSameRun(t *testing.T) {
	for seed := uint64(1); seed <= 1; seed++ {
		if a, b := Run(Draw(seed, 10), nil), Run(Draw(seed, 10), nil); !reflect.DeepEqual(a, b) {
			t.Errorf("seed %d: %+v, and then %+v", seed, a, b)
		}
	}
}
