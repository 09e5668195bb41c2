// Command limits compares limiters of attempts in flight on the same emulated fleets:
// the worth served in time in the steady state, and the recovery time after a change,
// relative to the best constant limit for each fleet, which an operator who knew it would set.
// It is a measurement for docs/design/concurrency-limit.md and not part of CI.
package main

import (
	"flag"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"wickarch/choice"
	"wickarch/internal/emulate"
)

const ms = time.Millisecond

// fleet is one installation and its load.
type fleet struct {
	name               string
	gateways, backends int
	cores              func(i int) int
	work               [2]float64 // seconds of each class
	aim                time.Duration
	load               float64       // offered load over the fleet's capacity
	think              time.Duration // think time of closed-loop clients; 0: open loop
	change             func(w *emulate.World)
	at                 time.Duration // of the change
	length             time.Duration // of the load; 0: the default of duration
}

func all(n int) func(int) int { return func(int) int { return n } }

// mixed alternates backends of 2 and 32 cores.
func mixed(i int) int { return []int{2, 32}[i%2] }

// duration returns the length of the load, and settledSecond the second from which the fleet is in steady state.
func (f *fleet) duration() time.Duration {
	if f.length > 0 {
		return f.length
	}
	return max(40*time.Second, 14*f.aim)
}
func (f *fleet) settledSecond() int { return int(max(15*time.Second, 6*f.aim) / time.Second) }

var fleets = []fleet{
	{name: "the users': 3 x 12, 3 cores, 100 ms, 0.6", gateways: 3, backends: 12, cores: all(3), work: [2]float64{0.09, 0.09}, aim: 600 * ms, load: 0.6},
	{name: "the same, 1.3", gateways: 3, backends: 12, cores: all(3), work: [2]float64{0.09, 0.09}, aim: 600 * ms, load: 1.3},
	{name: "the same, 3.0", gateways: 3, backends: 12, cores: all(3), work: [2]float64{0.09, 0.09}, aim: 600 * ms, load: 3},
	{name: "1 x 1, 32 cores, 10 ms, 0.9", gateways: 1, backends: 1, cores: all(32), work: [2]float64{0.01, 0.01}, aim: 100 * ms, load: 0.9},
	{name: "1 x 1, 32 cores, 10 ms, 2.0", gateways: 1, backends: 1, cores: all(32), work: [2]float64{0.01, 0.01}, aim: 100 * ms, load: 2},
	{name: "10 x 20, 64 cores, 20 ms, 1.3", gateways: 10, backends: 20, cores: all(64), work: [2]float64{0.1, 0.1}, aim: 600 * ms, load: 1.3},
	{name: "3 x 10, 1 core, 2 s, 1.5", gateways: 3, backends: 10, cores: all(1), work: [2]float64{2, 2}, aim: 10 * time.Second, load: 1.5},
	{name: "20 x 8, 16 cores, 1 ms, 1.2", gateways: 20, backends: 2, cores: all(2), work: [2]float64{0.001, 0.001}, aim: 10 * ms, load: 1.2},
	{name: "5 x 20, 2 and 32 cores, 1.2", gateways: 5, backends: 20, cores: mixed, work: [2]float64{0.05, 0.05}, aim: 300 * ms, load: 1.2},
	{name: "5 x 20, 2 and 32 cores, 0.8", gateways: 5, backends: 20, cores: mixed, work: [2]float64{0.05, 0.05}, aim: 300 * ms, load: 0.8},
	{name: "5 x 20, work 5 and 500 ms, 1.3", gateways: 5, backends: 20, cores: all(8), work: [2]float64{0.005, 0.5}, aim: 2 * time.Second, load: 1.3},
	{name: "base at half of the aim, 0.7", gateways: 5, backends: 20, cores: all(8), work: [2]float64{0.15, 0.15}, aim: 300 * ms, load: 0.7},
	{name: "50 x 300, 3 cores, 0.5", gateways: 50, backends: 300, cores: all(3), work: [2]float64{0.15, 0.15}, aim: time.Second, load: 0.5},
	{name: "300 x 167, 3 cores, 0.5", gateways: 300, backends: 167, cores: all(3), work: [2]float64{0.15, 0.15}, aim: time.Second, load: 0.5},
	{name: "300 x 167, 3 cores, 1.3", gateways: 300, backends: 167, cores: all(3), work: [2]float64{0.15, 0.15}, aim: time.Second, load: 1.3},
	{name: "10 requests a second, 3 x 2", gateways: 3, backends: 2, cores: all(2), work: [2]float64{0.3, 0.3}, aim: time.Second, load: 0.75},
	{name: "closed loop, 2.0", gateways: 3, backends: 12, cores: all(4), work: [2]float64{0.05, 0.05}, aim: 300 * ms, load: 2, think: 200 * ms},
	{name: "a fleet that shrinks to a third", gateways: 5, backends: 30, cores: all(4), work: [2]float64{0.05, 0.05}, aim: 300 * ms, load: 0.6, at: 20 * time.Second,
		change: func(w *emulate.World) {
			for i := range 20 {
				w.After(time.Duration(i)*100*ms, func() { w.Remove(i) })
			}
		}},
	{name: "a fleet that triples, load with it", gateways: 5, backends: 10, cores: all(4), work: [2]float64{0.05, 0.05}, aim: 300 * ms, load: 2.4, at: 20 * time.Second,
		change: func(w *emulate.World) {
			for range 20 {
				w.Add(emulate.Backend{Cores: 4})
			}
		}},
	{name: "2 cores replaced by 32 under new ids", gateways: 5, backends: 10, cores: all(2), work: [2]float64{0.05, 0.05}, aim: 300 * ms, load: 4, at: 20 * time.Second,
		change: func(w *emulate.World) {
			for i := range 10 {
				w.After(time.Duration(i)*200*ms, func() {
					w.Remove(i)
					w.Add(emulate.Backend{Cores: 32})
				})
			}
		}},
	{name: "every latency doubled for 10 s", gateways: 5, backends: 20, cores: all(4), work: [2]float64{0.05, 0.05}, aim: 300 * ms, load: 0.4, at: 15 * time.Second,
		change: func(w *emulate.World) {
			for i := range 20 {
				w.Backend(i).Slow = 2
				w.After(10*time.Second, func() { w.Backend(i).Slow = 0 })
			}
		}},
}

