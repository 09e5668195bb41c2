package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"wickarch/internal/standin"
)

// crowd is the command that tells what many ingresses ask of discovery at once: hollow ones
// or real ones.
type crowd struct {
	Bin       string        `default:"bin" type:"path"`
	Ingresses int           `default:"480"`
	Backends  int           `default:"4200"`
	Real      bool          `help:"Real processes in place of hollow ones; 24 at most."`
	Rest      time.Duration `default:"4s"`
	Singles   bool          `help:"Tell a zone's return one member after the other: 3 s of CPU an ingress."`
	Away      time.Duration `default:"5s" help:"How long discovery is down."`
}

// many are ingresses that run, in one process or in many.
type many struct {
	count   int
	restart func() error
	usage   func() (standin.Usage, error)
	stop    func()
}

func manyHollow(n, of int, addr string) (*many, error) {
	c, err := self("hollow", "--count", fmt.Sprint(n), "--of", fmt.Sprint(of), "--discovery", addr)
	if err != nil {
		return nil, err
	}
	return &many{n, func() error {
		if err := c.tell(""); err != nil {
			return err
		}
		_, err := c.line()
		return err
	}, c.usage, c.stop}, nil
}

func manyReal(bin string, n, of int, addr string) (*many, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running []*standin.Process
	var past time.Duration // CPU of those that have ended
	m := &many{count: n}
	end := func() {
		for _, p := range running {
			if u, err := p.Usage(); err == nil {
				past += u.CPU
			}
			p.Cmd.Process.Kill()
		}
		running = nil
	}
	m.restart = func() error {
		end()
		for i := range n {
			p, err := nodeOf(i, of, addr, 64, generous).Start(ctx, program(bin), dir)
			if err != nil {
				return err
			}
			running = append(running, p)
		}
		return nil
	}
	m.usage = func() (sum standin.Usage, err error) {
		sum.CPU = past
		for _, p := range running {
			u, err := p.Usage()
			if err != nil {
				return sum, err
			}
			sum.CPU, sum.Resident, sum.Files = sum.CPU+u.CPU, sum.Resident+u.Resident, sum.Files+u.Files
		}
		return sum, nil
	}
	m.stop = func() {
		end()
		cancel()
		os.RemoveAll(dir)
	}
	if err := m.restart(); err != nil {
		m.stop()
		return nil, err
	}
	return m, nil
}

// phase is what was counted over one event.
type phase struct {
	Name  string
	Took  time.Duration
	Busy  time.Duration // until they are at rest again
	Tally tally
	CPU   time.Duration
	Held  int64
}

// settled waits until they are at rest, which is a tenth of a core at most, and tells what
// they have used.
func (m *many) settled() (u standin.Usage, err error) {
	const look = 250 * time.Millisecond
	for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); {
		if u, err = m.usage(); err != nil {
			return u, err
		}
		time.Sleep(look)
		v, err := m.usage()
		if err != nil {
			return v, err
		}
		if v.CPU-u.CPU < time.Duration(0.1*float64(look)*max(1, float64(m.count)/60)) {
			return v, nil
		}
	}
	return u, errors.New("they did not come to rest within 2 minutes")
}

// phases plays what makes ingresses ask, one after the other.
func (m *many) phases(d *discovery, rest, away time.Duration, singles bool) (list []phase, err error) {
	n := int64(m.count)
	var before tally
	var used standin.Usage
	play := func(name string, do func() error, over func(t tally) bool) {
		if err != nil {
			return
		}
		begun := time.Now()
		if err = do(); err != nil {
			return
		}
		if over != nil {
			if err = until(60*time.Second, name, func() bool { return over(d.Tally().Since(before)) }); err != nil {
				err = fmt.Errorf("%w: %+v", err, d.Tally().Since(before))
				return
			}
		}
		p := phase{Name: name, Took: time.Since(begun)}
		u, e := m.settled()
		if e != nil {
			err = e
			return
		}
		p.Busy = time.Since(begun)
		now := d.Tally()
		p.Tally, p.CPU, p.Held = now.Since(before), u.CPU-used.CPU, u.Resident
		before, used = now, u
		list = append(list, p)
	}
	nothing := func() error { return nil }
	watching := func(t tally) bool { return t.Watches >= n }
	play("start of all, cold", nothing, watching)
	play(fmt.Sprintf("rest, %v", rest), func() error { time.Sleep(rest); return nil }, nil)
	play("a member changes", func() error { d.Set("DRAINING", 0); return nil }, func(t tally) bool { return t.Objects >= n })
	size := len(d.members)
	zone := make([]int, 0, size/zonesOfFleet)
	for i := 1; i < size; i += zonesOfFleet {
		zone = append(zone, i)
	}
	play(fmt.Sprintf("a zone's %d members change, told in one", len(zone)), func() error { d.Set("DELETED", zone...); return nil },
		func(t tally) bool { return t.Objects >= n })
	if singles {
		play(fmt.Sprintf("the same %d come back, one after the other", len(zone)), func() error {
			for _, i := range zone {
				d.Set("SERVING", i)
			}
			return nil
		}, func(t tally) bool { return t.Out >= n*int64(len(zone))*150 })
	} else {
		play("the same come back, told in one", func() error { d.Set("SERVING", zone...); return nil }, func(t tally) bool { return t.Objects >= n })
	}
	down := func(forget bool) func() error {
		return func() error {
			d.Down.Store(true)
			d.Cut()
			time.Sleep(away)
			if forget {
				d.Forget()
			}
			d.Down.Store(false)
			return nil
		}
	}
	play(fmt.Sprintf("discovery away for %v, with its changes", away), down(false), watching)
	play(fmt.Sprintf("discovery away for %v, with none", away), down(true), watching)
	play("all start again, cold", m.restart, watching)
	return list, err
}

// Run plays them.
func (c *crowd) Run() error {
	if c.Real && c.Ingresses > 24 {
		return errors.New("24 real ones at most")
	}
	d := newDiscovery(members(c.Backends))
	defer d.Stop()
	var m *many
	var err error
	of := max(c.Ingresses, fleetIngresses)
	if c.Real {
		m, err = manyReal(c.Bin, c.Ingresses, of, d.Addr())
	} else {
		m, err = manyHollow(c.Ingresses, of, d.Addr())
	}
	if err != nil {
		return err
	}
	defer m.stop()
	list, err := m.phases(d, c.Rest, c.Away, c.Singles)
	t := table.NewWriter()
	kind := "hollow"
	if c.Real {
		kind = "real"
	}
	t.AppendHeader(table.Row{fmt.Sprintf("%d %s ingresses, %d backends", c.Ingresses, kind, c.Backends), "told after", "at rest after", "an ingress: whole lists", "watches", "objects", "bytes to it", "bytes from it", "CPU, ms", "all: MB", "resident, MB"})
	n := float64(m.count)
	for _, p := range list {
		t.AppendRow(table.Row{p.Name, p.Took.Round(time.Millisecond), p.Busy.Round(10 * time.Millisecond), number(float64(p.Tally.Lists) / n), number(float64(p.Tally.Watches) / n), number(float64(p.Tally.Objects) / n),
			number(float64(p.Tally.Out) / n), number(float64(p.Tally.In) / n), number(ms(p.CPU) / n), number(mb(p.Tally.Out + p.Tally.In)), number(mb(p.Held))})
	}
	fmt.Println(t.RenderMarkdown())
	return err
}
