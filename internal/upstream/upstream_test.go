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
	ms       = time.Millisecond
	patience = time.Second
)

// say is a message: a word that the far side answers as it likes.
type say string

func (s say) AppendTo(b []byte, _ time.Duration) []byte { return append(b, s...) }

// far is a backend that the test plays: it keeps what comes and from whom.
type far struct {
	ln    reactor.Listener
	conns []*farConn
	seen  func(*farConn) // something has come
}

type farConn struct {
	reactor.Conn
	far  *far
	got  []byte
	over bool
}

func (f *far) Ready(reactor.Event) {
	for {
		nc, err := f.ln.Accept()
		if err != nil {
			return
		}
		c := &farConn{Conn: nc, far: f}
		f.conns = append(f.conns, c)
		_ = nc.Watch(c)
	}
}

func (c *farConn) Ready(reactor.Event) {
	var buf [4096]byte
	for !c.over {
		n, err := c.Read(buf[:])
		c.got = append(c.got, buf[:n]...)
		if err == reactor.ErrWait {
			break
		}
		c.over = err != nil
	}
	if c.far.seen != nil {
		c.far.seen(c)
	}
}

// answer serves a value.
func answer(v string) []byte {
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(v), v)
}

// bench is a pool on a simulated network, with one backend that the test plays.
type bench struct {
	*testing.T
	*Pool
	net              *simnet.Net
	near             *simnet.Node
	node             *simnet.Node
	far              *far
	ends             []end
	figures          []Reply
	starved, written int
	onEnd            func(end)
	last             *Attempt
}

const backendAddress = "10.0.0.2:7"

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{T: t, net: simnet.New(1), far: &far{}}
	b.net.Faults = simnet.Faults{Latency: ms / 2}
	b.near, b.node = b.net.Node("10.0.0.1"), b.net.Node("10.0.0.2")
	b.node.Start(func(l *reactor.Loop) {
		var err error
		if b.far.ln, err = l.Listen(backendAddress, b.far); err != nil {
			t.Fatal(err)
		}
	})
	b.near.Start(func(l *reactor.Loop) {
		b.Pool = New(Config{MaxConnections: 50, BackendIdleTimeout: 10 * time.Second, ConnectTimeout: 100 * ms, ReportFields: []string{"inflight", "latency_ms"}}, l, b)
		l.Add(b.Pool)
	})
	b.Update(Member{Name: "b", Address: backendAddress, State: choice.Ready})
	return b
}

func (b *bench) Ended(a *Attempt, r Reply, elapsed time.Duration) {
	b.ends = append(b.ends, end{a, r, elapsed})
	if b.onEnd != nil {
		b.onEnd(end{a, r, elapsed})
	}
}

func (b *bench) OutOfDescriptors()      { b.starved++ }
func (b *bench) MayWrite(*Attempt) bool { return true }

func (b *bench) Trailer(_ *Attempt, r Reply) { b.figures = append(b.figures, r) }

func (b *bench) Written(*Attempt) { b.written++ }

// do runs something as a part of the near program's round.
func (b *bench) do(f func()) {
	b.near.Loop.Post(f)
	b.net.Until(b.net.Now() + ms/10)
}

// begin starts an attempt of what can't be repeated.
func (b *bench) begin(word string) *Attempt {
	a := &Attempt{Message: say(word), Backend: 1, Deadline: b.near.Now() + patience}
	b.last = a
	b.do(func() { b.Start(a) })
	return a
}

func (b *bench) run(d time.Duration) { b.net.Until(b.net.Now() + d) }

// want checks the outcomes since the last call.
func (b *bench) want(status ...choice.Status) {
	b.Helper()
	var got []choice.Status
	for _, e := range b.ends {
		got = append(got, e.reply.Status)
	}
	if fmt.Sprint(got) != fmt.Sprint(status) {
		b.Fatalf("outcomes %v, want %v", got, status)
	}
	b.ends = nil
}

// wantGot checks how much came to the backend in all.
func (b *bench) wantGot(text string) {
	b.Helper()
	var all []byte
	for _, c := range b.far.conns {
		all = append(all, c.got...)
	}
	if string(all) != text {
		b.Errorf("the backend got %q, want %q", all, text)
	}
}

