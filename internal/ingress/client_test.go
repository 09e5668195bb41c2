package ingress

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"wickarch/internal/reactor"
	"wickarch/internal/resp"
)

func TestRequestIsForwardedUnchangedExceptTimeLimit(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, nil, b.member("b"))
	c := r.dial()
	c.send("q.do", someCustomer, someID, "k=abc,"+payment+",r=1", "BODY")
	got := wait(t, "the request", b.Got)
	var limit int
	if _, err := fmt.Sscanf(got.Args[3], "k=abc,c=payment,t=basic,d=%d,units=1,spread=1,first=0,r=1", &limit); err != nil {
		t.Errorf("options %q: %v", got.Args[3], err)
	}
	if limit <= 0 || limit >= 20000 {
		t.Errorf("the backend's time limit is %d ms, want less than the client's 20000", limit)
	}
	got.Args[3] = ""
	if want := fmt.Sprint([]string{"q.do", someCustomer, someID, "", "BODY"}); fmt.Sprint(got.Args) != want {
		t.Errorf("the backend got %v, want %s", got.Args, want)
	}
	got.Answer("done")
	c.want("$4\r\ndone")
}

func TestPipelinedCommandsStartAtOnceAndAreAnsweredInOrder(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, nil, b.member("b"))
	c := r.dial()
	c.write(encode("Q.ASK", someCustomer, "0000000000000001", lookup) +
		encode("Q.ASK", someCustomer, "0000000000000002", lookup) + encode("PING"))
	one, two := wait(t, "a request", b.Got), wait(t, "the request behind it", b.Got)
	if one.Args[2] > two.Args[2] {
		one, two = two, one
	}
	two.Answer("second")
	one.Answer("first")
	c.want("$5\r\nfirst")
	c.want("$6\r\nsecond")
	c.want("+PONG")
}

func TestInvalidCommandsAreAnsweredAndNotForwarded(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, nil, b.member("b"))
	ask := func(from, to string) []string {
		if !strings.Contains(lookup, from) {
			t.Fatalf("%q is not in the options", from)
		}
		return []string{"Q.ASK", someCustomer, someID, strings.Replace(lookup, from, to, 1)}
	}
	for _, words := range [][]string{
		{"GET", "x"},
		{"Q.ASK"},
		{"Q.ASK", someCustomer, someID, lookup, "BODY"},
		{"Q.ASK", someCustomer, lookup},
		{"Q.DO", someCustomer, someID, payment},
		{"Q.ASK", "00000000b4d6552", someID, lookup},
		{"Q.ASK", "00000000b4d6552x", someID, lookup},
		{"Q.ASK", "ffffffffffffffff", someID, lookup},
		{"Q.ASK", someCustomer, "", lookup},
		{"Q.ASK", someCustomer, "+b1f03aa5c7e2d41", lookup},
		ask("lookup", "order"), ask("basic", "team"),
		ask("d=20000", "d=NaN"), ask("d=20000", "d=1e4"), ask("d=20000", "d=0"), ask("d=20000", "d=-5"), ask("d=20000", "d="),
		ask("units=1", "units=-1"), ask("units=1", "units=0"), ask("units=1", "units=2"), ask("units=1", "units=1e0"),
		ask("units=1", "units=0x1"), ask("units=1", "units=1."), ask("units=1", "units=many"), ask(",units=1", ""),
		ask("spread=1", "spread=x"), ask("spread=1", "spread=0"), ask("spread=1", "spread=2"), ask("spread=1", "spread=+1"), ask(",spread=1", ""),
		ask("first=0", "first=1"), ask("first=0", "first=-1"), ask("first=0", "first=0.0"), ask(",first=0", ""),
		ask("first=0", "first=0,r=2"), ask("first=0", "first=0,r=x"), ask("first=0", "first=0,r="),
		ask("first=0", "first=0,units=1"), ask("first=0", "first=0,c=lookup"), ask("first=0", "first=0,d=5"),
		{"Q.ASK", someCustomer, someID, "c=lookup,t=basic"},
		{"Q.ASK", someCustomer, someID, "c=lookup,,"},
		{"Q.ASK", someCustomer, someID, ""},
		{"Q.ASK", someCustomer, someID, payment},
		{"Q.DO", someCustomer, someID, lookup, "BODY"},
	} {
		c := r.dial()
		c.send(words...)
		if got := c.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("reply to %.80q is %q, want -ERR", words, got)
		}
		c.send("PING") // the connection still serves
		c.want("+PONG")
		c.nc.Close()
	}
	wantNone(t, "a forwarded request", b.Got)
	r.onLoop(func(l *loop) {
		if len(l.requests) > 0 || l.lastID > 0 {
			t.Error("the gateway received an invalid request")
		}
	})
}

