package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
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

// Clients that rest take all the descriptors they can get while discovery is down. What
// else needs one gets it: the second address, a backend that is connected to for the
// first time, discovery at its return, and each client's end at the drain.
func TestIdleCrowdLeavesDescriptorsForTheRest(t *testing.T) {
	const crowd = 600
	for n, c := range []struct {
		name         string
		told, starts int // descriptors
		lowered      int // while it runs; 0: not
	}{
		{"as many as told", 160, 160, 0},
		{"fewer than told", 1024, 120, 0},
		{"lowered while it runs", 1024, 1024, 100},
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
			t.Cleanup(link.Close)
			s.node.Discovery = link.Addr
			second := reserve(t, fmt.Sprintf("127.41.7.%d", n+1))
			if s.Process, err = s.node.Start(t.Context(), []string{os.Args[0]}, s.dir, fmt.Sprintf("%s=%d", asLimited, c.starts), "NODE_MGMT="+second); err != nil {
				t.Fatal(err)
			}
			if err := standin.WaitReady(s.Addr, patience); err != nil {
				t.Fatal(err)
			}
			link.Silence() // a watch that is open says nothing more, and calls are taken and not answered
			if c.lowered > 0 {
				setFiles(t, s.Cmd.Process.Pid, uint64(c.lowered))
			}
			s.crowd(crowd, func(c *standin.Client) { s.asked(c) })()
			judge := s.load(50)
			call := func(path string) {
				t.Helper()
				client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
				resp, err := client.Get("http://" + second + path)
				if err != nil {
					t.Errorf("the second address: %v", err)
					return
				}
				defer resp.Body.Close()
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("the second address answers %s, %v", resp.Status, err)
				}
			}
			for range 20 {
				call("/status/metrics")
			}
			u, err := s.Usage()
			if most := min(c.starts, max(c.lowered, 0)); err != nil || most > 0 && u.Files < most*8/10 || most == 0 && u.Files < c.starts*55/100 {
				t.Errorf("%d descriptors are open, %v: the crowd does not fill them, and nothing is shown", u.Files, err)
			}

			// While it was down another backend came in place of the one that serves.
			var ran standin.Effects
			other, err := standin.NewBackend(ran.Work(func() time.Duration { return 0 }, nil))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(other.Close)
			gone := s.member
			gone.Phase = "DELETED"
			registry.Set(other.Member("c"))
			registry.Set(gone)
			link.Heal()
			for end := time.Now().Add(patience); ran.Total() == 0; {
				if time.Sleep(time.Millisecond); time.Now().After(end) {
					t.Fatal("the list is not followed at discovery's return: the new backend gets nothing")
				}
			}
			judge()

			var ended = make(chan error, 20)
			for range cap(ended) {
				c := s.dial()
				s.asked(c)
				go func() { ended <- c.Ended() }()
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