func (f *fleet) spec(seed uint64) emulate.Spec {
	s := emulate.Spec{
		Seed: seed, LoadFor: f.duration(),
		Config: choice.Config{
			MaxAttempts: 4, Cancelling: true, RetryAfter: true, MaxRetryAfter: time.Second,
			CrashMultiple: 3, CrashAfter: 1500 * ms, DrainGrace: 500 * ms, CrossZoneCost: 0.01,
			Classes: []choice.Class{
				{Aim: f.aim, Deadline: 4 * f.aim, Worth: 2, LateWorth: 0.1},
				{Aim: f.aim, Deadline: 3 * f.aim, Worth: 6, Effect: choice.AtMostOnce},
			},
			Plans: []choice.Plan{{Price: 1}},
		},
		Mix: []float64{0.56, 0.44}, Work: f.work[:], WorkSigma: 0.5, MaxTries: 1,
		NetworkDelay: [2]time.Duration{100 * time.Microsecond, 500 * time.Microsecond}, ListDelay: [2]time.Duration{100 * ms, time.Second},
		Handshake: 0.001, IdleTimeout: 9 * time.Second,
	}
	cores := 0.0
	for i := range f.gateways {
		s.Gateways = append(s.Gateways, emulate.Gateway{Zone: i % 3, Share: 1})
	}
	for i := range f.backends {
		s.Backends = append(s.Backends, emulate.Backend{Zone: i % 3, Cores: f.cores(i)})
		cores += float64(f.cores(i))
	}
	rate := f.load * cores / (s.Mix[0]*f.work[0] + s.Mix[1]*f.work[1])
	c := emulate.Customers{Count: 300, Rate: rate / 300, Spread: f.gateways}
	if f.think > 0 {
		c.Count, c.ThinkTime = int(rate*(f.think.Seconds()+f.work[0])), f.think
	}
	s.Customers = []emulate.Customers{c}
	if f.change != nil {
		s.Events = []emulate.Event{{At: f.at, Do: f.change}}
	}
	return s
}

// figure holds the results of one limiter on one fleet.
type figure struct {
	worth    float64 // fraction of worth served in time, in the steady state (after the change)
	fairness float64
	fallen   int
	perSec   []float64
}

