package main

import (
	"context"
	"fmt"
	"time"

	"wickarch/internal/standin"
)

// budget is what control may take of an ingress.
var budget = struct{ CPU, Memory, Bytes float64 }{32, 32e6, 14e3} // ms a second, bytes, bytes a second

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func mb(n int64) float64 { return float64(n) / 1e6 }

// roles makes the sweeps.
type roles struct {
	Bin  string
	Dir  string
	Rest time.Duration // over which rest is measured
}

func (r roles) start(ctx context.Context, d *discovery, memory int) (*standin.Process, error) {
	p, err := nodeOf(0, fleetIngresses, d.Addr(), memory, generous).Start(ctx, program(r.Bin), r.Dir)
	if err != nil {
		return nil, err
	}
	return p, ready(p.Addr)
}

// byBackends measures one real ingress of the fleet, with a list of so many members and no clients.
func (r roles) byBackends(size int) ([]figure, error) {
	d := newDiscovery(members(size))
	defer d.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	begun := time.Now()
	p, err := r.start(ctx, d, 64)
	if err != nil {
		return nil, err
	}
	after := time.Since(begun)
	if err := until(5*time.Second, "it watches", func() bool { return d.Watches.Load() > 0 }); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond) // what the start leaves to be done
	u0, err := p.Usage()
	if err != nil {
		return nil, err
	}
	t0 := d.Tally()
	time.Sleep(r.Rest)
	u1, err := p.Usage()
	if err != nil {
		return nil, err
	}
	t1 := d.Tally()
	const changes = 60
	for i := range changes {
		d.Set([]string{"DRAINING", "SERVING"}[i%2], (i*7)%size)
		time.Sleep(20 * time.Millisecond)
	}
	u2, err := p.Usage()
	if err != nil {
		return nil, err
	}
	t2 := d.Tally()
	rest := ms(u1.CPU-u0.CPU) / r.Rest.Seconds()
	changed := t2.Since(t1)
	if changed.Objects < changes {
		return nil, fmt.Errorf("%d objects were told for %d changes", changed.Objects, changes)
	}
	if err := p.Stop(10 * time.Second); err != nil {
		return nil, err
	}
	return []figure{
		{"whole list, KB", float64(t0.Out) / float64(t0.Lists) / 1e3},
		{"ready after, ms", ms(after)},
		{"CPU of the start, ms", ms(u0.CPU)},
		{"resident, MB", mb(u1.Resident)},
		{"CPU at rest, ms/s", rest},
		{"bytes at rest, B/s", float64(t1.Since(t0).Out+t1.Since(t0).In) / r.Rest.Seconds()},
		{"CPU of a changed member, ms", max(0, ms(u2.CPU-u1.CPU)-rest*changes*0.02) / changes},
		{"bytes of a changed member, B", float64(changed.Out) / changes},
		{"resident after the changes, MB", mb(u2.Resident)},
	}, nil
}

// byTenants measures one real ingress at a limit of 64 MB after so many tenants have asked
// once at least, 1,500 requests a second at most.
func (r roles) byTenants(size int) ([]figure, error) {
	list, _, stop, err := backends(8)
	if err != nil {
		return nil, err
	}
	defer stop()
	d := newDiscovery(list)
	defer d.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p, err := r.start(ctx, d, 64)
	if err != nil {
		return nil, err
	}
	l := &load{Addr: p.Addr, Conns: 16, PerSecond: 4000, Customer: func(n int64) uint64 { return 1 + uint64(n%int64(size)) }}
	if err := l.Run(ctx, int64(max(size, 8000))); err != nil {
		return nil, err
	}
	u0, err := p.Usage()
	if err != nil {
		return nil, err
	}
	time.Sleep(r.Rest)
	u1, err := p.Usage()
	if err != nil {
		return nil, err
	}
	if l.Failed.Load() > 0 {
		return nil, fmt.Errorf("%v", l)
	}
	return []figure{
		{"resident, MB", mb(u0.Resident)},
		{"CPU at rest after it, ms/s", ms(u1.CPU-u0.CPU) / r.Rest.Seconds()},
		{"refused, of all", float64(l.Refused.Load()) / float64(max(size, 8000))},
	}, p.Stop(10 * time.Second)
}
