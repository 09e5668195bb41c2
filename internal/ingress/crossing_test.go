package ingress

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"wickarch/choice"
	"wickarch/internal/standin"
)

// stoppedBackend is a backend that stops at a point until the test lets it go on.
func stoppedBackend(t *testing.T, at standin.Point) *fakeBackend {
	t.Helper()
	b, err := standin.NewStoppedBackend(at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	t.Cleanup(b.Go)
	return &fakeBackend{b}
}

// The ways in which a client leaves.
var leaving = map[string]func(net.Conn){
	"end":   func(nc net.Conn) { nc.Close() },
	"reset": func(nc net.Conn) { _ = nc.(*net.TCPConn).SetLinger(0); nc.Close() },
}

// A request whose client has left while it waited must not go on, whether or not
// the settings let work be cancelled: what was not written whole never ran. Nor
// may the end of a client go unnoticed because nothing is read from it.
func TestRequestOfAClientThatLeftWhileItWaitedIsNotSentOn(t *testing.T) {
	for state, s := range map[string]struct {
		at   standin.Point
		more string // behind the request
		slot int    // answers that are due then
	}{
		"connecting":   {standin.Connecting, "", 1},
		"queued":       {standin.Connecting, encode("Q.DO", someCustomer, newID(), payment, "BODY"), 2},
		"not read":     {standin.Connecting, strings.Repeat(encode("PING"), 2*mostPending), mostPending},
		"half written": {standin.HalfRead, "", 1},
	} {
		for way, leave := range leaving {
			for _, cancelling := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, cancelling %v", state, way, cancelling), func(t *testing.T) {
					b := stoppedBackend(t, s.at)
					r := newRig(t, func(cfg *Config) { cfg.Choice.Cancelling, cfg.Choice.Probing = cancelling, false }, b.member("b"))
					c := r.dial()
					c.write(encode("Q.DO", someCustomer, newID(), payment, strings.Repeat("x", 64<<10)) + s.more)
					r.eventually("the request to wait", func(l *loop) bool {
						clients := r.server.front.clients
						return l.pool.Open() > 0 && len(clients) == 1 && clients[0].pending == s.slot
					})
					if s.at == standin.HalfRead {
						wait(t, "half a request", b.Begun())
					}
					leave(c.nc)
					open, answered := -1, uint64(0)
					r.eventually("the client's end to be seen", func(l *loop) bool {
						open = l.pool.Open()
						answered = l.figures.classes[1].Failure + l.figures.classes[1].Busy
						return len(r.server.front.clients) == 0
					})
					if answered != 0 {
						t.Fatal("it was seen only when the request's own time was up")
					}
					if open != 0 {
						t.Fatalf("%d attempts go on though their client has left", open)
					}
					b.Go()
					other := newID()
					r.dial().send("Q.DO", someCustomer, other, payment, "BODY")
					if got := wait(t, "another's request", b.Got); got.ID() != other {
						t.Errorf("the backend got %s of the client that had left", got.ID())
					}
					wantNone(t, "a request of the client that had left", b.Got)
				})
			}
		}
	}
}

// Connections that wait in the listener's queue are taken before it ends, also
// where no place is free: their requests would be reset with them.
func TestStopTakesTheConnectionsThatWait(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	places := r.server.front.admission
	held := r.dial() // in the only place
	held.send("PING")
	held.want("+PONG")
	r.eventually("the other connection to be gone", func(*loop) bool { return len(r.server.front.clients) == 1 })
	var clients []*fakeClient
	r.onLoop(func(l *loop) { // nothing is taken meanwhile
		if places.Shrink(); places.HasRoom() {
			t.Error("there is a free place")
		}
		for range 5 {
			c := r.dial()
			c.send("Q.ASK", someCustomer, newID(), lookup)
			clients = append(clients, c)
		}
		r.server.Drain()
		r.server.CloseListener()
	})
	for range clients {
		wait(t, "a request that waited", b.Got).Answer("v")
	}
	for _, c := range clients {
		c.want("$1\r\nv")
		c.wantEnd()
	}
}

