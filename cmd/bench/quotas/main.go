// Command quotas runs customers of several kinds with quotas on emulated fleets of 3, 30
// and 300 gateways. It prints for each kind what is lost by refusing tries within the quota
// and by sending on tries beyond it, and the causes of refusals. With -deployments it runs
// random deployments, and compares the cost of what they send on beyond quotas with that of
// a reference policy which sees the true bucket levels with a delay. It is a measurement for
// docs/design/quota-at-scale.md and not part of CI.
package main

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"text/tabwriter"
	"time"

	"wickarch/choice"
	"wickarch/internal/emulate"
)

const ms = time.Millisecond

// kind is one kind of customers.
type kind struct {
	name      string
	count     float64 // customers per gateway
	plan      int
	rate      float64 // as a multiple of the quota's rate
	burst     float64
	on, off   time.Duration
	oncePerGW float64 // new customers with a single request, per second and gateway
}

var kinds = []kind{
	{name: "small, calm", count: 2.6, plan: 0, rate: 0.3},
	{name: "small, near the quota", count: 0.8, plan: 0, rate: 0.9},
	{name: "small, heavy", count: 0.45, plan: 0, rate: 3},
	{name: "small, in bursts", count: 0.6, plan: 0, rate: 0.4, burst: 6, on: 4 * time.Second, off: 12 * time.Second},
	{name: "large, calm", count: 0.4, plan: 1, rate: 0.3},
	{name: "large, near the quota", count: 0.15, plan: 1, rate: 0.9},
	{name: "large, heavy", count: 0.1, plan: 1, rate: 3},
	{name: "large, twenty times", count: 0.006, plan: 1, rate: 20},
	{name: "large, in bursts", count: 0.25, plan: 1, rate: 0.3, burst: 8, on: 4 * time.Second, off: 12 * time.Second},
	{name: "one-off", plan: 0, oncePerGW: 0.5},
}

// loadScale scales the number of customers so that the load within quotas keeps the
// fleet half busy.
const loadScale = 0.55

func fleet(gateways int, seed uint64, lasts time.Duration) emulate.Spec {
	s := emulate.Spec{
		Seed: seed, LoadFor: lasts,
		Config: choice.Config{
			MeterPeriod: 500 * ms, MaxUnits: 1, MaxAttempts: 4, Cancelling: true, RetryAfter: true, MaxRetryAfter: time.Second,
			ColdCapacity: 0.15, WarmUpTime: 17 * time.Second, CrashMultiple: 3, CrashAfter: 1500 * ms, DrainGrace: 500 * ms, CrossZoneCost: 0.01,
			Classes: []choice.Class{
				{Aim: 600 * ms, Deadline: 2500 * ms, Worth: 2, LateWorth: 0.1},
				{Aim: 600 * ms, Deadline: 1500 * ms, Worth: 6, Effect: choice.AtMostOnce},
			},
			Plans: []choice.Plan{
				{Rate: 1.6, Burst: 7, Price: 1.1, OverCost: 1},
				{Rate: 9.5, Burst: 21, Price: 1.6, OverCost: 0.6, CeilingRate: 31, CeilingBurst: 52, CeilingTolerance: 5.2},
			},
		},
		Mix: []float64{0.56, 0.44}, Work: []float64{0.085, 0.085}, WorkSigma: 0.3, MaxTries: 3, RetryWait: 200 * ms,
		NetworkDelay: [2]time.Duration{300 * time.Microsecond, 1300 * time.Microsecond}, ListDelay: [2]time.Duration{200 * ms, 2 * time.Second},
		Handshake: 0.002, MeterLag: 800 * ms,
	}
	rng := rand.New(rand.NewPCG(seed, uint64(gateways)))
	for i := range gateways { // in the users' traffic the ninth decile of gateways is five times as busy as the first
		s.Gateways = append(s.Gateways, emulate.Gateway{Zone: i % 3, Share: math.Exp(0.6 * rng.NormFloat64())})
	}
	for i := range max(4, gateways*167/300) {
		s.Backends = append(s.Backends, emulate.Backend{Zone: i % 3, Cores: 3, Weight: 1})
	}
	for _, k := range kinds {
		p := s.Config.Plans[k.plan]
		// A customer uses at least two gateways, and with a ceiling at most so many that each has two requests of its
		// burst. In the users' traffic a customer's busiest gateway gets a quarter of its requests, and changes over time.
		spread := max(2, int(0.7*float64(gateways)))
		if p.CeilingRate > 0 {
			spread = min(spread, 22)
		}
		c := emulate.Customers{Plan: k.plan, Rate: k.rate * p.Rate, Spread: spread, Zipf: 1, ShiftEvery: 15 * time.Second,
			BurstFactor: k.burst, BurstOn: k.on, BurstOff: k.off}
		if c.Count = max(1, int(k.count*loadScale*float64(gateways)+0.5)); k.oncePerGW > 0 {
			c.Count, c.Rate, c.OneShot = gateways, k.oncePerGW*loadScale, true
		}
		s.Customers = append(s.Customers, c)
	}
	return s
}

func main() {
	seeds := flag.Uint64("seeds", 1, "number of seeds to run")
	lasts := flag.Duration("for", 30*time.Second, "duration of the load")
	lag := flag.Duration("lag", 250*ms, "delay with which the reference policy sees the true bucket levels")
	count := flag.Int("deployments", 0, "number of random deployments to run instead of the fixed fleets")
	from := flag.Uint64("from", 1, "seed of the first deployment")
	ranges := flag.String("ranges", "small", "ranges of the deployments: tiny, small or any (quotas), late (meters)")
	parallel := flag.Int("parallel", 2, "number of deployments to run concurrently")
	flag.Parse()
	if *count > 0 {
		if err := playDeployments(os.Stdout, *ranges, *from, *count, *parallel); err != nil {
			fmt.Fprintln(os.Stderr, "quotas:", err)
			os.Exit(1)
		}
		return
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, n := range []int{3, 30, 300} {
		for seed := range *seeds {
			spec := fleet(n, seed+1, *lasts)
			spec.Reference.Lag = *lag
			f, err := emulate.Run(spec)
			if err != nil {
				fmt.Fprintln(os.Stderr, "quotas:", err)
				os.Exit(1)
			}
			fraction := func(a, b int) float64 { return float64(a) / float64(max(b, 1)) }
			fmt.Fprintf(out, "%d gateways, seed %d\tworth %.3f\trefused with room %.3f\tbeyond %.3f\tcost beyond %.3f\tan oracle's %.3f\tceiling least %.1f\n", n, seed+1,
				f.Worth(), fraction(f.RefusedWithRoom, f.Tries), fraction(f.Beyond, f.Passed), f.OverQuota(), f.ReferenceOverQuota(), f.MinCeilingLevel)
			for i, k := range kinds {
				g := f.Groups[i]
				fmt.Fprintf(out, "  %s\t%.3f\t%.3f\t%.3f\tof all worth %.3f\ttries %d\n", k.name, g.Served/max(g.Inside, 1e-9),
					fraction(g.RefusedWithRoom, g.Tries), fraction(g.Beyond, g.Passed), g.Inside/f.Inside, g.Tries)
			}
			fmt.Fprint(out, "  refused for")
			for _, c := range choice.Causes() {
				fmt.Fprintf(out, "\t%s %.3f", c, fraction(int(f.Causes[c]), f.Tries))
			}
			fmt.Fprintln(out)
		}
	}
	if err := out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "quotas:", err)
		os.Exit(1)
	}
}
