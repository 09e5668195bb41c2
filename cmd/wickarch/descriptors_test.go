package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"wickarch/internal/standin"
)

// asLimited makes the test's own binary run the program with so many descriptors.
const asLimited = "WICKARCH_TEST_AS_LIMITED"

func init() {
	roles[asLimited] = func(files string) {
		n, err := strconv.ParseUint(files, 10, 32)
		if err == nil {
			err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		main()
	}
}

// reserve finds an address that nothing else uses: its port is the system's choice, and
// its host this test's own.
func reserve(t *testing.T, host string) string {
	t.Helper()
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// besiege has clients take all the places that they can get, until the function is
// called: each rests, every other one after a request, and comes back when it is let go.
func (s *site) besiege(clients int) (leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for n := range clients {
		all.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
				c, err := standin.Dial(s.Addr, patience)
				if err != nil {
					continue // it has ended
				}
				free := context.AfterFunc(ctx, func() { c.Close() })
				if n%2 == 0 {
					s.asked(c)
				}
				_, _ = io.Copy(io.Discard, c.In)
				free()
				c.Close()
			}
		})
	}
	return func() { cancel(); all.Wait() }
}

// Clients that rest take all the descriptors they can get while discovery is down. What
// else needs one gets it: the second address, a backend that is connected to for the
// first time, discovery at its return, and each client's end at the drain.
func TestIdleCrowdLeavesDescriptorsForTheRest(t *testing.T) {
	const crowd = 300
	for n, c := range []struct {
		name         string
		told, starts int  // descriptors
		lowered      int  // while it runs; 0: not
		refuses      bool // while it is down discovery refuses; else it takes calls and says nothing
	}{
		{"as many as told", 160, 160, 0, false},
		{"as many as told, discovery refuses", 160, 160, 0, true},
		{"fewer than told, discovery refuses", 1024, 120, 0, true},
		{"lowered while it runs, discovery refuses", 1024, 1024, 100, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := around(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: c.told})
			registry := standin.NewRegistry()
			t.Cleanup(registry.Stop)
			registry.Set(s.member)
			link, err := standin.NewLink(registry.Addr())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { link.Close() })
			s.node.Discovery = link.Addr
			if c.refuses {
				s.node.Discovery = reserve(t, fmt.Sprintf("127.41.9.%d", n+1))
				if s.node.Known, err = json.Marshal(map[string]any{"revision": 0, "complete": true, "members": []standin.Member{s.member}}); err != nil {
					t.Fatal(err)
				}
			}
			second := reserve(t, fmt.Sprintf("127.41.7.%d", n+1))
			if s.Process, err = s.node.Start(t.Context(), []string{os.Args[0]}, s.dir, fmt.Sprintf("%s=%d", asLimited, c.starts), "NODE_MGMT="+second); err != nil {
				t.Fatal(err)
			}
			if err = standin.WaitReady(s.Addr, patience); err != nil {
				t.Fatal(err)
			}
			if !c.refuses {
				link.Silence() // a watch that is open says nothing more, and calls are taken and not answered
			}
			if c.lowered > 0 {
				setFiles(t, s.Cmd.Process.Pid, uint64(c.lowered))
			}
			leave := s.besiege(crowd)
			defer leave()
			full, times := min(c.starts, c.told), 0
			if c.lowered > 0 {
				full = c.lowered
			}
			fills := func() bool { // a moment before it there may have been none left
				u, unread := s.Usage()
				return unread == nil && u.Files >= full*55/100
			}
			for end := time.Now().Add(patience); !fills(); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the crowd does not fill the descriptors: nothing is shown")
				}
			}
			judge := s.load(50)
			call := func(path string) {
				t.Helper()
				client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
				resp, failed := client.Get("http://" + second + path)
				if failed != nil {
					t.Errorf("the second address: %v", failed)
					return
				}
				defer resp.Body.Close()
				if _, broken := io.Copy(io.Discard, resp.Body); broken != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("the second address answers %s, %v", resp.Status, broken)
				}
			}
			for range 20 {
				if call("/status/metrics"); fills() {
					times++
				}
			}
			if times == 0 {
				t.Error("the crowd does not keep the descriptors filled: nothing is shown")
			}

			// While it was down another backend came in place of the one that serves.
			var ran standin.Effects
			other, err := standin.NewBackend(ran.Handler(func() time.Duration { return 0 }, nil))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(other.Close)
			gone := s.member
			gone.Phase = "DELETED"
			registry.Set(other.Member("c"))
			registry.Set(gone)
			if c.refuses {
				if link, err = standin.NewLinkAt(s.node.Discovery, registry.Addr()); err != nil {
					t.Fatal(err)
				}
			} else {
				link.Heal()
			}
			for end := time.Now().Add(patience); ran.Total() == 0; {
				if time.Sleep(time.Millisecond); time.Now().After(end) {
					t.Fatal("the list is not followed at discovery's return: the new backend gets nothing")
				}
			}
			judge()

			var ended = make(chan error, 5)
			for range cap(ended) {
				c := s.dial()
				s.asked(c)
				go func() { ended <- c.ExpectClosed() }()
			}
			if err := s.Stop(patience); err != nil {
				t.Errorf("the drain: %v", err)
			}
			for range cap(ended) {
				if err := <-ended; err != nil {
					t.Errorf("at the drain: %v", err)
				}
			}
		})
	}
}
