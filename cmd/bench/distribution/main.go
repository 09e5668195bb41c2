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
	d.InjectFaults = !s.Calm
	return d
}

// Run plays them.
func (s *schedules) Run() error {
	if s.Seed > 0 {
		r := sweep.RunOne(os.Stdout, s.Flags, func(seed uint64, tell func(time.Duration, string)) distsim.Report {
			return distsim.Run(s.draw(seed), tell)
		})
		if len(r.Faults) > 0 {
			os.Exit(1)
		}
		return nil
	}
	began := time.Now()
	var sum distsim.Report
	bad := 0
	played := sweep.Run(s.Seeds(), func(seed uint64) distsim.Report { return distsim.Run(s.draw(seed), nil) }, func(seed uint64, r distsim.Report) bool {
		sum.Add(r)
		if len(r.Faults) > 0 {
			bad++
			for _, f := range r.Faults[:min(2, len(r.Faults))] {
				fmt.Printf("seed %d: %s\n", seed, f)
			}
		}
		return !s.First || bad == 0
	})
	fmt.Printf("%d schedules of %d followers in %v: %d events, %d questions, %d versions, %d conflicts, %d halts, %d settled, %d leaders, %d faults caused, %d replies not taken, at most %d apart; %d broken\n",
		played, s.Followers, time.Since(began).Round(time.Second), sum.Events, sum.Polls, sum.Versions, sum.Conflicts, sum.Halts, sum.Settles, sum.Leaders, sum.InjectedFaults,
		sum.RejectedReplies, sum.MaxUncounted, bad)
	quantiles("undisturbed, commit to in force at the last", sum.UndisturbedTimes)
	quantiles("disturbed, commit or the last fault's end to in force at the last", sum.DisturbedTimes)
	if bad > 0 {
		os.Exit(1)
	}
	return nil
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