// A request that has come before the end of its connection is taken, whatever
// the poller has told by then.
func TestRequestThatCrossesTheLastAnswerIsTaken(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	c := r.dial()
	c.send("Q.DO", someCustomer, newID(), payment, "BODY")
	wait(t, "the request", b.Got)
	next := newID()
	r.onLoop(func(l *loop) { // the answer is written in the round in which the next request comes
		c.send("Q.DO", someCustomer, next, payment, "BODY")
		r.server.Drain()
		for _, open := range l.requests {
			l.answer(open, outcome{kind: failed})
		}
		l.deliverAnswers()
	})
	c.want("-ERR failed")
	got := wait(t, "the next request", b.Got)
	if got.ID() != next {
		t.Fatalf("the backend got %s, want the next request", got.ID())
	}
	got.Answer("v")
	c.want("$1\r\nv")
	c.wantEnd()
}

// Clients go on sending for as long as a connection stays open, and backends may
// hang. All that was taken is answered before the process ends, and the rest is
// left unread.
func TestStopAnswersAllItTookFromThoseWhoGoOn(t *testing.T) {
	hangs := newBackend(t)
	r := newRig(t, func(cfg *Config) {
		cfg.Choice.Probing = false
		for i := range cfg.Choice.Classes {
			cfg.Choice.Classes[i].Deadline, cfg.Choice.Classes[i].Aim = time.Second, 300*time.Millisecond
		}
	}, hangs.member("b"))
	r.server.waitForLateClients = func() {}
	c := r.dial()
	first := newID()
	c.send("Q.DO", someCustomer, first, payment, "BODY")
	if got := wait(t, "the request", hangs.Got); got.ID() != first {
		t.Fatal("another request came")
	}
	go func() {
		for {
			select {
			case <-hangs.Got:
			case <-hangs.Opened:
			case <-hangs.Closed:
			case <-t.Context().Done():
				return
			}
		}
	}()
	go func() { // until the connection is gone
		for c.c.Send("Q.DO", someCustomer, newID(), payment, "BODY") == nil {
			time.Sleep(5 * time.Millisecond)
		}
	}()
	r.stop()
	answers := uint32(0)
	for {
		if _, err := c.c.Line(); err != nil {
			break
		}
		answers++
	}
	if err := wait(t, "the end", r.ended); err != nil {
		t.Error(err)
	}
	if took := r.server.loop.lastID; answers != took {
		t.Errorf("%d answers to the %d requests that were taken", answers, took)
	}
}

// Where repeats are dropped within a zone, one that may have run goes to that zone
// alone. Two backends of zones that the settings do not name need not share one.
func TestKeyedRepeatStaysInAZoneThatIsKnown(t *testing.T) {
	for zone, again := range map[string]bool{"a": true, "beyond": false, "": false} {
		one, two := newBackend(t), newBackend(t)
		members := []Member{one.member("1"), two.member("2")}
		for i := range members {
			members[i].Locality = zone
		}
		r := newRig(t, func(cfg *Config) {
			cl := &cfg.Choice.Classes[1]
			cl.Effect, cl.Group, cl.Window = choice.Deduplicated, choice.GroupZone, time.Hour
			cfg.Choice.Probing = false
		}, members...)
		c := r.dial()
		c.send("Q.DO", someCustomer, newID(), payment, "BODY")
		other := two
		select {
		case got := <-one.Got:
			got.Reset()
		case got := <-two.Got:
			other = one
			got.Reset()
		}
		if again {
			wait(t, "a repeat in the zone", other.Got).Answer("v")
			c.want("$1\r\nv")
			continue
		}
		if got := c.line(); got != "-ERR failed" {
			t.Errorf("zone %q: answer %q, want a failure", zone, got)
		}
		wantNone(t, "a repeat in a zone that is not known", other.Got)
	}
}

// A client that reads slowly gets all of its last answer, though it has sent more:
// an end with something unread would take back what is not delivered yet.
func TestSlowReaderGetsItsLastAnswerThoughItSendsOn(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	nc, err := dialer.Dial("tcp", r.server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(testTimeout))
	c := &fakeClient{t, nc, bufio.NewReader(nc), nil}
	c.c = &standin.Client{Conn: nc, In: c.in}
	c.send("Q.DO", someCustomer, newID(), payment, "BODY")
	got := wait(t, "the request", b.Got)
	r.onLoop(func(*loop) { r.server.Drain() })
	value := strings.Repeat("v", 60_000)
	got.Answer(value)
	r.eventually("the end of the connection", func(*loop) bool {
		clients := r.server.front.clients
		return len(clients) == 1 && clients[0].endBy > 0
	})
	c.send("Q.DO", someCustomer, newID(), payment, "BODY") // crosses the end
	r.eventually("the time for it to be over", func(*loop) bool {
		clients := r.server.front.clients
		return len(clients) == 0 || clients[0].endBy > clients[0].endedAt+lingerTime
	})
	c.want(fmt.Sprintf("$%d\r\n%s", len(value), value))
	wantNone(t, "the request that crossed the end", b.Got)
}

