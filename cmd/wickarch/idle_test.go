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

// The tests here run the real program on loopback with some thousand
// connections, and judge by what its stand-in clients and backends count.

const (
	patience = 30 * time.Second
	deadline = 10 * time.Second // of usual clients; generous, since no speed is judged
	// prompt is the least time that the admission controller gives a new connection to ask, by
	// default. Held back for longer by a busy machine, a client is owed nothing.
	prompt = 50 * time.Millisecond
)

// site is the program between stand-ins.
type site struct {
	*testing.T
	*standin.Process
	effects   standin.Effects
	discovery *standin.Discovery
	member    standin.Member
	node      standin.Node
	dir       string
	told      sync.Map // by request id, a toldTime
}

// toldTime is the time that an attempt told its backend, and when it came.
type toldTime struct {
	at    time.Time
	limit time.Duration
}

// hole is the customer whose requests backends never answer.
const hole = 666

// large is the customer whose values are of 60 KB.
const large = 777

// unclear is the customer whose requests run and are answered by a refusal with a value behind it.
const unclear = 778

func start(t *testing.T, limits standin.Limits, own string) *site {
	t.Helper()
	s := around(t, limits)
	var program []string
	if own != "" {
		path := s.dir + "/own.toml"
		if err := os.WriteFile(path, []byte(own), 0o600); err != nil {
			t.Fatal(err)
		}
		program = append(program, "-config", path)
	}
	s.begin(program)
	return s
}

// begin starts the program, as the site's ingress from then on.
func (s *site) begin(arguments []string, env ...string) {
	s.Helper()
	var err error
	if s.Process, err = s.node.Start(s.Context(), append([]string{os.Args[0]}, arguments...), s.dir, append(env, asProgram+"=1")...); err != nil {
		s.Fatal(err)
	}
	if err := standin.WaitReady(s.Addr, patience); err != nil {
		s.Fatal(err)
	}
}

