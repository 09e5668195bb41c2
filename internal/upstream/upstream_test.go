package upstream

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"wickarch/choice"
	"wickarch/internal/reactor"
	"wickarch/internal/reactor/simnet"
	"wickarch/internal/resp"
)

const (
	ms             = time.Millisecond
	requestTimeout = time.Second
)

// message is a Message of fixed text.
type message string

func (s message) AppendTo(b []byte, _ time.Duration) []byte { return append(b, s...) }

// testBackend is a backend that records what it receives; the test writes its replies.
type testBackend struct {
	ln     reactor.Listener
	conns  []*backendConn
	onData func(*backendConn) // called after each event of a connection
}

type backendConn struct {
	reactor.Conn
	backend *testBackend
	got     []byte
	closed  bool // the pool has ended the connection
}

func (f *testBackend) Ready(reactor.Event) {
	for {
		nc, err := f.ln.Accept()
		if err != nil {
			return
		}
		c := &backendConn{Conn: nc, backend: f}
		f.conns = append(f.conns, c)
		_ = nc.Watch(c)
	}
}

func (c *backendConn) Ready(reactor.Event) {
	var buf [4096]byte
	for !c.closed {
		n, err := c.Read(buf[:])
		c.got = append(c.got, buf[:n]...)
		if err == reactor.ErrWouldBlock {
			break
		}
		c.closed = err != nil
	}
	if c.backend.onData != nil {
		c.backend.onData(c)
	}
}

// valueReply returns a reply with a value and without reports.
func valueReply(value string) []byte {
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// testbed is a pool on a simulated network, with one backend played by the test.
type testbed struct {
	*testing.T
	*Pool
	net                       *simnet.Net
	ingressNode               *simnet.Node
	backendNode               *simnet.Node
	backend                   *testBackend
	outcomes                  []outcome
	trailers                  []Reply
	outOfDescriptors, written int
	onOutcome                 func(outcome)
	lastAttempt               *Attempt
}

const backendAddress = "10.0.0.2:7"

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	b := &testbed{T: t, net: simnet.New(1), backend: &testBackend{}}
	b.net.Faults = simnet.Faults{Latency: ms / 2}
	b.ingressNode, b.backendNode = b.net.Node("10.0.0.1"), b.net.Node("10.0.0.2")
	b.backendNode.Start(func(l *reactor.Loop) {
		var err error
		if b.backend.ln, err = l.Listen(backendAddress, b.backend); err != nil {
			t.Fatal(err)
		}
	})
	b.ingressNode.Start(func(l *reactor.Loop) {
		b.Pool = New(Config{MaxConnections: 50, BackendIdleTimeout: 10 * time.Second, ConnectTimeout: 100 * ms,
			ReportFields: []string{"inflight", "latency_ms"}}, l, b)
		l.Add(b.Pool)
	})
	b.Update(Member{Name: "b", Address: backendAddress, State: choice.Ready})
	return b
}

func (b *testbed) Ended(a *Attempt, r Reply, elapsed time.Duration) {
	b.outcomes = append(b.outcomes, outcome{a, r, elapsed})
	if b.onOutcome != nil {
		b.onOutcome(outcome{a, r, elapsed})
	}
}

func (b *testbed) OutOfDescriptors()      { b.outOfDescriptors++ }
func (b *testbed) MayWrite(*Attempt) bool { return true }

func (b *testbed) Trailer(_ *Attempt, r Reply) { b.trailers = append(b.trailers, r) }

func (b *testbed) Written(*Attempt) { b.written++ }

// inLoop runs f in a round of the ingress's loop.
func (b *testbed) inLoop(f func()) {
	b.ingressNode.Loop.Post(f)
	b.net.RunUntil(b.net.Now() + ms/10)
}

// begin starts an attempt that is not repeatable.
func (b *testbed) begin(text string) *Attempt {
	a := &Attempt{Message: message(text), Backend: 1, Deadline: b.ingressNode.Now() + requestTimeout}
	b.lastAttempt = a
	b.inLoop(func() { b.Start(a) })
	return a
}

func (b *testbed) run(d time.Duration) { b.net.RunUntil(b.net.Now() + d) }

// wantStatuses checks the outcomes since the last call.
func (b *testbed) wantStatuses(statuses ...choice.Status) {
	b.Helper()
	var got []choice.Status
	for _, o := range b.outcomes {
		got = append(got, o.reply.Status)
	}
	if fmt.Sprint(got) != fmt.Sprint(statuses) {
		b.Fatalf("outcomes %v, want %v", got, statuses)
	}
	b.outcomes = nil
}

// wantReceived checks all that the backend has received, over all connections.
func (b *testbed) wantReceived(text string) {
	b.Helper()
	var all []byte
	for _, c := range b.backend.conns {
		all = append(all, c.got...)
	}
	if string(all) != text {
		b.Errorf("the backend received %q, want %q", all, text)
	}
}

