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

// stoppedBackend returns a backend that stops at a point until the test lets it continue.
func stoppedBackend(t *testing.T, at standin.StopPoint) *fakeBackend {
	t.Helper()
	b, err := standin.NewStoppedBackend(at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	t.Cleanup(b.Resume)
	return &fakeBackend{b}
}

// departures are the ways in which a client disconnects.
var departures = map[string]func(net.Conn){
	"end":   func(nc net.Conn) { nc.Close() },
	"reset": func(nc net.Conn) { _ = nc.(*net.TCPConn).SetLinger(0); nc.Close() },
}

// Guards against attempts for a client that disconnected while its request waited, whether or not the settings allow
// work to be cancelled: what was not written whole never ran. The disconnect must be noticed even while nothing is
// read from the client.
func TestWaitingRequestOfDisconnectedClientIsNotSent(t *testing.T) {
	for state, s := range map[string]struct {
		at          standin.StopPoint
		more        string // sent behind the request
		wantPending int    // expected number of pending replies
	}{
		"connecting":   {standin.Connecting, "", 1},
		"queued":       {standin.Connecting, encode("Q.DO", someCustomer, newID(), payment, "BODY"), 2},
		"not read":     {standin.Connecting, strings.Repeat(encode("PING"), 2*maxPending), maxPending},
		"half written": {standin.HalfRead, "", 1},
	} {
		for departure, leave := range departures {
			for _, cancelling := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, cancelling %v", state, departure, cancelling), func(t *testing.T) {
					b := stoppedBackend(t, s.at)
					r := newRig(t, func(cfg *Config) { cfg.Choice.Cancelling, cfg.Choice.Probing = cancelling, false }, b.member("b"))
					c := r.dial()
					c.write(encode("Q.DO", someCustomer, newID(), payment, strings.Repeat("x", 64<<10)) + s.more)
					r.eventually("the request to wait", func(l *loop) bool {
						clients := r.server.front.clients
						return l.pool.Open() > 0 && len(clients) == 1 && clients[0].pending == s.wantPending
					})
					if s.at == standin.HalfRead {
						wait(t, "half a request", b.CommandStarted())
					}
					leave(c.nc)
					open, answered := -1, uint64(0)
					r.eventually("the disconnect to be noticed", func(l *loop) bool {
						open = l.pool.Open()
						answered = l.metrics.classes[1].Failure + l.metrics.classes[1].Busy
						return len(r.server.front.clients) == 0
					})
					if answered != 0 {
						t.Fatal("the disconnect was noticed only at the request's deadline")
					}
					if open != 0 {
						t.Fatalf("%d attempts go on though their client has disconnected", open)
					}
					b.Resume()
					other := newID()
					r.dial().send("Q.DO", someCustomer, other, payment, "BODY")
					if got := wait(t, "the request of another client", b.Got); got.ID() != other {
						t.Errorf("the backend got request %s of the disconnected client", got.ID())
					}
					wantNone(t, "a request of the disconnected client", b.Got)
				})
			}
		}
	}
}

