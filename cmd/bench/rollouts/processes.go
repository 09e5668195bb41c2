package main

import (
	"fmt"
	"os"
	"time"

	"wickarch/internal/fleetproc"
	"wickarch/internal/rolloutlink"
)

type processes struct {
	Ingresses int     `default:"100"`
	Backends  int     `default:"40"`
	PerSecond float64 `default:"300" help:"Requests."`
}

// Run runs a fleet of processes through a good release under faults and a bad one.
func (c *processes) Run() error {
	bin, err := os.MkdirTemp("", "rollouts")
	if err != nil {
		return err
	}
	defer os.RemoveAll(bin)
	if err = fleetproc.Build(bin); err != nil {
		return err
	}
	most := max(1, c.Ingresses/10)
	f, err := fleetproc.Start(fleetproc.Config{Dir: bin, Bin: bin, Coordinators: 3, Ingresses: c.Ingresses, Backends: c.Backends, Zones: 4, PerSecond: c.PerSecond, Payments: 0.1,
		Prove: time.Second, Report: 500 * time.Millisecond, Budgets: fmt.Sprintf(`
[[budget]]
name = "ingresses"
role = "ingress"
most = %d
of = %d
[[budget]]
name = "backends"
role = "backend"
most = %d
`, most, c.Ingresses, max(1, c.Backends/10))})
	if err != nil {
		return err
	}
	stopped := false
	defer func() {
		if !stopped {
			f.Stop()
		}
	}()
	run := func(id, version string, want int, during func() error) error {
		f.Front.ResetMostOut()
		began := time.Now()
		code, out := f.RunOperator("rollout", "start", id, "--version", version, "--waves", "5%,40%,100%", "--soak", "5s", "--requests", "200", "--wait", "60s", "--alpha", "0.05")
		if code != 0 {
			return fmt.Errorf("%s", out)
		}
		if during != nil {
			if err := during(); err != nil {
				return err
			}
		}
		code, out = f.RunOperator("rollout", "watch", id, "--every", "500ms")
		fmt.Printf("%s: exit code %d after %v, most out at once by PING %d of %d allowed\n", id, code, time.Since(began).Round(100*time.Millisecond), f.Front.Seen().MostOut, most)
		if code != want {
			return fmt.Errorf("%s", out)
		}
		return nil
	}
	if err := run("good", "v2", 0, func() error {
		if err := f.Wait(time.Minute, "it is on its way", func(s rolloutlink.Status) bool {
			return len(s.Rollouts) > 0 && s.Rollouts[0].Done >= most
		}); err != nil {
			return err
		}
		lead := f.Leader()
		if lead < 0 {
			return fmt.Errorf("nobody leads")
		}
		f.Coordinators[lead].Kill()
		time.Sleep(3 * time.Second)
		return f.Coordinators[lead].Start()
	}); err != nil {
		return err
	}
	if err := run("refuse", "refuse", 3, nil); err != nil {
		return err
	}
	began := time.Now()
	f.RunOperator("rollout", "back", "refuse")
	code, _ := f.RunOperator("rollout", "watch", "refuse", "--every", "500ms")
	fmt.Printf("back: exit code %d after %v\n", code, time.Since(began).Round(100*time.Millisecond))
	seen := f.Stop()
	stopped = true
	fmt.Printf("%+v\n", seen)
	return f.Check()
}