// reply has the backend write text on a connection.
func (b *testbed) reply(c *backendConn, text []byte) {
	b.Helper()
	if _, err := c.Write(text); err != nil {
		b.Fatal(err)
	}
	b.run(3 * ms)
}

// Guards against an attempt that may have run but ends as one that never ran, which would be retried, and the
// reverse.
func TestOutcomeTellsWhetherTheAttemptMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(b *testbed)
		want choice.Status
		got  string
	}{
		{"complete reply", func(b *testbed) { b.run(5 * ms); b.reply(b.backend.conns[0], valueReply("v")) }, choice.OK, "x"},
		{"reply in parts", func(b *testbed) {
			b.run(5 * ms)
			b.reply(b.backend.conns[0], valueReply("v")[:6])
			b.reply(b.backend.conns[0], valueReply("v")[6:])
		}, choice.OK, "x"},
		{"reply together with the connection's end", func(b *testbed) {
			b.run(5 * ms)
			_, _ = b.backend.conns[0].Write(valueReply("v"))
			b.backend.conns[0].CloseWrite()
			b.run(5 * ms)
			if b.Open() != 0 {
				b.Errorf("%d connections stay open, want 0", b.Open())
			}
		}, choice.OK, "x"},
		{"load report as the reply", func(b *testbed) {
			b.run(5 * ms)
			b.reply(b.backend.conns[0], []byte("$10\r\ninflight=0\r\n"))
		}, choice.Error, "x"},
		{"refusal", func(b *testbed) { b.run(5 * ms); b.reply(b.backend.conns[0], []byte("-BUSY\r\n")) }, choice.Refused, "x"},
		{"refusal and part of a copy", func(b *testbed) {
			b.run(5 * ms)
			b.reply(b.backend.conns[0], []byte("-BUSY\r\n-BU"))
		}, choice.Refused, "x"},
		{"refusal and other bytes", func(b *testbed) { b.run(5 * ms); b.reply(b.backend.conns[0], []byte("-BUSY\r\n*3")) }, choice.Error, "x"},
		{"malformed reply", func(b *testbed) { b.run(5 * ms); b.reply(b.backend.conns[0], []byte("noise")) }, choice.Error, "x"},
		{"reset after the request", func(b *testbed) { b.run(5 * ms); b.backendNode.Kill(); b.run(5 * ms) }, choice.Reset, "x"},
		{"end within the reply", func(b *testbed) {
			b.run(5 * ms)
			_, _ = b.backend.conns[0].Write(valueReply("v")[:6])
			b.backend.conns[0].Close()
			b.run(5 * ms)
		}, choice.Reset, "x"},
		{"no reply", func(b *testbed) { b.run(requestTimeout + ms) }, choice.Timeout, "x"},
		{"incomplete reply", func(b *testbed) {
			b.run(5 * ms)
			b.reply(b.backend.conns[0], []byte("*3\r\n"))
			b.run(replyStallTimeout)
		}, choice.Error, "x"},
		{"abort after the last byte", func(b *testbed) { b.run(5 * ms); b.inLoop(func() { b.Abort(b.lastAttempt) }) }, choice.Cancelled, "x"},
		{"abort while connecting", func(b *testbed) { b.inLoop(func() { b.Abort(b.lastAttempt) }); b.run(5 * ms) }, choice.ConnectFailed, ""},
		{"drain while connecting", func(b *testbed) {
			b.inLoop(func() { b.Update(Member{Name: "b", State: choice.Draining}) })
			b.run(5 * ms)
		}, choice.ConnectFailed, ""},
		{"end before the first byte", func(b *testbed) {
			b.backendNode.Kill()
			b.run(5 * ms)
		}, choice.ConnectFailed, ""},
		{"connect timeout", func(b *testbed) { b.net.Partition("10.0.0.2", "10.0.0.1"); b.run(200 * ms) }, choice.ConnectFailed, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t)
			b.begin("x")
			c.do(b)
			b.wantStatuses(c.want)
			b.wantReceived(c.got)
		})
	}
}

// After a stall, the process must not send an attempt that is outdated: neither on a
// connection established after its timeout, nor past the attempt's WriteBy.
func TestLateConnectionCarriesNothing(t *testing.T) {
	for name, c := range map[string]struct{ pause, writeWithin time.Duration }{
		"after the connect timeout": {150 * ms, 0},
		"after WriteBy":             {50 * ms, 30 * ms},
	} {
		b := newTestbed(t)
		a := &Attempt{Message: message("x"), Backend: 1, Deadline: b.ingressNode.Now() + requestTimeout}
		if c.writeWithin > 0 {
			a.WriteBy = b.ingressNode.Now() + c.writeWithin
		}
		b.inLoop(func() { b.Start(a); b.ingressNode.Pause() })
		b.run(c.pause)
		b.ingressNode.Resume()
		b.run(10 * ms)
		b.Log(name)
		b.wantStatuses(choice.ConnectFailed)
		b.wantReceived("")
	}
}

