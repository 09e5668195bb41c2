package main

import (
	"context"
	"fmt"
	"time"

	"wickarch/internal/standin"
)

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func mb(n int64) float64 { return float64(n) / 1e6 }

// roles makes the sweeps.
type roles struct {
	Bin  string
	Dir  string
	Rest time.Duration // over which rest is measured
}

func (r roles) start(ctx context.Context, d *discovery, memory int) (*standin.Process, error) {
	return startIngress(ctx, nodeOf(0, fleetIngresses, d.Addr(), memory, generous), r.Bin, r.Dir)
}

// atRest tells the figures of an ingress at the begin of a rest, and the CPU that it took
// in it, in ms a second.
func (r roles) atRest(p *standin.Process) (begin standin.Usage, cpu float64, err error) {
	if begin, err = p.Usage(); err != nil {
		return begin, 0, err
	}
	time.Sleep(r.Rest)
	end, err := p.Usage()
	return begin, ms(end.CPU-begin.CPU) / r.Rest.Seconds(), err
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
	if err = until(5*time.Second, "it watches", func() bool { return d.Watches.Load() > 0 }); err != nil {
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
	d, _, stop, err := discovered(8)
	if err != nil {
		return nil, err
	}
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p, err := r.start(ctx, d, 64)
	if err != nil {
		return nil, err
	}
	l := &load{Addr: p.Addr, Conns: 16, PerSecond: 4000, Customer: func(n int64) uint64 { return 1 + uint64(n%int64(size)) }}
	if err = l.Run(ctx, int64(max(size, 8000))); err != nil {
		return nil, err
	}
	usage, cpu, err := r.atRest(p)
	if err != nil {
		return nil, err
	}
	if l.Failed.Load() > 0 {
		return nil, fmt.Errorf("%v", l)
	}
	return []figure{
		{"resident, MB", mb(usage.Resident)},
		{"CPU at rest after it, ms/s", cpu},
		{"refused, of all", float64(l.Refused.Load()) / float64(max(size, 8000))},
	}, p.Stop(10 * time.Second)
}

// byIngresses measures one real ingress of so many, over a list of 4,200.
func (r roles) byIngresses(size int) ([]figure, error) {
	d := newDiscovery(members(fleetBackends))
	defer d.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p, err := startIngress(ctx, nodeOf(0, size, d.Addr(), 64, generous), r.Bin, r.Dir)
	if err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	u0, err := p.Usage()
	if err != nil {
		return nil, err
	}
	const changes = 60
	for i := range changes {
		d.Set([]string{"DRAINING", "SERVING"}[i%2], i)
		time.Sleep(20 * time.Millisecond)
	}
	u1, err := p.Usage()
	if err != nil {
		return nil, err
	}
	return []figure{
		{"CPU of the start, ms", ms(u0.CPU)},
		{"resident, MB", mb(u0.Resident)},
		{"CPU of a changed member, ms", ms(u1.CPU-u0.CPU) / changes},
	}, p.Stop(10 * time.Second)
}

// loaded starts one real ingress of the fleet over so many backends that answer at once, and
// has it serve for a while.
func (r roles) loaded(ctx context.Context, backendsOf int, perSecond float64, warm time.Duration) (p *standin.Process, d *discovery, running []*standin.Backend, stop func(), err error) {
	d, running, stopBackends, err := discovered(backendsOf)
	if err != nil {
		return nil, nil, nil, nil, err
	}
	stop = func() {
		if p != nil {
			p.Cmd.Process.Kill()
		}
		stopBackends()
	}
	if p, err = r.start(ctx, d, 64); err == nil {
		err = manyTenants(p.Addr, perSecond).Run(ctx, int64(warm.Seconds()*perSecond))
	}
	if err != nil {
		stop()
	}
	return p, d, running, stop, err
}

func manyTenants(addr string, perSecond float64) *load {
	return &load{Addr: addr, Conns: 64, PerSecond: perSecond, Customer: func(i int64) uint64 { return 1 + uint64(i)%200 }}
}

// byRequests measures one real ingress of the fleet at so many requests a second.
func (r roles) byRequests(size int) ([]figure, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p, d, running, stop, err := r.loaded(ctx, fleetBackends, float64(size), 2*time.Second)
	if err != nil {
		return nil, err
	}
	defer stop()
	u0, err := p.Usage()
	if err != nil {
		return nil, err
	}
	t0 := d.Tally()
	l := manyTenants(p.Addr, float64(size))
	if err = l.Run(ctx, int64(r.Rest.Seconds()*float64(size))); err != nil {
		return nil, err
	}
	u1, err := p.Usage()
	if err != nil {
		return nil, err
	}
	conns := 0
	for _, b := range running {
		conns += b.Conns()
	}
	return []figure{
		{"CPU, ms/s", ms(u1.CPU-u0.CPU) / r.Rest.Seconds()},
		{"CPU a request, ms", ms(u1.CPU-u0.CPU) / r.Rest.Seconds() / float64(size)},
		{"connections to backends", float64(conns)},
		{"bytes of discovery, B/s", float64(d.Tally().Since(t0).Out) / r.Rest.Seconds()},
		{"resident, MB", mb(u1.Resident)},
		{"not served, of all", 1 - float64(l.Served.Load())/float64(int64(r.Rest.Seconds()*float64(size)))},
	}, nil
}

// byChanges measures one real ingress at its part of the peak while so many members change
// in ten seconds.
func (r roles) byChanges(size int) ([]figure, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const perSecond = float64(fleetRequests) / fleetIngresses
	p, d, _, stop, err := r.loaded(ctx, fleetBackends, perSecond, 2*time.Second)
	if err != nil {
		return nil, err
	}
	defer stop()
	u0, err := p.Usage()
	if err != nil {
		return nil, err
	}
	t0 := d.Tally()
	const span = 5 * time.Second
	every := 10 * time.Second / time.Duration(size)
	told := 0
	churn, end := context.WithTimeout(ctx, span)
	defer end()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for t := time.NewTicker(every); ; told++ {
			select {
			case <-churn.Done():
				t.Stop()
				return
			case <-t.C:
				d.Set([]string{"DRAINING", "SERVING"}[told%2], told/2*7)
			}
		}
	}()
	h := newLatencies()
	l := manyTenants(p.Addr, perSecond)
	l.Done = h.add
	if err = l.Run(ctx, int64(span.Seconds()*perSecond)); err != nil {
		return nil, err
	}
	<-done
	u1, err := p.Usage()
	if err != nil {
		return nil, err
	}
	return []figure{
		{"changes told", float64(told)},
		{"CPU, ms/s", ms(u1.CPU-u0.CPU) / span.Seconds()},
		{"bytes of discovery, B/s", float64(d.Tally().Since(t0).Out) / span.Seconds()},
		{"99 in 100, ms", h.at(99)},
		{"most, ms", h.at(100)},
	}, nil
}

