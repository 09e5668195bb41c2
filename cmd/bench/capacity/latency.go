package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
)

// latency is the command that tells what one real ingress adds to a request at its part of
// the fleet's peak, while the list is quiet and while it changes.
type latency struct {
	Bin       string        `default:"bin" type:"path"`
	Backends  []int         `default:"59,4200"`
	PerSecond float64       `default:"123"`
	Span      time.Duration `default:"10s"`
	Of        int           `default:"480" help:"Ingresses in the fleet."`
	Every     time.Duration `default:"1s" help:"Between the changes of a list that changes."`
}

// Run measures from the time at which a request was due to its answer, with backends that
// answer at once.
func (c *latency) Run() error {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	t := table.NewWriter()
	t.AppendHeader(table.Row{"backends", "list", "median, ms", "90%", "99%", "99.9%", "most", "served", "refused, failed", "CPU, ms/s", "resident, MB", "connections to backends"})
	for _, n := range c.Backends {
		if err := c.measure(n, dir, t); err != nil {
			return err
		}
	}
	fmt.Println(t.RenderMarkdown())
	return nil
}

func (c *latency) measure(n int, dir string, t table.Writer) error {
	d, running, stop, err := discovered(n)
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p, err := startIngress(ctx, nodeOf(0, c.Of, d.Addr(), 64, generous), c.Bin, dir)
	if err != nil {
		return err
	}
	warm := &load{Addr: p.Addr, Conns: 32, PerSecond: c.PerSecond, Customer: func(i int64) uint64 { return 1 + uint64(i)%200 }}
	if err := warm.Run(ctx, int64(5*c.PerSecond)); err != nil {
		return err
	}
	for _, state := range []string{"quiet", fmt.Sprintf("a change each %v", c.Every), fmt.Sprintf("%d members leave at once, and come back one after the other", n/zonesOfFleet)} {
		h := newLatencies()
		churn, stopChurn := context.WithCancel(ctx)
		switch {
		case state == "quiet":
		case strings.HasPrefix(state, "a change"):
			go func() {
				for i := 0; ; i++ {
					select {
					case <-churn.Done():
						return
					case <-time.After(c.Every):
						d.Set([]string{"DRAINING", "SERVING"}[i%2], (i/2*7)%n)
					}
				}
			}()
		default:
			go func() {
				var zone []int
				for i := 1; i < n; i += zonesOfFleet {
					zone = append(zone, i)
				}
				d.Set("DRAINING", zone...)
				time.Sleep(c.Span / 3)
				for _, i := range zone {
					d.Set("SERVING", i)
					time.Sleep(100 * time.Microsecond)
				}
			}()
		}
		l := &load{Addr: p.Addr, Conns: 128, PerSecond: c.PerSecond, Customer: warm.Customer, Done: h.add}
		u0, err := p.Usage()
		if err != nil {
			stopChurn()
			return err
		}
		err = l.Run(ctx, int64(c.Span.Seconds()*c.PerSecond))
		stopChurn()
		if err != nil {
			return err
		}
		u1, err := p.Usage()
		if err != nil {
			return err
		}
		conns := 0
		for _, b := range running {
			conns += b.Conns()
		}
		at := func(q float64) string { return number(h.at(q)) }
		t.AppendRow(table.Row{n, state, at(50), at(90), at(99), at(99.9), at(100), l.Served.Load(),
			fmt.Sprintf("%d, %d", l.Refused.Load(), l.Failed.Load()), number(ms(u1.CPU-u0.CPU) / c.Span.Seconds()), number(mb(u1.Resident)), conns})
	}
	return p.Stop(10 * time.Second)
}

// latencies is a histogram to which many may add.
type latencies struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{h: hdrhistogram.New(1, int64(20*time.Second/time.Microsecond), 3)}
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(d.Microseconds()) // fails for what is beyond the range alone, which is left out
}

// at is a percentile, in ms.
func (l *latencies) at(q float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.h.ValueAtQuantile(q)) / 1e3
}
