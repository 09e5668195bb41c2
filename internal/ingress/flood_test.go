package ingress

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// floodCommands are commands that are answered at once, so that their client can send the next ones without end.
var floodCommands = map[string]string{
	"PING":                  encode("PING"),
	"the id of another one": encode("Q.ASK", "00000000000000aa", "00000000000000aa", lookup),
}

// flood sends a command again and again on a connection, and reads the replies, until the test has ended.
func (r *rig) flood(command string) {
	c := r.dial()
	all := []byte(strings.Repeat(command, 500))
	go func() { _, _ = io.Copy(io.Discard, c.nc) }()
	go func() {
		for {
			if _, err := c.nc.Write(all); err != nil {
				return
			}
		}
	}()
}

// Guards against one client that keeps the loop from all others: the replies to its commands led to further reads
// of its connection within the same round, for as long as it sent as fast as it was answered.
func TestClientsThatFloodLeaveTurnsToOthers(t *testing.T) {
	for name, command := range floodCommands {
		for _, clients := range []int{1, 40} {
			t.Run(fmt.Sprintf("%s, %d clients", name, clients), func(t *testing.T) {
				b := newBackend(t)
				r := newRig(t, nil, b.member("b"))
				sound := r.dial()
				opened := r.dial()
				opened.send("Q.ASK", "00000000000000aa", "00000000000000aa", lookup)
				wait(t, "the request whose id is sent again", b.Got)
				for range clients {
					r.flood(command)
				}
				for range 20 {
					id := newID()
					sound.send("Q.DO", someCustomer, id, payment, "BODY")
					got := wait(t, "the sound client's request", b.Got)
					for got.ID() != id { // a further attempt of the request that is never answered
						got = wait(t, "the sound client's request", b.Got)
					}
					got.Answer("v")
					sound.want("$1\r\nv")
					late := r.dial() // a new connection has its turn too
					late.send("PING")
					late.want("+PONG")
				}
			})
		}
	}
}

// roundCounter is a task that finds the most requests that the loop has started in one round.
type roundCounter struct {
	loop *loop
	last uint32
	most uint32
}

// Round counts.
func (c *roundCounter) Round() {
	c.most = max(c.most, c.loop.lastID-c.last)
	c.last = c.loop.lastID
}

// Next reports no work.
func (*roundCounter) Next() (at time.Duration, any bool) { return 0, false }

// A client with more commands than a turn holds gets one turn a round, and all its replies.
func TestConnectionHasOneTurnInARound(t *testing.T) {
	sim := newSimulation(t, 1, 1, nil)
	counter := &roundCounter{loop: sim.ingress.loop}
	sim.do(func() { sim.ingress.loop.Add(counter) })
	const copies = 5 * maxPending
	c := sim.dial(strings.Repeat(encodeRequest("lookup", someID, 1000), copies+1))
	sim.advance(100 * ms)
	if len(sim.attempts) != 1 {
		t.Fatalf("%d attempts, want one", len(sim.attempts))
	}
	sim.attempts[0].serve("v")
	sim.advance(100 * ms)
	if want := "$1\r\nv\r\n" + strings.Repeat(string(duplicateReply), copies); string(c.received) != want {
		t.Errorf("the client got %d bytes, want %d: a value and %d errors", len(c.received), len(want), copies)
	}
	if counter.most > maxPending {
		t.Errorf("%d requests of one connection were started in a round, want %d at most", counter.most, maxPending)
	}
}

// Guards against requests that are lost in a drain because their connection's turn was over: the connection ends
// behind the replies to all that was sent before.
func TestDrainAnswersAllCommandsOfALongPipeline(t *testing.T) {
	sim := newSimulation(t, 1, 1, nil)
	const copies = 5 * maxPending
	c := sim.dial(strings.Repeat(encodeRequest("lookup", someID, 1000), copies+1))
	sim.advance(10 * ms)
	sim.do(func() { sim.ingress.Drain() })
	sim.attempts[0].serve("v")
	sim.advance(100 * ms)
	if want := "$1\r\nv\r\n" + strings.Repeat(string(duplicateReply), copies); string(c.received) != want || !c.ended || c.reset {
		t.Errorf("the client got %d bytes, want %d; ended %v, reset %v", len(c.received), len(want), c.ended, c.reset)
	}
}