// A connection that comes up late carries nothing: neither when its backend was told
// to be draining or gone meanwhile, between choice and first byte, nor when it was given up.
func TestConnectionThatComesUpLateCarriesNothing(t *testing.T) {
	for name, told := range map[string]string{
		"draining":   `{"id":"late","host_port":%q,"phase":"DRAINING"},`,
		"gone":       `{"id":"late","host_port":%q,"phase":"DELETED"},`,
		"moved":      `{"id":"late","host_port":"127.0.0.1:1","phase":"SERVING","locality":%q},`,
		"taken over": `{"id":"new","host_port":%q,"phase":"DRAINING"},{"id":"late","phase":"DELETED"},`,
		"given up":   "",
	} {
		t.Run(name, func(t *testing.T) {
			late, other := stoppedBackend(t, standin.Connecting), newBackend(t)
			r := newRig(t, func(cfg *Config) {
				cfg.Choice.Probing = false
				if cfg.connectTimeout = testTimeout; told == "" {
					cfg.connectTimeout = 3 * time.Second
				}
			}, late.member("late"))
			wait(t, "a watch", r.discovery.Watched)
			c := r.dial()
			c.send("Q.DO", someCustomer, newID(), payment, "BODY")
			r.eventually("a connection to come up", func(l *loop) bool { return l.pool.Open() == 1 })
			if told != "" {
				told = fmt.Sprintf(told, late.Addr)
			}
			r.discovery.Lines <- fmt.Sprintf(`{"revision":8,"complete":false,"members":[%s{"id":"other","host_port":%q,"phase":"SERVING","size":1}]}`, told, other.Addr)
			r.eventually("the change to be known", func(l *loop) bool { return l.pool.BackendIDs()["other"] > 0 })
			if told != "" {
				late.Go() // it comes up at the system's next try, a second later
			}
			wait(t, "the request at the other backend", other.Got).Answer("v")
			late.Go()
			c.want("$1\r\nv")
			wantNone(t, "a request at the late backend", late.Got)
			r.eventually("the late connection to be gone", func(l *loop) bool { return l.pool.Open() == 1 })
		})
	}
}

// What was taken when the process is told to end is answered, whatever its attempt
// was at; half a request is taken as soon as it is whole.
func TestStopAnswersWhatIsOnItsWay(t *testing.T) {
	whole := encode("Q.DO", someCustomer, newID(), payment, strings.Repeat("x", 64<<10))
	for name, s := range map[string]struct {
		at    standin.Point
		first int // bytes of the request that come before the stop
	}{
		"connecting":   {standin.Connecting, len(whole)},
		"half written": {standin.HalfRead, len(whole)},
		"half read":    {standin.HalfRead, len(whole) / 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := stoppedBackend(t, s.at)
			r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
			over := make(chan struct{})
			r.server.waitForLateClients = func() { <-over }
			c := r.dial()
			c.write(whole[:s.first])
			r.eventually("the request to have come that far", func(l *loop) bool {
				clients := r.server.front.clients
				return len(clients) == 1 && (l.pool.Open() == 1 || s.first < len(whole) && len(clients[0].partial) > 0)
			})
			r.stop()
			r.eventually("the drain", func(*loop) bool { return r.server.front.draining })
			c.write(whole[s.first:])
			if s.at == standin.HalfRead {
				wait(t, "half a request at the backend", b.Begun())
			}
			close(over)
			b.Go()
			wait(t, "the request", b.Got).Answer("v")
			c.want("$1\r\nv")
			c.wantEnd()
			if err := wait(t, "the end", r.ended); err != nil {
				t.Error(err)
			}
		})
	}
}
