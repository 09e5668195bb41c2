package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// deployment is a small deployment: ingresses, each with its agent, and backends.
type deployment struct {
	env      *env
	members  []member
	backends []*backend
	agents   []*agent
	pools    []*pool // one for each ingress
	wg       sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int // of results, by kind
}

// deploy starts a deployment and waits until all ingresses are ready. Each command that
// a backend has read is handled by work, on a goroutine of its connection.
func (e *env) deploy(s site, backends int, work func(*request)) (*deployment, error) {
	d := &deployment{env: e, counts: map[string]int{}}
	for i := range backends {
		b, err := e.addBackend(fmt.Sprintf("s-%d", i), work)
		if err != nil {
			return nil, err
		}
		d.backends = append(d.backends, b)
		d.members = append(d.members, member{ID: b.name, HostPort: b.addr, Locality: "hall-" + "abc"[i%3:i%3+1],
			Flavor: "std-3core", Cell: i / 4, Phase: "SERVING", Size: 1})
	}
	for i := range s.ingresses {
		a, err := newAgent(e, d.members)
		if err != nil {
			return nil, err
		}
		n := e.addIngress(fmt.Sprintf("n%d", i), a.addr, a.whole(), s.settings(i))
		if err := n.start(); err != nil {
			return nil, err
		}
		d.agents, d.pools = append(d.agents, a), append(d.pools, &pool{addr: n.addr})
	}
	for _, n := range e.nodes {
		if err := n.waitReady(15 * time.Second); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// cores returns a function that works on a request for a while, on one of a backend's
// three cores. The time is exponentially distributed about the mean.
func cores(mean time.Duration) func(*request) {
	var mu sync.Mutex
	busy := map[string]chan struct{}{}
	return func(r *request) {
		mu.Lock()
		c := busy[r.backend.name]
		if c == nil {
			c = make(chan struct{}, 3)
			busy[r.backend.name] = c
		}
		mu.Unlock()
		c <- struct{}{}
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(mean)))
		<-c
	}
}

// newTry returns a request of some customer.
func (d *deployment) newTry(class string) try {
	t := try{id: newID(), class: class, plan: "community", customer: uint64(rand.IntN(400)), ms: 2500, spread: len(d.pools), body: "x"}
	if class == "payment" {
		t.ms = 750 + rand.IntN(751) // 50 to 100% of the time after which its class is given up
	}
	return t
}

// ask sends requests at a rate for a time, in the background, and calls done with each result. With
// fresh, each comes from a client of its own that connects for it.
func (d *deployment) ask(perSecond float64, length time.Duration, payments float64, to func() int, fresh bool, done func(try, int, result)) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		for end := time.Now().Add(length); time.Now().Before(end); {
			time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
			t, node := d.newTry("lookup"), to()
			if rand.Float64() < payments {
				t = d.newTry("payment")
			}
			d.wg.Add(1)
			go func() {
				defer d.wg.Done()
				p := d.pools[node]
				if fresh {
					p = &pool{addr: p.addr}
					defer p.closeAll()
				}
				d.env.log("SENT %s to n%d: %s d=%d", t.id, node, t.class, t.ms)
				r := p.do(t)
				d.env.log("ANSWER %s: %s after %d ms %.60q", t.id, r.kind, r.took.Milliseconds(), r.value)
				d.mu.Lock()
				d.counts[r.kind]++
				d.mu.Unlock()
				done(t, node, r)
			}()
		}
	}()
}

// finish waits for all requests and prints what came of them.
func (d *deployment) finish() {
	d.wg.Wait()
	var all []string
	for _, kind := range []string{"served", "refused", "failed", "late", "unanswered", "unreachable"} {
		if n := d.counts[kind]; n > 0 {
			all = append(all, fmt.Sprintf("%d %s", n, kind))
		}
	}
	text := "requests: " + strings.Join(all, ", ")
	d.env.log("%s", text)
	fmt.Println(text)
}