// around makes all that stands round an ingress.
func around(t *testing.T, limits standin.Limits) *site {
	t.Helper()
	s := &site{T: t, dir: t.TempDir()}
	work := s.effects.Handler(func() time.Duration { return time.Duration(rand.IntN(5)) * time.Millisecond }, nil)
	backend, err := standin.NewBackend(func(r standin.Received) {
		s.note(r)
		switch r.Args[1] {
		case fmt.Sprintf("%016x", hole):
			s.effects.Record(r.ID())
		case fmt.Sprintf("%016x", large):
			s.effects.Record(r.ID())
			r.Answer(strings.Repeat("x", 60_000))
		case fmt.Sprintf("%016x", unclear):
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

// note keeps the time that an attempt tells.
func (s *site) note(r standin.Received) {
	if len(r.Args) < 4 {
		return
	}
	for _, option := range strings.Split(r.Args[3], ",") {
		if ms, ok := strings.CutPrefix(option, "d="); ok {
			limit, err := time.ParseDuration(ms + "ms")
			if err != nil {
				s.Errorf("an attempt tells d=%q", ms)
			}
			s.told.Store(r.ID(), toldTime{time.Now(), limit})
		}
	}
}

// load begins a steady load of usual clients; the function ends it and judges it.
func (s *site) load(perSecond float64, change ...func(*standin.Load)) func() *standin.Load {
	l := &standin.Load{Addr: s.Addr, PerSecond: perSecond, Payments: 0.3, Deadline: deadline, FirstRequestTimeout: prompt}
	for _, c := range change {
		c(l)
	}
	ctx, stop := context.WithCancel(s.Context())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	return func() *standin.Load {
		s.Helper()
		for end := time.Now().Add(patience); l.Tally().Served < 20 && time.Now().Before(end); { // so that there is something to judge
			time.Sleep(time.Millisecond)
		}
		stop()
		<-done
		t := l.Tally()
		if err := t.Check(); err != nil {
			s.Errorf("usual clients: %v", err)
		}
		if t.Unreached > 0 || t.Failed > 0 {
			s.Errorf("usual clients: %d found no connection, %d failed, of %d", t.Unreached, t.Failed, t.Asked)
		}
		s.once()
		return l
	}
}

// once checks that no payment ran twice.
func (s *site) once() {
	s.Helper()
	for _, id := range s.effects.Duplicates() {
		if standin.PaymentID(id) {
			s.Errorf("payment %s ran %d times", id, s.effects.Count(id))
		}
	}
}

func (s *site) dial() *standin.Client {
	s.Helper()
	c, err := standin.Dial(s.Addr, patience)
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { c.Close() })
	return c
}

// crowd opens connections at the same time; each is handed to use.
func (s *site) crowd(n int, use func(*standin.Client)) (wait func()) {
	var all sync.WaitGroup
	places := make(chan struct{}, 200) // dials at a time
	for range n {
		all.Add(1)
		go func() {
			defer all.Done()
			places <- struct{}{}
			c, err := standin.Dial(s.Addr, patience)
			<-places
			if err != nil {
				return // it does not matter to this client
			}
			s.Cleanup(func() { c.Close() })
			use(c)
		}()
	}
	return all.Wait
}

// asked makes a connection one that has asked.
func (s *site) asked(c *standin.Client) standin.Outcome {
	id := "0" + standin.NewID()[1:] // no payment's, by standin.PaymentID
	return c.Ask(id, standin.Lookup(1, id, int(deadline.Milliseconds()))...)
}

var limits = standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 1024}

func TestSilentCrowdDoesNotKeepUsualClientsOut(t *testing.T) {
	s := start(t, limits, "")
	judge := s.load(100)
	s.crowd(5000, func(*standin.Client) {})()
	judge()
}

// The program does not run for a moment, while the time for the first request
// ends on connections whose requests lie in their sockets, more than the poller
// tells in one round. Its own delay is not put down to these clients.
func TestRequestsThatCameInTimeAreReadAfterAStall(t *testing.T) {
	for _, c := range []struct {
		name, own string
		stall     time.Duration
	}{
		{"places run short", "[door]\nplaces = 620\nspare = 619\nsilent_most_ms = 1500\nsilent_least_ms = 1500\n", 1600 * time.Millisecond},
		{"the first command's time is over", "", 2300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := start(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 1600}, c.own)
			clients := make([]*standin.Client, 600)
			began := time.Now()
			for i := range clients {
				clients[i] = s.dial()
			}
			ids := make([]string, len(clients))
			for i, cl := range clients {
				ids[i] = standin.NewID()
				if i == 0 { // by the answer to the last one all have been accepted
					last := clients[len(clients)-1]
					if err := last.Send("PING"); err != nil {
						t.Fatal(err)
					}
					if line, err := last.ReadReply(); err != nil || line != "+PONG" {
						t.Fatalf("a ping is answered %q, %v", line, err)
					}
					if err := s.Cmd.Process.Signal(syscall.SIGSTOP); err != nil {
						t.Error(err)
					}
				}
				if err := cl.Send(standin.Lookup(1, ids[i], int(deadline.Milliseconds()))...); err != nil {
					t.Fatal(err)
				}
			}
			sent := time.Since(began)
			time.Sleep(c.stall) // the fault itself: a process that does not run
			if err := s.Cmd.Process.Signal(syscall.SIGCONT); err != nil {
				t.Error(err)
			}
			if sent > time.Second {
				t.Skipf("sent within %v: the machine is too slow to judge", sent)
			}
			unread := 0
			for i, cl := range clients {
				if got := cl.Outcome(ids[i]); got != standin.Served && got != standin.Refused {
					unread++
				}
			}
			if unread > 0 {
				t.Errorf("%d of %d requests that came in time were not read", unread, len(clients))
			}
		})
	}
}

// All places are taken by connections at rest when a fleet reconnects.
func TestFleetThatReconnectsFindsPlaces(t *testing.T) {
	s := start(t, limits, "")
	s.crowd(700, func(c *standin.Client) { s.asked(c) })()
	var answered, other atomic.Int32
	s.crowd(300, func(c *standin.Client) {
		// Refused as pressed is an answer too: so many at once is not admission's matter.
		if got := s.asked(c); got == standin.Served || got == standin.Refused {
			answered.Add(1)
		} else {
			other.Add(1)
		}
	})()
	if answered.Load() != 300 {
		t.Errorf("%d of 300 are answered, %d are not", answered.Load(), other.Load())
	}
	s.once()
}

