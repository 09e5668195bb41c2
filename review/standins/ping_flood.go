package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["ping-flood"] = pingFlood }

// pingFlood: bad clients send much at once and go, while the others ask as usual.
func pingFlood(e *env) bool {
	const (
		perSecond = 80
		flooders  = 20
		each      = 8 << 20 // bytes
		flood     = 15 * time.Second
		afterTime = 550 * time.Millisecond // so long after its time an answer is no longer lost, and 50 ms of real sockets
	)
	handle := func(b *backend, r *received) {
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
	var asked, served, refused, failed, lost, late atomic.Int64
	var slowest atomic.Int64
	var open sync.WaitGroup
	stop := make(chan struct{})
	idle := make(chan *client, 5000)
	open.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / perSecond):
			}
			open.Go(func() {
				var c *client
				select {
				case c = <-idle:
				default:
					var err error
					if c, err = dial(in.addr); err != nil {
						e.logf("dial: %v", err)
						return
					}
				}
				id := newID()
				asked.Add(1)
				limit, words := 2500*time.Millisecond, lookup(n%2000, id, 2500, "community", 3)
				if n%9 < 4 {
					limit, words = 1500*time.Millisecond, payment(n%2000, id, 1500, "community", 3)
				}
				began := time.Now()
				e.logf("sent %s", id)
				c.send(words...)
				answer, err := c.read(8 * time.Second)
				if err != nil { // the ingress has ended a resting connection: once more, on a new one
					c.close()
					e.logf("sent %s once more: %v", id, err)
					if c, err = dial(in.addr); err != nil {
						lost.Add(1)
						return
					}
					c.send(words...)
					answer, err = c.read(8 * time.Second)
				}
				took := time.Since(began)
				slowest.Store(max(slowest.Load(), int64(took)))
				e.logf("answered %s after %v: %.60s (%v)", id, took.Round(time.Millisecond), answer, err)
				switch {
				case err != nil:
					c.close()
					lost.Add(1)
					return
				case strings.HasPrefix(answer, "$"):
					served.Add(1)
				case strings.HasPrefix(answer, "-BUSY"):
					refused.Add(1)
				default:
					failed.Add(1)
				}
				if took > limit+afterTime {
					late.Add(1)
					e.logf("LOST: %s was answered %v after it was sent; its client waits %v", id, took.Round(time.Millisecond), limit)
				}
				idle <- c
			})
		}
	})
	start := time.Now()
	time.Sleep(3 * time.Second)
	var pongs, pings atomic.Int64
	if e.trouble {
		e.logf("%d bad clients send %d MB of PING each at once, read what comes, and go", flooders, each>>20)
		text := []byte(strings.Repeat(encode("PING"), each/len(encode("PING"))))
		var all sync.WaitGroup
		for range flooders {
			c, err := dial(in.addr)
			if err != nil {
				e.fail("%v", err)
			}
			all.Go(func() {
				go func() {
					n, err := c.Write(text)
					pings.Add(int64(n))
					if err != nil {
						e.logf("bad client: write: %v", err)
					}
				}()
				buf := make([]byte, 1<<20)
				_ = c.SetReadDeadline(time.Now().Add(flood))
				for got := 0; got < len(text)/2; {
					n, err := c.Read(buf)
					got += n
					pongs.Add(int64(n))
					if err != nil {
						break
					}
				}
				c.close()
			})
		}
		began := time.Now()
		all.Wait()
		e.logf("the last of the bad clients has gone, after %v", time.Since(began).Round(time.Millisecond))
	}
	time.Sleep(time.Until(start.Add(3*time.Second + flood)))
	close(stop)
	open.Wait()
	e.logf("asked %d served %d refused %d failed %d never answered %d, answered over half a second after their time %d; slowest %v; the bad clients sent %d MB and got %d MB", asked.Load(), served.Load(), refused.Load(),
		failed.Load(), lost.Load(), late.Load(), time.Duration(slowest.Load()).Round(time.Millisecond), pings.Load()>>20, pongs.Load()>>20)
	return lost.Load()+late.Load() > 0
}
