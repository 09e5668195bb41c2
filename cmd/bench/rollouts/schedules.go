package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"wickarch/internal/fleetsim"
	"wickarch/internal/sweep"
)

type schedules struct {
	sweep.Flags
	Coordinators int `default:"5"`
	Ingresses    int `default:"300"`
	Backends     int `default:"200"`
}

func (s *schedules) draw(seed uint64) fleetsim.Scenario {
	return fleetsim.Draw(seed, s.Ingresses, s.Backends, s.Coordinators)
}

// Run plays them.
func (s *schedules) Run() error {
	if s.Seed > 0 {
		r := sweep.RunOne(os.Stdout, s.Flags, func(seed uint64, tell func(time.Duration, string)) fleetsim.Report {
			return fleetsim.Run(s.draw(seed), tell)
		})
		if len(r.Faults) > 0 {
			os.Exit(1)
		}
		return nil
	}
	began := time.Now()
	ends := map[string]int{}
	var events uint64
	orders, leaders, bad := 0, 0, 0
	played := sweep.Run(s.Seeds(), func(seed uint64) fleetsim.Report { return fleetsim.Run(s.draw(seed), nil) }, func(seed uint64, r fleetsim.Report) bool {
		events += r.Events
		orders += r.Orders
		leaders += r.Leaders
		for how, n := range r.Rollouts {
			ends[how] += n
		}
		if len(r.Faults) > 0 {
			bad++
			for _, f := range r.Faults[:min(3, len(r.Faults))] {
				fmt.Printf("seed %d: %s\n", seed, f)
			}
		}
		return !s.First || bad == 0
	})
	fmt.Printf("%d schedules in %v, %d events, %d orders, %d leaders; %d with a fault\n", played, time.Since(began).Round(time.Second),
		events, orders, leaders, bad)
	for _, how := range slices.Sorted(maps.Keys(ends)) {
		fmt.Printf("  %6d rollouts %s\n", ends[how], how)
	}
	if bad > 0 {
		os.Exit(1)
	}
	return nil
}
