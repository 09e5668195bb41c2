package emulate

import (
	"fmt"
	"math"
	"testing"
	"time"

	"wickarch/choice"
)

// massFaults are faults that affect many members of a fleet at once.
var massFaults = map[string]func(*World){
	"half replaced in steps": func(w *World) {
		n := w.Backends()
		for i := range n / 2 {
			w.after(time.Duration(i)*150*ms, func() {
				w.Add(Backend{Zone: w.Zone(i), Cores: 3, Weight: 1})
				w.Drain(i)
				w.after(3*time.Second, func() { w.Remove(i) })
			})
		}
	},
	"six in ten replaced within 7 s": func(w *World) {
		n := w.Backends()
		for i := range n * 6 / 10 {
			w.after(time.Duration(i)*7*time.Second/time.Duration(n*6/10), func() {
				w.Add(Backend{Zone: w.Zone(i), Cores: 3, Weight: 1})
				w.Remove(i)
			})
		}
	},
	"seven in ten gateways die and come back": func(w *World) {
		for i := range w.gateways {
			if i%10 < 7 {
				w.Kill(i)
				w.after(500*ms+time.Duration(i)*ms, func() { w.Start(i) })
			}
		}
		n := w.Backends()
		for i := range n / 4 { // concurrently a release
			w.after(time.Duration(i)*100*ms, func() {
				w.Add(Backend{Zone: w.Zone(i), Cores: 3, Weight: 1})
				w.Drain(i)
			})
		}
	},
	"a zone lost and back cold": func(w *World) {
		for i := range w.Backends() {
			if w.Zone(i) == 0 {
				w.Backend(i).Partitioned = true
				w.after(5*time.Second, func() { w.Restart(i) })
			}
		}
	},
	"entries that flap": func(w *World) {
		for i := range w.Backends() / 3 {
			for k := range 20 {
				w.after(time.Duration(k)*time.Second, func() {
					if k%2 == 0 {
						w.Drain(i)
					} else {
						w.setState(i, choice.Ready)
					}
				})
			}
		}
	},
	"one of eight fails fast": func(w *World) {
		for i := range w.Backends() {
			if i%8 == 0 {
				w.Backend(i).Fails = 0.9
			}
		}
	},
}

// massFaultSpec returns the spec of a fleet without quotas that the fault hits after 3 s.
func massFaultSpec(seed uint64, gateways, backends int, perCore float64, fault func(*World)) Spec {
	s := bankSpec(seed, gateways, backends)
	s.LoadFor = 11 * time.Second
	removeQuotas(&s, perCore)
	s.Events = []Event{{3 * time.Second, fault}}
	return s
}

// Guards against cold backends that crash because all gateways together send them too much, and
// against tries without an answer, when a fault hits many members of the fleet at once.
func TestMassFaults(t *testing.T) {
	for name, fault := range massFaults {
		for _, c := range []struct {
			gateways, backends int
			perCore            float64
		}{{100, 56, 2.9}, {60, 40, 7}, {200, 24, 2.9}} {
			t.Run(fmt.Sprintf("%s, %d over %d at %v", name, c.gateways, c.backends, c.perCore), func(t *testing.T) {
				t.Parallel()
				f := mustRun(t, massFaultSpec(7, c.gateways, c.backends, c.perCore, fault))
				t.Logf("%v", f)
				if f.Crashed > 0 {
					t.Errorf("%d cold backends crashed (maximum load %.2f of what the rule allows)", f.Crashed, f.MaxColdLoad)
				}
				if f.Unanswered > 0 {
					t.Errorf("%d of %d tries have no answer", f.Unanswered, f.Tries)
				}
			})
		}
	}
}

// Wrong weights in the list, backends that are slow for some gateways only, and slow backends
// must not reduce the worth served by more than 7 %.
func TestWrongWeightsAndSlowBackends(t *testing.T) {
	worth := func(name string, change func(*Spec)) float64 {
		s := massFaultSpec(8, 100, 56, 2.9, func(*World) {})
		change(&s)
		f := mustRun(t, s)
		t.Logf("%s: %v", name, f)
		if f.Unanswered > 0 {
			t.Errorf("%s: %d tries have no answer", name, f.Unanswered)
		}
		return f.Worth()
	}
	sound := worth("sound", func(*Spec) {})
	for name, change := range map[string]func(*Spec){
		"one in six says twice its size": func(s *Spec) {
			for i := 0; i < len(s.Backends); i += 6 {
				s.Backends[i].Weight = 2
			}
		},
		"one in six says nonsense": func(s *Spec) {
			for i := 0; i < len(s.Backends); i += 6 {
				s.Backends[i].Weight = math.NaN()
			}
		},
		"one in eight is slow for half of the gateways": func(s *Spec) {
			s.Events = []Event{{2 * time.Second, func(w *World) {
				for i := 0; i < w.Backends(); i += 8 {
					w.Backend(i).ExtraLatency = func(gateway int) time.Duration { return time.Duration(gateway%2) * 200 * ms }
				}
			}}}
		},
		"one in eight is three times as slow": func(s *Spec) {
			s.Events = []Event{{2 * time.Second, func(w *World) {
				for i := 0; i < w.Backends(); i += 8 {
					w.Backend(i).Slow = 3
				}
			}}}
		},
	} {
		if got := worth(name, change); got < 0.93*sound {
			t.Errorf("%s: %.3f of the worth is served, %.3f without", name, got, sound)
		}
	}
}