func (b *bench) reply(c *farConn, text []byte) {
	b.Helper()
	if _, err := c.Write(text); err != nil {
		b.Fatal(err)
	}
	b.run(3 * ms)
}

func TestOutcomeSaysWhetherTheAttemptMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(b *bench)
		want choice.Status
		got  string
	}{
		{"answered", func(b *bench) { b.run(5 * ms); b.reply(b.far.conns[0], answer("v")) }, choice.OK, "x"},
		{"answered in parts", func(b *bench) {
			b.run(5 * ms)
			b.reply(b.far.conns[0], answer("v")[:6])
			b.reply(b.far.conns[0], answer("v")[6:])
		}, choice.OK, "x"},
		{"answered together with the end", func(b *bench) {
			b.run(5 * ms)
			_, _ = b.far.conns[0].Write(answer("v"))
			b.far.conns[0].CloseWrite()
			b.run(5 * ms)
			if b.Open() != 0 {
				b.Errorf("%d connections are kept", b.Open())
			}
		}, choice.OK, "x"},
		{"answered with a load report", func(b *bench) { b.run(5 * ms); b.reply(b.far.conns[0], []byte("$10\r\ninflight=0\r\n")) }, choice.Error, "x"},
		{"turned away", func(b *bench) { b.run(5 * ms); b.reply(b.far.conns[0], []byte("-BUSY\r\n")) }, choice.Refused, "x"},
		{"turned away twice over", func(b *bench) { b.run(5 * ms); b.reply(b.far.conns[0], []byte("-BUSY\r\n-BU")) }, choice.Refused, "x"},
		{"turned away, and more", func(b *bench) { b.run(5 * ms); b.reply(b.far.conns[0], []byte("-BUSY\r\n*3")) }, choice.Error, "x"},
		{"spoilt", func(b *bench) { b.run(5 * ms); b.reply(b.far.conns[0], []byte("noise")) }, choice.Error, "x"},
		{"reset after the request", func(b *bench) { b.run(5 * ms); b.node.Kill(); b.run(5 * ms) }, choice.Reset, "x"},
		{"ended in the answer", func(b *bench) {
			b.run(5 * ms)
			_, _ = b.far.conns[0].Write(answer("v")[:6])
			b.far.conns[0].Close()
			b.run(5 * ms)
		}, choice.Reset, "x"},
		{"no answer", func(b *bench) { b.run(patience + ms) }, choice.Timeout, "x"},
		{"no end of the answer", func(b *bench) { b.run(5 * ms); b.reply(b.far.conns[0], []byte("*3\r\n")); b.run(answerStall) }, choice.Error, "x"},
		{"called off after the last byte", func(b *bench) { b.run(5 * ms); b.do(func() { b.Abort(b.last) }) }, choice.Cancelled, "x"},
		{"called off while it connects", func(b *bench) { b.do(func() { b.Abort(b.last) }); b.run(5 * ms) }, choice.ConnectFailed, ""},
		{"told to drain while it connects", func(b *bench) {
			b.do(func() { b.Update(Member{Name: "b", State: choice.Draining}) })
			b.run(5 * ms)
		}, choice.ConnectFailed, ""},
		{"ended before the first byte", func(b *bench) {
			b.node.Kill()
			b.run(5 * ms)
		}, choice.ConnectFailed, ""},
		{"no connection", func(b *bench) { b.net.Cut("10.0.0.2", "10.0.0.1"); b.run(200 * ms) }, choice.ConnectFailed, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.begin("x")
			c.do(b)
			b.want(c.want)
			b.wantGot(c.got)
		})
	}
}

// A process that stood still must not act on what it decided before: neither on
// a connection that came up after its time, nor past the attempt's own.
func TestConnectionThatComesUpLateCarriesNothing(t *testing.T) {
	for name, c := range map[string]struct{ pause, before time.Duration }{
		"after the time to connect": {150 * ms, 0},
		"after the time to begin":   {50 * ms, 30 * ms},
	} {
		b := newBench(t)
		a := &Attempt{Message: say("x"), Backend: 1, Deadline: b.near.Now() + patience}
		if c.before > 0 {
			a.WriteBy = b.near.Now() + c.before
		}
		b.do(func() { b.Start(a); b.near.Pause() })
		b.run(c.pause)
		b.near.Resume()
		b.run(10 * ms)
		b.Log(name)
		b.want(choice.ConnectFailed)
		b.wantGot("")
	}
}