// A request whose last byte was not written never ran, however its connection ends.
func TestAttemptWithoutItsLastByteNeverRan(t *testing.T) {
	for name, end := range map[string]func(*testbed){
		"reset":      func(b *testbed) { b.backendNode.Kill(); b.run(5 * ms) },
		"replied to": func(b *testbed) { b.reply(b.backend.conns[0], []byte("-BUSY\r\n")) },
		"aborted":    func(b *testbed) { b.inLoop(func() { b.Abort(b.lastAttempt) }) },
		"timed out":  func(b *testbed) { b.run(requestTimeout) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			b.net.Faults.Buffer = 10
			b.backend.ln.Close() // the new one takes the connection, and reads nothing
			b.backendNode.Start(func(l *reactor.Loop) { b.backend.ln, _ = l.Listen(backendAddress, acceptOnly{b.backend}) })
			b.begin(strings.Repeat("x", 11))
			b.run(5 * ms)
			end(b)
			b.wantStatuses(choice.ConnectFailed)
		})
	}
}

// acceptOnly accepts connections and reads nothing.
type acceptOnly struct{ *testBackend }

func (a acceptOnly) Ready(reactor.Event) {
	if nc, err := a.ln.Accept(); err == nil {
		a.conns = append(a.conns, &backendConn{Conn: nc, backend: a.testBackend})
	}
}

// A request that the socket takes in part is continued when the socket takes more.
func TestRequestIsWrittenInParts(t *testing.T) {
	b := newTestbed(t)
	b.net.Faults.Buffer = 10
	text := strings.Repeat("0123456789", 8) + "!"
	b.begin(text)
	b.run(100 * ms)
	b.wantReceived(text)
	b.net.Faults.Buffer = 0
	b.reply(b.backend.conns[0], valueReply("v"))
	b.run(10 * ms)
	b.wantStatuses(choice.OK)
}

// Guards against a retry that overlaps with the attempt before it: the connection is
// closed before the outcome is reported.
func TestConnectionIsClosedBeforeTheOutcomeIsReported(t *testing.T) {
	b := newTestbed(t)
	open := -1
	b.onOutcome = func(outcome) { open = b.ingressNode.OpenDescriptors() }
	b.begin("x")
	b.run(requestTimeout + ms)
	b.wantStatuses(choice.Timeout)
	if open != 0 {
		t.Errorf("%d descriptors were open when the outcome was reported, want 0", open)
	}
}

// While no descriptor is left, a dial is retried and the sink is asked to free one; at
// the deadline the attempt ends as one that never ran.
func TestDialWaitsForADescriptor(t *testing.T) {
	b := newTestbed(t)
	b.ingressNode.MaxDescriptors = 1
	b.inLoop(func() { _, _ = b.ingressNode.Dial("10.0.0.2:9", nil) }) // uses the only descriptor
	a := b.begin("x")
	b.run(10 * ms)
	if b.outOfDescriptors == 0 || a.conn == nil {
		t.Fatal("the sink was not told that descriptors ran out, or the attempt does not wait")
	}
	b.ingressNode.MaxDescriptors = 2
	b.run(50 * ms)
	b.reply(b.backend.conns[0], valueReply("v"))
	b.wantStatuses(choice.OK)
	b.ingressNode.MaxDescriptors = 1
	b.inLoop(func() { b.Evict() })
	b.begin("y")
	b.run(requestTimeout)
	b.wantStatuses(choice.ConnectFailed)
}

// exchange sends one request, replies to it with a value and returns the connection.
func (b *testbed) exchange(value string) *backendConn {
	b.Helper()
	b.begin("x")
	b.run(3 * ms)
	for _, c := range b.backend.conns {
		if len(c.got) > 0 && !c.closed {
			c.got = nil
			b.reply(c, valueReply(value))
			b.wantStatuses(choice.OK)
			return c
		}
	}
	b.Fatal("the backend received no request")
	return nil
}

// Guards against reuse within the cooldown, where a late copy of the reply could still arrive.
func TestConnectionIsReusedAfterItsCooldown(t *testing.T) {
	b := newTestbed(t)
	first := b.exchange("1")
	if b.exchange("2") == first {
		t.Error("a connection is reused within its cooldown")
	}
	b.run(reuseCooldown)
	if b.exchange("3") != first {
		t.Error("the longest idle connection is not reused after the cooldown")
	}
}

