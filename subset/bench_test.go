package subset_test

import (
	"fmt"
	"testing"
	"time"

	"wickarch/subset"
)

// BenchmarkListChange measures a list that differs by one backend, and the complete fit that follows once per
// Config.MaxStaleness, in all its steps.
func BenchmarkListChange(b *testing.B) {
	for _, n := range [...]int{59, 840, 4200} {
		for _, gateways := range [...]int{23, 300, 480, 1000} {
			list := backends(0, n, 5)
			for i := range list { // real lists are not sorted by key either
				j := i * 7919 % n
				list[i], list[j] = list[j], list[i]
			}
			s := newSet(b, subset.Config{Gateways: gateways}, list)
			b.Run(fmt.Sprintf("members/%dx%d", gateways, n), func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					s.SetBackends(list[i%2:])
				}
			})
			b.Run(fmt.Sprintf("fit/%dx%d", gateways, n), func(b *testing.B) {
				b.ReportAllocs()
				now := time.Duration(0)
				for i := 0; b.Loop(); i++ {
					b.StopTimer()
					s.SetBackends(list[i%2:])
					now += 2 * maxStaleness
					b.StartTimer()
					for s.Step(now) || subset.FitRunning(s) {
					}
				}
			})
		}
	}
}

// BenchmarkFitStep measures one step of a fit, and the longest one: a request waits for it.
func BenchmarkFitStep(b *testing.B) {
	list := backends(0, 4200, 5)
	s := newSet(b, subset.Config{Gateways: 480}, list)
	now, longest, i := time.Duration(0), time.Duration(0), 0
	for b.Loop() {
		if !subset.FitRunning(s) { // a zone is removed and restored
			i++
			s.SetBackends(list[i%2*840:])
			now += maxStaleness
		}
		start := time.Now()
		s.Step(now)
		longest = max(longest, time.Since(start))
	}
	b.ReportMetric(float64(longest.Microseconds()), "us-at-most")
}
