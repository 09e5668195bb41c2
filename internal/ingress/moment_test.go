package ingress

import (
	"testing"
	"time"

	"wickarch/internal/reactor"
	"wickarch/internal/standin"
)

// A request that comes about when the ingress ends a connection at rest is answered,
// or left unread. What is read is sent on, and would be lost behind the end.
func TestRequestAboutTheEndOfItsConnectionIsAnsweredOrLeft(t *testing.T) {
	for name, end := range map[string]func(*simulation){
		"drain": func(i *simulation) { i.do(i.ingress.Drain) },
		"drain and finish": func(i *simulation) {
			i.do(func() { i.ingress.Drain(); i.ingress.CloseListener(); i.ingress.Finish() })
		},
		"standby":             func(i *simulation) { i.do(i.ingress.Standby) },
		"descriptors run out": func(i *simulation) { i.do(func() { i.ingress.front.shrink(i.node.Now()) }) },
	} {
		t.Run(name, func(t *testing.T) {
			// play has a request come so long after the end is called for, and tells what came of it.
			play := func(after time.Duration, seed uint64) (served bool, endedAt time.Duration) {
				i := newSimulation(t, seed, 2, nil)
				i.answer = func(a *playedAttempt) { a.serve("v") }
				c := i.dial("")
				i.run(3 * ms)
				c.say(ask("lookup", newID(), 1000)) // so that it rests between requests
				i.run(30 * ms)
				if got := c.answers(); got != "$1\r\nv" || len(i.attempts) != 1 {
					t.Fatalf("the request before is answered with %q", got)
				}
				i.attempts, c.in = nil, nil
				at := i.net.Now() + 10*ms
				i.net.Until(at + min(0, after) - latency)
				if after < 0 {
					c.say(ask("payment", newID(), 1000))
				}
				i.net.Until(at)
				end(i)
				if after >= 0 {
					i.net.After(max(0, after-latency), func() {
						if !c.ended {
							c.say(ask("payment", newID(), 1000))
						}
					})
				}
				for n := 0; n < 4000 && !c.ended; n++ {
					i.run(ms / 4)
				}
				endedAt = i.net.Now() - at
				i.run(2 * time.Second)
				if served = c.answers() == "$1\r\nv"; served != (len(i.attempts) == 1) || len(i.attempts) > 1 {
					t.Fatalf("%v after the end was called for, seed %d: %d attempts, and the client got %q", after, seed, len(i.attempts), c.answers())
				}
				if h := i.ingress.Usage(); h.Requests > 0 {
					t.Fatalf("%v after the end was called for, seed %d: the ingress holds %+v", after, seed, h)
				}
				return served, endedAt
			}
			_, ends := play(time.Hour, 1) // when it ends one that stays at rest
			outcomes := map[bool]int{}
			for seed := uint64(1); seed <= 3; seed++ {
				for after := -2 * ms; after <= ends+2*ms; after += max(ms/8, ends/200) {
					served, _ := play(after, seed)
					outcomes[served]++
				}
			}
			if outcomes[true] == 0 || outcomes[false] == 0 {
				t.Errorf("%d were answered and %d left: the moment was missed", outcomes[true], outcomes[false])
			}
		})
	}
}

// crossing is a connection on which a command comes in the very moment in which its
// sending is ended: behind every look of the ingress, and before the end.
type crossing struct {
	reactor.Conn
	come  func() // has the command come
	ended bool
	read  int // bytes, behind the end
}

func (c *crossing) CloseWrite() {
	c.come()
	for end := time.Now().Add(testTimeout); !c.Conn.Pending() && time.Now().Before(end); {
	}
	c.Conn.CloseWrite()
	c.ended = true
}

func (c *crossing) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.ended {
		c.read += max(0, n)
	}
	return n, err
}

// What comes in the moment of the end itself is left unread, though the poller tells
// of it: nothing can answer it any more.
func TestRequestInTheMomentOfTheEndIsNotRead(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("b"))
	c := r.dial()
	c.send("Q.ASK", someCustomer, newID(), lookup)
	wait(t, "the request before", b.Got).Answer("v")
	c.want("$1\r\nv")
	r.eventually("the rig's own connection to be gone", func(*loop) bool { return len(r.server.front.clients) == 1 })
	var x *crossing
	r.onLoop(func(*loop) {
		of := r.server.front.clients[0]
		x = &crossing{Conn: of.net, come: func() { _, _ = c.nc.Write(standin.Encode("Q.DO", someCustomer, newID(), payment, "BODY")) }}
		of.net = x
		r.server.Drain()
	})
	c.wantEnd()
	r.eventually("the connection to be closed", func(*loop) bool { return len(r.server.front.clients) == 0 })
	r.onLoop(func(l *loop) {
		if x.read > 0 || len(l.requests) > 0 {
			t.Errorf("%d bytes were read behind the end, and %d requests are open", x.read, len(l.requests))
		}
	})
	wantNone(t, "the request that came in the moment of the end", b.Got)
}
