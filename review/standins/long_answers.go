package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["long-answers"] = longAnswers }

// longAnswers: clients send many commands at once and read all that comes without a pause; from some time on half of the
// answers are long.
func longAnswers(e *env) bool {
	const (
		connections = 8
		commands    = 60
		rounds      = 20
		every       = 2 * time.Second
		longAfter   = 1 // rounds
	)
	value := strings.Repeat("v", 60<<10) // with the id in front under 64 KiB
	var long atomic.Bool
	handle := func(b *backend, r *received) {
		e.logf("run %s at %s", r.id(), b.id)
		time.Sleep(time.Duration(10+rand.IntN(20)) * time.Millisecond)
		if long.Load() && r.id()[15]&1 == 0 {
			r.answer(r.id() + value)
			return
		}
		r.answer(r.id())
	}
	var backends []*backend
	for i := range 12 {
		backends = append(backends, newBackend(e, fmt.Sprintf("s-%d", i), handle))
	}
	d := newDiscovery(e, backends...)
	in := e.startIngress(options{name: "n1", discovery: d.addr, settings: settings(1, 0)})
	var asked, served, refused, failed, lost, ends atomic.Int64
	var customer atomic.Int64
	round := func(number int, c *client) bool {
		text, ids := "", []string(nil)
		for range commands {
			id := newID()
			text += encode(lookup(int(customer.Add(1)), id, 2500, "community", 1)...)
			ids = append(ids, id)
		}
		began := time.Now()
		if _, err := c.Write([]byte(text)); err != nil {
			e.logf("client %d: write: %v", number, err)
			return false
		}
		asked.Add(commands)
		for _, id := range ids {
			e.logf("sent %s by client %d", id, number)
		}
		for k, id := range ids {
			answer, err := c.read(6 * time.Second)
			e.logf("answered %s: %d bytes: %.40s", id, len(answer), answer)
			switch {
			case err != nil:
				lost.Add(int64(commands - k))
				ends.Add(1)
				e.logf("client %d: %v after %v: no whole answer to %s, nor to the %d commands behind it", number, err, time.Since(began).Round(time.Millisecond), id, commands-k-1)
				return false
			case strings.HasPrefix(answer, "$"+id):
				served.Add(1)
			case strings.HasPrefix(answer, "-BUSY"):
				refused.Add(1)
			default:
				failed.Add(1)
				e.logf("client %d: %s: %.60s", number, id, answer)
			}
		}
		e.logf("client %d: %d commands answered within %v", number, commands, time.Since(began).Round(time.Millisecond))
		return true
	}
	var all sync.WaitGroup
	start := time.Now()
	for number := range connections {
		all.Go(func() {
			c, err := dial(in.addr)
			for k := range rounds {
				time.Sleep(time.Until(start.Add(time.Duration(k) * every)))
				if k == longAfter && e.trouble {
					long.Store(true)
				}
				if err != nil {
					e.logf("client %d: %v", number, err)
					return
				}
				if !round(number, c) {
					c.close()
					c, err = dial(in.addr)
				}
			}
			c.close()
		})
	}
	all.Wait()
	if resp, err := http.Get("http://" + in.admin + "/status/events"); err == nil {
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		e.logf("the ingress's own counts (not judged):\n%s", text)
	}
	e.logf("asked %d served %d refused %d failed %d never answered %d, on %d connections that the ingress ended", asked.Load(), served.Load(),
		refused.Load(), failed.Load(), lost.Load(), ends.Load())
	if served.Load() < asked.Load()/3 {
		e.fail("too few requests were served to judge by")
	}
	return lost.Load() > 0
}
