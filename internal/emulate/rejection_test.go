package emulate

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"
)

// rejectScenarios are runs in which no gateway may reject all of its tries.
var rejectScenarios = map[string]func(s *Spec){
	// Traffic of one zone that rises and falls, and a group of customers with bursts.
	"calm": func(s *Spec) {
		burst := func(by float64) func(*World) {
			return func(w *World) {
				w.SetShares(func(i int) float64 {
					share := s.Gateways[i].Share
					if s.Gateways[i].Zone == 0 {
						share *= by
					}
					return share
				})
			}
		}
		s.Events = []Event{{4 * time.Second, burst(4)}, {8 * time.Second, burst(0.25)}}
		s.Customers = append(s.Customers, Customers{Count: 20, Plan: 0, Rate: 6, Spread: 2,
			BurstFactor: 3, BurstOn: 2 * time.Second, BurstOff: 4 * time.Second})
	},
	// Half of the backends are replaced in steps while all gateways are restarted, a tenth
	// at a time, and one in twenty of the backends is unreachable.
	"roll": func(s *Spec) {
		s.Events = []Event{{2 * time.Second, func(w *World) {
			n := w.Backends()
			for i := range n / 2 {
				w.after(time.Duration(i)*8*time.Second/time.Duration(n/2), func() {
					w.Add(Backend{Zone: w.Zone(i), Cores: 3, Weight: 1})
					w.Drain(i)
					w.after(2*time.Second, func() { w.Remove(i) })
				})
			}
			for i := n - 1; i >= n/2; i -= 20 {
				w.Backend(i).Partitioned = true
			}
			for i := range w.gateways {
				w.after(time.Duration(i%10)*900*ms, func() {
					w.Kill(i)
					w.after(300*ms, func() { w.Start(i) })
				})
			}
		}}}
	},
}

// Guards against a gateway that rejects all of its tries (15 or more) for 4 s without an attempt in
// between, in calm runs and during a rolling restart, with and without quotas, from light load to overload.
func TestNoGatewayRejectsAllTries(t *testing.T) {
	for name, scenario := range rejectScenarios {
		for _, c := range []struct {
			gateways, backends int
			perCore            float64
			seeds              uint64
		}{{30, 24, 3, 12}, {30, 24, 9, 12}, {200, 30, 9, 6}} {
			t.Run(fmt.Sprintf("%s, %d over %d at %v", name, c.gateways, c.backends, c.perCore), func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				var all sync.WaitGroup
				slots := make(chan struct{}, runtime.GOMAXPROCS(0))
				worst, shut, tries, refused := time.Duration(0), 0, 0, 0
				for seed := range c.seeds / seedDivisor {
					slots <- struct{}{}
					all.Go(func() {
						defer func() { <-slots }()
						s := bankSpec(seed, c.gateways, c.backends)
						s.LoadFor = 12 * time.Second
						for i := range s.Gateways {
							s.Gateways[i].Share = []float64{0.3, 0.5, 1, 1, 2, 4}[i*7919%6]
						}
						plans := s.Config.Plans
						removeQuotas(&s, c.perCore)
						if s.Config.Plans = append(plans, s.Config.Plans...); seed%3 != 0 {
							s.Customers[0].Plan = len(plans)
						} else {
							s.Customers[0].Plan, s.Customers[0].Spread = 1, 5
						}
						scenario(&s)
						f, err := Run(s)
						mu.Lock()
						defer mu.Unlock()
						if err != nil {
							t.Error(err)
							return
						}
						worst, shut = max(worst, f.LongestRejectingAll), shut+f.RejectingAll
						tries, refused = tries+f.Tries, refused+f.Refused
						if f.RejectingAll > 0 {
							t.Errorf("seed %d: %d of %d gateways reject all tries, for at most %v (%v)",
								seed, f.RejectingAll, len(s.Gateways), f.LongestRejectingAll, f)
						}
					})
				}
				all.Wait()
				t.Logf("%d of %d tries refused; the longest time for which a gateway rejected all is %v", refused, tries, worst)
			})
		}
	}
}
