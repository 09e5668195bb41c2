// Command quotas plays customers of several kinds against their quotas on emulated
// fleets of 3, 30 and 300 gateways, and tells, by kind, what is lost by refusing where
// there was room and by passing beyond the quota, and why tries were refused. With
// -deployments it plays deployments drawn by seed, and holds the price of what they pass
// beyond quotas against that of a policy which sees the true stores late. It is a
// measurement for docs/design/quota-at-scale.md, and no part of CI.
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

// kind is one kind of customer: so many times its quota on average.
type kind struct {
	name      string
	count     float64 // customers for each gateway
	plan      int
	rate      float64 // of the quota
	burst     float64
	on, off   time.Duration
	oncePerGW float64 // of customers that ask once, a second for each gateway
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

// crowding scales the customers so that what is asked inside the quotas keeps the
// fleet half busy.
const crowding = 0.55

func fleet(gateways int, seed uint64, lasts time.Duration) emulate.Spec {
	s := emulate.Spec{
		Seed: seed, For: lasts,
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
		Mix: []float64{0.56, 0.44}, Work: []float64{0.085, 0.085}, WorkSigma: 0.3, Tries: 3, Wait: 200 * ms,
		OneWay: [2]time.Duration{300 * time.Microsecond, 1300 * time.Microsecond}, ListDelay: [2]time.Duration{200 * ms, 2 * time.Second},
		Handshake: 0.002, MeterLag: 800 * ms,
	}
	rng := rand.New(rand.NewPCG(seed, uint64(gateways)))
	for i := range gateways { // on the users' days the ninth tenth of them is five times as busy as the first
		s.Gateways = append(s.Gateways, emulate.Gateway{Zone: i % 3, Share: math.Exp(0.6 * rng.NormFloat64())})
	}
	for i := range max(4, gateways*167/300) {
		s.Backends = append(s.Backends, emulate.Backend{Zone: i % 3, Cores: 3, Weight: 1})
	}
	for _, k := range kinds {
		p := s.Config.Plans[k.plan]
		// A set has two gateways at least, and at a ceiling no more than leaves each two requests. As counted on the
		// users' days, the busiest gateway of a set gets a quarter of its requests, and is another one later.
		spread := max(2, int(0.7*float64(gateways)))
		if p.CeilingRate > 0 {
			spread = min(spread, 22)
		}
		c := emulate.Customers{Plan: k.plan, Rate: k.rate * p.Rate, Spread: spread, Zipf: 1, Moves: 15 * time.Second,
			Burst: k.burst, On: k.on, Off: k.off}
		if c.Count = max(1, int(k.count*crowding*float64(gateways)+0.5)); k.oncePerGW > 0 {
			c.Count, c.Rate, c.Once = gateways, k.oncePerGW*crowding, true
		}
		s.Customers = append(s.Customers, c)
	}
	return s
}

func main() {
	seeds := flag.Uint64("seeds", 1, "seeds to play")
	lasts := flag.Duration("for", 30*time.Second, "time of load")
	lag := flag.Duration("lag", 250*ms, "how late the oracle sees the true stores")
	count := flag.Int("deployments", 0, "drawn deployments to play, in place of the fleets above")
	from := flag.Uint64("from", 1, "seed of the first")
	ranges := flag.String("ranges", "small", "what they are drawn from: tiny, small or any (quotas), late (meters)")
	parallel := flag.Int("parallel", 2, "how many are played at once")
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
			spec.Late.Lag = *lag
			f, err := emulate.Run(spec)
			if err != nil {
				fmt.Fprintln(os.Stderr, "quotas:", err)
				os.Exit(1)
			}
			part := func(a, b int) float64 { return float64(a) / float64(max(b, 1)) }
			fmt.Fprintf(out, "%d gateways, seed %d\tworth %.3f\trefused with room %.3f\tbeyond %.3f\tcost beyond %.3f\tan oracle's %.3f\tceiling least %.1f\n", n, seed+1,
				f.Worth(), part(f.RefusedWithRoom, f.Tries), part(f.Beyond, f.Passed), f.OverQuota(), f.OverQuotaLate(), f.CeilingLeast)
			for i, k := range kinds {
				g := f.Groups[i]
				fmt.Fprintf(out, "  %s\t%.3f\t%.3f\t%.3f\tof all worth %.3f\ttries %d\n", k.name, g.Served/max(g.Inside, 1e-9),
					part(g.RefusedWithRoom, g.Tries), part(g.Beyond, g.Passed), g.Inside/f.Inside, g.Tries)
			}
			fmt.Fprint(out, "  refused for")
			for _, c := range choice.Causes() {
				fmt.Fprintf(out, "\t%s %.3f", c, part(int(f.Causes[c]), f.Tries))
			}
			fmt.Fprintln(out)
		}
	}
	if err := out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "quotas:", err)
		os.Exit(1)
	}
}