// Guards against a client that takes the CPU of the others by sending invalid commands as fast as they are rejected.
func TestConnectionEndsAfterTooManyInvalidCommands(t *testing.T) {
	r := newRig(t, nil, newBackend(t).member("b"))
	c := r.dial()
	c.write(strings.Repeat(encode("GET", "x"), 1000))
	for n := 1; ; n++ {
		got := c.line()
		if !strings.HasPrefix(got, "-ERR ") || n > maxInvalidCommands {
			t.Fatalf("reply %d is %q", n, got)
		}
		if n == maxInvalidCommands {
			break
		}
	}
	if _, err := c.in.ReadByte(); err == nil {
		t.Error("the connection is still open")
	}
}

// Request ids are new for every try. A copy of an open request comes from a stranger, who must not get the value
// made for that request.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, nil, b.member("b"))
	c, stranger := r.dial(), r.dial()
	c.send("Q.ASK", someCustomer, someID, lookup)
	got := wait(t, "the request", b.Got)
	stranger.send("Q.ASK", someCustomer, someID, lookup)
	if got := stranger.line(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("reply to the duplicate is %q, want -ERR", got)
	}
	got.Answer("v")
	c.want("$1\r\nv")
	stranger.send("Q.ASK", someCustomer, someID, lookup) // nor shortly after the request has ended
	if got := stranger.line(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("reply to the late duplicate is %q, want -ERR", got)
	}
	wantNone(t, "a forwarded duplicate", b.Got)
}

// Guards against clients that keep a descriptor forever by sending nothing, or half a command.
func TestSilentClientsAndPartialCommandsTimeOut(t *testing.T) {
	r := newRig(t, nil, newBackend(t).member("b"))
	silent, half, asked := r.dial(), r.dial(), r.dial()
	half.write("*2\r\n$4\r\nPI")
	asked.send("PING")
	asked.want("+PONG")
	for name, c := range map[string]*fakeClient{"silent": silent, "half": half} {
		if got := c.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%s: reply %q, want -ERR", name, got)
		}
		c.wantEnd()
	}
	asked.send("PING") // silent for just as long, but it has sent a command
	asked.want("+PONG")
	asked.write("*1\r\n$4\r\nPI")
	if got := asked.line(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("reply to half a command behind a complete one is %q, want -ERR", got)
	}
	asked.wantEnd()
}

// Malformed frames must end only their own connection, after an error reply. A command that is too long is rejected
// by its length line: waiting for 60 MB that arrive slowly would hold the connection for as long.
func TestBrokenFramesEndOnlyTheirConnection(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, nil, b.member("b"))
	other := r.dial()
	for _, text := range []string{
		"GET / HTTP/1.1\r\n\r\n",
		"$4\r\nPING\r\n",
		"*x\r\n",
		"*-1\r\n",
		"*1\r\n:4\r\n",
		"*1\r\n$-2\r\n",
		"*1\r\n$9223372036854775807\r\nx\r\n",
		"*1\r\n$4\r\nPINGxx\r\n",
		"*99\r\n",
		"*1\n",
		"*" + strings.Repeat("1", 20),
		"*1\r\n$+4\r\nPING\r\n",
		"*1\r\n$-1\r\n",
		"*2\r\n$4\r\nPING\r\n$60000000\r\n",
		fmt.Sprintf("*5\r\n$4\r\nQ.DO\r\n$%d\r\n", resp.MaxValue+1),
	} {
		c := r.dial()
		c.send("PING")
		c.want("+PONG")
		c.write(text)
		if got := c.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("reply to %.40q is %q, want -ERR", text, got)
		}
		c.wantEnd()
	}
	other.send("PING")
	other.want("+PONG")
}

func TestPingFailsUntilBackendsAreKnown(t *testing.T) {
	b := newBackend(t)
	d := newFakeDiscovery(t, b.member("b"))
	r := startRig(t, d, nil)
	c := r.dial()
	c.send("PING")
	if got := c.line(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("reply to PING before backends are known is %q, want -ERR", got)
	}
	d.Open()
	wait(t, "a watch", d.Watched)
	r.onLoop(func(*loop) {}) // everything before the watch has been processed
	c.send("PING")
	c.want("+PONG")
}

func TestConfiguredBackendsServeWhileDiscoveryIsDown(t *testing.T) {
	b := newBackend(t)
	d := newFakeDiscovery(t)
	addr := d.Addr()
	d.Close()
	r := startRig(t, d, func(cfg *Config) {
		cfg.Discovery = addr
		cfg.CachedMembers = MemberList{Complete: true, Members: []Member{b.member("b")}}
	})
	c := r.dial()
	for line := ""; line != "+PONG"; {
		c.send("PING")
		line = c.line()
	}
	c.send("Q.ASK", someCustomer, newID(), lookup)
	wait(t, "the request", b.Got).Answer("v")
	c.want("$1\r\nv")
}

