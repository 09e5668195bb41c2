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

// limitedRoleEnv names the environment variable that makes the test binary run the program with a limit on file
// descriptors, the variable's value.
const limitedRoleEnv = "WICKARCH_TEST_AS_LIMITED"

func init() {
	roles[limitedRoleEnv] = func(files string) {
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

// reserveAddress returns an address that nothing else uses: no other test uses the host, and the system chooses
// the port.
func reserveAddress(t *testing.T, host string) string {
	t.Helper()
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// occupyConnections has clients open as many connections as the ingress accepts and keep them idle, every other
// one after a request. They reconnect when the ingress closes the connection, until the returned function is called.
func (s *testEnv) occupyConnections(clients int) (leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for n := range clients {
		running.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
				c, err := standin.Dial(s.Addr, waitTimeout)
				if err != nil {
					continue // the ingress has exited
				}
				free := context.AfterFunc(ctx, func() { c.Close() })
				if n%2 == 0 {
					s.lookup(c)
				}
				_, _ = io.Copy(io.Discard, c.In)
				free()
				c.Close()
			}
		})
	}
	return func() { cancel(); running.Wait() }
}

// Guards against idle clients that use up all file descriptors while discovery is down. The admin address, a first
// connection to a new backend, discovery once it is back, and the clean close of clients at the drain must
// still get a descriptor.
func TestIdleClientsLeaveDescriptorsForOtherUses(t *testing.T) {
	const idleClients = 300
	for n, c := range []struct {
		name               string
		configured, rlimit int  // file descriptors: in the configuration, and the process's limit at its start
		loweredTo          int  // the process's limit while it runs; 0: not lowered
		refuses            bool // discovery refuses connections while it is down; otherwise it accepts them and never responds
	}{
		{"limit as configured", 160, 160, 0, false},
		{"limit as configured, discovery refuses", 160, 160, 0, true},
		{"limit below the configured one, discovery refuses", 1024, 120, 0, true},
		{"limit lowered while running, discovery refuses", 1024, 1024, 100, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTestEnv(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: c.configured})
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
				s.node.Discovery = reserveAddress(t, fmt.Sprintf("127.41.9.%d", n+1))
				if s.node.Known, err = json.Marshal(map[string]any{"revision": 0, "complete": true,
					"members": []standin.Member{s.member}}); err != nil {
					t.Fatal(err)
				}
			}
			adminAddr := reserveAddress(t, fmt.Sprintf("127.41.7.%d", n+1))
			if s.Process, err = s.node.Start(t.Context(), []string{os.Args[0]}, s.dir,
				fmt.Sprintf("%s=%d", limitedRoleEnv, c.rlimit), "NODE_MGMT="+adminAddr); err != nil {
				t.Fatal(err)
			}
			if err = standin.WaitReady(s.Addr, waitTimeout); err != nil {
				t.Fatal(err)
			}
			if !c.refuses {
				link.Silence() // the open watch stalls, and new requests are accepted and not answered
			}
			if c.loweredTo > 0 {
				setDescriptorLimit(t, s.Cmd.Process.Pid, uint64(c.loweredTo))
			}
			leave := s.occupyConnections(idleClients)
			defer leave()
			descriptorLimit, filledCalls := min(c.rlimit, c.configured), 0
			if c.loweredTo > 0 {
				descriptorLimit = c.loweredTo
			}
			filled := func() bool { // 55%: the ingress closes idle connections, so all may have been in use a moment earlier
				u, usageErr := s.Usage()
				return usageErr == nil && u.Files >= descriptorLimit*55/100
			}
			for end := time.Now().Add(waitTimeout); !filled(); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the idle clients do not fill the descriptors: the test is inconclusive")
				}
			}
			stopLoad := s.startLoad(50)
			get := func(path string) {
				t.Helper()
				client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
				resp, getErr := client.Get("http://" + adminAddr + path)
				if getErr != nil {
					t.Errorf("admin address: %v", getErr)
					return
				}
				defer resp.Body.Close()
				if _, copyErr := io.Copy(io.Discard, resp.Body); copyErr != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("the admin address responded %s, %v", resp.Status, copyErr)
				}
			}
			for range 20 {
				if get("/status/metrics"); filled() {
					filledCalls++
				}
			}
			if filledCalls == 0 {
				t.Error("the idle clients do not keep the descriptors filled: the test is inconclusive")
			}

			// While discovery was down, another backend replaced the one that serves.
			var effects standin.Effects
			other, err := standin.NewBackend(effects.Handler(func() time.Duration { return 0 }, nil))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(other.Close)
			deleted := s.member
			deleted.Phase = "DELETED"
			registry.Set(other.Member("c"))
			registry.Set(deleted)
			if c.refuses {
				if link, err = standin.NewLinkAt(s.node.Discovery, registry.Addr()); err != nil {
					t.Fatal(err)
				}
			} else {
				link.Heal()
			}
			for end := time.Now().Add(waitTimeout); effects.Total() == 0; {
				if time.Sleep(time.Millisecond); time.Now().After(end) {
					t.Fatal("the list is not updated once discovery is back: the new backend gets no requests")
				}
			}
			stopLoad()

			var ended = make(chan error, 5)
			for range cap(ended) {
				c := s.dial()
				s.lookup(c)
				go func() { ended <- c.ExpectClosed() }()
			}
			if err := s.Stop(waitTimeout); err != nil {
				t.Errorf("process exit after the drain: %v", err)
			}
			for range cap(ended) {
				if err := <-ended; err != nil {
					t.Errorf("client connection at the drain: %v", err)
				}
			}
		})
	}
}
