// Package sweep runs a simulation for each seed of a range, several at a time.
package sweep

import (
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"
)

// Flags are the command-line flags of a sweep, for package kong.
type Flags struct {
	From  uint64 `help:"First seed." default:"1"`
	Count uint64 `help:"Number of seeds." default:"100"`
	Seed  uint64 `help:"Run only this seed."`
	Trace bool   `help:"With --seed: print every event."`
	First bool   `help:"Stop at the first seed with a fault."`
	Jobs  int    `help:"Number of seeds to run at a time; 0 for one per core."`
}

// Seeds returns the range that the flags specify.
func (f Flags) Seeds() Seeds { return Seeds{From: f.From, Count: f.Count, Jobs: f.Jobs} }

// RunOne runs the seed that the flags specify and prints its result. With Trace set it also prints each
// event as it occurs. The result is returned even if it can't be printed.
func RunOne[R any](w io.Writer, flags Flags, run func(seed uint64, trace func(time.Duration, string)) R) R {
	var trace func(time.Duration, string)
	if flags.Trace {
		trace = func(at time.Duration, line string) { _, _ = fmt.Fprintf(w, "%10.3f %s\n", at.Seconds(), line) }
	}
	result := run(flags.Seed, trace)
	_, _ = fmt.Fprintf(w, "%+v\n", result)
	return result
}

// Seeds is a range of seeds and how to run it.
type Seeds struct {
	From  uint64 // first seed
	Count uint64
	Jobs  int // number of seeds run at a time; 0 for one per core
}

// Run runs each seed and passes its result to collect, which is called for one seed at a time, in the
// order in which they finish. After collect returns false no further seed is started; those already
// started are still collected. Run returns the number of seeds that were run.
func Run[R any](seeds Seeds, run func(seed uint64) R, collect func(seed uint64, result R) (proceed bool)) (ran uint64) {
	jobs := seeds.Jobs
	if jobs <= 0 {
		jobs = runtime.GOMAXPROCS(0)
	}
	var mu sync.Mutex
	next, end, stopped := seeds.From, seeds.From+seeds.Count, false
	takeNext := func() (seed uint64, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		if stopped || next >= end {
			return 0, false
		}
		next++
		return next - 1, true
	}
	finish := func(seed uint64, result R) {
		mu.Lock()
		defer mu.Unlock()
		ran++
		if !collect(seed, result) {
			stopped = true
		}
	}
	var workers sync.WaitGroup
	for range jobs {
		workers.Go(func() {
			for seed, ok := takeNext(); ok; seed, ok = takeNext() {
				finish(seed, run(seed))
			}
		})
	}
	workers.Wait()
	return ran
}