// A request of which the last byte was not taken never ran, however its
// connection ends.
func TestAttemptWithoutItsLastByteNeverRan(t *testing.T) {
	for name, end := range map[string]func(*bench){
		"reset":      func(b *bench) { b.node.Kill(); b.run(5 * ms) },
		"answered":   func(b *bench) { b.reply(b.far.conns[0], []byte("-BUSY\r\n")) },
		"called off": func(b *bench) { b.do(func() { b.Abort(b.last) }) },
		"late":       func(b *bench) { b.run(patience) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.net.Faults.Buffer = 10
			b.far.ln.Close() // it takes the connection that waits, and reads nothing
			b.node.Start(func(l *reactor.Loop) { b.far.ln, _ = l.Listen(backendAddress, acceptOnly{b.far}) })
			b.begin(strings.Repeat("x", 11))
			b.run(5 * ms)
			end(b)
			b.want(choice.ConnectFailed)
		})
	}
}

// acceptOnly takes connections and reads nothing.
type acceptOnly struct{ *far }

func (a acceptOnly) Ready(reactor.Event) {
	if nc, err := a.ln.Accept(); err == nil {
		a.conns = append(a.conns, &farConn{Conn: nc, far: a.far})
	}
}

// The rest of a request that was taken in part goes on when there is room.
func TestRequestIsWrittenInParts(t *testing.T) {
	b := newBench(t)
	b.net.Faults.Buffer = 10
	word := strings.Repeat("0123456789", 8) + "!"
	b.begin(word)
	b.run(100 * ms)
	b.wantGot(word)
	b.net.Faults.Buffer = 0
	b.reply(b.far.conns[0], answer("v"))
	b.run(10 * ms)
	b.want(choice.OK)
}

// The connection is closed before the outcome is told: a second attempt must
// not overlap.
func TestConnectionIsClosedBeforeTheOutcomeIsTold(t *testing.T) {
	b := newBench(t)
	open := -1
	b.onEnd = func(end) { open = b.near.Open() }
	b.begin("x")
	b.run(patience + ms)
	b.want(choice.Timeout)
	if open != 0 {
		t.Errorf("%d descriptors were open when the outcome was told", open)
	}
}

// While no descriptor is left a dial is tried again, and clients are told to
// make room; in the end the attempt has not run.
func TestDialWaitsForADescriptor(t *testing.T) {
	b := newBench(t)
	b.near.Files = 1
	b.do(func() { _, _ = b.near.Dial("10.0.0.2:9", nil) }) // takes the only one
	a := b.begin("x")
	b.run(10 * ms)
	if b.starved == 0 || a.conn == nil {
		t.Fatal("nobody was told that descriptors ran out")
	}
	b.near.Files = 2
	b.run(50 * ms)
	b.reply(b.far.conns[0], answer("v"))
	b.want(choice.OK)
	b.near.Files = 1
	b.do(func() { b.Evict() })
	b.begin("y")
	b.run(patience)
	b.want(choice.ConnectFailed)
}

// exchange has one request served with a value.
func (b *bench) exchange(v string) *farConn {
	b.Helper()
	b.begin("x")
	b.run(3 * ms)
	for _, c := range b.far.conns {
		if len(c.got) > 0 && !c.over {
			c.got = nil
			b.reply(c, answer(v))
			b.want(choice.OK)
			return c
		}
	}
	b.Fatal("no request came")
	return nil
}

func TestConnectionRestsBeforeItIsUsedAgain(t *testing.T) {
	b := newBench(t)
	first := b.exchange("1")
	if b.exchange("2") == first {
		t.Error("a connection is used again at once")
	}
	b.run(fullRest)
	if b.exchange("3") != first {
		t.Error("the longest rested is not used again")
	}
}

