package main

import (
	"testing"
	"time"

	"wickarch/choice"
	"wickarch/internal/emulate"
)

// Guards against a default limiter that serves much less than the best constant of the command's table,
// in fleets that its prior fits and in others. min is the required fraction of the best constant's worth;
// the limiter that it replaced has 0.23, 0.29 and 0.75 on three of these fleets.
func TestDefaultLimiterIsNearBestConstant(t *testing.T) {
	for name, c := range map[string]struct{ best, min float64 }{
		"the same, 1.3":                        {2, 0.95},
		"1 x 1, 32 cores, 10 ms, 2.0":          {20, 0.9},
		"10 requests a second, 3 x 2":          {1.4, 0.8},
		"base at half of the aim, 0.7":         {3, 0.7},
		"a fleet that shrinks to a third":      {2, 0.95},
		"2 cores replaced by 32 under new ids": {5, 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := *find(name)
			if f.change == nil {
				f.length = 27 * time.Second // seven of them for the fairness between gateways; short, as the race detector is slow
			}
			own, err := f.play(1, nil)
			if err != nil {
				t.Fatal(err)
			}
			best, err := f.play(1, func(time.Duration) choice.Limiter { return constant(c.best) })
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("worth %.3f, %.2f of the best constant's; Jain's index %.3f", own.worth, own.worth/best.worth, own.fairness)
			if own.worth < c.min*best.worth {
				t.Errorf("the worth served is %.3f, the best constant's is %.3f", own.worth, best.worth)
			}
			if !(own.fairness >= 0.95) {
				t.Errorf("Jain's index of the gateways is %.3f, want at least 0.95", own.fairness)
			}
		})
	}
}

func find(name string) *fleet {
	for i := range fleets {
		if fleets[i].name == name {
			return &fleets[i]
		}
	}
	panic(name)
}

// Four of ten gateways start late in an overloaded fleet, and two stop: the rest must converge to equal
// shares without communicating.
func TestLateStartersGetEqualShares(t *testing.T) {
	f := fleet{gateways: 10, backends: 20, cores: all(8), work: [2]float64{0.05, 0.05}, aim: 300 * ms, load: 1.5}
	s := f.spec(2)
	late := func(i int) bool { return i >= 6 }
	s.Events = []emulate.Event{{At: 0, Do: func(w *emulate.World) {
		for i := range 10 {
			if late(i) {
				w.Kill(i)
			}
		}
	}}, {At: 8 * time.Second, Do: func(w *emulate.World) {
		for i := range 10 {
			if late(i) {
				w.Start(i)
			}
		}
		w.Kill(0)
		w.Kill(1)
	}}}
	r, err := emulate.Run(s)
	if err != nil {
		t.Fatal(err)
	}
	got := r.Fairness(28, 39, func(i int) bool { return i >= 2 })
	if got < 0.95 {
		t.Errorf("Jain's index 20 s later is %.3f, want at least 0.95", got)
	}
}

// A backend that takes eight requests at a time and refuses the rest must be neither starved nor overloaded.
func TestLimiterLearnsFromRefusals(t *testing.T) {
	f := fleet{gateways: 1, backends: 1, cores: all(7), work: [2]float64{0.01, 0.01}, aim: 300 * ms, load: 3, think: 5 * ms}
	s := f.spec(3)
	s.Backends[0].QueueLimit = 1
	r, err := emulate.Run(s)
	if err != nil {
		t.Fatal(err)
	}
	refused := 1 - float64(len(r.Latency))/float64(r.Passed)
	t.Logf("%.2f of the tries sent on are refused; the backend is busy for %.2f of the time", refused, r.Work/7/39)
	if refused > 0.3 || r.Work/7/39 < 0.6 {
		t.Errorf("%.2f of the tries sent on are refused, want at most 0.3; the backend is busy for %.2f of the time, want at least 0.6",
			refused, r.Work/7/39)
	}
}
