package distsim

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

// cmd/bench/mutants -list internal/distsim/mutants.txt removes guards from package distribution,
// one at a time, and reports which seed detects each.

// TestSchedules guards against fault schedules under which followers activate a wrong, old or halted
// version, exceed a plan's ceiling or fail to converge. Each schedule is drawn from its seed.
func TestSchedules(t *testing.T) {
	var versions, halts, settles, conflicts, faults int
	for seed := uint64(1); seed <= 6; seed++ {
		r := Run(Draw(seed, 12), nil)
		for _, f := range r.Faults {
			t.Errorf("seed %d: %s", seed, f)
		}
		versions, halts, settles, conflicts, faults =
			versions+r.Versions, halts+r.Halts, settles+r.Settles, conflicts+r.Conflicts, faults+r.InjectedFaults
	}
	// A run in which nothing happens must not pass.
	if versions < 60 || halts < 3 || settles < 45 || conflicts < 8 || faults < 18 {
		t.Errorf("%d versions, %d halts, %d settled, %d conflicts, %d faults injected: too few for a meaningful test",
			versions, halts, settles, conflicts, faults)
	}
}

// TestCalm checks that, without injected faults, each version is in force at all followers within a second.
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
			t.Errorf("seed %d: first run %+v, second run %+v", seed, a, b)
		}
	}
}
