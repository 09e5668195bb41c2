package sweep

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Each seed of the range is played once and collected with its own result.
func TestRunPlaysEachSeedOnce(t *testing.T) {
	for _, jobs := range []int{0, 1, 3, 50} {
		var got []uint64
		played := Run(Seeds{From: 5, Count: 20, Jobs: jobs}, func(seed uint64) uint64 { return seed * seed }, func(seed, square uint64) bool {
			if square != seed*seed {
				t.Errorf("seed %d is collected with %d", seed, square)
			}
			got = append(got, seed)
			return true
		})
		slices.Sort(got)
		var want []uint64
		for seed := uint64(5); seed < 25; seed++ {
			want = append(want, seed)
		}
		if played != 20 || !slices.Equal(got, want) {
			t.Errorf("%d jobs: %d played, %v", jobs, played, got)
		}
	}
}

// One job plays in order and begins nothing after collect has refused.
func TestRunStops(t *testing.T) {
	var begun []uint64
	played := Run(Seeds{From: 1, Count: 100, Jobs: 1}, func(seed uint64) uint64 {
		begun = append(begun, seed)
		return seed
	}, func(seed, _ uint64) bool { return seed < 4 })
	if want := []uint64{1, 2, 3, 4}; played != 4 || !slices.Equal(begun, want) {
		t.Errorf("%d played, begun %v, want %v", played, begun, want)
	}
}

// What was begun beside the seed that stops the sweep is collected too, also where a later
// call of collect would go on.
func TestRunCollectsWhatHasBegun(t *testing.T) {
	var begun atomic.Int64
	both := make(chan struct{})
	collected := 0
	played := Run(Seeds{From: 1, Count: 100, Jobs: 2}, func(seed uint64) uint64 {
		if begun.Add(1) == 2 {
			close(both)
		}
		<-both
		return seed
	}, func(uint64, uint64) bool {
		collected++
		return collected != 1
	})
	if played != 2 || collected != 2 || begun.Load() != 2 {
		t.Errorf("%d begun, %d collected, %d played, want 2 of each", begun.Load(), collected, played)
	}
}

// An empty range plays nothing.
func TestRunOfNoSeeds(t *testing.T) {
	played := Run(Seeds{From: 1}, func(seed uint64) uint64 {
		t.Errorf("seed %d is played", seed)
		return seed
	}, func(uint64, uint64) bool { return true })
	if played != 0 {
		t.Errorf("%d played", played)
	}
}

// A seed alone is printed, and all that happens before it where a trace is asked for.
func TestAlone(t *testing.T) {
	type report struct{ Seed uint64 }
	for trace, want := range map[bool]string{false: "{Seed:7}\n", true: "     1.500 begins\n{Seed:7}\n"} {
		var out strings.Builder
		got := RunOne(&out, Flags{Seed: 7, Trace: trace}, func(seed uint64, tell func(time.Duration, string)) report {
			if tell != nil {
				tell(1500*time.Millisecond, "begins")
			}
			return report{seed}
		})
		if got.Seed != 7 || out.String() != want {
			t.Errorf("trace %v: %+v, printed %q, want %q", trace, got, out.String(), want)
		}
	}
}