// byConnections measures one real ingress with so many clients' connections at rest.
func (r roles) byConnections(size int) ([]figure, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p, _, _, stop, err := r.loaded(ctx, fleetBackends/fleetServices, 100, time.Second)
	if err != nil {
		return nil, err
	}
	defer stop()
	before, err := p.Usage()
	if err != nil {
		return nil, err
	}
	var list []*standin.Client
	defer func() {
		for _, c := range list {
			c.Close()
		}
	}()
	for range size {
		c, dialErr := standin.Dial(p.Addr, time.Minute)
		if dialErr != nil {
			return nil, dialErr
		}
		list = append(list, c)
		if err = c.Send("PING"); err != nil {
			return nil, err
		}
		if _, err = c.ReadReply(); err != nil {
			return nil, err
		}
	}
	usage, cpu, err := r.atRest(p)
	if err != nil {
		return nil, err
	}
	return []figure{
		{"descriptors more", float64(usage.Files - before.Files)},
		{"resident more, MB", mb(usage.Resident - before.Resident)},
		{"CPU at rest, ms/s", cpu},
	}, nil
}

// byHollow measures what discovery bears of so many hollow ingresses, each with a list of the
// backends of one service.
func (r roles) byHollow(size int) ([]figure, error) {
	d := newDiscovery(members(fleetBackends / fleetServices))
	defer d.Stop()
	m, err := manyHollow(size, max(size, fleetIngresses), d.Addr())
	if err != nil {
		return nil, err
	}
	defer m.stop()
	list, err := m.phases(d, r.Rest, time.Second, false)
	if err != nil {
		return nil, err
	}
	figures := []figure{}
	for _, i := range []int{0, 1, 2, 3, 5, 6} {
		p := list[i]
		figures = append(figures, figure{p.Name + ": lists", float64(p.Tally.Lists)}, figure{p.Name + ": messages to discovery", float64(p.Tally.Lists + p.Tally.Watches)},
			figure{p.Name + ": KB", float64(p.Tally.Out+p.Tally.In) / 1e3}, figure{p.Name + ": CPU of all, ms", ms(p.CPU)})
	}
	return append(figures, figure{"resident of all at rest, MB", mb(list[1].Held)}), nil
}