// A second copy comes behind an answer. Whenever within the time of a rest that
// is, and whatever has been earned, nobody else is served with it.
func TestCopyOfAnAnswerServesNobodyElse(t *testing.T) {
	for _, earned := range []bool{false, true} {
		for after := time.Duration(0); after < fullRest-5*ms; after += 2 * ms {
			b := newBench(t)
			if earned {
				b.earn()
			}
			c := b.exchange("first")
			b.net.After(after, func() { _, _ = c.Write(answer("first")) })
			for n := range 8 {
				// Each next request comes to its connection and is answered a
				// moment later, so that the copy may come in between.
				b.begin("x")
				b.run(2 * ms)
				for _, c := range b.far.conns {
					if len(c.got) > 0 && !c.over {
						c.got = nil
						b.reply(c, answer(fmt.Sprint("next", n)))
					}
				}
			}
			b.run(patience + 10*ms)
			for _, e := range b.ends {
				if bytes.Contains(e.reply.Value, []byte("first")) {
					t.Fatalf("earned %v, after %v: a request is served with the copy of another's answer", earned, after)
				}
			}
			if earned && b.trusted(b.byID[1]) {
				t.Fatalf("after %v: the backend is still trusted", after)
			}
		}
	}
}

// earn has the backend show that nothing comes behind its answers.
func (b *bench) earn() {
	b.Helper()
	for n := 0; !b.trusted(b.byID[1]); n++ {
		if n > 2*usualProof {
			b.Fatal("no trust is earned")
		}
		b.exchange(fmt.Sprint("v", n))
		b.run(fullRest)
	}
}

func TestEarnedConnectionsAreUsedAtOnce(t *testing.T) {
	b := newBench(t)
	b.earn()
	before := b.Open()
	first := b.exchange("1")
	if b.exchange("2") != first {
		t.Error("another connection is used")
	}
	if b.Open() != before {
		t.Errorf("%d connections, before %d", b.Open(), before)
	}
}

// A connection carries no more within the time of a rest than it remembers: the
// first answer of them could come once more.
func TestConnectionCarriesNoMoreThanItRemembers(t *testing.T) {
	b := newBench(t)
	b.earn()
	to := b.byID[1]
	c := to.idle[len(to.idle)-1]
	now := b.near.Now()
	c.since, c.history = now, &history{}
	for n := range historySize {
		c.history.add(uint64(n), now-time.Duration(historySize-n)*ms/2)
	}
	before := len(to.idle)
	if got := b.take(to, now); got == c {
		t.Error("the connection is used though it would forget an answer of 16 ms ago")
	} else if got != nil {
		to.idle = append(to.idle, got)
	}
	if len(to.idle) != before {
		t.Errorf("%d connections are idle, before %d", len(to.idle), before)
	}
	if got := b.take(to, now+fullRest-16*ms); got != c {
		t.Error("the connection is not used though the oldest answer is as old as a rest")
	}
}

func TestAnswersAllAlikeEarnNothing(t *testing.T) {
	b := newBench(t)
	for range 2 * usualProof {
		b.exchange("OK")
		b.run(fullRest)
	}
	if b.trusted(b.byID[1]) {
		t.Error("a copy could not be told from the next answer, and still no rest is kept")
	}
}

// Noise on a connection at rest costs that connection, and the trust in all.
func TestNoiseBetweenRequests(t *testing.T) {
	b := newBench(t)
	b.earn()
	c := b.exchange("1")
	b.reply(c, []byte("noise"))
	if !c.over {
		b.run(5 * ms)
	}
	if !c.over || b.trusted(b.byID[1]) {
		t.Errorf("the connection is closed: %v; the backend is trusted: %v", c.over, b.trusted(b.byID[1]))
	}
}

// Answers come in order, so a second request on a busy connection would wait.
func TestConnectionsCarryOneRequestAtATime(t *testing.T) {
	b := newBench(t)
	b.earn()
	b.begin("x")
	b.begin("y")
	b.run(5 * ms)
	busy := 0
	for _, c := range b.far.conns {
		if !c.over && len(c.got) > 0 {
			busy++
		}
	}
	if busy != 2 {
		t.Errorf("two requests are out on %d connections", busy)
	}
}

// A request on a connection that the backend has closed would be a reset, and
// lost if unsafe: a closed one is noticed while idle, and in the moment before.
func TestClosedConnectionCarriesNothing(t *testing.T) {
	for wait := time.Duration(0); wait < 3*ms; wait += ms / 8 {
		b := newBench(t)
		c := b.exchange("1")
		b.run(fullRest)
		c.Close()
		b.run(wait)
		b.begin("x")
		b.run(5 * ms)
		for _, far := range b.far.conns[1:] {
			b.reply(far, answer("2"))
		}
		b.run(5 * ms)
		// Only an end that has not come yet can't be seen.
		if len(b.ends) == 0 || b.ends[0].reply.Status != choice.OK && wait > ms/2 {
			t.Errorf("%v after the end: %+v", wait, b.ends)
		}
	}
}