// A backend sends a second copy of a reply. At whatever time within the cooldown it
// arrives, and whether or not the backend is trusted, it must not be taken for the
// reply to another request.
func TestCopyOfAReplyIsNotTakenForAnother(t *testing.T) {
	for _, isTrusted := range []bool{false, true} {
		for after := time.Duration(0); after < reuseCooldown-5*ms; after += 2 * ms {
			b := newTestbed(t)
			if isTrusted {
				b.earnTrust()
			}
			c := b.exchange("first")
			b.net.After(after, func() { _, _ = c.Write(valueReply("first")) })
			for n := range 8 {
				// Each further request gets its reply a moment after it was
				// received, so that the copy may arrive in between.
				b.begin("x")
				b.run(2 * ms)
				for _, c := range b.backend.conns {
					if len(c.got) > 0 && !c.closed {
						c.got = nil
						b.reply(c, valueReply(fmt.Sprint("next", n)))
					}
				}
			}
			b.run(requestTimeout + 10*ms)
			for _, o := range b.outcomes {
				if bytes.Contains(o.reply.Value, []byte("first")) {
					t.Fatalf("trusted %v, copy after %v: it is taken for the reply to another request", isTrusted, after)
				}
			}
			if isTrusted && b.trusted(b.byID[1]) {
				t.Fatalf("copy after %v: the backend is still trusted", after)
			}
		}
	}
}

// earnTrust exchanges requests until the backend is trusted.
func (b *testbed) earnTrust() {
	b.Helper()
	for n := 0; !b.trusted(b.byID[1]); n++ {
		if n > 2*defaultTrustThreshold {
			b.Fatal("the backend is not trusted after twice the threshold")
		}
		b.exchange(fmt.Sprint("v", n))
		b.run(reuseCooldown)
	}
}

func TestTrustedConnectionIsReusedAtOnce(t *testing.T) {
	b := newTestbed(t)
	b.earnTrust()
	before := b.Open()
	first := b.exchange("1")
	if b.exchange("2") != first {
		t.Error("another connection is used than the one used last")
	}
	if b.Open() != before {
		t.Errorf("%d connections are open, before %d", b.Open(), before)
	}
}

// A connection must not carry more replies within a cooldown than its history holds: a
// copy of a reply that was dropped from the history could still arrive.
func TestConnectionCarriesNoMoreThanItsHistoryHolds(t *testing.T) {
	b := newTestbed(t)
	b.earnTrust()
	target := b.byID[1]
	c := target.idle[len(target.idle)-1]
	now := b.ingressNode.Now()
	c.idleSince, c.history = now, &history{}
	for n := range historySize {
		c.history.add(uint64(n), now-time.Duration(historySize-n)*ms/2)
	}
	before := len(target.idle)
	if got := b.takeIdle(target, now); got == c {
		t.Error("the connection is used though its history would drop a reply of 16 ms ago")
	} else if got != nil {
		target.idle = append(target.idle, got)
	}
	if len(target.idle) != before {
		t.Errorf("%d connections are idle, before %d", len(target.idle), before)
	}
	if got := b.takeIdle(target, now+reuseCooldown-16*ms); got != c {
		t.Error("the connection is not used though the oldest reply is as old as the cooldown")
	}
}

// While replies are equal, a copy can't be told from the next reply.
func TestEqualRepliesEarnNoTrust(t *testing.T) {
	b := newTestbed(t)
	for range 2 * defaultTrustThreshold {
		b.exchange("OK")
		b.run(reuseCooldown)
	}
	if b.trusted(b.byID[1]) {
		t.Error("the backend is trusted though all its replies are equal")
	}
}

// Unsolicited bytes on an idle connection close it, and all backends lose their trust.
func TestUnsolicitedBytesOnAnIdleConnection(t *testing.T) {
	b := newTestbed(t)
	b.earnTrust()
	c := b.exchange("1")
	b.reply(c, []byte("noise"))
	if !c.closed {
		b.run(5 * ms)
	}
	if !c.closed || b.trusted(b.byID[1]) {
		t.Errorf("the connection is closed: %v, want true; the backend is trusted: %v, want false", c.closed, b.trusted(b.byID[1]))
	}
}

// Replies come in order, so a second request on a busy connection would wait for the first.
func TestConnectionsCarryOneRequestAtATime(t *testing.T) {
	b := newTestbed(t)
	b.earnTrust()
	b.begin("x")
	b.begin("y")
	b.run(5 * ms)
	busy := 0
	for _, c := range b.backend.conns {
		if !c.closed && len(c.got) > 0 {
			busy++
		}
	}
	if busy != 2 {
		t.Errorf("two requests are in flight on %d connections, want 2", busy)
	}
}

