package main

import (
	"fmt"
	"time"

	"wickarch/internal/fleetsim"
)

type releases struct {
	Ingresses int `default:"300"`
	Backends  int `default:"200"`
	Plays     int `help:"Seeds for each kind of release." default:"12"`
}

// Run plays releases of each kind with no faults, and tells how they end.
func (c *releases) Run() error {
	fmt.Printf("%-36s %5s %7s %8s %8s %9s %9s  %s\n", "release", "plays", "out", "took", "reached", "halt", "all back", "ends")
	for _, kind := range fleetsim.Kinds {
		ends := map[string]int{}
		var out, bad int
		var took, halt, back []time.Duration
		for _, r := range plays(c.Plays, func(seed uint64) fleetsim.Scenario {
			s := fleetsim.Draw(seed, c.Ingresses, c.Backends, 5)
			s.Releases, s.InjectFaults, s.OperatorActions, s.AutoRollback = []fleetsim.Kind{kind}, false, false, true
			return s
		}) {
			for how, n := range r.Rollouts {
				ends[how] += n
			}
			out, bad = max(out, r.MaxOut), max(bad, r.BadMembers)
			took, halt, back = add(took, r.RolloutDuration), add(halt, r.TimeToHalt), add(back, r.TimeToRollback)
			for _, f := range r.Faults {
				ends["FAULT "+f]++
			}
		}
		fmt.Printf("%-36s %5d %7d %8s %8d %9s %9s  %v\n", kind, c.Plays, out, median(took), bad, median(halt), median(back), ends)
	}
	return nil
}

func add(list []time.Duration, d time.Duration) []time.Duration {
	if d < 0 {
		return list
	}
	return append(list, d)
}
