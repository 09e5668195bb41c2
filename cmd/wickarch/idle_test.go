package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"wickarch/internal/standin"
)

// These tests run the real program on loopback with thousands of connections, and check what stand-in clients and
// backends count.

const (
	waitTimeout    = 30 * time.Second
	clientDeadline = 10 * time.Second // of well-behaved clients; generous, since these tests do not measure latency
	// minFirstRequestTime is the shortest time within which the admission controller, by default, lets a new
	// connection send its first request. A client that a busy machine delays for longer may be disconnected.
	minFirstRequestTime = 50 * time.Millisecond
)

// testEnv is the program with stand-in discovery and backend.
type testEnv struct {
	*testing.T
	*standin.Process
	effects       standin.Effects
	discovery     *standin.Discovery
	member        standin.Member
	node          standin.Node
	dir           string
	sentDeadlines sync.Map // by request id, a sentDeadline
}

// sentDeadline is the time limit that an attempt sent to the backend, and when it arrived.
type sentDeadline struct {
	at    time.Time
	limit time.Duration
}

// unansweredCustomer is the customer whose requests run and are never answered by the backend.
const unansweredCustomer = 666

// largeValueCustomer is the customer whose responses are 60 KB long.
const largeValueCustomer = 777

// ambiguousRefusalCustomer is the customer whose requests run and get a refusal followed by a value.
const ambiguousRefusalCustomer = 778

// startTestEnv starts the program with its surroundings, and with an options file unless options is empty.
func startTestEnv(t *testing.T, limits standin.Limits, options string) *testEnv {
	t.Helper()
	s := newTestEnv(t, limits)
	var program []string
	if options != "" {
		path := s.dir + "/own.toml"
		if err := os.WriteFile(path, []byte(options), 0o600); err != nil {
			t.Fatal(err)
		}
		program = append(program, "-config", path)
	}
	s.startProcess(program)
	return s
}

// startProcess starts the program, which becomes the process that s refers to.
func (s *testEnv) startProcess(arguments []string, env ...string) {
	s.Helper()
	var err error
	if s.Process, err = s.node.Start(s.Context(), append([]string{os.Args[0]}, arguments...), s.dir,
		append(env, programRoleEnv+"=1")...); err != nil {
		s.Fatal(err)
	}
	if err := standin.WaitReady(s.Addr, waitTimeout); err != nil {
		s.Fatal(err)
	}
}

