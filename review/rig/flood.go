package main

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// flood: a bad client sends much at once to one of the ingresses, reads the answers, and goes. It
// sends the same requests again and again, though the id has to be new with every request.
// Sound clients ask all ingresses meanwhile. Those at the others show that the machine kept up.
func flood(e *env) error {
	const sends = 6 * time.Second
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
	d.ask(60, 16*time.Second, 0.44, func() int { next++; return next % 3 }, false, func(t try, node int, r result) {
		if r.kind != "late" && r.kind != "unanswered" {
			return
		}
		if node != 0 {
			elsewhere.Add(1)
			return
		}
		e.breaks("%s %s with d=%d: %s after %d ms", t.class, t.id, t.ms, r.kind, r.took.Milliseconds())
	})
	if e.trouble {
		time.Sleep(4 * time.Second)
		c, err := d.pools[0].dial()
		if err != nil {
			return err
		}
		var got atomic.Int64
		go func() {
			n, _ := io.Copy(io.Discard, c.Conn)
			got.Add(n)
		}()
		e.log("BAD client begins to send to n0")
		var all []byte
		for range 500 {
			t := d.newTry("lookup")
			t.customer = 1000
			all = append(all, encode(t.words()...)...)
		}
		sent := 0
		_ = c.SetWriteDeadline(time.Now().Add(sends))
		for end := time.Now().Add(sends); time.Now().Before(end); {
			n, err := c.Write(all)
			sent += n
			if err != nil {
				break
			}
		}
		_ = c.Close()
		time.Sleep(100 * time.Millisecond)
		e.log("BAD client has gone: it sent %d bytes and read %d", sent, got.Load())
		fmt.Printf("the bad client sent %d bytes in %v and read %d\n", sent, sends, got.Load())
	}
	d.finish()
	if elsewhere.Load() > 0 {
		return fmt.Errorf("%w: the machine is too busy: requests to other ingresses were late", errNoRun)
	}
	return nil
}
