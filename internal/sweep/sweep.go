// Package sweep plays a simulation over a range of seeds, several at a time.
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
	From  uint64 `help:"The first seed." default:"1"`
	Count uint64 `help:"How many seeds." default:"100"`
	Seed  uint64 `help:"Play this one alone."`
	Trace bool   `help:"With --seed: print all that happens."`
	First bool   `help:"Stop at the first fault."`
	Jobs  int    `help:"How many at a time; 0 for one a core."`
}

// Seeds is the range that the flags name.
func (f Flags) Seeds() Seeds { return Seeds{From: f.From, Count: f.Count, Jobs: f.Jobs} }

// Alone plays the seed that the flags name, and prints what comes of it; before it, if the
// flags ask for a trace, all that happens. The caller has the result also where it can't be
// printed.
func RunOne[R any](w io.Writer, flags Flags, play func(seed uint64, tell func(time.Duration, string)) R) R {
	var tell func(time.Duration, string)
	if flags.Trace {
		tell = func(at time.Duration, line string) { _, _ = fmt.Fprintf(w, "%10.3f %s\n", at.Seconds(), line) }
	}
	result := play(flags.Seed, tell)
	_, _ = fmt.Fprintf(w, "%+v\n", result)
	return result
}

// Seeds is a range of seeds.
type Seeds struct {
	From  uint64 // the first
	Count uint64
	Jobs  int // how many are played at a time; 0 for one a core
}

// Run plays each seed and hands what comes of it to collect, which is called for one seed
// at a time, in the order in which they end. When collect returns false no further seed is
// begun; those that have begun are collected. Run returns how many seeds were played.
func Run[R any](seeds Seeds, play func(seed uint64) R, collect func(seed uint64, result R) (more bool)) (played uint64) {
	jobs := seeds.Jobs
	if jobs <= 0 {
		jobs = runtime.GOMAXPROCS(0)
	}
	var mu sync.Mutex
	next, end, stopped := seeds.From, seeds.From+seeds.Count, false
	draw := func() (seed uint64, drawn bool) {
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
		played++
		if !collect(seed, result) {
			stopped = true
		}
	}
	var workers sync.WaitGroup
	for range jobs {
		workers.Go(func() {
			for seed, drawn := draw(); drawn; seed, drawn = draw() {
				finish(seed, play(seed))
			}
		})
	}
	workers.Wait()
	return played
}