// A request written to a connection that the backend has closed ends as a reset, and is
// lost if it is not repeatable: a closed connection must be noticed while it is idle,
// and just before the request is written.
func TestClosedConnectionCarriesNothing(t *testing.T) {
	for wait := time.Duration(0); wait < 3*ms; wait += ms / 8 {
		b := newTestbed(t)
		c := b.exchange("1")
		b.run(reuseCooldown)
		c.Close()
		b.run(wait)
		b.begin("x")
		b.run(5 * ms)
		for _, peer := range b.backend.conns[1:] {
			b.reply(peer, valueReply("2"))
		}
		b.run(5 * ms)
		// Only an end that has not arrived yet can't be noticed.
		if len(b.outcomes) == 0 || b.outcomes[0].reply.Status != choice.OK && wait > ms/2 {
			t.Errorf("request %v after the connection's end: outcomes %+v, want OK", wait, b.outcomes)
		}
	}
}

// While reused connections are often reset at their next request, a payment would be
// lost on one: it uses a new connection, which is closed afterwards.
func TestPaymentAvoidsReuseWhileConnectionsAreReset(t *testing.T) {
	b := newTestbed(t)
	c := b.exchange("1")
	b.run(reuseCooldown)
	b.begin("x")
	b.run(2 * ms)
	c.Close()
	c.closed = true
	b.run(2 * ms)
	b.wantStatuses(choice.Reset)
	single := b.exchange("2")
	if !single.closed {
		t.Error("the connection of the payment stays open")
	}
	b.inLoop(func() {
		b.Start(&Attempt{Message: message("l"), Backend: 1, Repeatable: true, Deadline: b.ingressNode.Now() + requestTimeout})
	})
	b.run(3 * ms)
	last := b.backend.conns[len(b.backend.conns)-1]
	b.reply(last, valueReply("3"))
	b.wantStatuses(choice.OK)
	b.run(reuseCooldown)
	if b.Reusable() != 1 || last.closed {
		t.Error("the connection of a repeatable request does not stay open")
	}
}

func TestIdleConnectionIsClosedBeforeTheBackendClosesIt(t *testing.T) {
	b := newTestbed(t)
	b.exchange("1")
	b.run(time.Duration(idleTimeoutShare * 10 * float64(time.Second)))
	if b.Open() != 0 {
		t.Error("the connection stays open past its share of the backend's idle timeout")
	}
}

func TestConnectionToADrainingBackendIsClosedAfterTheReply(t *testing.T) {
	b := newTestbed(t)
	b.begin("x")
	b.run(3 * ms)
	b.inLoop(func() { b.Update(Member{Name: "b", State: choice.Draining}) })
	b.reply(b.backend.conns[0], valueReply("1"))
	b.wantStatuses(choice.OK)
	if b.Open() != 0 {
		t.Error("the connection stays open")
	}
}

func TestIdleConnectionIsEvictedForANewOne(t *testing.T) {
	b := newTestbed(t)
	b.cfg.MaxConnections = 1
	first := b.exchange("1")
	b.begin("x") // the first is still in its cooldown
	b.run(5 * ms)
	if !first.closed || len(b.backend.conns) != 2 {
		t.Errorf("the idle connection was closed: %v, want true; %d connections were accepted, want 2", first.closed, len(b.backend.conns))
	}
	b.begin("y") // the limit is reached, and no connection is idle
	b.wantStatuses(choice.ConnectFailed)
}

