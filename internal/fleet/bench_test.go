package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"wickarch/choice"
	"wickarch/internal/fleet"
)

// BenchmarkDelta measures the change of one backend between draining and ready, from the list to the new order:
// alone, and with the fit of the shares that follows once in a time span.
func BenchmarkDelta(b *testing.B) {
	for _, n := range [...]uint32{59, 840, 4200} {
		for _, gateways := range [...]int{23, 300, 480, 1000} {
			cfg := config
			cfg.Gateways = gateways
			g := &testGateway{backendOf: map[uint32]uint32{}, attempts: map[uint32]int{}}
			var err error
			if g.Gateway, err = choice.New(cfg, 1, 0, g); err != nil {
				b.Fatal(err)
			}
			if g.Fleet, err = fleet.New(cfg, g.Gateway, 0); err != nil {
				b.Fatal(err)
			}
			list := backends(1, n)
			g.Fleet.Members(0, choice.Full, list, key)
			now := time.Duration(0)
			for _, c := range []struct {
				name string
				span time.Duration
			}{{"alone", 0}, {"run of 100us", 100 * time.Microsecond}, {"one a second", time.Second}} {
				b.Run(fmt.Sprintf("%s/%dx%d", c.name, gateways, n), func(b *testing.B) {
					b.ReportAllocs()
					for i := 0; b.Loop(); i++ {
						m := list[i/2%int(n)]
						m.State = [...]choice.State{choice.Draining, choice.Ready}[i%2]
						now += c.span
						g.Fleet.Members(now, choice.Delta, []choice.Backend{m}, key)
						g.Step(now)
					}
				})
			}
		}
	}
}