// newTestEnv starts discovery and a backend, and prepares the configuration of an ingress.
func newTestEnv(t *testing.T, limits standin.Limits) *testEnv {
	t.Helper()
	s := &testEnv{T: t, dir: t.TempDir()}
	work := s.effects.Handler(func() time.Duration { return time.Duration(rand.IntN(5)) * time.Millisecond }, nil)
	backend, err := standin.NewBackend(func(r standin.Received) {
		s.recordDeadline(r)
		switch r.Args[1] {
		case fmt.Sprintf("%016x", unansweredCustomer):
			s.effects.Record(r.ID())
		case fmt.Sprintf("%016x", largeValueCustomer):
			s.effects.Record(r.ID())
			r.Answer(strings.Repeat("x", 60_000))
		case fmt.Sprintf("%016x", ambiguousRefusalCustomer):
			s.effects.Record(r.ID())
			r.Reply("-BUSY\r\n*3\r\n$2\r\nok\r\n$-1\r\n$-1")
		default:
			work(r)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(backend.Close)
	s.member = backend.Member("b")
	s.discovery = standin.NewDiscovery(s.member)
	t.Cleanup(s.discovery.Stop)
	s.discovery.Open()
	s.node = standin.Node{Name: "n", Listen: "127.0.0.1:0", Discovery: s.discovery.Addr(), Seed: "1", Limits: limits,
		Settings: json.RawMessage(fmt.Sprintf(standin.Settings, 3600_000, 1e6, 1e6))}
	return s
}

// recordDeadline records the time limit that an attempt sends.
func (s *testEnv) recordDeadline(r standin.Received) {
	if len(r.Args) < 4 {
		return
	}
	for _, option := range strings.Split(r.Args[3], ",") {
		if ms, ok := strings.CutPrefix(option, "d="); ok {
			limit, err := time.ParseDuration(ms + "ms")
			if err != nil {
				s.Errorf("an attempt sends d=%q", ms)
			}
			s.sentDeadlines.Store(r.ID(), sentDeadline{time.Now(), limit})
		}
	}
}

// startLoad starts a steady load of well-behaved clients. The returned function stops it and checks the outcomes.
func (s *testEnv) startLoad(perSecond float64, change ...func(*standin.Load)) func() *standin.Load {
	load := &standin.Load{Addr: s.Addr, PerSecond: perSecond, Payments: 0.3, Deadline: clientDeadline, FirstRequestTimeout: minFirstRequestTime}
	for _, apply := range change {
		apply(load)
	}
	ctx, stop := context.WithCancel(s.Context())
	done := make(chan struct{})
	go func() { load.Run(ctx); close(done) }()
	return func() *standin.Load {
		s.Helper()
		for end := time.Now().Add(waitTimeout); load.Tally().Served < 20 && time.Now().Before(end); { // for the check to be conclusive
			time.Sleep(time.Millisecond)
		}
		stop()
		<-done
		t := load.Tally()
		if err := t.Check(); err != nil {
			s.Errorf("well-behaved clients: %v", err)
		}
		if t.Unreached > 0 || t.Failed > 0 {
			s.Errorf("well-behaved clients: %d got no connection and %d failed, of %d requests", t.Unreached, t.Failed, t.Asked)
		}
		s.expectNoPaymentTwice()
		return load
	}
}

// expectNoPaymentTwice checks that no payment ran more than once.
func (s *testEnv) expectNoPaymentTwice() {
	s.Helper()
	for _, id := range s.effects.Duplicates() {
		if standin.PaymentID(id) {
			s.Errorf("payment %s ran %d times", id, s.effects.Count(id))
		}
	}
}

func (s *testEnv) dial() *standin.Client {
	s.Helper()
	c, err := standin.Dial(s.Addr, waitTimeout)
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { c.Close() })
	return c
}

// openConnections opens n connections concurrently and passes each to use. The returned function waits for all.
func (s *testEnv) openConnections(n int, use func(*standin.Client)) (wait func()) {
	var all sync.WaitGroup
	dialSlots := make(chan struct{}, 200) // limits concurrent dials
	for range n {
		all.Add(1)
		go func() {
			defer all.Done()
			dialSlots <- struct{}{}
			c, err := standin.Dial(s.Addr, waitTimeout)
			<-dialSlots
			if err != nil {
				return // connections that are refused are ignored
			}
			s.Cleanup(func() { c.Close() })
			use(c)
		}()
	}
	return all.Wait
}

// lookup sends a lookup on a connection, which then is no longer new to the ingress, and returns the outcome.
func (s *testEnv) lookup(c *standin.Client) standin.Outcome {
	id := "0" + standin.NewID()[1:] // not a payment by standin.PaymentID
	return c.Ask(id, standin.Lookup(1, id, int(clientDeadline.Milliseconds()))...)
}

var defaultLimits = standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 1024}

// Guards against connections that never send a request and take all connection slots.
func TestSilentConnectionsDoNotBlockClients(t *testing.T) {
	s := startTestEnv(t, defaultLimits, "")
	stopLoad := s.startLoad(100)
	s.openConnections(5000, func(*standin.Client) {})()
	stopLoad()
}

// Guards against connections that are closed although their request arrived in time: the program is suspended until
// the timeout for the first request has passed, while requests wait in more sockets than one poll returns. The
// ingress's own delay must not count against clients.
func TestRequestsReceivedDuringAStallAreRead(t *testing.T) {
	for _, c := range []struct {
		name, options string
		stall         time.Duration
	}{
		{"slots run short", "[door]\nplaces = 620\nspare = 619\nsilent_most_ms = 1500\nsilent_least_ms = 1500\n", 1600 * time.Millisecond},
		{"timeout for the first command has passed", "", 2300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startTestEnv(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 1600}, c.options)
			clients := make([]*standin.Client, 600)
			began := time.Now()
			for i := range clients {
				clients[i] = s.dial()
			}
			ids := make([]string, len(clients))
			for i, client := range clients {
				ids[i] = standin.NewID()
				if i == 0 { // once the last connection gets its response, all have been accepted
					last := clients[len(clients)-1]
					if err := last.Send("PING"); err != nil {
						t.Fatal(err)
					}
					if line, err := last.ReadReply(); err != nil || line != "+PONG" {
						t.Fatalf("PING got the response %q, %v", line, err)
					}
					if err := s.Cmd.Process.Signal(syscall.SIGSTOP); err != nil {
						t.Error(err)
					}
				}
				if err := client.Send(standin.Lookup(1, ids[i], int(clientDeadline.Milliseconds()))...); err != nil {
					t.Fatal(err)
				}
			}
			sent := time.Since(began)
			time.Sleep(c.stall) // the injected fault: the process is suspended
			if err := s.Cmd.Process.Signal(syscall.SIGCONT); err != nil {
				t.Error(err)
			}
			if sent > time.Second {
				t.Skipf("sending took %v: the machine is too slow for this test", sent)
			}
			unread := 0
			for i, cl := range clients {
				if got := cl.Outcome(ids[i]); got != standin.Served && got != standin.Refused {
					unread++
				}
			}
			if unread > 0 {
				t.Errorf("%d of %d requests that arrived in time were not read", unread, len(clients))
			}
		})
	}
}