func (f *fleet) play(seed uint64, make func(time.Duration) choice.Limiter) (x figure, err error) {
	s := f.spec(seed)
	if make != nil {
		s.NewLimiter = func(int) choice.Limiter { return make(f.aim) }
	}
	r, err := emulate.Run(s)
	if err != nil {
		return x, err
	}
	from := f.settledSecond()
	if f.change != nil {
		from = int(f.at/time.Second) + 10
	}
	end := int(f.duration()/time.Second) - 1
	inside, served := r.Within(from, end)
	x.worth, x.fairness, x.fallen = served/inside, r.Fairness(max(20, f.settledSecond()), end, nil), r.Crashed
	for i := range end {
		in, out := r.Within(i, i+1)
		x.perSec = append(x.perSec, out/max(in, 1e-9))
	}
	return x, nil
}

func main() {
	only := flag.String("only", "", "only fleets whose name contains this")
	way := flag.String("ways", "", "only limiters whose name contains this")
	seeds := flag.Uint64("seeds", 1, "number of seeds to average over")
	real := flag.String("loopback", "", "run this program with one stand-in backend that has a limit, instead of fleets")
	flag.Parse()
	if *real != "" {
		if err := loopback(*real); err != nil {
			fmt.Fprintln(os.Stderr, "limits:", err)
			os.Exit(1)
		}
		return
	}
	if err := run(*only, *way, *seeds); err != nil {
		fmt.Fprintln(os.Stderr, "limits:", err)
		os.Exit(1)
	}
}

// constants are the candidates for the best constant limit, as multiples of the prior.
var constants = []float64{0.1, 0.2, 0.3, 0.45, 0.7, 1, 1.4, 2, 3, 5, 9, 20, 60}

func run(only, way string, seeds uint64) error {
	ways := slices.DeleteFunc(slices.Clone(ways), func(w limiterCase) bool { return !strings.Contains(w.name, way) })
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer func() { _ = out.Flush() }() // after an error: prints the rows before it
	fmt.Fprint(out, "fleet\tbest constant")
	for _, w := range ways {
		fmt.Fprint(out, "\t", w.name)
	}
	fmt.Fprintln(out)
	for i := range fleets {
		f := &fleets[i]
		if !strings.Contains(f.name, only) {
			continue
		}
		makers := []func(time.Duration) choice.Limiter{}
		for _, v := range constants {
			makers = append(makers, func(time.Duration) choice.Limiter { return constant(v) })
		}
		for _, w := range ways {
			makers = append(makers, w.make)
		}
		results := make([]figure, len(makers))
		var failed error
		var all sync.WaitGroup
		var mu sync.Mutex
		slots := make(chan struct{}, runtime.NumCPU())
		for k, m := range makers {
			for seed := range seeds {
				all.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					x, err := f.play(seed+1, m)
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						failed = err
						return
					}
					r := &results[k]
					r.worth += x.worth / float64(seeds)
					r.fairness += x.fairness / float64(seeds)
					r.fallen += x.fallen
					if r.perSec == nil {
						r.perSec = make([]float64, len(x.perSec))
					}
					for i, v := range x.perSec {
						r.perSec[i] += v / float64(seeds)
					}
				})
			}
		}
		all.Wait()
		if failed != nil {
			return failed
		}
		best := 0
		for k := range constants {
			if results[k].worth > results[best].worth {
				best = k
			}
		}
		fmt.Fprintf(out, "%s\t%.3f (%g)", f.name, results[best].worth, constants[best])
		for k := range ways {
			r := results[len(constants)+k]
			fmt.Fprintf(out, "\t%.2f", r.worth/results[best].worth)
			if f.change != nil {
				fmt.Fprintf(out, " %s", f.recoveryTime(r, results[best].worth))
			}
			fmt.Fprintf(out, " J%.2f", math.Floor(r.fairness*100)/100)
			if r.fallen > 0 {
				fmt.Fprintf(out, " fell %d", r.fallen)
			}
		}
		fmt.Fprintln(out)
		if err := out.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// recoveryTime returns the seconds from the change until a limiter serves 0.9 of the best
// constant's worth for three seconds in a row.
func (f *fleet) recoveryTime(r figure, best float64) string {
	from := int(f.at / time.Second)
	for i := from; i+3 <= len(r.perSec); i++ {
		if min(r.perSec[i], r.perSec[i+1], r.perSec[i+2]) >= 0.9*best {
			return fmt.Sprint(i-from, "s")
		}
	}
	return "never"
}