// Guards against connections in the listener's backlog that are reset, with their requests, when the listener
// closes: they must be accepted first, even where no place is free.
func TestStopAcceptsTheListenerBacklog(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	places := r.server.front.admission
	held := r.dial() // takes the only place
	held.send("PING")
	held.want("+PONG")
	r.eventually("the other connection to be closed", func(*loop) bool { return len(r.server.front.clients) == 1 })
	var clients []*fakeClient
	r.onLoop(func(l *loop) { // the loop accepts nothing meanwhile
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

// Guards against a request that is lost because its connection ends before the poller has reported it.
func TestRequestThatCrossesTheLastReplyIsAnswered(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	c := r.dial()
	c.send("Q.DO", someCustomer, newID(), payment, "BODY")
	wait(t, "the request", b.Got)
	next := newID()
	r.onLoop(func(l *loop) { // the reply is written in the round in which the next request arrives
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

// Guards against unanswered requests at the end of the process, when clients go on sending and a backend hangs: all
// that was accepted must be answered, and what was read after that refused.
func TestStopAnswersAllAcceptedRequestsOfSendingClients(t *testing.T) {
	hanging := newBackend(t)
	r := newRig(t, func(cfg *Config) {
		cfg.Choice.Probing = false
		for i := range cfg.Choice.Classes {
			cfg.Choice.Classes[i].Deadline, cfg.Choice.Classes[i].Aim = time.Second, 300*time.Millisecond
		}
	}, hanging.member("b"))
	r.server.waitForLateClients = func() {}
	c := r.dial()
	first := newID()
	c.send("Q.DO", someCustomer, first, payment, "BODY")
	if got := wait(t, "the request", hanging.Got); got.ID() != first {
		t.Fatal("the backend got another request")
	}
	go func() {
		for {
			select {
			case <-hanging.Got:
			case <-hanging.Opened:
			case <-hanging.Closed:
			case <-t.Context().Done():
				return
			}
		}
	}()
	go func() { // until the connection is closed
		for c.c.Send("Q.DO", someCustomer, newID(), payment, "BODY") == nil {
			time.Sleep(5 * time.Millisecond)
		}
	}()
	r.stop()
	var replies []string
	for {
		reply, err := c.c.ReadReply()
		if err != nil {
			break
		}
		replies = append(replies, reply)
	}
	if err := wait(t, "the end", r.ended); err != nil {
		t.Error(err)
	}
	accepted, late := int(r.server.loop.lastID), int(r.server.loop.events.lateRefusals)
	if len(replies) != accepted+late {
		t.Fatalf("%d replies to the %d requests that were accepted and the %d that came later", len(replies), accepted, late)
	}
	for n, reply := range replies[accepted:] {
		if reply != "-BUSY" {
			t.Errorf("reply %d to requests that came later is %q, want -BUSY", n, reply)
		}
	}
}

// Where backends drop repeats within a zone, a retry of a request that may have run must stay in that zone. Two
// backends in zones that the settings do not name need not share one.
func TestKeyedRetryStaysInAKnownZone(t *testing.T) {
	for zone, retried := range map[string]bool{"a": true, "beyond": false, "": false} {
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
		if retried {
			wait(t, "a retry in the zone", other.Got).Answer("v")
			c.want("$1\r\nv")
			continue
		}
		if got := c.line(); got != "-ERR failed" {
			t.Errorf("zone %q: reply %q, want -ERR failed", zone, got)
		}
		wantNone(t, "a retry in an unknown zone", other.Got)
	}
}

// Guards against a lost last reply to a slow reader that has sent more: closing the socket over unread bytes would
// drop what is not delivered yet.
func TestSlowReaderThatSendsMoreGetsItsLastReply(t *testing.T) {
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
		return len(clients) == 1 && clients[0].lingerUntil > 0
	})
	c.send("Q.DO", someCustomer, newID(), payment, "BODY") // crosses the end of the connection
	r.eventually("the linger time to be extended or over", func(*loop) bool {
		clients := r.server.front.clients
		return len(clients) == 0 || clients[0].lingerUntil > clients[0].endedAt+lingerTimeout
	})
	c.want(fmt.Sprintf("$%d\r\n%s", len(value), value))
	wantNone(t, "the request that crossed the end", b.Got)
}

// Guards against requests written on a connection that comes up late, after its backend was reported draining,
// deleted or replaced between selection and first byte, or after the connection was given up.
func TestLateConnectionCarriesNoRequest(t *testing.T) {
	for name, update := range map[string]string{
		"draining": `{"id":"late","host_port":%q,"phase":"DRAINING"},`,
		"deleted":  `{"id":"late","host_port":%q,"phase":"DELETED"},`,
		"moved":    `{"id":"late","host_port":"127.0.0.1:1","phase":"SERVING","locality":%q},`,
		"replaced": `{"id":"new","host_port":%q,"phase":"DRAINING"},{"id":"late","phase":"DELETED"},`,
		"given up": "",
	} {
		t.Run(name, func(t *testing.T) {
			late, other := stoppedBackend(t, standin.Connecting), newBackend(t)
			r := newRig(t, func(cfg *Config) {
				cfg.Choice.Probing = false
				if cfg.connectTimeout = testTimeout; update == "" {
					cfg.connectTimeout = 3 * time.Second
				}
			}, late.member("late"))
			wait(t, "a watch", r.discovery.Watched)
			c := r.dial()
			c.send("Q.DO", someCustomer, newID(), payment, "BODY")
			r.eventually("a connection attempt", func(l *loop) bool { return l.pool.Open() == 1 })
			if update != "" {
				update = fmt.Sprintf(update, late.Addr)
			}
			r.discovery.Lines <- fmt.Sprintf(`{"revision":8,"complete":false,"members":[%s{"id":"other","host_port":%q,"phase":"SERVING","size":1}]}`, update, other.Addr)
			r.eventually("the change to be applied", func(l *loop) bool { return l.pool.BackendIDs()["other"] > 0 })
			if update != "" {
				late.Resume() // it comes up at the system's next try, a second later
			}
			wait(t, "the request at the other backend", other.Got).Answer("v")
			late.Resume()
			c.want("$1\r\nv")
			wantNone(t, "a request at the late backend", late.Got)
			r.eventually("the late connection to be closed", func(l *loop) bool { return l.pool.Open() == 1 })
		})
	}
}

// Guards against unanswered requests when the process is stopped, whatever state their attempts are in. A partial
// request must be accepted as soon as it is complete.
func TestStopAnswersRequestsInTransit(t *testing.T) {
	whole := encode("Q.DO", someCustomer, newID(), payment, strings.Repeat("x", 64<<10))
	for name, s := range map[string]struct {
		at    standin.StopPoint
		first int // bytes of the request that are sent before the stop
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
			r.eventually("the request to reach its state", func(l *loop) bool {
				clients := r.server.front.clients
				return len(clients) == 1 && (l.pool.Open() == 1 || s.first < len(whole) && len(clients[0].partial) > 0)
			})
			r.stop()
			r.eventually("the drain", func(*loop) bool { return r.server.front.draining })
			c.write(whole[s.first:])
			if s.at == standin.HalfRead {
				wait(t, "half a request at the backend", b.CommandStarted())
			}
			close(over)
			b.Resume()
			wait(t, "the request", b.Got).Answer("v")
			c.want("$1\r\nv")
			c.wantEnd()
			if err := wait(t, "the end", r.ended); err != nil {
				t.Error(err)
			}
		})
	}
}
