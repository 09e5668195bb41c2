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

// longValue returns a value of the greatest length that is not streamed, which begins with a request's id.
func longValue(id string) string { return id + strings.Repeat("x", resp.MaxValue-len(id)) }

// Guards against answers that are lost with their connection: answers that had waited for a slower one before them
// filled the socket of a client that reads, and the first write that was not taken whole ended the connection.
func TestClientThatReadsGetsAllLongAnswers(t *testing.T) {
	const commands = 40
	backends := []*fakeBackend{newBackend(t), newBackend(t), newBackend(t), newBackend(t)}
	var members []Member
	for i, b := range backends {
		members = append(members, b.member(fmt.Sprint(i)))
	}
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, members...)
	c := r.dial()
	if err := c.nc.(*net.TCPConn).SetReadBuffer(256 << 10); err != nil { // a write of all answers fills the socket
		t.Fatal(err)
	}
	var ids []string
	all := ""
	for range commands {
		ids = append(ids, newID())
		all += encode("Q.ASK", someCustomer, ids[len(ids)-1], lookup)
	}
	c.write(all)
	var first received
	for range commands { // the first one is answered when all others have been
		var got received
		select {
		case got = <-backends[0].Got:
		case got = <-backends[1].Got:
		case got = <-backends[2].Got:
		case got = <-backends[3].Got:
		case <-time.After(testTimeout):
			t.Fatal("timed out waiting for the requests")
		}
		if got.ID() == ids[0] {
			first = got
		} else {
			got.Answer(longValue(got.ID()))
		}
	}
	r.eventually("the answers that wait for the first one", func(*loop) bool {
		clients := r.server.front.clients
		return len(clients) == 1 && clients[0].replyBytes >= (commands-1)*resp.MaxValue
	})
	first.Answer(longValue(first.ID()))
	for i, id := range ids {
		want := longValue(id)
		if got := c.line(); got != fmt.Sprintf("$%d\r\n%s", len(want), want) {
			t.Fatalf("answer %d is %.40q of %d bytes, want the value of %s", i, got, len(got), id)
		}
	}
}

const (
	simulatedBuffer = 128 << 10 // of the simulated network, in each direction
	longAnswers     = 20        // that a slow client asks for
)

// longReplyBytes is the length of all replies to a slow client.
var longReplyBytes = longAnswers * len(fmt.Sprintf("$%d\r\n%s\r\n", resp.MaxValue, longValue("")))

// slowClient reads only when the test tells it to.
type slowClient struct {
	virtualClient
	bytesRead int
}

// Ready writes what is to be sent.
func (c *slowClient) Ready(e reactor.Event) {
	c.connected = c.connected || e&reactor.Writable != 0
	c.flush()
	c.ended = c.ended || e&(reactor.ReadClosed|reactor.Disconnected) != 0
}

// readSome reads a part of what the network holds for the client.
func (c *slowClient) readSome() {
	var buf [simulatedBuffer / 2]byte
	n, _ := c.conn.Read(buf[:])
	c.bytesRead += n
}

// stall connects a client that asks for long answers and sends a text behind its requests, and lets the answers fill its
// socket.
func (i *simulation) stall(behind string) *slowClient {
	i.Helper()
	i.net.Faults.Buffer = simulatedBuffer
	c := &slowClient{virtualClient: virtualClient{simulation: i}}
	for range longAnswers {
		c.unsent = append(c.unsent, encodeRequest("lookup", newID(), 20_000)...)
	}
	c.unsent = append(c.unsent, behind...)
	var err error
	if c.conn, err = i.client.Dial(virtualAddress, c); err != nil {
		i.Fatal(err)
	}
	before := len(i.attempts)
	i.advance(5 * ms)
	if got := len(i.attempts) - before; got != longAnswers {
		i.Fatalf("%d attempts, want %d", got, longAnswers)
	}
	for _, a := range i.attempts[before:] {
		a.serve(longValue(""))
	}
	i.advance(5 * ms)
	return c
}

// closes returns how often connections were closed for a reason.
func (i *simulation) closes(why closeReason) uint64 {
	return i.ingress.loop.events.connectionCloses[why]
}

