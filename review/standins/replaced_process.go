package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["replaced-process"] = replacedProcess }

// replacedProcess: a new process of an ingress waits beside the old one to take over, while a version of the
// configuration that lowers a hard ceiling is given out.
func replacedProcess(e *env) bool {
	const (
		before, after = 30.0, 8.0 // the ceiling's rate in the two versions
		burst         = 10.0      // of the second version
		slack         = 1.0       // its ceiling_tolerance
		perSecond     = 60
		measured      = 15 * time.Second
	)
	plan := func(rate, burst, tolerance float64) string {
		return fmt.Sprintf("[plan.district]\nrate = 25\nburst = 50\nprice = 1.6\nover_cost = 0.6\nceiling_rate = %v\nceiling_burst = %v\nceiling_tolerance = %v\n", rate, burst, tolerance)
	}
	var mu sync.Mutex
	var sent []time.Time // first attempts as they came to the backends
	seen := map[string]bool{}
	handle := func(b *backend, r *received) {
		mu.Lock()
		if !seen[r.id()] {
			seen[r.id()] = true
			sent = append(sent, time.Now())
		}
		mu.Unlock()
		e.logf("run %s at %s", r.id(), b.id)
		time.Sleep(time.Duration(10+rand.IntN(10)) * time.Millisecond)
		r.answer(r.id())
	}
	var backends []*backend
	for i := range 6 {
		backends = append(backends, newBackend(e, fmt.Sprintf("s-%d", i), handle))
	}
	d := newDiscovery(e, backends...)
	coordinators := e.coordinators("[[budget]]\nname = \"ingresses\"\nrole = \"ingress\"\nshare = 0.10\n")
	follower := e.write("follower.toml", fmt.Sprintf("name = \"n1\"\ncoordinators = %s\ndir = %q\npatience_ms = 1800\n",
		quoted(coordinators), e.tmp+"/config-n1"))
	// The platform holds the clients' socket and hands it to each process.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		e.fail("listen: %v", err)
	}
	socket, err := ln.(*net.TCPListener).File()
	if err != nil {
		e.fail("socket: %v", err)
	}
	shared := filepath.Join(e.tmp, "shared")
	_ = os.MkdirAll(shared, 0o700)
	launch := func(name string) *ingress {
		in := &ingress{addr: ln.Addr().String(), admin: e.freeAddress()}
		config, _ := json.Marshal(map[string]any{"name": "n1", "listen": in.addr, "mgmt": in.admin, "discovery": d.addr, "seed": fmt.Sprintf("%016x", rand.Uint64()),
			"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
			"known":    map[string]any{"revision": 1, "complete": true, "members": []member{}},
			"settings": settings(1, 0)})
		path := e.write(name+".json", string(config))
		in.proc = e.startWith(name, e.runCommand()+" -follow "+follower, []*os.File{socket}, "NODE_CONFIG="+path, "NODE_NAME=n1",
			"NODE_PASSED_SOCKET=3", "TMPDIR="+shared)
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if resp, err := http.Get("http://" + in.admin + "/status"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					e.logf("%s says yes at its /status", name)
					return in
				}
			}
			if time.Now().After(end) {
				e.fail("%s never said yes", name)
			}
		}
	}
	first := launch("old")
	if code, out := e.fleet(coordinators, "config push "+e.write("v1.toml", plan(before, 35, 3))); code != 0 {
		e.fail("the first version was not taken: %s", out)
	}
	stop := make(chan struct{})
	var open sync.WaitGroup
	var counts [4]int // served, refused, other, none
	idle := make(chan *client, 1000)
	open.Go(func() {
		for {
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
					if c, err = dial(first.addr); err != nil {
						return
					}
				}
				id := newID()
				e.logf("sent %s", id)
				c.send(lookup(4711, id, 2500, "district", 1)...)
				answer, err := c.read(4 * time.Second)
				e.logf("answered %s: %s", id, answer)
				kind := 2
				switch {
				case err != nil:
					kind = 3
				case strings.HasPrefix(answer, "$"):
					kind = 0
				case strings.HasPrefix(answer, "-BUSY"):
					kind = 1
				}
				mu.Lock()
				counts[kind]++
				mu.Unlock()
				if err != nil {
					c.close()
				} else {
					idle <- c
				}
			})
		}
	})
	time.Sleep(5 * time.Second)
	if e.trouble {
		launch("new") // beside the old one, which gets its SIGTERM later
		time.Sleep(2 * time.Second)
	}
	if code, out := e.fleet(coordinators, "config push "+e.write("v2.toml", plan(after, burst, slack))); code != 0 {
		e.fail("the second version is not in force everywhere: exit code %d: %s", code, out)
	}
	_, status := e.fleet(coordinators, "config status --all")
	from := time.Now()
	time.Sleep(measured)
	to := time.Now()
	if !strings.Contains(status, "in force") {
		e.fail("the operators' command does not say that the version is in force")
	}
	close(stop)
	open.Wait()
	passed := 0
	mu.Lock()
	for _, t := range sent {
		if !t.Before(from) && t.Before(to) {
			passed++
		}
	}
	mu.Unlock()
	allowed := burst + slack + after*(measured.Seconds()+0.15)
	e.logf("served %d refused %d other %d no answer %d", counts[0], counts[1], counts[2], counts[3])
	e.logf("in the %v after version 2 was said to be in force, %d units of customer 4711 were passed on; its ceiling allows %.1f", measured, passed, allowed)
	if first.alive() {
		first.signal(syscall.SIGTERM)
		first.wait(5 * time.Second)
	}
	return float64(passed) > allowed
}