func TestRepliesAreParsed(t *testing.T) {
	p := newTestbed(t).Pool
	load := choice.Load{N: 2, Values: [4]float64{7, 12.5}}
	for _, c := range []struct {
		text string
		want Reply
	}{
		{"*3\r\n$1\r\nv\r\n$7\r\nused=37\r\n$-1\r\n", Reply{Status: choice.OK, Value: []byte("v"), Metered: true, Used: 0.37}},
		{"*3\r\n$0\r\n\r\n$-1\r\n$26\r\nlatency_ms=12.5,inflight=7\r\n",
			Reply{Status: choice.OK, Value: []byte{}, Load: load}},
		{"*3\r\n$-1\r\n$6\r\nused=0\r\n$-1\r\n", Reply{Status: choice.Error, Metered: true}},
		{"*3\r\n$1\r\nv\r\n:5\r\n+x\r\n", Reply{Status: choice.OK, Value: []byte("v")}},
		// reports that can't be parsed or are out of range are left out; the value stays
		{"*3\r\n$1\r\nv\r\n$8\r\nused=-37\r\n$-1\r\n", Reply{Status: choice.OK, Value: []byte("v")}},
		{"*3\r\n$1\r\nv\r\n$8\r\nused=1e9\r\n$-1\r\n", Reply{Status: choice.OK, Value: []byte("v")}},
		{"*3\r\n$1\r\nv\r\n$11\r\nused=999999\r\n$-1\r\n", Reply{Status: choice.OK, Value: []byte("v")}},
		{"*3\r\n$1\r\nv\r\n$14\r\nused=37,cost=x\r\n$-1\r\n", Reply{Status: choice.OK, Value: []byte("v")}},
		{"$26\r\ninflight=7,latency_ms=-1.5\r\n", Reply{Status: choice.OK}},
		{"$25\r\ninflight=7,inflight=77.00\r\n", Reply{Status: choice.OK}},
		{"$10\r\ninflight=7\r\n", Reply{Status: choice.OK}},
		{"$31\r\ninflight=7000000,latency_ms=1.5\r\n", Reply{Status: choice.OK}},
		// a corrupted line does not prove a refusal
		{"-BUSY \x01\xff\r\n", Reply{Status: choice.Error}},
		{"-BUSYx\r\n", Reply{Status: choice.Error}},
		{"-ERR failed\r\n", Reply{Status: choice.Error}},
		{"-ERR failed used=120 inflight=7,latency_ms=12.5\r\n", Reply{Status: choice.Error, Metered: true, Used: 1.2, Load: load}},
		{"-BUSY\r\n", Reply{Status: choice.Refused}},
		{"-BUSY used=5,cost=4\r\n", Reply{Status: choice.Refused, Metered: true, Used: 0.05}},
		{"-BUSY used=x\r\n", Reply{Status: choice.Refused}},
		{"-BUSY used=5 inflight=7,latency_ms=12.5\r\n", Reply{Status: choice.Refused, Metered: true, Used: 0.05, Load: load}},
		// nor does a line with anything but reports after its first word
		{"-BUSY used=5 x3\r\n", Reply{Status: choice.Error, Metered: true, Used: 0.05}},
		{"-BUSY used=5,\r\n", Reply{Status: choice.Error}},
		{"-BUSY used=5*3\r\n", Reply{Status: choice.Error, merged: true}},
		{"-BUSY used=5 *3\r\n", Reply{Status: choice.Error, merged: true}},
		{"-\r\n", Reply{Status: choice.Error}},
		{"+OK\r\n", Reply{Status: choice.Error}},
		{":1\r\n", Reply{Status: choice.Error}},
		{"$-1\r\n", Reply{Status: choice.Error}},
		{"$26\r\ninflight=7,latency_ms=12.5\r\n", Reply{Status: choice.OK, Load: load}},
	} {
		for cut := range c.text {
			if _, n, err := p.parseReply([]byte(c.text[:cut])); n != 0 || err != nil {
				t.Errorf("incomplete %q: parseReply consumes %d bytes, %v; want 0 and no error", c.text[:cut], n, err)
			}
		}
		got, n, err := p.parseReply([]byte(c.text))
		if err != nil || n != len(c.text) || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%q is parsed as %+v (%d bytes, %v), want %+v", c.text, got, n, err, c.want)
		}
	}
	for _, text := range []string{"$9223372036854775807\r\nxx\r\n", "*1\r\n", "*3\r\n$x", "*3\r\n$3000000000", "*3\r\n$4194305\r\n",
		"*3\r\n$1\r\nvv\r\n", "*3\r\n*1\r\n", "*-1\r\n", "*3\r\n$-2", "*3\r\n$1\r\nv\r\n$9999\r\n", "*3\r\n$1\r\nv\r\nx", "\x00", "noise",
		"+OK\n", "-" + strings.Repeat("x", resp.MaxLine)} {
		if _, _, err := p.parseReply([]byte(text)); err == nil {
			t.Errorf("malformed %.40q: no error", text)
		}
	}
}

// An attempt that is withdrawn before its last byte is written never ran, and must not count against its
// backend; one that was written goes on.
func TestWithdrawnAttemptsNeverRan(t *testing.T) {
	for name, prepare := range map[string]func(*testbed) *Attempt{
		"connecting": func(b *testbed) *Attempt { return b.begin("x") },
		"no descriptor": func(b *testbed) *Attempt {
			b.ingressNode.MaxDescriptors = 1
			b.inLoop(func() { _, _ = b.ingressNode.Dial("10.0.0.2:9", nil) }) // uses the only descriptor
			return b.begin("x")
		},
		"half written": func(b *testbed) *Attempt {
			a := b.begin(strings.Repeat("x", 1<<20))
			b.run(2 * ms)
			return a
		},
	} {
		b := newTestbed(t)
		a := prepare(b)
		if b.written != 0 {
			t.Fatalf("%s: the attempt was written before it is withdrawn", name)
		}
		b.inLoop(func() { b.Withdraw(a); b.Withdraw(a) })
		b.wantStatuses(choice.Unsent)
		if b.Open() != 0 {
			t.Errorf("%s: %d connections stay open, want 0", name, b.Open())
		}
	}
	b := newTestbed(t)
	a := b.begin("x")
	b.run(5 * ms)
	b.inLoop(func() { b.Withdraw(a) })
	b.wantStatuses()
	b.run(2 * requestTimeout)
	b.wantStatuses(choice.Timeout)
}

