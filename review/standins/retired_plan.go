package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["retired-plan"] = retiredPlan }

const planCommunity = "[plan.community]\nrate = 2.7\nburst = 12\nprice = 1.1\nover_cost = 1.0\n"
const planDistrict = "[plan.district]\nrate = 15\nburst = 19\nprice = 1.6\nover_cost = 0.6\nceiling_rate = 35\nceiling_burst = 45\nceiling_tolerance = 5\n"

// retiredPlan: a version of the configuration no longer names one of two plans, while a front's connections carry
// requests of customers of both.
func retiredPlan(e *env) bool {
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
	coordinators := e.coordinators("[[budget]]\nname = \"ingresses\"\nrole = \"ingress\"\nshare = 0.10\n")
	follower := e.write("follower.toml", fmt.Sprintf("name = \"n1\"\nregion = \"west\"\ncoordinators = %s\ndir = %q\npatience_ms = 1800\n",
		quoted(coordinators), e.tmp+"/config-n1"))
	in := e.startIngress(options{name: "n1", discovery: d.addr, settings: settings(1, 0), extra: " -follow " + follower})
	both := e.write("both.toml", planCommunity+planDistrict)
	one := e.write("one.toml", planCommunity)
	if code, out := e.fleet(coordinators, "config push "+both); code != 0 {
		e.fail("the first version was not taken: %s", out)
	}

	var mu sync.Mutex
	asked, served, refused, unknown, lost, ends := 0, 0, 0, 0, 0, 0
	stop := make(chan struct{})
	var fronts sync.WaitGroup
	// Each connection of the front carries, ten times a second, five requests of community's customers and one of district's.
	front := func(number int) {
		defer fronts.Done()
		for n := 0; ; {
			nc, err := net.Dial("tcp", in.addr)
			if err != nil {
				e.logf("front %d: %v", number, err)
				return
			}
			c := wrap(nc)
			var queueMu sync.Mutex
			var queue []string // ids and plans of requests without an answer, in order
			var writeFailed atomic.Bool
			var ended atomic.Bool // the ingress has ended the connection: nothing more is written to it
			sending := make(chan struct{})
			go func() {
				defer close(sending)
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					if ended.Load() {
						return
					}
					text, ids := "", []string(nil)
					for k := range 6 {
						n++
						id, plan := newID(), "community"
						if k == 1 {
							plan = "district"
						}
						customer := number*100000 + n%1500
						text += encode(lookup(customer, id, 2500, plan, 1)...)
						ids = append(ids, plan+" "+id)
					}
					queueMu.Lock()
					queue = append(queue, ids...)
					queueMu.Unlock()
					if _, err := c.Write([]byte(text)); err != nil {
						writeFailed.Store(true)
						queueMu.Lock()
						queue = queue[:len(queue)-len(ids)] // not written: they go out on another connection
						queueMu.Unlock()
						return
					}
					e.logf("front %d: sent %s", number, strings.Join(ids, ", "))
					mu.Lock()
					asked += len(ids)
					mu.Unlock()
				}
			}()
			var end error
			for {
				answer, err := c.read(4 * time.Second)
				if err != nil {
					end = err
					break
				}
				queueMu.Lock()
				if len(queue) == 0 {
					queueMu.Unlock()
					e.logf("front %d: unasked %q", number, answer)
					continue
				}
				first := queue[0]
				queue = queue[1:]
				queueMu.Unlock()
				mu.Lock()
				switch {
				case strings.HasPrefix(answer, "$"):
					served++
				case strings.HasPrefix(answer, "-BUSY"):
					refused++
				default:
					unknown++
				}
				e.logf("front %d: answered %s: %s", number, first, answer)
				mu.Unlock()
				select {
				case <-stop:
					queueMu.Lock()
					left := len(queue)
					queueMu.Unlock()
					if left == 0 {
						<-sending
						c.close()
						return
					}
				default:
				}
			}
			ended.Store(true)
			// The ingress has ended the connection. Had it left bytes unread, its close would reset the connection some
			// time later; if none comes, it had read all that was written before its end.
			queueMu.Lock()
			missing := append([]string(nil), queue...)
			queueMu.Unlock()
			time.Sleep(500 * time.Millisecond)
			reset := socketError(nc)
			mu.Lock()
			ends++
			e.logf("front %d: the ingress ended the connection (%v; reset later: %v) with %d requests unanswered", number, end, reset, len(missing))
			for _, m := range missing {
				e.logf("front %d: no answer to %s", number, m)
				if reset == nil && !writeFailed.Load() && strings.HasPrefix(m, "community") {
					lost++
				}
			}
			mu.Unlock()
			c.close()
			<-sending
			select {
			case <-stop:
				return
			default:
			}
		}
	}
	for i := range 4 {
		fronts.Add(1)
		go front(i)
	}
	time.Sleep(5 * time.Second)
	next := both
	if e.trouble {
		next = one
	} else {
		next = e.write("both2.toml", planCommunity+strings.Replace(planDistrict, "rate = 15", "rate = 14", 1))
	}
	if code, out := e.fleet(coordinators, "config push "+next); code != 0 {
		e.fail("the second version was not taken: %s", out)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	fronts.Wait()
	e.logf("asked %d served %d refused %d answered with an error %d; connections that the ingress ended %d; requests of community's customers that were read and never answered %d",
		asked, served, refused, unknown, ends, lost)
	if served < asked/3 {
		e.fail("too few requests were served to judge by")
	}
	return lost > 0
}

// socketError is the error that is pending on a connection, such as a reset.
func socketError(nc net.Conn) (err error) {
	raw, _ := nc.(*net.TCPConn).SyscallConn()
	_ = raw.Control(func(fd uintptr) {
		if n, e := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR); e == nil && n != 0 {
			err = syscall.Errno(n)
		}
	})
	return err
}
