package main

import (
	"testing"
	"time"

	"wickarch/choice"
	"wickarch/internal/emulate"
)

// Beside the best constant for each fleet, of those that the program's table tries, the
// gateways' own limit serves nearly as much, in fleets that the prior fits and in others.
// The least is what it must keep; the limit that it replaced comes to 0.23, 0.29 and 0.75
// of the best on three of these.
func TestOwnLimitFindsTheFleetsSize(t *testing.T) {
	for name, c := range map[string]struct{ best, least float64 }{
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
				f.length = 27 * time.Second // seven of them for the parts of gateways: the race detector is slow
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
			if own.worth < c.least*best.worth {
				t.Errorf("worth served %.3f, the best constant's is %.3f", own.worth, best.worth)
			}
			if !(own.fairness >= 0.95) {
				t.Errorf("Jain's index of the gateways is %.3f", own.fairness)
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

// Four of ten gateways start late into an overloaded fleet, and two leave: the others
// come to even parts without a word between them.
func TestLateStartersGetTheirPart(t *testing.T) {
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
		t.Errorf("Jain's index 20 s later is %.3f", got)
	}
}

// A backend that takes eight at a time and refuses the rest is neither starved nor pressed on.
func TestRefusalsOfABackendTellItsLimit(t *testing.T) {
	f := fleet{gateways: 1, backends: 1, cores: all(7), work: [2]float64{0.01, 0.01}, aim: 300 * ms, load: 3, think: 5 * ms}
	s := f.spec(3)
	s.Backends[0].Room = 1
	r, err := emulate.Run(s)
	if err != nil {
		t.Fatal(err)
	}
	refused := 1 - float64(len(r.Latency))/float64(r.Passed)
	t.Logf("%.2f of what is sent is turned away; the backend is busy for %.2f of its time", refused, r.Work/7/39)
	if refused > 0.3 || r.Work/7/39 < 0.6 {
		t.Errorf("%.2f of what is sent is turned away, and the backend is busy for %.2f of its time", refused, r.Work/7/39)
	}
}
