// Command seeds plays simulated installations (internal/simulate), many seeds or
// one. It is a long measurement, and no part of CI, which plays a thousand.
//
//	seeds -count 100000        play so many, and print each that shows a fault
//	seeds -seed 17 -trace      play one alone, and print all that happens in it
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"

	"wickarch/internal/simulate"
	"wickarch/internal/sweep"
)

var draw = simulate.Draw

func main() {
	from := flag.Uint64("from", 1, "the first seed")
	count := flag.Uint64("count", 1000, "how many seeds")
	jobs := flag.Int("jobs", runtime.NumCPU(), "how many at a time")
	seed := flag.Uint64("seed", 0, "play this one alone")
	first := flag.Bool("first", false, "stop at the first fault")
	trace := flag.Bool("trace", false, "with -seed: print all that happens")
	crowd := flag.Bool("crowd", false, "of large installations in which much happens to many at once")
	throng := flag.Bool("throng", false, "of twenty to thirty ingresses before backends that start cold, under a burst")
	replaced := flag.Int("replaced", 0, "so many backends are replaced within a second, whatever was drawn")
	flag.Parse()
	if *crowd {
		draw = simulate.DrawCrowd
	}
	if *throng {
		draw = simulate.DrawThrong
	}
	if *replaced > 0 {
		drawn := draw
		draw = func(seed uint64) simulate.Scenario {
			s := drawn(seed)
			s.Replaced = min(*replaced, s.Backends)
			return s
		}
	}
	if *seed > 0 {
		one(*seed, *trace)
		return
	}
	if !many(*from, *count, *jobs, *first) {
		os.Exit(1)
	}
}

// one plays a seed alone.
func one(seed uint64, trace bool) {
	var tell func(time.Duration, string)
	if trace {
		tell = func(at time.Duration, line string) { fmt.Printf("%12.6f %s\n", at.Seconds()*1000, line) }
	}
	s := draw(seed)
	fmt.Printf("%+v\n", s)
	r := simulate.Run(s, tell)
	fmt.Printf("%+v\n", r)
	if len(r.Faults) > 0 {
		os.Exit(1)
	}
}

// many plays seeds side by side, and tells whether all are without a fault.
func many(from, count uint64, jobs int, first bool) bool {
	began := time.Now()
	bad := 0
	var sum simulate.Report
	seeds := sweep.Seeds{From: from, Count: count, Jobs: jobs}
	sweep.Run(seeds, func(seed uint64) simulate.Report { return simulate.Run(draw(seed), nil) }, func(seed uint64, r simulate.Report) bool {
		if len(r.Faults) > 0 {
			bad++
			fmt.Printf("seed %d: %s\n", seed, r.Faults[0])
		}
		sum.Add(r)
		return !first || bad == 0
	})
	took := time.Since(began)
	fmt.Printf("%d seeds in %v, %.0f a second; %d with a fault\n", count, took.Round(time.Millisecond), float64(count)/took.Seconds(), bad)
	fmt.Printf("%d requests: %d served, %d refused, %d failed, %d unreached, %d excused; %d runs at backends\n",
		sum.Requests, sum.Served, sum.Refused, sum.Failed, sum.Unreached, sum.Excused, sum.Runs)
	if sum.Coldest > 0 {
		fmt.Printf("cold backends: %d fell; at most %.2f of what one bears, where over two thirds came from ingresses told of its start\n",
			sum.Fallen, sum.Coldest)
	}
	return bad == 0
}
