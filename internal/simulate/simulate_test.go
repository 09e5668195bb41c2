package simulate

import (
	"reflect"
	"testing"
	"time"

	"wickarch/internal/reactor/simnet"
	"wickarch/internal/sweep"
)

// That the simulation can detect the faults it checks for is shown by cmd/bench/mutants, which
// removes safeguards from the program, one at a time, and prints which seed detects each removal.

func TestSeeds(t *testing.T) { runSeeds(t, 150, 100, Draw, "") }

// Guards against 60 ingresses, each with a subset of the backends, that together overload a cold backend
// though each alone sends it little.
func TestLargeInstallations(t *testing.T) {
	r := runSeeds(t, 6, 1500, DrawCrowd, " -crowd")
	t.Logf("the highest load of a cold backend was %.2f of its limit", r.Coldest)
	if r.Coldest == 0 {
		t.Error("no cold backend received a request: the test shows nothing")
	}
}

// Guards against 20 to 30 ingresses that overload joining or restarted backends under a burst: a cold backend must
// not get more than N + 2 x root of N requests of mean work with over two thirds of it from ingresses notified of
// its start. For 300 seeds: go run ./cmd/bench/seeds -throng -count 300.
func TestColdBackendsUnderBurst(t *testing.T) {
	r := runSeeds(t, 8, 1500, DrawThrong, " -throng")
	t.Logf("%d crashed; the highest load of a cold backend was %.2f of its limit", r.Fallen, r.Coldest)
	if r.Coldest == 0 {
		t.Error("no cold backend received a request: the test shows nothing")
	}
}

// Guards against a wrong limit in the simulated backend: N + 2 x root of N requests of mean work within the window
// of the settings, N being the set multiple of what a backend of that age can process in it. Work before the window
// does not count, work from every ingress does, and a crash breaks the rule only if over two thirds of the work
// came from ingresses that were notified of the start.
func TestColdBackendCrashesAboveItsLimit(t *testing.T) {
	for _, c := range []struct {
		name     string
		age      time.Duration // at the last request
		notified int           // of every ten requests, from notified ingresses
		before   int           // requests received before the window
		capacity int           // requests that it can take
		broken   bool
	}{
		// Capacity 20 requests a second; N = 3 x (0.2 + 0.8 x age/10 s) x 20 x 1.5.
		{"at 5 s", 5 * time.Second, 10, 0, 54 + 14, true},
		{"at 2.5 s", 2500 * ms, 10, 0, 36 + 12, true},
		{"work before the window is ignored", 5 * time.Second, 10, 20, 54 + 14, true},
		{"seven in ten notified", 5 * time.Second, 7, 0, 54 + 14, true},
		{"six in ten notified", 5 * time.Second, 6, 0, 54 + 14, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Scenario{Seed: 1, Backends: 1, Cold: 10 * time.Second, Cores: 20 * meanService.Seconds(), For: time.Second}
			r := &run{Scenario: s, net: simnet.New(1)}
			r.ColdRule = defaultColdRule
			r.addBackend("10.0.1.1")
			b := r.backends[0]
			b.upSince = simnet.Epoch.UnixMilli()
			informed := &gateway{notifiedStarts: map[string]int64{b.name: b.upSince}}
			unaware := &gateway{notifiedStarts: map[string]int64{b.name: 0}}
			got := 0
			send := func() {
				from := informed
				if got%10 >= c.notified {
					from = unaware
				}
				got++
				b.countWork(from, meanService)
			}
			r.net.RunUntil(c.age - defaultColdRule.For - ms)
			for range c.before {
				send()
			}
			r.net.RunUntil(c.age)
			for range c.capacity {
				send()
			}
			if b.crashed || r.report.Fallen > 0 {
				t.Fatalf("backend crashed with %d requests", c.capacity)
			}
			send()
			if !b.crashed || b.node.Loop != nil || len(r.report.Faults) > 0 != c.broken {
				t.Errorf("after one more request: crashed %v, faults %q; want it crashed and the rule broken: %v", b.crashed, r.report.Faults, c.broken)
			}
			b.restart()
			if b.crashed || b.node.Loop == nil {
				t.Error("backend is still down after a restart")
			}
		})
	}
}

// runSeeds runs seeds, and wants at least the given number of requests per seed on average.
func runSeeds(t *testing.T, seeds uint64, requests int, draw func(uint64) Scenario, flags string) Report {
	var sum Report
	sweep.Run(sweep.Seeds{From: 1, Count: seeds}, func(seed uint64) Report { return Run(draw(seed), nil) },
		func(seed uint64, got Report) bool {
			for _, f := range got.Faults {
				t.Errorf("seed %d (go run ./cmd/bench/seeds%s -seed %d -trace): %s", seed, flags, seed, f)
			}
			sum.Add(got)
			return true
		})
	// A run in which nothing happens must not pass.
	if sum.Served < sum.Requests/3 || sum.Requests < requests*int(seeds) {
		t.Errorf("%d requests, %d of them served: too few for a meaningful test", sum.Requests, sum.Served)
	}
	return sum
}

func TestSameSeedGivesTheSameRun(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		var lines [2][]string
		var reports [2]Report
		for i := range reports {
			reports[i] = Run(Draw(seed), func(at time.Duration, line string) { lines[i] = append(lines[i], at.String()+" "+line) })
		}
		if !reflect.DeepEqual(reports[0], reports[1]) {
			for i, l := range lines[0] {
				if i >= len(lines[1]) || lines[1][i] != l {
					t.Fatalf("seed %d: line %d is %.200q in the first run, %.200q in the second", seed, i, l, lines[1][min(i, len(lines[1])-1)])
				}
			}
			t.Fatalf("seed %d: %+v in the first run, %+v in the second", seed, reports[0], reports[1])
		}
	}
}
