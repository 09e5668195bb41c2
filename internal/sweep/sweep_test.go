package sweep

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against seeds that are skipped, run twice or collected with the result of another seed.
func TestRunRunsEachSeedOnce(t *testing.T) {
	for _, jobs := range []int{0, 1, 3, 50} {
		var got []uint64
		ran := Run(Seeds{From: 5, Count: 20, Jobs: jobs}, func(seed uint64) uint64 { return seed * seed }, func(seed, square uint64) bool {
			if square != seed*seed {
				t.Errorf("seed %d was collected with result %d", seed, square)
			}
			got = append(got, seed)
			return true
		})
		slices.Sort(got)
		var want []uint64
		for seed := uint64(5); seed < 25; seed++ {
			want = append(want, seed)
		}
		if ran != 20 || !slices.Equal(got, want) {
			t.Errorf("%d jobs: %d seeds run, collected %v", jobs, ran, got)
		}
	}
}

// Guards against seeds that are run out of order by a single job, or started after collect returned false.
func TestRunStopsWhenCollectReturnsFalse(t *testing.T) {
	var started []uint64
	ran := Run(Seeds{From: 1, Count: 100, Jobs: 1}, func(seed uint64) uint64 {
		started = append(started, seed)
		return seed
	}, func(seed, _ uint64) bool { return seed < 4 })
	if want := []uint64{1, 2, 3, 4}; ran != 4 || !slices.Equal(started, want) {
		t.Errorf("%d seeds run, started %v, want %v", ran, started, want)
	}
}

// Guards against losing the result of a seed that is running when another stops the sweep, and against a sweep that
// continues because a later call of collect returns true.
func TestRunCollectsStartedSeeds(t *testing.T) {
	var started atomic.Int64
	bothStarted := make(chan struct{})
	collected := 0
	ran := Run(Seeds{From: 1, Count: 100, Jobs: 2}, func(seed uint64) uint64 {
		if started.Add(1) == 2 {
			close(bothStarted)
		}
		<-bothStarted
		return seed
	}, func(uint64, uint64) bool {
		collected++
		return collected != 1
	})
	if ran != 2 || collected != 2 || started.Load() != 2 {
		t.Errorf("%d started, %d collected, %d run, want 2 of each", started.Load(), collected, ran)
	}
}

// Guards against an empty range that runs a seed.
func TestRunWithEmptyRange(t *testing.T) {
	ran := Run(Seeds{From: 1}, func(seed uint64) uint64 {
		t.Errorf("seed %d was run", seed)
		return seed
	}, func(uint64, uint64) bool { return true })
	if ran != 0 {
		t.Errorf("%d seeds run, want none", ran)
	}
}

// Guards against a result that is not printed, and a trace that is printed without the flag or missing with it.
func TestRunOnePrintsResultAndTrace(t *testing.T) {
	type report struct{ Seed uint64 }
	for withTrace, want := range map[bool]string{false: "{Seed:7}\n", true: "     1.500 begins\n{Seed:7}\n"} {
		var out strings.Builder
		got := RunOne(&out, Flags{Seed: 7, Trace: withTrace}, func(seed uint64, trace func(time.Duration, string)) report {
			if trace != nil {
				trace(1500*time.Millisecond, "begins")
			}
			return report{seed}
		})
		if got.Seed != 7 || out.String() != want {
			t.Errorf("trace %v: result %+v, printed %q, want %q", withTrace, got, out.String(), want)
		}
	}
}