// Guards against a fleet of clients that cannot reconnect because idle connections hold all connection slots.
func TestReconnectingClientsReplaceIdleConnections(t *testing.T) {
	s := startTestEnv(t, defaultLimits, "")
	s.openConnections(700, func(c *standin.Client) { s.lookup(c) })()
	var answered, other atomic.Int32
	s.openConnections(300, func(c *standin.Client) {
		// A refusal for overload is a response too: this test covers connections, not the load of that many requests.
		if got := s.lookup(c); got == standin.Served || got == standin.Refused {
			answered.Add(1)
		} else {
			other.Add(1)
		}
	})()
	if answered.Load() != 300 {
		t.Errorf("%d of 300 clients got a response, %d did not", answered.Load(), other.Load())
	}
	s.expectNoPaymentTwice()
}

// Guards against clients that open two connections for each one that the ingress closes, and so keep others out.
func TestClientsThatReconnectTwicePerCloseDoNotBlockOthers(t *testing.T) {
	s := startTestEnv(t, defaultLimits, "")
	stopLoad := s.startLoad(100)
	var remaining atomic.Int32
	remaining.Store(2000) // bounds the reconnects, which would never end
	var connections sync.WaitGroup
	var connect func()
	connect = func() {
		defer connections.Done()
		if remaining.Add(-1) < 0 {
			return
		}
		c, err := standin.Dial(s.Addr, waitTimeout)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c.In) // until the ingress closes it
		c.Close()
		connections.Add(2)
		go connect()
		go connect()
	}
	for range 50 {
		connections.Add(1)
		go connect()
	}
	connections.Wait()
	stopLoad()
}

// Guards against payments that run twice or get no outcome when a client sends on a kept connection that the ingress
// has just closed, and resends once on a new one.
func TestRequestSentAsConnectionClosesIsServedOnce(t *testing.T) {
	s := startTestEnv(t, defaultLimits,
		"[door]\nplaces = 200\nuseful = 60\nhigh = 20\nlow = 4\nfloor = 2\nrest_most_ms = 20\nrest_least_ms = 1\n")
	stopLoad := s.startLoad(400, func(l *standin.Load) { l.Payments = 1 })
	for end := time.Now().Add(waitTimeout); s.effects.Total() < 1500 && time.Now().Before(end); {
		s.openConnections(40, func(c *standin.Client) { s.lookup(c) })() // repeatedly above the high watermark
	}
	load := stopLoad()
	if tally := load.Tally(); tally.Resent == 0 {
		t.Errorf("no request was sent on a closing connection, the test is inconclusive: %+v", tally)
	} else if tally.Served+tally.Refused != tally.Asked {
		t.Errorf("of %d requests %d were served and %d refused, want all", tally.Asked, tally.Served, tally.Refused)
	}
}

