package subset_test

import (
	"fmt"
	"testing"
	"time"

	"wickarch/subset"
)

// BenchmarkDelta measures a list that differs by one member, and the fit that follows once in a span of Stale.
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
					s.Members(list[i%2:])
				}
			})
			b.Run(fmt.Sprintf("fit/%dx%d", gateways, n), func(b *testing.B) {
				b.ReportAllocs()
				now := time.Duration(0)
				for i := 0; b.Loop(); i++ {
					b.StopTimer()
					s.Members(list[i%2:])
					now += 2 * stale
					b.StartTimer()
					s.Step(now)
				}
			})
		}
	}
}
