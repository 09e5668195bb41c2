package main

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// slowDiscovery: the discovery of each ingress becomes slow: its open watch ends, and each call is
// answered late, though within the time-out of a call. Then a backend begins to drain.
func slowDiscovery(e *env) error {
	const (
		late  = 1300 * time.Millisecond
		told  = 6 * time.Second                            // a change counts as told so long after at the latest
		grace = 500*time.Millisecond + 50*time.Millisecond // of the settings, and of the rules on sockets
	)
	s := athlone(3)
	s.quota, s.burst = 100, 100
	var slow atomic.Bool
	var drainedAt atomic.Int64 // when the agents had it, Unix nanoseconds
	var sent, after atomic.Int32
	work := cores(87 * time.Millisecond)
	d, err := e.deploy(s, 10, func(r *request) {
		e.log("RUN %s at %s", r.id(), r.backend.name)
		if at := drainedAt.Load(); at > 0 && r.backend.name == "s-0" {
			since := r.at.Sub(time.Unix(0, at))
			sent.Add(1)
			if since > told+grace {
				after.Add(1)
				e.breaks("request %s came to s-0 %d ms after the agents had that it drains", r.id(), since.Milliseconds())
			}
		}
		work(r)
		_, _ = r.conn.Write(served(r.id()))
	})
	if err != nil {
		return err
	}
	for _, a := range d.agents {
		a.answer = func() {
			if slow.Load() {
				time.Sleep(late)
			}
		}
	}
	d.ask(100, 30*time.Second, 0.44, func() int { return rand.IntN(3) }, false, func(try, int, result) {})
	time.Sleep(4 * time.Second)
	if e.trouble {
		e.log("SLOW the open watches end, and each call is answered after %v", late)
		slow.Store(true)
		for _, a := range d.agents {
			a.endWatches()
		}
	}
	time.Sleep(3 * time.Second)
	draining := d.members[0]
	draining.Phase = "DRAINING"
	for _, a := range d.agents {
		a.change(draining)
	}
	drainedAt.Store(time.Now().UnixNano())
	e.log("DRAIN all agents have that s-0 drains")
	d.finish()
	fmt.Printf("%d requests came to s-0 after the agents had that it drains, %d of them more than %v after\n", sent.Load(), after.Load(), told+grace)
	return nil
}
