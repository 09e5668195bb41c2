package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slow-discovery"] = slowDiscovery }

// slowDiscovery: discovery answers each call late, as it is crowded, and backends begin to drain meanwhile.
func slowDiscovery(e *env) bool {
	const (
		perSecond = 80
		delay     = 1500 * time.Millisecond
		told      = 6 * time.Second        // a change counts as told so long after discovery had it
		grace     = 550 * time.Millisecond // drain_grace_ms of the settings, and the 50 ms of real sockets
		after     = 20 * time.Second       // the load goes on for so long after that
	)
	type got struct {
		at time.Time
		id string
	}
	var mu sync.Mutex
	seen := map[string][]got{}
	handle := func(b *backend, r *received) {
		mu.Lock()
		seen[b.id] = append(seen[b.id], got{time.Now(), r.id()})
		mu.Unlock()
		e.logf("run %s at %s", r.id(), b.id)
		time.Sleep(time.Duration(10+rand.IntN(10)) * time.Millisecond)
		r.answer(r.id())
	}
	var backends []*backend
	for i := range 10 {
		backends = append(backends, newBackend(e, fmt.Sprintf("s-%d", i), handle))
	}
	d := newDiscovery(e, backends...)
	in := e.startIngress(options{name: "n1", discovery: d.addr, settings: settings(3, 0)})
	var asked, served, failed atomic.Int64
	var open sync.WaitGroup
	stop := make(chan struct{})
	idle := make(chan *client, 1000)
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / perSecond):
			}
			open.Add(1)
			go func() {
				defer open.Done()
				var c *client
				select {
				case c = <-idle:
				default:
					var err error
					if c, err = dial(in.addr); err != nil {
						return
					}
				}
				id := newID()
				asked.Add(1)
				e.logf("sent %s", id)
				c.send(lookup(n%2000, id, 2500, "community", 3)...)
				answer, err := c.read(4 * time.Second)
				e.logf("answered %s: %.60s", id, answer)
				if err != nil {
					c.close()
					failed.Add(1)
					return
				}
				if strings.HasPrefix(answer, "$") {
					served.Add(1)
				}
				idle <- c
			}()
		}
	}()
	time.Sleep(5 * time.Second)
	if e.trouble {
		d.slow(delay)
		e.logf("from here on discovery answers each call after %v; the open watch is ended", delay)
	}
	time.Sleep(3 * time.Second)
	draining := map[string]bool{"s-0": true, "s-3": true}
	changedAt := time.Now()
	d.update(func(m []member) []member {
		for i := range m {
			if draining[m[i].ID] {
				m[i].Phase = "DRAINING"
			}
		}
		return m
	})
	e.logf("s-0 and s-3 begin to drain, and discovery has it")
	limit := changedAt.Add(told + grace)
	time.Sleep(time.Until(limit.Add(after)))
	close(stop)
	open.Wait()
	late := 0
	for id := range draining {
		n, last := 0, time.Time{}
		for _, g := range seen[id] {
			if g.at.After(limit) {
				if n++; n <= 5 {
					e.logf("%s was sent %s, %v after discovery had the drain", id, g.id, g.at.Sub(changedAt).Round(time.Millisecond))
				}
			}
			last = g.at
		}
		e.logf("%s: %d requests in all, %d later than %v after the drain; the last %v after it", id, len(seen[id]), n, told+grace,
			last.Sub(changedAt).Round(time.Millisecond))
		late += n
	}
	e.logf("asked %d served %d no answer %d; new work to draining backends past the limit: %d", asked.Load(), served.Load(), failed.Load(), late)
	if served.Load() < asked.Load()/2 {
		e.fail("too few requests were served to judge by")
	}
	return late > 0
}
