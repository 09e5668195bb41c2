// Command capacity measures what the fleet of two years ahead costs, role by role:
// slopes of state, messages, bytes, CPU and memory by size, on real processes and on
// hollow ones. docs/CAPACITY.md has its figures. It is a long measurement, and no
// part of CI, which plays its counts at a small size (scale_test.go).
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"
)

func main() {
	var line struct {
		Slopes  slopes  `cmd:"" help:"Measure each role by each dimension, at several sizes."`
		Reload  reload  `cmd:"" help:"Tell what a changed plan does to an ingress that runs."`
		Pace    pace    `cmd:"" help:"Tell how soon a release has reached the fleet, in virtual time."`
		Latency latency `cmd:"" help:"Tell what an ingress adds to a request, with a quiet list and one that changes."`
		Crowd   crowd   `cmd:"" help:"Tell what many ingresses ask of discovery at once."`
		Hollow  hollow  `cmd:"" hidden:""`
		Agents  agents  `cmd:"" hidden:""`
	}
	k := kong.Parse(&line, kong.Description("Measurements of capacity."))
	k.FatalIfErrorf(k.Run())
}

// slopes is the command that sweeps.
type slopes struct {
	Bin   string        `default:"bin" help:"Folder of the built programs." type:"path"`
	Only  []string      `help:"Names of sweeps; all without it."`
	Sizes []int         `help:"Other sizes than the sweep's own."`
	Runs  int           `default:"3"`
	Rest  time.Duration `default:"4s" help:"Over which rest is measured."`
	Plots string        `help:"Folder for a plot of each figure." type:"path"`
}

func (s *slopes) sweeps(r roles) map[string]sweep {
	return map[string]sweep{
		"backends":    {"one ingress of 480", "backends", []int{1250, 2500, 5000, 10000, 20000}, fleetBackends, r.byBackends},
		"ingresses":   {"one ingress, 4,200 backends", "ingresses of the fleet", []int{60, 120, 240, 480, 960}, fleetIngresses, r.byIngresses},
		"tenants":     {"one ingress of 480, 64 MB", "tenants", []int{1250, 2500, 5000, 10000, 20000, 100000}, fleetTenants, r.byTenants},
		"requests":    {"one ingress of 480, 4,200 backends", "requests a second", []int{31, 62, 123, 246, 492}, fleetRequests / fleetIngresses, r.byRequests},
		"connections": {"one ingress of 480, 59 backends", "clients at rest", []int{62, 125, 250, 500, 1000}, 1000, r.byConnections},
		"changes":     {"one ingress of 480 at 123 requests a second, 4,200 backends", "changed members in 10 s", []int{2, 5, 10, 20, 40}, 20, r.byChanges},
		"members":     {"three coordinators", "members", []int{250, 500, 1000, 2000, 4000}, fleetIngresses + fleetBackends, r.byMembers},
		"hollow":      {"discovery", "hollow ingresses with 59 backends", []int{60, 120, 240, 480, 1000}, fleetIngresses, r.byHollow},
	}
}

// Run measures.
func (s *slopes) Run() error {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	all := s.sweeps(roles{s.Bin, dir, s.Rest})
	names := s.Only
	if len(names) == 0 {
		for name := range all {
			names = append(names, name)
		}
		slices.Sort(names)
	}
	var faults []error
	for _, name := range names {
		sw, ok := all[name]
		if !ok {
			return fmt.Errorf("no sweep has the name %q", name)
		}
		if len(s.Sizes) > 0 {
			sw.Sizes = s.Sizes
		}
		begun := time.Now()
		m, err := sw.measure(s.Runs)
		if err != nil {
			faults = append(faults, err)
			fmt.Printf("%s: %v\n\n", name, err)
			continue
		}
		fmt.Printf("%s: %d runs, %v\n\n%s\n\n", name, s.Runs, time.Since(begun).Round(time.Second), m.table())
		if s.Plots != "" {
			if err := m.draw(s.Plots); err != nil {
				return err
			}
		}
	}
	return errors.Join(faults...)
}