// While kept connections are reset at their next request, a payment on one
// would be lost: it goes on a new one, that is not kept.
func TestPaymentAvoidsKeptConnectionsWhileTheyAreReset(t *testing.T) {
	b := newBench(t)
	c := b.exchange("1")
	b.run(fullRest)
	b.begin("x")
	b.run(2 * ms)
	c.Close()
	c.over = true
	b.run(2 * ms)
	b.want(choice.Reset)
	kept := b.exchange("2")
	if !kept.over {
		t.Error("the connection of the payment is kept")
	}
	b.do(func() {
		b.Start(&Attempt{Message: say("l"), Backend: 1, Repeatable: true, Deadline: b.near.Now() + patience})
	})
	b.run(3 * ms)
	last := b.far.conns[len(b.far.conns)-1]
	b.reply(last, answer("3"))
	b.want(choice.OK)
	b.run(fullRest)
	if b.Reusable() != 1 || last.over {
		t.Error("the connection of a lookup is not kept")
	}
}

func TestIdleConnectionIsDroppedBeforeTheBackendCloses(t *testing.T) {
	b := newBench(t)
	b.exchange("1")
	b.run(time.Duration(idleShare * 10 * float64(time.Second)))
	if b.Open() != 0 {
		t.Error("the connection stays open")
	}
}

func TestConnectionToADrainingBackendIsNotKept(t *testing.T) {
	b := newBench(t)
	b.begin("x")
	b.run(3 * ms)
	b.do(func() { b.Update(Member{Name: "b", State: choice.Draining}) })
	b.reply(b.far.conns[0], answer("1"))
	b.want(choice.OK)
	if b.Open() != 0 {
		t.Error("the connection is kept")
	}
}

func TestIdleConnectionMakesRoomForAnother(t *testing.T) {
	b := newBench(t)
	b.cfg.MaxConnections = 1
	first := b.exchange("1")
	b.begin("x") // the first rests still
	b.run(5 * ms)
	if !first.over || len(b.far.conns) != 2 {
		t.Errorf("the idle connection has ended: %v; %d connections came", first.over, len(b.far.conns))
	}
	b.begin("y") // no room, and nothing idle
	b.want(choice.ConnectFailed)
}

func TestAnswersAreUnderstood(t *testing.T) {
	p := newBench(t).Pool
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
		// figures that can't be read, or beyond reason, are left out; the value stays
		{"*3\r\n$1\r\nv\r\n$8\r\nused=-37\r\n$-1\r\n", Reply{Status: choice.OK, Value: []byte("v")}},
		{"*3\r\n$1\r\nv\r\n$8\r\nused=1e9\r\n$-1\r\n", Reply{Status: choice.OK, Value: []byte("v")}},
		{"*3\r\n$1\r\nv\r\n$11\r\nused=999999\r\n$-1\r\n", Reply{Status: choice.OK, Value: []byte("v")}},
		{"*3\r\n$1\r\nv\r\n$14\r\nused=37,cost=x\r\n$-1\r\n", Reply{Status: choice.OK, Value: []byte("v")}},
		{"$26\r\ninflight=7,latency_ms=-1.5\r\n", Reply{Status: choice.OK}},
		{"$25\r\ninflight=7,inflight=77.00\r\n", Reply{Status: choice.OK}},
		{"$10\r\ninflight=7\r\n", Reply{Status: choice.OK}},
		{"$31\r\ninflight=7000000,latency_ms=1.5\r\n", Reply{Status: choice.OK}},
		// a spoilt line proves nothing
		{"-BUSY \x01\xff\r\n", Reply{Status: choice.Error}},
		{"-BUSYx\r\n", Reply{Status: choice.Error}},
		{"-ERR failed\r\n", Reply{Status: choice.Error}},
		{"-ERR failed used=120 inflight=7,latency_ms=12.5\r\n", Reply{Status: choice.Error, Metered: true, Used: 1.2, Load: load}},
		{"-BUSY\r\n", Reply{Status: choice.Refused}},
		{"-BUSY used=5,cost=4\r\n", Reply{Status: choice.Refused, Metered: true, Used: 0.05}},
		{"-BUSY used=x\r\n", Reply{Status: choice.Refused}},
		{"-\r\n", Reply{Status: choice.Error}},
		{"+OK\r\n", Reply{Status: choice.Error}},
		{":1\r\n", Reply{Status: choice.Error}},
		{"$-1\r\n", Reply{Status: choice.Error}},
		{"$26\r\ninflight=7,latency_ms=12.5\r\n", Reply{Status: choice.OK, Load: load}},
	} {
		for cut := range c.text {
			if _, n, err := p.nextReply([]byte(c.text[:cut])); n != 0 || err != nil {
				t.Errorf("%q: %d bytes taken, %v", c.text[:cut], n, err)
			}
		}
		got, n, err := p.nextReply([]byte(c.text))
		if err != nil || n != len(c.text) || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%q is understood as %+v (%d bytes, %v), want %+v", c.text, got, n, err, c.want)
		}
	}
	for _, text := range []string{"$9223372036854775807\r\nxx\r\n", "*1\r\n", "*3\r\n$x", "*3\r\n$3000000000", "*3\r\n$4194305\r\n",
		"*3\r\n$1\r\nvv\r\n", "*3\r\n*1\r\n", "*-1\r\n", "*3\r\n$-2", "*3\r\n$1\r\nv\r\n$9999\r\n", "*3\r\n$1\r\nv\r\nx", "\x00", "noise",
		"+OK\n", "-" + strings.Repeat("x", resp.MaxLine)} {
		if _, _, err := p.nextReply([]byte(text)); err == nil {
			t.Errorf("%.40q: no error", text)
		}
	}
}

