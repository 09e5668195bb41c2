package main

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// halfRequests: bad clients stop in the middle of a request and stay, at one of the ingresses.
// Sound clients connect to all ingresses and ask. Those at the others show that the machine kept up.
func halfRequests(e *env) error {
	const bad = 600
	s := athlone(3)
	s.quota, s.burst = 100, 100
	work := cores(87 * time.Millisecond)
	d, err := e.deploy(s, 10, func(r *request) {
		work(r)
		_, _ = r.conn.Write(served(r.id()))
	})
	if err != nil {
		return err
	}
	next := 0
	var elsewhere atomic.Int32
	d.ask(150, 10*time.Second, 0.44, func() int { next++; return next % 3 }, true, func(t try, node int, r result) {
		if r.kind != "late" && r.kind != "unanswered" {
			return
		}
		if node != 0 {
			elsewhere.Add(1)
			return
		}
		e.breaks("%s %s with d=%d: %s after %d ms", t.class, t.id, t.ms, r.kind, r.took.Milliseconds())
	})
	var held []net.Conn
	if e.trouble {
		time.Sleep(3 * time.Second)
		for range bad {
			nc, err := net.DialTimeout("tcp", e.nodes[0].addr, time.Second)
			if err != nil {
				return fmt.Errorf("%w: %w", errNoRun, err)
			}
			_, _ = nc.Write([]byte("*5\r\n$4\r\nQ.DO\r\n$16\r\n0000"))
			begin := time.Now()
			go func() {
				text, _ := io.ReadAll(nc)
				e.log("BAD client got %q and the end after %d ms", text, time.Since(begin).Milliseconds())
				_ = nc.Close()
			}()
			held = append(held, nc)
		}
		e.log("BAD %d clients have sent half a request to n0, and stay", len(held))
	}
	d.finish()
	for _, nc := range held {
		_ = nc.Close()
	}
	if elsewhere.Load() > 0 {
		return fmt.Errorf("%w: the machine is too busy: requests to other ingresses were late", errNoRun)
	}
	return nil
}
