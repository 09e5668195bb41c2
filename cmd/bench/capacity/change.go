package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"wickarch/internal/fleetsim"
	"wickarch/rollout"
)

// reload is the command that tells what a change of configuration does to one real ingress
// that runs.
type reload struct {
	Bin string `default:"bin" type:"path"`
}

// Run floods one tenant: by a plan, by a changed plan after SIGHUP, and after a restart.
func (c *reload) Run() error {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	d, _, stop, err := discovered(4)
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	node := nodeOf(0, 1, d.Addr(), 64, plan{1000, 1000, 20})
	p, err := startIngress(ctx, node, c.Bin, dir)
	if err != nil {
		return err
	}
	flood := func(addr string) (served, refused int64, err error) {
		l := &load{Addr: addr, Conns: 4, PerSecond: 400, Customer: func(int64) uint64 { return 1 }}
		err = l.Run(ctx, 1600)
		return l.Served.Load(), l.Refused.Load(), err
	}
	t := table.NewWriter()
	t.AppendHeader(table.Row{"state", "ceiling in the file, units a second", "served of 1600 in 4 s", "refused"})
	add := func(state string, rate int, addr string) error {
		served, refused, floodErr := flood(addr)
		t.AppendRow(table.Row{state, rate, served, refused})
		return floodErr
	}
	if err = add("started", 20, p.Addr); err != nil {
		return err
	}
	node.Settings = settings(0, 1, plan{1000, 1000, 200})
	if _, err = node.Write(dir); err != nil {
		return err
	}
	if err = p.Cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err = add("SIGHUP", 200, p.Addr); err != nil {
		return err
	}
	if err = p.Stop(10 * time.Second); err != nil {
		return err
	}
	if p, err = startIngress(ctx, node, c.Bin, dir); err != nil {
		return err
	}
	if err = add("restarted", 200, p.Addr); err != nil {
		return err
	}
	fmt.Println(t.RenderMarkdown())
	return p.Stop(10 * time.Second)
}

// pace is the command that tells how soon a release has reached the whole fleet, in virtual
// time: what a change of configuration takes while only a restart puts it in force.
type pace struct {
	Ingresses int `default:"480"`
	Plays     int `default:"3"`
}

// Run plays good releases with no faults: by waves and soaks as the operators' page has
// them, and with one wave and the shortest soak.
func (c *pace) Run() error {
	t := table.NewWriter()
	t.AppendHeader(table.Row{"way", "took, of each play", "most out", "restarts"})
	for _, way := range []struct {
		name  string
		waves []float64
		soak  time.Duration
	}{{"waves 1, 10%, 50%, 100%, soak 5m", []float64{1, 0.1, 0.5, rollout.AllMembers}, 5 * time.Minute},
		{"waves 1, 10%, 50%, 100%, soak 30s", []float64{1, 0.1, 0.5, rollout.AllMembers}, 30 * time.Second},
		{"one wave, soak 1s", []float64{rollout.AllMembers}, time.Second}} {
		var took []time.Duration
		out, orders := 0, 0
		for i := range c.Plays {
			s := fleetsim.Draw(uint64(i+1), c.Ingresses, 0, 3)
			s.Zones, s.Timing, s.DecideInterval, s.RaftTick = zonesOfFleet, rollout.DefaultTiming(), 250*time.Millisecond, 100*time.Millisecond
			s.Budgets = []rollout.Budget{{Name: "ingresses", Role: "ingress", Share: 0.10, ExpectedMembers: c.Ingresses}}
			s.Releases, s.InjectFaults, s.OperatorActions, s.FaultKinds, s.Noise = []fleetsim.Kind{fleetsim.Good}, false, false, nil, 0
			s.Waves, s.Gate = way.waves, rollout.Gate{Soak: way.soak, MinRequests: 200, StallTimeout: 200*time.Second + 2*way.soak, Alpha: 0.01, Margin: 0.03, MaxLatencyFactor: 1.5}
			s.FaultsEnd, s.End = 60*time.Second, 3600*time.Second
			r := fleetsim.Run(s, nil)
			for _, f := range r.Faults {
				return fmt.Errorf("fault: %s", f)
			}
			took, out, orders = append(took, r.RolloutDuration), max(out, r.MaxOut), orders+r.Orders
		}
		t.AppendRow(table.Row{way.name, fmt.Sprint(took), out, orders / c.Plays})
	}
	fmt.Println(t.RenderMarkdown())
	return nil
}