func TestClientsThatAnswerACloseWithTwoMore(t *testing.T) {
	s := start(t, limits, "")
	judge := s.load(100)
	var left atomic.Int32
	left.Store(2000) // bounded: the hydra would never end
	var heads sync.WaitGroup
	var grow func()
	grow = func() {
		defer heads.Done()
		if left.Add(-1) < 0 {
			return
		}
		c, err := standin.Dial(s.Addr, patience)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c.In) // until the ingress ends it
		c.Close()
		heads.Add(2)
		go grow()
		go grow()
	}
	for range 50 {
		heads.Add(1)
		go grow()
	}
	heads.Wait()
	judge()
}

// Clients keep connections and do not notice that the ingress has closed them
// until they send: each asks once more on a new one, and payments run once.
func TestRequestThatCrossesACloseIsServedOnce(t *testing.T) {
	s := start(t, limits, "[door]\nplaces = 200\nuseful = 60\nhigh = 20\nlow = 4\nfloor = 2\nrest_most_ms = 20\nrest_least_ms = 1\n")
	judge := s.load(400, func(l *standin.Load) { l.Payments = 1 })
	for end := time.Now().Add(patience); s.effects.Total() < 1500 && time.Now().Before(end); {
		s.crowd(40, func(c *standin.Client) { s.asked(c) })() // above the high mark, time and again
	}
	l := judge()
	if tally := l.Tally(); tally.Resent == 0 {
		t.Errorf("no request crossed a close: nothing is shown: %+v", tally)
	} else if tally.Served+tally.Refused != tally.Asked {
		t.Errorf("of %d, %d are served and %d refused", tally.Asked, tally.Served, tally.Refused)
	}
}

// Half a command is not idle, though places are short; a byte now and then does
// not make a connection busy for ever.
func TestHalfACommandIsNotIdleAndATrickleIsNotBusy(t *testing.T) {
	s := start(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 100}, "") // 55 places
	id := standin.NewID()
	command := standin.Encode(standin.Lookup(1, id, int(deadline.Milliseconds()))...)
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
		_ = trickle.SetReadDeadline(time.Now().Add(patience))
		_, _ = trickle.In.ReadByte()
	}()
	s.crowd(300, func(c *standin.Client) { s.asked(c) })() // past all places, within the half one's time
	_, _ = half.Write(command[len(command)/2:])            // it may be closed by then, on a late machine
	if time.Since(start) < 2*time.Second {
		if line, err := half.ReadReply(); err != nil || !strings.HasSuffix(line, id) {
			t.Errorf("the command in two halves is answered %q, %v", line, err)
		}
	}
	if took := <-ended; took > 20*time.Second {
		t.Errorf("the trickle was ended after %v", took)
	}
}

// open sends a payment that no backend answers, and waits until it is out.
func (s *site) open(c *standin.Client, ms int) {
	s.Helper()
	for end := time.Now().Add(patience); ; { // refused as pressed, it is asked again
		id := "f" + standin.NewID()[1:]
		if err := c.Send(standin.Payment(hole, id, ms)...); err != nil {
			s.Fatal(err)
		}
		for s.effects.Count(id) == 0 && c.In.Buffered() == 0 {
			_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err := c.In.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) || time.Now().After(end) {
				s.Fatalf("a payment is not sent on: %v", err)
			}
		}
		_ = c.SetReadDeadline(time.Now().Add(patience))
		if s.effects.Count(id) == 1 {
			return
		}
		if line, err := c.ReadReply(); err != nil || time.Now().After(end) {
			s.Fatalf("a payment is answered %q, %v, and never sent on", line, err)
		}
	}
}

func setFiles(t *testing.T, pid int, n uint64) {
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

// Descriptors run out far below what the configuration tells: in accept, in
// dials, and when the configuration is read again.
func TestDescriptorsRunOut(t *testing.T) {
	s := start(t, limits, "")
	setFiles(t, s.Cmd.Process.Pid, 60)
	judge := s.load(100, func(l *standin.Load) { l.NoKeepAlive = true })
	s.crowd(400, func(c *standin.Client) { s.asked(c) })()
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
	case <-time.After(patience):
		t.Error("the reload was lost")
	}
	judge()
	if err := s.Stop(patience); err != nil {
		t.Error(err)
	}
}