// A client that takes nothing for less than writeTimeout gets all its answers, whatever is due to it; after that its
// connection is closed.
func TestClientThatTakesNothingIsClosedAfterTheTimeout(t *testing.T) {
	for _, c := range []struct {
		pause time.Duration
		reads bool // it reads on after the pause, a part at a time
	}{{writeTimeout - 100*ms, true}, {writeTimeout + 100*ms, false}} {
		sim := newSimulation(t, 1, 4, nil)
		client := sim.stall("")
		sim.advance(c.pause - 10*ms)
		if client.ended == c.reads {
			t.Errorf("after %v the connection has ended: %v, want %v", c.pause, client.ended, !c.reads)
		}
		if !c.reads {
			if n := sim.closes(closedSlowReader); n != 1 || sim.ingress.Usage().Memory != 0 {
				t.Errorf("%d closed as slow readers, want one; %d bytes held, want none", n, sim.ingress.Usage().Memory)
			}
			continue
		}
		for range 2*longAnswers + 2 {
			client.readSome()
			sim.advance(500 * ms)
		}
		if client.bytesRead != longReplyBytes {
			t.Errorf("the client got %d bytes, want %d", client.bytesRead, longReplyBytes)
		}
	}
}

// Guards against a client that is closed as one that takes nothing after the process has been held up: the client has
// read all that there was meanwhile.
func TestStallOfTheProcessDoesNotCountAgainstReaders(t *testing.T) {
	sim := newSimulation(t, 1, 4, nil)
	client := sim.stall("")
	sim.node.Pause()
	for range 4 {
		client.readSome()
		sim.advance(ms)
	}
	sim.advance(writeTimeout)
	sim.node.Resume()
	for range 2*longAnswers + 2 {
		sim.advance(10 * ms)
		client.readSome()
	}
	if client.bytesRead != longReplyBytes {
		t.Errorf("the client got %d bytes, want %d; closed as a slow reader: %d", client.bytesRead, longReplyBytes, sim.closes(closedSlowReader))
	}
}

// Guards against a client that reads and is closed for what others do not read: beyond the limits those that have
// taken nothing for longest are closed, and no other.
func TestMemoryIsTakenFromClientsThatReadNothing(t *testing.T) {
	for name, c := range map[string]struct {
		limit  int           // of the memory for clients, in bytes
		wait   time.Duration // from the stall of the client that reads nothing to that of the last client
		closed bool          // the client that reads nothing is closed then
	}{
		"half of the memory, not for long":     {4 * longReplyBytes, stallGrace - 100*ms, false},
		"half of the memory, for long":         {4 * longReplyBytes, stallGrace + 100*ms, true},
		"little memory is left, not for long":  {16 * longReplyBytes / 5, shortStallGrace - 50*ms, false},
		"little memory is left, for some time": {16 * longReplyBytes / 5, shortStallGrace + 50*ms, true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 4, nil)
			sim.ingress.loop.memory.limit = int64(c.limit)
			reader := sim.stall("")
			idle := sim.stall("")
			for waited := 10 * ms; waited < c.wait; waited += min(100*ms, c.wait-waited) {
				reader.readSome()
				sim.advance(min(100*ms, c.wait-waited))
			}
			if idle.ended {
				t.Fatal("the client that reads nothing is closed before the memory runs short")
			}
			last := sim.stall("")
			if idle.ended != c.closed || reader.ended || last.ended {
				t.Errorf("closed: reading nothing %v, want %v; reading %v, just stalled %v, want neither",
					idle.ended, c.closed, reader.ended, last.ended)
			}
			for !reader.ended && reader.bytesRead < longReplyBytes && sim.net.Now() < time.Minute {
				reader.readSome()
				last.readSome()
				sim.advance(100 * ms)
			}
			for range 2 * longAnswers {
				last.readSome()
				sim.advance(100 * ms)
			}
			if reader.bytesRead != longReplyBytes || last.bytesRead != longReplyBytes || !idle.ended {
				t.Errorf("those that read got %d and %d bytes, want %d; the other is closed: %v", reader.bytesRead, last.bytesRead, longReplyBytes, idle.ended)
			}
		})
	}
}

// Guards against a client that is blamed for half a command whose rest the ingress did not read: nothing is read while
// the answers before it are not taken.
func TestRestOfACommandIsAwaitedWhileNothingIsRead(t *testing.T) {
	sim := newSimulation(t, 1, 4, nil)
	part, rest := partOfPayment(5000)
	client := sim.stall(part)
	client.send(rest)
	sim.advance(partialCommandTimeout + 100*ms)
	if client.ended {
		t.Fatal("the connection was ended before its client has taken the answers")
	}
	sim.serveAll()
	const served = "$1\r\nv\r\n"
	for range 2*longAnswers + 2 {
		client.readSome()
		sim.advance(10 * ms)
	}
	if want := longReplyBytes + len(served); client.bytesRead != want || client.ended {
		t.Errorf("the client got %d bytes, want %d; ended %v", client.bytesRead, want, client.ended)
	}
}
