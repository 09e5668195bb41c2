package main

import (
	"fmt"
	"io"
	"math"
	"sync"
	"time"

	"wickarch/choice"
	"wickarch/internal/emulate"
)

// maxExcess bounds the cost of what is sent on beyond quotas over that of the reference policy.
const maxExcess = 0.1

// presets are the ranges by their names for the flag -ranges.
var presets = map[string]func() emulate.DeploymentRanges{
	"tiny":  emulate.TinyQuotas,
	"small": emulate.SmallQuotas,
	"any":   emulate.AnyQuotas,
	"late":  emulate.LateMeters,
}

// result is the result of one deployment.
type result struct {
	seed    uint64
	figures *emulate.Figures
	err     error
	took    time.Duration
}

// playDeployments runs the deployments of count seeds starting with from. It prints a row for
// each in order of the seeds as soon as possible, and a summary with the worst margin.
func playDeployments(out io.Writer, preset string, from uint64, count, parallel int) error {
	ranges, ok := presets[preset]
	if !ok {
		return fmt.Errorf("-ranges %q: want tiny, small, any or late", preset)
	}
	results := make([]chan result, count)
	places := make(chan struct{}, max(parallel, 1))
	var all sync.WaitGroup
	defer all.Wait()
	for i := range results {
		results[i] = make(chan result, 1)
	}
	all.Go(func() {
		for i := range results {
			places <- struct{}{}
			all.Go(func() {
				results[i] <- play(from+uint64(i), ranges())
				<-places
			})
		}
	})
	return report(out, results)
}

func play(seed uint64, ranges emulate.DeploymentRanges) result {
	start := time.Now()
	f, err := emulate.Run(emulate.DrawDeployment(seed, ranges))
	return result{seed, f, err, time.Since(start)}
}

const (
	header    = "seed   price    late  excess  served  (late)     net  refused w. room  known  tries/ask    tries  ceiling  sent/asked  asked beyond    took"
	rowFormat = "%4d  %6.3f  %6.3f  %6.3f  %6.3f  %6.3f  %6.3f  %15.3f  %5.2f  %9.2f  %7d  %7d  %10.2f  %12.2f  %6.1fs\n"
)

// printer writes formatted text until a write fails, and keeps the error of that write.
type printer struct {
	to  io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.to, format, args...)
	}
}

// report prints a row for each result as it arrives, and a summary.
func report(out io.Writer, results []chan result) error {
	output := &printer{to: out}
	output.printf("%s\n", header)
	worst, worstSeed, over := math.Inf(1), uint64(0), 0
	var sums [4]float64
	causes := map[choice.Cause]float64{}
	for _, each := range results {
		r := <-each
		if r.err != nil {
			return fmt.Errorf("seed %d: %w", r.seed, r.err)
		}
		f := r.figures
		tries := float64(max(f.Tries, 1))
		output.printf(rowFormat, r.seed, f.OverQuota(), f.ReferenceOverQuota(), f.Excess(), f.Worth(), f.ReferenceWorth(), f.Net(),
			float64(f.RefusedWithRoom)/tries, float64(f.TriesWithReading)/tries, f.TriesPerRequest(), f.Tries,
			f.CeilingPassed, float64(f.Passed)/tries, f.AskedBeyond(), r.took.Seconds())
		if margin := maxExcess - f.Excess(); margin < worst {
			worst, worstSeed = margin, r.seed
		}
		if f.Excess() > maxExcess || f.CeilingPassed > 0 {
			over++
		}
		for i, v := range [...]float64{f.OverQuota(), f.Worth(), f.Net(), float64(f.RefusedWithRoom) / tries} {
			sums[i] += v / float64(len(results))
		}
		for cause, refusals := range f.Causes {
			causes[cause] += float64(refusals) / tries / float64(len(results))
		}
	}
	output.printf("mean: price %.3f  served %.3f  net %.3f  refused with room %.3f\n", sums[0], sums[1], sums[2], sums[3])
	output.printf("refused for")
	for _, cause := range choice.Causes() {
		output.printf("  %s %.3f", cause, causes[cause])
	}
	output.printf("\n")
	output.printf("worst margin %.3f at seed %d; %d of %d break a bound\n", worst, worstSeed, over, len(results))
	return output.err
}