// What is withdrawn before its last byte is written never ran, and speaks against no backend; what was
// written goes on.
func TestWithdrawnAttemptsNeverRan(t *testing.T) {
	for name, before := range map[string]func(*bench) *Attempt{
		"connecting": func(b *bench) *Attempt { return b.begin("x") },
		"no descriptor": func(b *bench) *Attempt {
			b.near.Files = 1
			b.do(func() { _, _ = b.near.Dial("10.0.0.2:9", nil) }) // takes the only one
			return b.begin("x")
		},
		"half written": func(b *bench) *Attempt {
			a := b.begin(strings.Repeat("x", 1<<20))
			b.run(2 * ms)
			return a
		},
	} {
		b := newBench(t)
		a := before(b)
		if b.written != 0 {
			t.Fatalf("%s: it was written", name)
		}
		b.do(func() { b.Withdraw(a); b.Withdraw(a) })
		b.want(choice.Unsent)
		if b.Open() != 0 {
			t.Errorf("%s: %d connections stay", name, b.Open())
		}
	}
	b := newBench(t)
	a := b.begin("x")
	b.run(5 * ms)
	b.do(func() { b.Withdraw(a) })
	b.want()
	b.run(2 * patience)
	b.want(choice.Timeout)
}

// A backend begins with the last byte: a repeat that is dropped for a time only must be
// whole before that is over, not only begun.
func TestAttemptHalfWrittenPastItsTimeNeverRuns(t *testing.T) {
	b := newBench(t)
	a := &Attempt{Message: say(strings.Repeat("x", 1<<20)), Backend: 1, Deadline: b.near.Now() + patience, WriteBy: b.near.Now() + 3*ms}
	b.do(func() { b.Start(a) })
	b.run(2 * ms)
	if len(b.far.conns) != 1 || len(b.far.conns[0].got) == 0 {
		t.Fatal("it has not begun")
	}
	b.run(patience / 2)
	b.want(choice.ConnectFailed)
	if b.written != 0 {
		t.Error("it was written whole")
	}
	whole := &Attempt{Message: say("x"), Backend: 1, Deadline: b.near.Now() + patience, WriteBy: b.near.Now() + 3*ms}
	b.do(func() { b.Start(whole) })
	b.run(10 * ms) // its answer may come later
	b.reply(b.far.conns[1], answer("v"))
	b.want(choice.OK)
}