// Guards against attempts that go on after their client has disconnected.
func TestDisconnectEndsAttempts(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, nil, b.member("b"))
	c := r.dial()
	c.send("Q.DO", someCustomer, newID(), payment, "BODY")
	got := wait(t, "the request", b.Got)
	c.nc.Close()
	if nc := wait(t, "the end of the attempt", b.Closed); nc != got.Conn {
		t.Error("the wrong connection ended")
	}
	r.eventually("the request to be forgotten", func(l *loop) bool { return len(l.requests) == 0 })
}

func TestRefusalCarriesRetryAdvice(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Plans[0].CeilingRate, cfg.Choice.Plans[0].CeilingBurst = 1e-9, 1 }, b.member("b"))
	c := r.dial()
	c.send("Q.DO", someCustomer, newID(), payment, "BODY")
	var ms int
	if got := c.line(); !strings.HasPrefix(got, "-BUSY ") {
		t.Errorf("reply above the ceiling is %q, want -BUSY", got)
	} else if _, err := fmt.Sscanf(got, "-BUSY %d", &ms); err != nil || ms <= 0 || ms > 1000 {
		t.Errorf("retry advice of %d ms, error %v", ms, err)
	}
	wantNone(t, "a forwarded request", b.Got)
}

// Guards against open requests that exhaust the memory of the process: requests beyond the limit are refused.
func TestRequestsBeyondMemoryLimitAreRefused(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, nil, b.member("b"))
	r.onLoop(func(l *loop) { l.memory.limit = 3000 + requestBytes })
	c := r.dial()
	body := strings.Repeat("x", 2000)
	c.send("Q.DO", someCustomer, newID(), payment, body)
	first := wait(t, "the request", b.Got)
	c.send("Q.DO", someCustomer, newID(), payment, body)
	c.send("PING")
	r.eventually("the commands to be read", func(*loop) bool {
		pending := 0
		for _, c := range r.server.front.clients {
			pending = max(pending, c.pending)
		}
		return pending == 3
	})
	first.Answer("v")
	c.want("$1\r\nv")
	c.want("-BUSY")
	c.want("+PONG")
	r.eventually("all memory to be released", func(l *loop) bool { return l.memory.used == 0 })
	c.send("Q.DO", someCustomer, newID(), payment, body)
	wait(t, "a request after the first one has ended", b.Got).Answer("w")
	c.want("$1\r\nw")
}

// Guards against a reset that destroys the last reply, when a command crosses the end of its connection.
func TestCommandCrossingTheEndLeavesLastReplyIntact(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, nil, b.member("b"))
	c := r.dial()
	c.send("Q.DO", someCustomer, newID(), payment, "BODY")
	got := wait(t, "the request", b.Got)
	over := make(chan struct{})
	defer close(over)
	r.server.waitForLateClients = func() { <-over }
	r.stop()
	r.eventually("the drain", func(*loop) bool {
		return r.server.front.draining
	})
	got.Answer("last")
	for ended := false; !ended; {
		r.countClients(func(c *client) { ended = ended || c.lingerUntil > 0 })
	}
	c.send("PING")
	c.want("$4\r\nlast")
	c.wantEnd()
}

func TestStopAnswersOpenRequestsAndClosesIdleConnections(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, nil, b.member("b"))
	quiet, busy := r.dial(), r.dial()
	quiet.send("PING")
	quiet.want("+PONG")
	busy.send("Q.DO", someCustomer, newID(), payment, "BODY")
	got := wait(t, "the request", b.Got)
	over := make(chan struct{})
	r.server.waitForLateClients = func() { <-over }
	r.stop()
	quiet.wantEnd()
	late := r.dial() // new clients still arrive for a while
	late.send("Q.DO", someCustomer, newID(), payment, "BODY")
	second := wait(t, "a request after the stop", b.Got)
	second.Answer("late")
	late.want("$4\r\nlate")
	late.wantEnd()
	close(over)
	for addr := r.server.Addr(); ; { // until no further client is accepted
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			break
		}
		nc.Close()
	}
	got.Answer("v") // the ingress still waits for it
	busy.want("$1\r\nv")
	busy.wantEnd()
	if err := wait(t, "the end", r.ended); err != nil {
		t.Error(err)
	}
}

