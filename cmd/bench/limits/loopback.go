package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"sync"
	"time"

	"wickarch/internal/standin"
)

const (
	realLimit   = 8 // concurrent requests of the stand-in
	realWork    = 20 * ms
	realLoad    = 2.0 // offered load over the stand-in's capacity
	realSeconds = 10  // seconds
)

// limitedBackend is a stand-in backend that serves realLimit requests concurrently. Others wait or are refused.
type limitedBackend struct {
	refuses bool
	slots   chan struct{}

	mu                sync.Mutex
	since             time.Time // start of the current interval of statistics
	at                time.Time
	present           int           // requests that it has, including waiting ones
	sum, busy         time.Duration // integrals over time of present requests and used slots
	maxPresent        int
	arrived, rejected int
}

// record updates the integrals, and counts a request that arrives (1) or leaves (-1).
func (w *limitedBackend) record(by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.sum += time.Duration(w.present) * now.Sub(w.at)
	w.busy += time.Duration(min(w.present, realLimit)) * now.Sub(w.at)
	w.at = now
	w.present += by
	w.maxPresent = max(w.maxPresent, w.present)
	w.arrived += max(by, 0)
}

// takeStats returns the fraction of slots in use, the mean and maximum of present requests, and the fraction of
// requests refused, since the last call.
func (w *limitedBackend) takeStats() (busy, present float64, highest int, refused float64) {
	w.record(0)
	w.mu.Lock()
	defer w.mu.Unlock()
	span := w.at.Sub(w.since)
	busy, present = float64(w.busy)/float64(span)/realLimit, float64(w.sum)/float64(span)
	highest, refused = w.maxPresent, float64(w.rejected)/math.Max(1, float64(w.arrived))
	w.since, w.sum, w.busy, w.maxPresent, w.arrived, w.rejected = w.at, 0, 0, w.present, 0, 0
	return
}

func (w *limitedBackend) handle(r standin.Received) {
	w.record(1)
	defer w.record(-1)
	if w.refuses {
		select {
		case w.slots <- struct{}{}:
		default:
			w.mu.Lock()
			w.rejected++
			w.mu.Unlock()
			r.Reply("-BUSY")
			return
		}
	} else {
		w.slots <- struct{}{}
	}
	time.Sleep(realWork)
	<-w.slots
	r.Answer(r.ID())
}

// loopback runs the real program with one stand-in backend that has a concurrency limit, and prints for each
// second how much of the limit is used and how far the program exceeds it.
func loopback(program string) error {
	for _, refuses := range []bool{false, true} {
		if err := runLoopback(program, refuses); err != nil {
			return err
		}
	}
	return nil
}

func runLoopback(program string, refuses bool) error {
	dir, err := os.MkdirTemp("", "limits")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	now := time.Now()
	w := &limitedBackend{refuses: refuses, slots: make(chan struct{}, realLimit), since: now, at: now}
	b, err := standin.NewBackend(w.handle)
	if err != nil {
		return err
	}
	defer b.Close()
	d := standin.NewDiscovery(b.Member("b"))
	defer d.Stop()
	d.Open()
	n := standin.Node{Name: "n", Listen: "127.0.0.1:0", Discovery: d.Addr(), Seed: "1",
		Limits:   standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 2000},
		Settings: json.RawMessage(fmt.Sprintf(standin.Settings, 3600_000, 1e6, 1e6))}
	ctx, stop := context.WithTimeout(context.Background(), (realSeconds+10)*time.Second)
	defer stop()
	p, err := n.Start(ctx, []string{program}, dir)
	if err != nil {
		return err
	}
	defer func() { _ = p.Stop(5 * time.Second) }() // its exit status does not affect the figures
	if err := standin.WaitReady(p.Addr, 5*time.Second); err != nil {
		return err
	}
	l := &standin.Load{Addr: p.Addr, PerSecond: realLoad * realLimit / realWork.Seconds(), Payments: 0.3, Deadline: 2 * time.Second}
	load, end := context.WithTimeout(ctx, realSeconds*time.Second)
	defer end()
	done := make(chan struct{})
	go func() { l.Run(load); close(done) }()
	mode := "the others wait"
	if refuses {
		mode = "it refuses the others"
	}
	fmt.Printf("a backend that works on %d at a time, %v each; %s; asked %.1f of what it can do\n", realLimit, realWork, mode, realLoad)
	fmt.Println("second  places taken  there (mean)  there (most)  refused by it")
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	w.takeStats()
	for s := 1; s <= realSeconds; s++ {
		<-tick.C
		busy, present, highest, refused := w.takeStats()
		fmt.Printf("%6d  %12.2f  %12.1f  %12d  %13.3f\n", s, busy, present, highest, refused)
	}
	<-done
	t := l.Tally()
	late := l.Latencies()
	fmt.Printf("asked %d: served %d, refused %d, failed %d, lost or wrong %d; p50 %v, p99 %v\n\n", t.Asked, t.Served, t.Refused, t.Failed,
		t.Lost+t.Wrong+t.Extra, standin.Percentile(late, 0.5).Round(ms), standin.Percentile(late, 0.99).Round(ms))
	return nil
}