// A backend runs a request once its last byte has arrived. A retry of a request that backends deduplicate
// for a limited time must therefore be written completely by WriteBy, not only begun.
func TestAttemptHalfWrittenAtWriteByNeverRuns(t *testing.T) {
	b := newTestbed(t)
	a := &Attempt{Message: message(strings.Repeat("x", 1<<20)), Backend: 1,
		Deadline: b.ingressNode.Now() + requestTimeout, WriteBy: b.ingressNode.Now() + 3*ms}
	b.inLoop(func() { b.Start(a) })
	b.run(2 * ms)
	if len(b.backend.conns) != 1 || len(b.backend.conns[0].got) == 0 {
		t.Fatal("no part of the attempt was written")
	}
	b.run(requestTimeout / 2)
	b.wantStatuses(choice.ConnectFailed)
	if b.written != 0 {
		t.Error("the attempt was written completely")
	}
	small := &Attempt{Message: message("x"), Backend: 1, Deadline: b.ingressNode.Now() + requestTimeout, WriteBy: b.ingressNode.Now() + 3*ms}
	b.inLoop(func() { b.Start(small) })
	b.run(10 * ms) // past WriteBy: only the reply may come later
	b.reply(b.backend.conns[1], valueReply("v"))
	b.wantStatuses(choice.OK)
}

// Guards against a stale index of addresses, after backends were added, removed or have moved.
func TestOtherAtAddressMatchesASearchOverAll(t *testing.T) {
	b := newTestbed(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		m := Member{Name: fmt.Sprint(rng.IntN(12)), Address: fmt.Sprint("10.0.0.", rng.IntN(6), ":7"), StartedAt: rng.Int64N(4),
			State: []choice.State{choice.Ready, choice.Ready, choice.Draining, choice.Removed}[rng.IntN(4)]}
		if rng.IntN(50) == 0 {
			b.RemoveUnlisted(map[string]bool{"1": true, "2": true, "7": true})
		}
		b.Update(m)
		var want Member
		wantFound := false
		for _, o := range b.byName { // search over all backends
			if o.name != m.Name && o.addr == m.Address && !o.stopped && (!wantFound || o.name < want.Name) {
				want, wantFound = Member{Name: o.name, Address: o.addr, StartedAt: o.startedAt}, true
			}
		}
		if got, found := b.OtherAtAddress(m); got != want || found != wantFound {
			t.Fatalf("OtherAtAddress(%v) = %v, %v; want %v, %v", m, got, found, want, wantFound)
		}
		indexed := 0
		for addr, all := range b.byAddr {
			if indexed += len(all); len(all) == 0 {
				t.Fatalf("the index holds address %s without a backend", addr)
			}
		}
		if indexed != len(b.byName) {
			t.Fatalf("%d backends are indexed by address, %d by name", indexed, len(b.byName))
		}
	}
}

// BenchmarkOtherAtAddress measures the search for another backend at an address, which runs for each member of
// each list from discovery.
func BenchmarkOtherAtAddress(b *testing.B) {
	for _, n := range [...]int{59, 840, 4200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := New(Config{}, nil, nil)
			for i := range n {
				p.Update(Member{Name: fmt.Sprint(i), Address: fmt.Sprint("10.0.0.1:", i), State: choice.Ready})
			}
			for b.Loop() {
				p.OtherAtAddress(Member{Name: "0", Address: "10.0.0.1:0"})
			}
		})
	}
}

// A backend sends half a line on an idle connection, at any time around the next request or the
// connection's end. It must not be taken for a reply, alone or together with the beginning of the next
// reply, and a request that was received completely may have run.
func TestUnsolicitedHalfLineIsNotAReply(t *testing.T) {
	for _, half := range []string{"-BUSY", "-BUSY ", "-BUSY used=3", "-ERR fail", "*3\r\n$9\r\nwro", "*3\r\n$4\r\n", "$9\r\ninfl", "$", "+"} {
		for _, event := range []string{"the next request", "the idle timeout", "the drain"} {
			for after := -2 * ms; after <= 2*ms; after += ms / 8 {
				b := newTestbed(t)
				c := b.exchange("first")
				b.run(2 * reuseCooldown)
				at := b.net.Now() + 5*ms
				if event == "the idle timeout" {
					at = b.net.Now() - 2*reuseCooldown + time.Duration(idleTimeoutShare*10*float64(time.Second))
				}
				b.net.After(at+after-b.net.Now()-b.net.Faults.Latency, func() { _, _ = c.Write([]byte(half)) })
				b.net.RunUntil(at)
				if event == "the drain" {
					b.inLoop(func() { b.Update(Member{Name: "b", State: choice.Draining}) })
					b.run(10 * ms)
					b.inLoop(func() { b.Update(Member{Name: "b", State: choice.Ready}) })
				}
				ran := false
				b.backend.onData = func(c *backendConn) {
					if string(c.got) == "payment" && !c.closed {
						c.got, ran = nil, true
						_, _ = c.Write(valueReply("right"))
					}
				}
				b.begin("payment")
				b.run(requestTimeout + 10*ms)
				if len(b.outcomes) != 1 {
					t.Fatalf("%q %v after %s: %d outcomes, want 1", half, after, event, len(b.outcomes))
				}
				switch r := b.outcomes[0].reply; {
				case r.Status == choice.OK && string(r.Value) != "right":
					t.Errorf("%q %v after %s: the request gets the value %q", half, after, event, r.Value)
				case ran && (r.Status == choice.Refused || r.Status == choice.ConnectFailed):
					t.Errorf("%q %v after %s: the request ran, and ends as %v", half, after, event, r.Status)
				}
				if event != "the next request" && b.outcomes[0].reply.Status != choice.OK {
					t.Errorf("%q %v after %s: the next request ends as %v, want OK", half, after, event, b.outcomes[0].reply.Status)
				}
			}
		}
	}
}