// Guards against a drain that ends a connection while commands beyond its limit of pending ones are read but not
// started.
func TestStopAnswersCommandsHeldBack(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, nil, b.member("b"))
	c := r.dial()
	const sent = maxPending + 72
	var all strings.Builder
	for range sent {
		all.WriteString(encode("Q.ASK", someCustomer, newID(), lookup))
	}
	c.write(all.String())
	r.eventually("the limit of pending commands to be reached", func(*loop) (yes bool) {
		for _, c := range r.server.front.clients {
			yes = c.pending == maxPending && c.hasBacklog
		}
		return yes
	})
	over := make(chan struct{})
	defer close(over)
	r.server.waitForLateClients = func() { <-over }
	r.stop()
	r.eventually("the drain", func(*loop) bool {
		return r.server.front.draining
	})
	go func() {
		for {
			select {
			case got := <-b.Got:
				got.Answer("v")
			case <-b.Opened: // the fake backend's channels hold fewer events
			case <-b.Closed:
			case <-over:
				return
			}
		}
	}()
	for n := range sent {
		if got := c.line(); got != "$1\r\nv" && !strings.HasPrefix(got, "-BUSY") {
			t.Fatalf("reply %d is %q", n, got)
		}
	}
	c.wantEnd()
}

// At the limit of descriptors the connection that has been idle for longest must make room for a new one; a
// connection with an open request must not.
func TestIdleClientMakesRoomForANewOne(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Limits.Sockets = 4 }, b.member("b")) // two for clients
	for r.countClients(nil) > 0 {                                               // until the rig's own connection is closed
	}
	busy := r.dial()
	busy.send("Q.ASK", someCustomer, newID(), lookup)
	got := wait(t, "the request", b.Got)
	quiet := r.dial()
	quiet.send("PING")
	quiet.want("+PONG")
	third := r.dial()
	third.send("PING")
	third.want("+PONG")
	quiet.wantEnd()
	got.Answer("v")
	busy.want("$1\r\nv")
}

func TestRequestIsAnsweredBeforeItsClientGivesUp(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, nil, b.member("b"))
	c := r.dial()
	asked := time.Now()
	c.send("Q.DO", someCustomer, newID(), strings.Replace(payment, "d=20000", "d=2000", 1), "BODY")
	got := wait(t, "the request", b.Got)
	c.want("-ERR failed")
	if took := time.Since(asked); took < 1500*time.Millisecond {
		t.Errorf("failed after %v, want at least 1.5s", took)
	}
	if nc := wait(t, "the end of the attempt", b.Closed); nc != got.Conn {
		t.Error("the wrong connection ended")
	}
	c.send("PING") // no second reply was sent
	c.want("+PONG")
}

// A request must get one final answer, even if the gateway gives several.
func TestSecondAnswerIsDropped(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, nil, b.member("b"))
	c := r.dial()
	c.write(encode("Q.ASK", someCustomer, newID(), lookup) + encode("Q.ASK", someCustomer, newID(), lookup))
	one, two := wait(t, "a request", b.Got), wait(t, "another", b.Got)
	r.onLoop(func(l *loop) { // the second reply waits for the first, so it is still unwritten at both answers
		l.Fail(2)
		l.Refuse(2, 0)
		l.deliverAnswers()
	})
	one.Answer("v")
	two.Answer("v")
	c.want("$1\r\nv")
	c.want("-ERR failed")
	c.send("PING")
	c.want("+PONG")
}

func TestConfigurationIsChecked(t *testing.T) {
	for name, text := range map[string]string{
		"no JSON": "{", "no settings": `{"name":"n"}`, "bad seed": `{"seed":"x","settings":` + fmt.Sprintf(settings, 1) + `}`,
	} {
		if _, err := ParseConfig([]byte(text)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := LoadConfig(func(string) string { return "" }); err == nil {
		t.Error("no error without NODE_CONFIG")
	}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	cfg, err := ParseConfig(fmt.Appendf(nil, `{"settings":%s}`, fmt.Sprintf(settings, 1)))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listen = taken.Addr().String()
	if _, err := Listen(cfg); err == nil {
		t.Error("no error on an address that is taken")
	}
}

// Guards against delays of busy clients when thousands disconnect at once: idle connections are closed in batches,
// with pauses between.
func TestSimultaneousDisconnectsAreClosedInBatches(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	for r.countClients(nil) > 0 { // until the rig's own connection is closed
	}
	const all = 2*closeBatch + 10
	for range all {
		r.dial()
	}
	r.eventually("all connections to be accepted", func(*loop) bool { return len(r.server.front.clients) == all })
	r.server.loop.Do(func() {
		f := r.server.front
		for _, c := range f.clients {
			c.Ready(reactor.Readable | reactor.ReadClosed)
			c.Ready(reactor.ReadClosed) // a repeated event closes it only once
		}
		now := f.loop.Now() + time.Hour
		for _, want := range []int{all, all - closeBatch, all - closeBatch} {
			if len(f.clients) != want {
				t.Errorf("%d connections are open, want %d", len(f.clients), want)
			}
			f.closeQueuedClients(now)
		}
		f.closeBatchAt = 0
	})
	r.eventually("the other connections to be closed", func(*loop) bool { return len(r.server.front.clients) == 0 })
}