// The backend that shares an address is found among those there, whatever else has come, gone or moved.
func TestSharingLooksAtTheAddressAlone(t *testing.T) {
	b := newBench(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		m := Member{Name: fmt.Sprint(rng.IntN(12)), Address: fmt.Sprint("10.0.0.", rng.IntN(6), ":7"), StartedAt: rng.Int64N(4),
			State: []choice.State{choice.Ready, choice.Ready, choice.Draining, choice.Removed}[rng.IntN(4)]}
		if rng.IntN(50) == 0 {
			b.RemoveUnlisted(map[string]bool{"1": true, "2": true, "7": true})
		}
		b.Update(m)
		var want Member
		any := false
		for _, o := range b.byName { // as it was found before: among all
			if o.name != m.Name && o.addr == m.Address && !o.stopped && (!any || o.name < want.Name) {
				want, any = Member{Name: o.name, Address: o.addr, StartedAt: o.since}, true
			}
		}
		if got, found := b.OtherAtAddress(m); got != want || found != any {
			t.Fatalf("%v shares with %v (%v), want %v (%v)", m, got, found, want, any)
		}
		at := 0
		for addr, all := range b.byAddr {
			if at += len(all); len(all) == 0 {
				t.Fatalf("%s is kept with nobody there", addr)
			}
		}
		if at != len(b.byName) {
			t.Fatalf("%d are at addresses, %d have names", at, len(b.byName))
		}
	}
}

// BenchmarkSharing measures the look for another backend at an address, once a member of each list.
func BenchmarkSharing(b *testing.B) {
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

// Half a line that a backend sends on a connection at rest, whenever that is about
// the next request or the connection's end, is no answer: not with what the
// connection's next answer begins with, either. What came whole to the backend may have run.
func TestHalfALineAnswersNothing(t *testing.T) {
	for _, half := range []string{"-BUSY", "-BUSY ", "-BUSY used=3", "-ERR fail", "*3\r\n$9\r\nwro", "*3\r\n$4\r\n", "$9\r\ninfl", "$", "+"} {
		for _, about := range []string{"the next request", "the end at rest", "the news of a drain"} {
			for after := -2 * ms; after <= 2*ms; after += ms / 8 {
				b := newBench(t)
				c := b.exchange("first")
				b.run(2 * fullRest)
				at := b.net.Now() + 5*ms
				if about == "the end at rest" {
					at = b.net.Now() - 2*fullRest + time.Duration(idleShare*10*float64(time.Second))
				}
				b.net.After(at+after-b.net.Now()-b.net.Faults.Latency, func() { _, _ = c.Write([]byte(half)) })
				b.net.Until(at)
				if about == "the news of a drain" {
					b.do(func() { b.Update(Member{Name: "b", State: choice.Draining}) })
					b.run(10 * ms)
					b.do(func() { b.Update(Member{Name: "b", State: choice.Ready}) })
				}
				ran := false
				b.far.seen = func(c *farConn) {
					if string(c.got) == "payment" && !c.over {
						c.got, ran = nil, true
						_, _ = c.Write(answer("right"))
					}
				}
				b.begin("payment")
				b.run(patience + 10*ms)
				if len(b.ends) != 1 {
					t.Fatalf("%q %v after %s: %d outcomes", half, after, about, len(b.ends))
				}
				switch r := b.ends[0].reply; {
				case r.Status == choice.OK && string(r.Value) != "right":
					t.Errorf("%q %v after %s: served with %q", half, after, about, r.Value)
				case ran && (r.Status == choice.Refused || r.Status == choice.ConnectFailed):
					t.Errorf("%q %v after %s: it ran, and ends as %v", half, after, about, r.Status)
				}
				if about != "the next request" && b.ends[0].reply.Status != choice.OK {
					t.Errorf("%q %v after %s: the next request ends as %v", half, after, about, b.ends[0].reply.Status)
				}
			}
		}
	}
}

// At its time a connection is closed only behind a look for what has come since the
// poller was asked: the close would take the answer with it.
func TestAnswerThatCameInTimeIsReadBeforeTheClose(t *testing.T) {
	for name, text := range map[string]string{"whole": string(answer("v")), "begun before": string(answer("v"))[6:]} {
		b := newBench(t)
		a := b.begin("x")
		b.run(5 * ms)
		if name != "whole" {
			b.reply(b.far.conns[0], answer("v")[:6])
		}
		b.near.Pause() // its poller tells nothing
		_, _ = b.far.conns[0].Write([]byte(text))
		b.run(2 * patience)
		a.conn.Ring()
		b.near.Resume()
		b.run(5 * ms)
		b.Log(name)
		b.want(choice.OK)
	}
}
