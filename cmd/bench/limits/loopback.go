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
	realLimit = 8 // requests that the stand-in works on at a time
	realWork  = 20 * ms
	realLoad  = 2.0 // asked, of what it can do
	realLasts = 10  // seconds
)

// worker is a stand-in backend that works on realLimit requests at a time. Others wait, or are refused.
type worker struct {
	refuses bool
	places  chan struct{}

	mu         sync.Mutex
	since      time.Time // of what is added up
	at         time.Time
	here       int           // requests that it has now
	sum, busy  time.Duration // over time: requests here, places taken
	most       int
	came, full int
}

// move counts a request that comes or goes, and what has been since the last one.
func (w *worker) move(by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.sum += time.Duration(w.here) * now.Sub(w.at)
	w.busy += time.Duration(min(w.here, realLimit)) * now.Sub(w.at)
	w.at = now
	w.here += by
	w.most = max(w.most, w.here)
	w.came += max(by, 0)
}

// lap returns the places taken (a part of all), the requests here at a time and at most, and the part of them
// that was refused, since the last lap.
func (w *worker) lap() (busy, here float64, most int, full float64) {
	w.move(0)
	w.mu.Lock()
	defer w.mu.Unlock()
	span := w.at.Sub(w.since)
	busy, here = float64(w.busy)/float64(span)/realLimit, float64(w.sum)/float64(span)
	most, full = w.most, float64(w.full)/math.Max(1, float64(w.came))
	w.since, w.sum, w.busy, w.most, w.came, w.full = w.at, 0, 0, w.here, 0, 0
	return
}

func (w *worker) handle(r standin.Received) {
	w.move(1)
	defer w.move(-1)
	if w.refuses {
		select {
		case w.places <- struct{}{}:
		default:
			w.mu.Lock()
			w.full++
			w.mu.Unlock()
			r.Reply("-BUSY")
			return
		}
	} else {
		w.places <- struct{}{}
	}
	time.Sleep(realWork)
	<-w.places
	r.Answer(r.ID())
}

// loopback plays the real program before one stand-in backend with a real limit, and tells by second how
// far that is used and how far beyond it the program goes.
func loopback(program string) error {
	for _, refuses := range []bool{false, true} {
		if err := onLoopback(program, refuses); err != nil {
			return err
		}
	}
	return nil
}

func onLoopback(program string, refuses bool) error {
	dir, err := os.MkdirTemp("", "limits")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	now := time.Now()
	w := &worker{refuses: refuses, places: make(chan struct{}, realLimit), since: now, at: now}
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
	ctx, stop := context.WithTimeout(context.Background(), (realLasts+10)*time.Second)
	defer stop()
	p, err := n.Start(ctx, []string{program}, dir)
	if err != nil {
		return err
	}
	defer func() { _ = p.Stop(5 * time.Second) }() // what it ends with changes no figure
	if err := standin.WaitReady(p.Addr, 5*time.Second); err != nil {
		return err
	}
	l := &standin.Load{Addr: p.Addr, PerSecond: realLoad * realLimit / realWork.Seconds(), Payments: 0.3, Deadline: 2 * time.Second}
	load, end := context.WithTimeout(ctx, realLasts*time.Second)
	defer end()
	done := make(chan struct{})
	go func() { l.Run(load); close(done) }()
	what := "the others wait"
	if refuses {
		what = "it refuses the others"
	}
	fmt.Printf("a backend that works on %d at a time, %v each; %s; asked %.1f of what it can do\n", realLimit, realWork, what, realLoad)
	fmt.Println("second  places taken  there (mean)  there (most)  refused by it")
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	w.lap()
	for s := 1; s <= realLasts; s++ {
		<-tick.C
		busy, here, most, full := w.lap()
		fmt.Printf("%6d  %12.2f  %12.1f  %12d  %13.3f\n", s, busy, here, most, full)
	}
	<-done
	t := l.Tally()
	late := l.Latencies()
	fmt.Printf("asked %d: served %d, refused %d, failed %d, lost or wrong %d; p50 %v, p99 %v\n\n", t.Asked, t.Served, t.Refused, t.Failed,
		t.Lost+t.Wrong+t.Extra, standin.Percentile(late, 0.5).Round(ms), standin.Percentile(late, 0.99).Round(ms))
	return nil
}
