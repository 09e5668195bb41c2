package ingress

import (
	"testing"
	"time"

	"wickarch/internal/reactor"
	"wickarch/internal/standin"
)

// Guards against a request that is read but lost because it arrives at about the time when the ingress ends an idle
// connection: it must either be answered, or left unread.
func TestRequestNearTheEndIsAnsweredOrLeftUnread(t *testing.T) {
	for name, end := range map[string]func(*simulation){
		"drain": func(sim *simulation) { sim.do(sim.ingress.Drain) },
		"drain and finish": func(sim *simulation) {
			sim.do(func() { sim.ingress.Drain(); sim.ingress.CloseListener(); sim.ingress.Finish() })
		},
		"standby":             func(sim *simulation) { sim.do(sim.ingress.Standby) },
		"descriptors run out": func(sim *simulation) { sim.do(func() { sim.ingress.front.shrink(sim.node.Now()) }) },
	} {
		t.Run(name, func(t *testing.T) {
			// play sends a request that arrives the given time after the end is requested, and reports what became of it.
			play := func(after time.Duration, seed uint64) (served bool, endedAt time.Duration) {
				sim := newSimulation(t, seed, 2, nil)
				sim.onAttempt = func(a *scriptedAttempt) { a.serve("v") }
				c := sim.dial("")
				sim.advance(3 * ms)
				c.send(encodeRequest("lookup", newID(), 1000)) // so that the connection is idle between requests
				sim.advance(30 * ms)
				if got := c.answers(); got != "$1\r\nv" || len(sim.attempts) != 1 {
					t.Fatalf("reply to the first request is %q, want v from one attempt", got)
				}
				sim.attempts, c.received = nil, nil
				at := sim.net.Now() + 10*ms
				sim.net.RunUntil(at + min(0, after) - latency)
				if after < 0 {
					c.send(encodeRequest("payment", newID(), 1000))
				}
				sim.net.RunUntil(at)
				end(sim)
				if after >= 0 {
					sim.net.After(max(0, after-latency), func() {
						if !c.ended {
							c.send(encodeRequest("payment", newID(), 1000))
						}
					})
				}
				for n := 0; n < 4000 && !c.ended; n++ {
					sim.advance(ms / 4)
				}
				endedAt = sim.net.Now() - at
				sim.advance(2 * time.Second)
				if served = c.answers() == "$1\r\nv"; served != (len(sim.attempts) == 1) || len(sim.attempts) > 1 {
					t.Fatalf("%v after the end was requested, seed %d: %d attempts, and the client got %q", after, seed, len(sim.attempts), c.answers())
				}
				if h := sim.ingress.Usage(); h.Requests > 0 {
					t.Fatalf("%v after the end was requested, seed %d: the ingress holds %+v", after, seed, h)
				}
				return served, endedAt
			}
			_, ends := play(time.Hour, 1) // when a connection that stays idle is ended
			outcomes := map[bool]int{}
			for seed := uint64(1); seed <= 3; seed++ {
				for after := -2 * ms; after <= ends+2*ms; after += max(ms/8, ends/200) {
					served, _ := play(after, seed)
					outcomes[served]++
				}
			}
			if outcomes[true] == 0 || outcomes[false] == 0 {
				t.Errorf("%d were answered and %d left unread, want some of each", outcomes[true], outcomes[false])
			}
		})
	}
}

// crossingConn is a connection on which a command arrives at the very moment when its sending side is shut down:
// after every check of the ingress, and before the shutdown.
type crossingConn struct {
	reactor.Conn
	deliver      func() // makes the command arrive
	ended        bool
	readAfterEnd int // bytes
}

func (c *crossingConn) CloseWrite() {
	c.deliver()
	for end := time.Now().Add(testTimeout); !c.Conn.Pending() && time.Now().Before(end); {
	}
	c.Conn.CloseWrite()
	c.ended = true
}

func (c *crossingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.ended {
		c.readAfterEnd += max(0, n)
	}
	return n, err
}

// Guards against reading a request that arrives at the very moment of the end, even if the poller reports it: it can
// no longer be answered.
func TestRequestAtTheVeryEndIsNotRead(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	c := r.dial()
	c.send("Q.ASK", someCustomer, newID(), lookup)
	wait(t, "the first request", b.Got).Answer("v")
	c.want("$1\r\nv")
	r.eventually("the rig's own connection to be closed", func(*loop) bool { return len(r.server.front.clients) == 1 })
	var x *crossingConn
	r.onLoop(func(*loop) {
		of := r.server.front.clients[0]
		x = &crossingConn{Conn: of.net, deliver: func() { _, _ = c.nc.Write(standin.Encode("Q.DO", someCustomer, newID(), payment, "BODY")) }}
		of.net = x
		r.server.Drain()
	})
	c.wantEnd()
	r.eventually("the connection to be closed", func(*loop) bool { return len(r.server.front.clients) == 0 })
	r.onLoop(func(l *loop) {
		if x.readAfterEnd > 0 || len(l.requests) > 0 {
			t.Errorf("%d bytes were read after the end, and %d requests are open, want none", x.readAfterEnd, len(l.requests))
		}
	})
	wantNone(t, "the request that arrived at the very end", b.Got)
}
