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

// answersLate is a discovery that tells each call the list, late.
func answersLate(t *testing.T, late time.Duration, list []byte) (addr string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(late):
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

// neverUp is an address at which connections never come up: nobody takes those that
// fill the listener's queue.
func neverUp(t *testing.T) (addr string) {
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

// readyAfter asks with PING until an ingress takes clients, and tells when that was.
func readyAfter(addr string, begun time.Time, within time.Duration) (time.Duration, error) {
	for {
		line := ""
		c, err := standin.Dial(addr, within)
		if err == nil {
			if err = c.Send("PING"); err == nil {
				line, err = c.ReadReply()
			}
			c.Close()
		}
		if took := time.Since(begun); line == "+PONG" || took > within {
			return took, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// All processes are killed and start again at once, from nothing but their
// configuration, while discovery is slow or down. Nine in ten are ready, with the list
// as they last had it, within 10 s, and serve.
func TestRestartedProcessesAreReadyWhileDiscoveryIsDown(t *testing.T) {
	const (
		processes = 10
		within    = 10 * time.Second
	)
	s := around(t, limits)
	list, err := json.Marshal(map[string]any{"revision": 1, "complete": true, "members": []standin.Member{s.member}})
	if err != nil {
		t.Fatal(err)
	}
	start := func(n int, listen, discovery string, known []byte) (*standin.Process, error) {
		node := s.node
		node.Name, node.Listen, node.Discovery, node.Known = fmt.Sprint("n", n), listen, discovery, known
		return node.Start(t.Context(), []string{os.Args[0]}, s.dir, asProgram+"=1")
	}
	var nodes []*standin.Process
	for n := range processes {
		var p *standin.Process
		if p, err = start(n, "127.0.0.1:0", s.discovery.Addr(), nil); err == nil {
			err = standin.WaitReady(p.Addr, patience)
		}
		if err != nil {
			t.Fatal(err)
		}
		nodes = append(nodes, p)
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
		{"says nothing", silent.Addr, list},
		{"refuses", reserve(t, "127.41.8.1"), list},
		{"connections never come up", neverUp(t), list},
		{"late", answersLate(t, 700*time.Millisecond, list), list},
		{"late, and nothing is known before", answersLate(t, 700*time.Millisecond, list), nil},
		{"later than a call waits", answersLate(t, 1500*time.Millisecond, list), list},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, p := range nodes {
				p.Cmd.Process.Kill()
				_ = p.Stop(patience) // its end is awaited, so that its address is free
			}
			type ready struct {
				took time.Duration
				err  error
			}
			all := make([]ready, processes)
			var waits sync.WaitGroup
			for n := range nodes {
				waits.Go(func() {
					begun := time.Now()
					p, err := start(n, nodes[n].Addr, c.discovery, c.known)
					if err != nil {
						all[n].err = err
						return
					}
					nodes[n] = p
					all[n].took, all[n].err = readyAfter(p.Addr, begun, within)
				})
			}
			waits.Wait()
			inTime, longest := 0, time.Duration(0)
			for n := range nodes {
				got := all[n]
				if got.err != nil {
					t.Fatalf("process %d: %v", n, got.err)
				}
				if longest = max(longest, got.took); got.took > within {
					continue
				}
				inTime++
				c, err := standin.Dial(nodes[n].Addr, patience)
				if err != nil {
					t.Fatal(err)
				}
				if got := s.asked(c); got != standin.Served {
					t.Errorf("process %d is ready, and a request ends as %v", n, got)
				}
				c.Close()
			}
			if inTime*10 < processes*9 {
				t.Errorf("%d of %d are ready within %v", inTime, processes, within)
			}
			t.Logf("all are ready within %v", longest.Round(time.Millisecond))
		})
	}
}