// Guards against a connection that is closed as idle in the middle of a command while connection slots are short,
// and against one that stays open for ever by sending a byte now and then.
func TestPartialCommandIsNotIdleAndSlowSenderIsClosed(t *testing.T) {
	s := startTestEnv(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 100}, "") // leaves 55 connection slots
	id := standin.NewID()
	command := standin.Encode(standin.Lookup(1, id, int(clientDeadline.Milliseconds()))...)
	half, trickle := s.dial(), s.dial()
	if _, err := half.Write(command[:len(command)/2]); err != nil {
		t.Error(err)
	}
	start := time.Now()
	ended := make(chan time.Duration, 1)
	go func() {
		defer func() { ended <- time.Since(start) }()
		for _, b := range []byte("*1\r\n$4\r\nPIN") {
			if _, err := trickle.Write([]byte{b}); err != nil {
				return
			}
			_ = trickle.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			if _, err := trickle.In.ReadByte(); err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
		}
		_ = trickle.SetReadDeadline(time.Now().Add(waitTimeout))
		_, _ = trickle.In.ReadByte()
	}()
	s.openConnections(300, func(c *standin.Client) { s.lookup(c) })() // more than there are slots, within the partial command's timeout
	_, _ = half.Write(command[len(command)/2:])                       // may fail: on a slow machine it may be closed by then
	if time.Since(start) < 2*time.Second {
		if line, err := half.ReadReply(); err != nil || !strings.HasSuffix(line, id) {
			t.Errorf("the command sent in two halves got the response %q, %v", line, err)
		}
	}
	if took := <-ended; took > 20*time.Second {
		t.Errorf("the slow sender's connection was closed after %v, want 20s at most", took)
	}
}

// sendHangingPayment sends a payment that the backend never answers, and waits until the backend has received it.
func (s *testEnv) sendHangingPayment(c *standin.Client, ms int) {
	s.Helper()
	for end := time.Now().Add(waitTimeout); ; { // retried while it is refused for overload
		id := "f" + standin.NewID()[1:]
		if err := c.Send(standin.Payment(unansweredCustomer, id, ms)...); err != nil {
			s.Fatal(err)
		}
		for s.effects.Count(id) == 0 && c.In.Buffered() == 0 {
			_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err := c.In.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) || time.Now().After(end) {
				s.Fatalf("the payment was not forwarded to a backend: %v", err)
			}
		}
		_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
		if s.effects.Count(id) == 1 {
			return
		}
		if line, err := c.ReadReply(); err != nil || time.Now().After(end) {
			s.Fatalf("the payment got the response %q, %v, and was never forwarded", line, err)
		}
	}
}

func setDescriptorLimit(t *testing.T, pid int, n uint64) {
	t.Helper()
	lim := syscall.Rlimit{Cur: n, Max: 1 << 20}
	var old syscall.Rlimit
	if err := prlimit(pid, nil, &old); err != nil {
		t.Fatal(err)
	}
	lim.Max = old.Max
	if err := prlimit(pid, &lim, nil); err != nil {
		t.Fatal(err)
	}
}

func prlimit(pid int, set, get *syscall.Rlimit) error {
	if _, _, e := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(set)), uintptr(unsafe.Pointer(get)), 0, 0); e != 0 {
		return e
	}
	return nil
}

// Guards against requests or a reload that are lost when file descriptors run out far below the configured number:
// in accept, in dials to backends, and when the configuration is reloaded.
func TestDescriptorExhaustion(t *testing.T) {
	s := startTestEnv(t, defaultLimits, "")
	setDescriptorLimit(t, s.Cmd.Process.Pid, 60)
	stopLoad := s.startLoad(100, func(l *standin.Load) { l.NoKeepAlive = true })
	s.openConnections(400, func(c *standin.Client) { s.lookup(c) })()
	second := standin.NewDiscovery(s.member)
	t.Cleanup(second.Stop)
	second.Open()
	s.node.Discovery = second.Addr()
	if _, err := s.node.Write(s.dir); err != nil {
		t.Fatal(err)
	}
	if err := s.Cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Error(err)
	}
	select {
	case <-second.Watched:
	case <-time.After(waitTimeout):
		t.Error("the reload had no effect: the new discovery address was not watched")
	}
	stopLoad()
	if err := s.Stop(waitTimeout); err != nil {
		t.Error(err)
	}
}

// Guards against an ingress that does not recover when more clients connect at once than the listen queue holds,
// while the program is suspended.
func TestListenQueueOverflow(t *testing.T) {
	s := startTestEnv(t, defaultLimits, "")
	if err := s.Cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Error(err)
	}
	var tried sync.WaitGroup
	for range 5000 {
		tried.Add(1)
		go func() {
			defer tried.Done()
			if nc, err := net.DialTimeout("tcp", s.Addr, 2*time.Second); err == nil {
				s.Cleanup(func() { nc.Close() })
			}
		}()
	}
	tried.Wait()
	if err := s.Cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Error(err)
	}
	s.startLoad(100)()
}

