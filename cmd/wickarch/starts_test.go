package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"wickarch/internal/standin"
)

// startSlowDiscovery starts a discovery server that responds to each request with the list, after a delay.
func startSlowDiscovery(t *testing.T, delay time.Duration, list []byte) (addr string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "%s\n", list)
		if r.URL.Query().Get("stream") != "" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

// unreachableAddress returns an address at which connects time out: the listener never accepts, and its queue is
// full.
func unreachableAddress(t *testing.T) (addr string) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr = fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	for {
		c, err := standin.Dial(addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
}

// timeUntilReady sends PING until an ingress responds or timeout has passed, and returns the time since started.
func timeUntilReady(addr string, started time.Time, timeout time.Duration) (time.Duration, error) {
	for {
		line := ""
		c, err := standin.Dial(addr, timeout)
		if err == nil {
			if err = c.Send("PING"); err == nil {
				line, err = c.ReadReply()
			}
			c.Close()
		}
		if took := time.Since(started); line == "+PONG" || took > timeout {
			return took, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against restarts that wait for discovery: all processes are killed and started again together, with no
// state but their configuration, while discovery is slow or down. Nine in ten must be ready within 10 s, with the
// last known list, and serve.
func TestRestartedProcessesAreReadyWhileDiscoveryIsDown(t *testing.T) {
	const (
		processes = 10
		within    = 10 * time.Second
	)
	s := newTestEnv(t, defaultLimits)
	list, err := json.Marshal(map[string]any{"revision": 1, "complete": true, "members": []standin.Member{s.member}})
	if err != nil {
		t.Fatal(err)
	}
	start := func(n int, listen, discovery string, known []byte) (*standin.Process, error) {
		node := s.node
		node.Name, node.Listen, node.Discovery, node.Known = fmt.Sprint("n", n), listen, discovery, known
		return node.Start(t.Context(), []string{os.Args[0]}, s.dir, programRoleEnv+"=1")
	}
	var running []*standin.Process
	for n := range processes {
		var p *standin.Process
		if p, err = start(n, "127.0.0.1:0", s.discovery.Addr(), nil); err == nil {
			err = standin.WaitReady(p.Addr, waitTimeout)
		}
		if err != nil {
			t.Fatal(err)
		}
		running = append(running, p)
	}
	silent, err := standin.NewLink(s.discovery.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(silent.Close)
	silent.Silence()
	for _, c := range []struct {
		name, discovery string
		known           []byte
	}{
		{"discovery does not respond", silent.Addr, list},
		{"discovery refuses connections", reserveAddress(t, "127.41.8.1"), list},
		{"connects to discovery time out", unreachableAddress(t), list},
		{"discovery responds late", startSlowDiscovery(t, 700*time.Millisecond, list), list},
		{"discovery responds late, no known list", startSlowDiscovery(t, 700*time.Millisecond, list), nil},
		{"discovery responds after the request timeout", startSlowDiscovery(t, 1500*time.Millisecond, list), list},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, p := range running {
				p.Cmd.Process.Kill()
				_ = p.Stop(waitTimeout) // waits for the exit, so that the address is free
			}
			type ready struct {
				took time.Duration
				err  error
			}
			all := make([]ready, processes)
			var waits sync.WaitGroup
			for n := range running {
				waits.Go(func() {
					started := time.Now()
					p, err := start(n, running[n].Addr, c.discovery, c.known)
					if err != nil {
						all[n].err = err
						return
					}
					running[n] = p
					all[n].took, all[n].err = timeUntilReady(p.Addr, started, within)
				})
			}
			waits.Wait()
			inTime, longest := 0, time.Duration(0)
			for n := range running {
				got := all[n]
				if got.err != nil {
					t.Fatalf("process %d: %v", n, got.err)
				}
				if longest = max(longest, got.took); got.took > within {
					continue
				}
				inTime++
				c, err := standin.Dial(running[n].Addr, waitTimeout)
				if err != nil {
					t.Fatal(err)
				}
				if got := s.lookup(c); got != standin.Served {
					t.Errorf("process %d is ready; request outcome %v, want served", n, got)
				}
				c.Close()
			}
			if inTime*10 < processes*9 {
				t.Errorf("%d of %d processes were ready within %v", inTime, processes, within)
			}
			t.Logf("all processes were ready within %v", longest.Round(time.Millisecond))
		})
	}
}
