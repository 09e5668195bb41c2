package main

import (
	"fmt"
	"time"

	"wickarch/internal/fleetsim"
	"wickarch/internal/sweep"
)

// plays runs scenarios of seeds from 1 on side by side.
func plays(seeds int, draw func(seed uint64) fleetsim.Scenario) []fleetsim.Report {
	reports := make([]fleetsim.Report, seeds)
	sweep.Run(sweep.Seeds{From: 1, Count: uint64(seeds)}, func(seed uint64) fleetsim.Report { return fleetsim.Run(draw(seed), nil) },
		func(seed uint64, r fleetsim.Report) bool {
			reports[seed-1] = r
			return true
		})
	return reports
}

type compare struct {
	Ingresses int `default:"100"`
	Plays     int `help:"Seeds for each kind of release and way." default:"12"`
}

// Run plays them on a day on which some programs and a zone fail as well.
func (c *compare) Run() error {
	fmt.Printf("%-36s %-7s %9s %9s %9s %9s %9s %9s %12s\n", "release", "way", "most out", "and lost", "took", "reached", "halt", "all back", "bad answers")
	for _, kind := range fleetsim.Kinds[:len(fleetsim.Kinds)-1] {
		for _, way := range []fleetsim.Strategy{fleetsim.Coordinated, fleetsim.Uncoordinated, fleetsim.FixedSchedule} {
			var out, gone, bad int
			var took, halt, back []time.Duration
			var refused, asked float64
			for _, r := range plays(c.Plays, func(seed uint64) fleetsim.Scenario {
				s := fleetsim.Draw(seed, c.Ingresses, 0, 5)
				s.Releases, s.Strategy, s.OperatorActions, s.AutoRollback, s.FaultFactor = []fleetsim.Kind{kind}, way, false, true, 1
				s.FaultKinds = []string{"program dies", "program dies", "programs die", "zone lost"}
				s.FaultsEnd, s.End = 400*time.Second, 900*time.Second
				return s
			}) {
				out, gone, bad = max(out, r.MaxOut), max(gone, r.MaxUnavailable), max(bad, r.BadMembers)
				took, halt, back = add(took, r.RolloutDuration), add(halt, r.TimeToHalt), add(back, r.TimeToRollback)
				refused, asked = refused+r.FailedRequests, asked+r.Requests
				for _, f := range r.Faults {
					fmt.Println("FAULT", f)
				}
			}
			name := string(way)
			if way == fleetsim.Coordinated {
				name = "agreed"
			}
			fmt.Printf("%-36s %-7s %9d %9d %9s %9d %9s %9s %11.2f%%\n", kind, name, out, gone, median(took), bad, median(halt), median(back), 100*refused/asked)
		}
	}
	return nil
}

type scale struct {
	Sizes []int `default:"10,100,300,1000"`
}

// Run plays a good release with leaders that die at each size.
func (c *scale) Run() error {
	fmt.Printf("%8s %12s %12s %10s %12s %9s\n", "members", "messages/s", "bytes/s", "leaders", "leaderless", "took")
	for _, size := range c.Sizes {
		var messages, bytes, seconds float64
		var leaders int
		var without time.Duration
		var took []time.Duration
		for _, r := range plays(6, func(seed uint64) fleetsim.Scenario {
			s := fleetsim.Draw(seed, size, 0, 5)
			s.Releases, s.OperatorActions, s.CountBytes, s.FaultFactor = []fleetsim.Kind{fleetsim.Good}, false, true, 1
			s.FaultKinds = []string{"leader dies"}
			s.FaultsEnd = 300 * time.Second
			return s
		}) {
			messages += float64(r.Messages)
			bytes += float64(r.Bytes)
			seconds += r.SimulatedTime.Seconds() * float64(size)
			leaders += r.Leaders
			without += r.Leaderless / time.Duration(max(1, r.Leaders))
			took = add(took, r.RolloutDuration)
		}
		fmt.Printf("%8d %12.2f %12.0f %10d %12s %9s\n", size, messages/seconds, bytes/seconds, leaders, (without / 6).Round(100*time.Millisecond), median(took))
	}
	return nil
}

type noise struct {
	Ingresses int     `default:"100"`
	Plays     int     `default:"200"`
	Noisy     float64 `help:"How much traffic and refusals vary." default:"0.6"`
}

// Run plays good releases.
func (c *noise) Run() error {
	halted := map[string]int{}
	for _, r := range plays(c.Plays, func(seed uint64) fleetsim.Scenario {
		s := fleetsim.Draw(seed, c.Ingresses, 0, 3)
		s.Releases, s.InjectFaults, s.OperatorActions, s.Noise = []fleetsim.Kind{fleetsim.Good}, false, false, c.Noisy
		return s
	}) {
		for how, n := range r.Rollouts {
			halted[how] += n
		}
		for _, text := range r.Halts {
			fmt.Println(text)
		}
	}
	fmt.Printf("%d good releases on a noisy day: %v (alpha is 0.01 for each)\n", c.Plays, halted)
	return nil
}
