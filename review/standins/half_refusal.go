package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["half-refusal"] = halfRefusal }

// halfRefusal: half a line of a backend crosses a request, and the answer to that comes in pieces.
func halfRefusal(e *env) bool {
	const (
		perSecond = 80
		length    = 15 * time.Second
		share     = 20 // one answer in so many is spoilt
	)
	var mu sync.Mutex
	runs := map[string]int{}
	twice := 0
	handle := func(b *backend, r *received) {
		mu.Lock()
		runs[r.id()]++
		n := runs[r.id()]
		if n == 2 && r.args[0] == "Q.DO" {
			twice++
		}
		mu.Unlock()
		e.logf("run %s at %s (%s), time %d", r.id(), b.id, r.args[0], n)
		if n == 2 && r.args[0] == "Q.DO" {
			e.logf("RUN TWICE: payment %s", r.id())
		}
		spoilt := e.trouble && rand.IntN(share) == 0
		if spoilt {
			e.logf("%s: half a line crosses %s", b.id, r.id())
			r.write("-BUSY used=3 ")
		}
		time.Sleep(time.Duration(10+rand.IntN(10)) * time.Millisecond)
		text := answerText(r.id())
		if spoilt { // in pieces: the first line of the array, and the rest
			r.write(text[:4])
			time.Sleep(5 * time.Millisecond)
			text = text[4:]
		}
		r.write(text)
	}
	var backends []*backend
	for i := range 10 {
		backends = append(backends, newBackend(e, fmt.Sprintf("s-%d", i), handle))
	}
	d := newDiscovery(e, backends...)
	in := e.startIngress(options{name: "n1", discovery: d.addr, settings: settings(3, 0)})
	var asked, served, refused, failed, lost, foreign atomic.Int64
	var open sync.WaitGroup
	idle := make(chan *client, 5000)
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Second / perSecond)
		open.Go(func() {
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
			words := lookup(n%2000, id, 2500, "community", 3)
			if n%9 < 4 {
				words = payment(n%2000, id, 1500, "community", 3)
			}
			e.logf("sent %s %s", words[0], id)
			c.send(words...)
			answer, err := c.read(5 * time.Second)
			e.logf("answered %s: %.60s (%v)", id, answer, err)
			switch {
			case err != nil:
				lost.Add(1)
				c.close()
				return
			case answer == "$"+id:
				served.Add(1)
			case strings.HasPrefix(answer, "$"):
				foreign.Add(1)
			case strings.HasPrefix(answer, "-BUSY"):
				refused.Add(1)
			default:
				failed.Add(1)
			}
			idle <- c
		})
	}
	open.Wait()
	e.logf("asked %d served %d refused %d failed %d no answer %d other value %d; payments run twice: %d", asked.Load(), served.Load(), refused.Load(),
		failed.Load(), lost.Load(), foreign.Load(), twice)
	if served.Load() < asked.Load()/2 {
		e.fail("too few requests were served to judge by")
	}
	return twice > 0
}