// More connect at once than the listener's queue holds, while the program does
// not run at all for a moment.
func TestListenerQueueOverflows(t *testing.T) {
	s := start(t, limits, "")
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
	s.load(100)()
}

// Peers that have vanished say nothing and never end their connections.
func TestPeersThatVanished(t *testing.T) {
	s := start(t, limits, "")
	link, err := standin.NewLink(s.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	var clients []*standin.Client
	for n := range 300 {
		c, err := standin.Dial(link.Addr, patience)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if got := s.asked(c); got != standin.Served {
			t.Fatalf("client %d: %v", n, got)
		}
		clients = append(clients, c)
	}
	for n, c := range clients {
		if n%2 == 0 {
			_, _ = c.Write([]byte("*4\r\n$5\r\nQ.AS")) // some have been closed by then
		}
	}
	for range 3 {
		c, err := standin.Dial(link.Addr, patience)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		s.open(c, 500)
	}
	link.Silence()
	judge := s.load(100)
	s.crowd(500, func(c *standin.Client) { s.asked(c) })()
	judge()
}

// A deadline that falls due while some thousand connections close is kept, and
// all of them see a clean end or a reset, none hangs.
func TestDeadlineWhileThousandsClose(t *testing.T) {
	s := start(t, standin.Limits{Cores: 1, MemoryMB: 192, Sockets: 8000}, "[door]\nplaces = 6000\n")
	closeAll := make(chan struct{})
	ready := make(chan struct{}, 4000)
	wait := s.crowd(4000, func(c *standin.Client) {
		s.asked(c)
		ready <- struct{}{}
		<-closeAll
		c.Close()
	})
	for range 4000 {
		<-ready
	}
	judge := s.load(50)
	c := s.dial()
	s.open(c, 300)
	close(closeAll)
	if line, err := c.ReadReply(); err != nil || line != "-ERR failed" {
		t.Errorf("at its deadline the answer is %q, %v", line, err)
	}
	wait()
	judge()
}

// At SIGTERM thousands of connections at rest are closed; what is open is
// answered, and each of the others sees its end.
func TestDrainEndsThousandsAndAnswersWhatIsOpen(t *testing.T) {
	s := start(t, standin.Limits{Cores: 1, MemoryMB: 192, Sockets: 8000}, "[door]\nplaces = 6000\n")
	var clean, other atomic.Int32
	ready := make(chan struct{}, 3000)
	wait := s.crowd(3000, func(c *standin.Client) {
		s.asked(c)
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
	s.open(open, 1000)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(patience) }()
	if line, err := open.ReadReply(); err != nil || line != "-ERR failed" {
		t.Errorf("the open request is answered %q, %v", line, err)
	}
	wait()
	if other.Load() > 0 {
		t.Errorf("%d connections ended cleanly, %d did not", clean.Load(), other.Load())
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Clients that read nothing hold up nobody, and hold a bounded amount of memory.
func TestSlowReadersHoldUpNobody(t *testing.T) {
	s := start(t, limits, "")
	judge := s.load(100)
	var ended atomic.Int32
	s.crowd(5, func(c *standin.Client) {
		if err := c.Conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
			t.Error(err)
		}
		// Nothing is ever read. Once the ingress has ended the connection a write fails.
		for {
			if err := c.Send(standin.Lookup(large, standin.NewID(), int(deadline.Milliseconds()))...); err != nil {
				if !errors.Is(err, os.ErrDeadlineExceeded) {
					ended.Add(1)
				}
				return
			}
			time.Sleep(10 * time.Millisecond) // slowly: past the pressure that it takes, it would be refused
		}
	})()
	judge()
	if ended.Load() != 5 {
		t.Errorf("%d of 5 that read nothing were ended", ended.Load())
	}
	if u, err := s.Usage(); err != nil || u.Resident > 64<<20 {
		t.Errorf("%d MB are resident, %v", u.Resident>>20, err)
	}
}
