// Command seeds runs simulated installations (internal/simulate), for many seeds or
// one. It takes long and is not part of CI, which runs a thousand seeds.
//
//	seeds -count 100000        run this many seeds, and print each that shows a fault
//	seeds -seed 17 -trace      run one seed, and print every event
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
	from := flag.Uint64("from", 1, "first seed")
	count := flag.Uint64("count", 1000, "number of seeds")
	jobs := flag.Int("jobs", runtime.NumCPU(), "seeds run in parallel")
	seed := flag.Uint64("seed", 0, "run only this seed")
	first := flag.Bool("first", false, "stop at the first fault")
	trace := flag.Bool("trace", false, "with -seed: print every event")
	crowd := flag.Bool("crowd", false, "draw large installations in which many members fail or change at once")
	throng := flag.Bool("throng", false, "draw installations of 20 to 30 ingresses with backends that start cold, under a burst")
	replaced := flag.Int("replaced", 0, "replace this many backends within a second, whatever was drawn")
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
		playOne(*seed, *trace)
		return
	}
	if !playMany(*from, *count, *jobs, *first) {
		os.Exit(1)
	}
}

// playOne runs one seed.
func playOne(seed uint64, trace bool) {
	var printEvent func(time.Duration, string)
	if trace {
		printEvent = func(at time.Duration, line string) { fmt.Printf("%12.6f %s\n", at.Seconds()*1000, line) }
	}
	s := draw(seed)
	fmt.Printf("%+v\n", s)
	r := simulate.Run(s, printEvent)
	fmt.Printf("%+v\n", r)
	if len(r.Faults) > 0 {
		os.Exit(1)
	}
}

// playMany runs seeds in parallel, and reports whether none shows a fault.
func playMany(from, count uint64, jobs int, first bool) bool {
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
		fmt.Printf("cold backends: %d crashed; highest load %.2f of the limit, where over two thirds came from ingresses notified of the start\n",
			sum.Fallen, sum.Coldest)
	}
	return bad == 0
}
