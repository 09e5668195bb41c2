package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["second-answer"] = func(e *env) bool {
		return secondAnswer(e, 9, func(id, backend string) string { return answerText(id + " second answer of " + backend) })
	}
	cases["second-busy"] = func(e *env) bool { return secondAnswer(e, 20, func(string, string) string { return "-BUSY\r\n" }) }
}

// secondAnswer: backends serve each request, and to some of them a second answer comes some milliseconds after the first.
func secondAnswer(e *env, payments int, second func(id, backend string) string) bool {
	const (
		perSecond = 250
		quiet     = 18 * time.Second // in which nothing is spoilt
		cycles    = 5
		spoilt    = 1 * time.Second
		share     = 0.1
		late      = 15 * time.Millisecond
	)
	var spoil atomic.Bool
	var seconds atomic.Int64
	var mu sync.Mutex
	runs := map[string]int{}
	twice := 0
	handle := func(b *backend, r *received) {
		mu.Lock()
		runs[r.id()]++
		if runs[r.id()] == 2 && r.args[0] == "Q.DO" {
			twice++
			e.logf("RUN TWICE: payment %s runs again, at %s", r.id(), b.id)
		}
		mu.Unlock()
		e.logf("run %s at %s", r.id(), b.id)
		go func() {
			time.Sleep(time.Duration(12+rand.IntN(8)) * time.Millisecond)
			r.answer(r.id() + " first answer of " + b.id)
			if spoil.Load() && rand.Float64() < share {
				time.Sleep(late)
				n := seconds.Add(1)
				e.logf("%s gives a second answer (%d) to %s, %v after the first", b.id, n, r.id(), late)
				r.write(second(r.id(), b.id))
			}
		}()
	}
	var backends []*backend
	for i := range 3 {
		backends = append(backends, newBackend(e, fmt.Sprintf("s-%d", i), handle))
	}
	d := newDiscovery(e, backends...)
	in := e.startIngress(options{name: "n1", discovery: d.addr, settings: settings(1, 0)})

	var asked, served, refused, failed, lost, foreign atomic.Int64
	idle := make(chan *client, 1000)
	var open sync.WaitGroup
	ask := func(n int) {
		defer open.Done()
		var c *client
		select {
		case c = <-idle:
		default:
			var err error
			if c, err = dial(in.addr); err != nil {
				lost.Add(1)
				return
			}
		}
		id := newID()
		asked.Add(1)
		e.logf("sent %s", id)
		if n%20 < payments {
			c.send(payment(n%3000, id, 1500, "community", 1)...)
		} else {
			c.send(lookup(n%3000, id, 2500, "community", 1)...)
		}
		answer, err := c.read(4 * time.Second)
		e.logf("answered %s: %.80s", id, answer)
		switch {
		case err != nil:
			lost.Add(1)
			e.logf("%s: no answer: %v", id, err)
			c.close()
			return
		case strings.HasPrefix(answer, "$"+id):
			served.Add(1)
		case strings.HasPrefix(answer, "$"):
			foreign.Add(1)
			e.logf("FOREIGN: the client that asked %s got %q", id, answer[1:])
		case strings.HasPrefix(answer, "-BUSY"):
			refused.Add(1)
		default:
			failed.Add(1)
		}
		idle <- c
	}
	n := 0
	load := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); n++ {
			open.Add(1)
			go ask(n)
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond))
		}
	}
	for i := range cycles {
		load(quiet)
		e.logf("cycle %d: asked %d served %d refused %d failed %d lost %d foreign %d; second answers %d", i, asked.Load(), served.Load(),
			refused.Load(), failed.Load(), lost.Load(), foreign.Load(), seconds.Load())
		spoil.Store(e.trouble)
		load(spoilt)
		spoil.Store(false)
		mu.Lock()
		over := twice > 0
		mu.Unlock()
		if over || foreign.Load() > 0 {
			break
		}
	}
	open.Wait()
	e.logf("asked %d served %d refused %d failed %d lost %d foreign %d; second answers %d", asked.Load(), served.Load(),
		refused.Load(), failed.Load(), lost.Load(), foreign.Load(), seconds.Load())
	if served.Load() < asked.Load()/2 {
		e.fail("too few requests were served to judge by")
	}
	return foreign.Load() > 0 || twice > 0
}
