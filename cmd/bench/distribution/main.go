// Command distribution measures package distribution: schedules of faults in virtual
// time. It is a long measurement, and no part of CI, which plays some small ones.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"

	"wickarch/internal/distsim"
	"wickarch/internal/sweep"
)

func main() {
	var line struct {
		Schedules schedules `cmd:"" help:"Play schedules of faults, and print each that breaks something."`
	}
	k := kong.Parse(&line, kong.Description("Measurements of the distribution of configuration."))
	k.FatalIfErrorf(k.Run())
}

type schedules struct {
	sweep.Flags
	Calm      bool `help:"Without faults."`
	Followers int  `default:"480"`
}

func (s *schedules) draw(seed uint64) distsim.Scenario {
	d := distsim.Draw(seed, s.Followers)
	d.Faulty = !s.Calm
	return d
}

// Run plays them.
func (s *schedules) Run() error {
	if s.Seed > 0 {
		var tell func(time.Duration, string)
		if s.Trace {
			tell = func(at time.Duration, line string) { fmt.Printf("%10.3f %s\n", at.Seconds(), line) }
		}
		r := distsim.Run(s.draw(s.Seed), tell)
		fmt.Printf("%+v\n", r)
		if len(r.Faults) > 0 {
			os.Exit(1)
		}
		return nil
	}
	began := time.Now()
	var sum distsim.Report
	bad := 0
	played := sweep.Run(s.Seeds(), func(seed uint64) distsim.Report { return distsim.Run(s.draw(seed), nil) }, func(seed uint64, r distsim.Report) bool {
		add(&sum, r)
		if len(r.Faults) > 0 {
			bad++
			for _, f := range r.Faults[:min(2, len(r.Faults))] {
				fmt.Printf("seed %d: %s\n", seed, f)
			}
		}
		return !s.First || bad == 0
	})
	fmt.Printf("%d schedules of %d followers in %v: %d events, %d questions, %d versions, %d conflicts, %d halts, %d settled, %d leaders, %d faults caused, %d replies not taken, at most %d apart; %d broken\n",
		played, s.Followers, time.Since(began).Round(time.Second), sum.Events, sum.Polls, sum.Versions, sum.Conflicts, sum.Halts, sum.Settles, sum.Leaders, sum.Troubles,
		sum.NotTaken, sum.Apart, bad)
	quantiles("undisturbed, commit to in force at the last", sum.Calm)
	quantiles("disturbed, commit or the last fault's end to in force at the last", sum.After)
	if bad > 0 {
		os.Exit(1)
	}
	return nil
}

func add(sum *distsim.Report, r distsim.Report) {
	sum.Events += r.Events
	sum.Polls += r.Polls
	sum.NotTaken += r.NotTaken
	sum.Versions += r.Versions
	sum.Leaders += r.Leaders
	sum.Halts += r.Halts
	sum.Settles += r.Settles
	sum.Conflicts += r.Conflicts
	sum.Troubles += r.Troubles
	sum.Apart = max(sum.Apart, r.Apart)
	sum.Calm = append(sum.Calm, r.Calm...)
	sum.After = append(sum.After, r.After...)
}

func quantiles(what string, list []time.Duration) {
	if len(list) == 0 {
		fmt.Printf("%s: none\n", what)
		return
	}
	slices.Sort(list)
	at := func(q float64) time.Duration { return list[int(q*float64(len(list)-1))].Round(time.Millisecond) }
	fmt.Printf("%s: %d versions, median %v, 99 in 100 %v, worst %v\n", what, len(list), at(0.5), at(0.99), at(1))
}