// Guards against a payment that runs twice: a line that a backend begins and breaks off is continued by the
// first line of the next reply, and both together were taken for a refusal when the rest of that reply came later.
func TestHalfLineContinuedByAReplyIsNotARefusal(t *testing.T) {
	halves := []string{"-", "-BUSY", "-BUSY ", "-BUSY\r", "-BUSY used=3", "-BUSY used=3 ", "-BUSY used=3,", "-BUSY used=",
		"-BUSY inflight=7,latency_ms=12 ", "-BUSY used=3 inflight=7,latency_ms=12", "-ERR fail", "-ERR failed used=3 ", "+", "+OK ", ":", "$", "*",
		"*3\r\n$5\r\nwrong\r\n+used=3", "*3\r\n$5\r\nwrong\r\n$-1\r\n+"}
	replies := []string{string(valueReply("right")), "-ERR failed\r\n", "-ERR failed used=3\r\n", "$-1\r\n", ":1\r\n", "+OK\r\n"}
	for _, half := range halves {
		for _, reply := range replies {
			for cut := 1; cut <= len(reply); cut++ {
				for _, pause := range []time.Duration{5 * ms, reuseCooldown + 5*ms} {
					b := newTestbed(t)
					b.backend.onData = func(c *backendConn) {
						if c.closed || len(c.got) == 0 {
							return
						}
						c.got = nil
						_, _ = c.Write([]byte(half + reply[:cut]))
						b.net.After(pause, func() { _, _ = c.Write([]byte(reply[cut:])) })
					}
					b.begin("payment")
					b.run(4 * ms) // less than the pause: what came first is judged alone
					b.run(requestTimeout)
					if len(b.outcomes) != 1 {
						t.Fatalf("%q and %q cut at %d: %d outcomes, want 1", half, reply, cut, len(b.outcomes))
					}
					if r := b.outcomes[0].reply; r.Status != choice.Error && r.Status != choice.Timeout || r.Metered {
						t.Errorf("%q and %q cut at %d: the request ran, and ends as %v, metered %v", half, reply, cut, r.Status, r.Metered)
					}
				}
			}
		}
	}
}

// A line that may hold the beginning of another reply ends its connection: the rest of that reply would be the
// next request's.
func TestConnectionEndsAfterAMergedLine(t *testing.T) {
	for _, line := range []string{"-BUSY used=3 *3\r\n", "-ERR fail*3\r\n", "+OK*3\r\n", ":1*3\r\n"} {
		b := newTestbed(t)
		b.begin("payment")
		b.run(5 * ms)
		b.reply(b.backend.conns[0], []byte(line))
		b.run(5 * ms)
		if o := b.outcomes; len(o) != 1 || o[0].reply.Status != choice.Error || o[0].reply.Cause != CauseMerged {
			t.Errorf("%q: the request ends as %+v, want one error with cause %q", line, o, CauseMerged)
		}
		if b.Open() != 0 {
			t.Errorf("%q: the connection is kept", line)
		}
	}
}

// At its deadline, a connection is closed only after a check for data that has arrived
// since the last poll: the close would drop a reply that arrived in time.
func TestReplyThatArrivedInTimeIsReadBeforeTheClose(t *testing.T) {
	for name, text := range map[string]string{"complete": string(valueReply("v")), "second part": string(valueReply("v"))[6:]} {
		b := newTestbed(t)
		a := b.begin("x")
		b.run(5 * ms)
		if name != "complete" {
			b.reply(b.backend.conns[0], valueReply("v")[:6])
		}
		b.ingressNode.Pause() // no events are delivered
		_, _ = b.backend.conns[0].Write([]byte(text))
		b.run(2 * requestTimeout)
		a.conn.TimerFired()
		b.ingressNode.Resume()
		b.run(5 * ms)
		b.Log(name)
		b.wantStatuses(choice.OK)
	}
}