// Guards against connections of unreachable peers, which send nothing and are never closed, that keep other clients
// out.
func TestUnreachablePeers(t *testing.T) {
	s := startTestEnv(t, defaultLimits, "")
	link, err := standin.NewLink(s.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	var clients []*standin.Client
	for n := range 300 {
		c, err := standin.Dial(link.Addr, waitTimeout)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if got := s.lookup(c); got != standin.Served {
			t.Fatalf("client %d: request outcome %v, want served", n, got)
		}
		clients = append(clients, c)
	}
	for n, c := range clients {
		if n%2 == 0 {
			_, _ = c.Write([]byte("*4\r\n$5\r\nQ.AS")) // the ingress may have closed the connection already
		}
	}
	for range 3 {
		c, err := standin.Dial(link.Addr, waitTimeout)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		s.sendHangingPayment(c, 500)
	}
	link.Silence()
	stopLoad := s.startLoad(100)
	s.openConnections(500, func(c *standin.Client) { s.lookup(c) })()
	stopLoad()
}

// Guards against a deadline that is missed while clients close thousands of connections, and against connections
// that hang or requests of other clients that fail meanwhile.
func TestDeadlineIsKeptWhileThousandsClose(t *testing.T) {
	s := startTestEnv(t, standin.Limits{Cores: 1, MemoryMB: 192, Sockets: 8000}, "[door]\nplaces = 6000\n")
	closeAll := make(chan struct{})
	ready := make(chan struct{}, 4000)
	wait := s.openConnections(4000, func(c *standin.Client) {
		s.lookup(c)
		ready <- struct{}{}
		<-closeAll
		c.Close()
	})
	for range 4000 {
		<-ready
	}
	stopLoad := s.startLoad(50)
	c := s.dial()
	s.sendHangingPayment(c, 300)
	close(closeAll)
	if line, err := c.ReadReply(); err != nil || line != "-ERR failed" {
		t.Errorf("at its deadline the request got the response %q, %v", line, err)
	}
	wait()
	stopLoad()
}

// Guards against a drain that loses an open request, or does not close each of thousands of idle connections
// cleanly, after SIGTERM.
func TestDrainClosesIdleConnectionsAndAnswersOpenRequests(t *testing.T) {
	s := startTestEnv(t, standin.Limits{Cores: 1, MemoryMB: 192, Sockets: 8000}, "[door]\nplaces = 6000\n")
	var clean, other atomic.Int32
	ready := make(chan struct{}, 3000)
	wait := s.openConnections(3000, func(c *standin.Client) {
		s.lookup(c)
		ready <- struct{}{}
		if c.ExpectClosed() == nil {
			clean.Add(1)
		} else {
			other.Add(1)
		}
	})
	for range 3000 {
		<-ready
	}
	open := s.dial()
	s.sendHangingPayment(open, 1000)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(waitTimeout) }()
	if line, err := open.ReadReply(); err != nil || line != "-ERR failed" {
		t.Errorf("the open request got the response %q, %v", line, err)
	}
	wait()
	if other.Load() > 0 {
		t.Errorf("%d connections were closed cleanly, %d were not", clean.Load(), other.Load())
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against clients that never read their responses and so delay others or use unbounded memory.
func TestSlowReadersDoNotDelayOthers(t *testing.T) {
	s := startTestEnv(t, defaultLimits, "")
	stopLoad := s.startLoad(100)
	var ended atomic.Int32
	s.openConnections(5, func(c *standin.Client) {
		if err := c.Conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
			t.Error(err)
		}
		// Nothing is ever read. Once the ingress has closed the connection, a write fails.
		for {
			if err := c.Send(standin.Lookup(largeValueCustomer, standin.NewID(), int(clientDeadline.Milliseconds()))...); err != nil {
				if !errors.Is(err, os.ErrDeadlineExceeded) {
					ended.Add(1)
				}
				return
			}
			time.Sleep(10 * time.Millisecond) // slowly, so as not to be refused for overload
		}
	})()
	stopLoad()
	if ended.Load() != 5 {
		t.Errorf("%d of 5 connections of clients that read nothing were closed", ended.Load())
	}
	if u, err := s.Usage(); err != nil || u.Resident > 64<<20 {
		t.Errorf("resident memory is %d MB, want 64 MB at most (%v)", u.Resident>>20, err)
	}
}
