package subset_test

import (
	"fmt"
	"testing"
	"time"

	"wickarch/subset"
)

// BenchmarkDelta measures a list that differs by one member, and the whole fit that follows once in a span of
// Stale, in however many steps.
func BenchmarkDelta(b *testing.B) {
	for _, n := range [...]int{59, 840, 4200} {
		for _, gateways := range [...]int{23, 300, 480, 1000} {
			list := backends(0, n, 5)
			for i := range list { // as a real one does, it lies in no order of keys
				j := i * 7919 % n
				list[i], list[j] = list[j], list[i]
			}
			s := open(b, subset.Config{Gateways: gateways}, list)
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
					now += 2 * stale
					b.StartTimer()
					for s.Step(now) || subset.Busy(s) {
					}
				}
			})
		}
	}
}

// BenchmarkStep measures one step of a fit: the longest that a request waits for it.
func BenchmarkStep(b *testing.B) {
	list := backends(0, 4200, 5)
	s := open(b, subset.Config{Gateways: 480}, list)
	now, longest, i := time.Duration(0), time.Duration(0), 0
	for b.Loop() {
		if !subset.Busy(s) { // a zone goes, and comes back
			i++
			s.SetBackends(list[i%2*840:])
			now += stale
		}
		begun := time.Now()
		s.Step(now)
		longest = max(longest, time.Since(begun))
	}
	b.ReportMetric(float64(longest.Microseconds()), "us-at-most")
}
