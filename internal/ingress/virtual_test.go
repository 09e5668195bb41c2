package ingress

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"wickarch/internal/reactor"
	"wickarch/internal/reactor/simnet"
	"wickarch/internal/standin"
)

const ms = time.Millisecond

// simulation is an ingress in virtual time, between a client's machine and scripted backends. A run takes no real
// time, and its result does not depend on the machine.
type simulation struct {
	*testing.T
	net       *simnet.Net
	node      *simnet.Node // of the ingress
	ingress   *Ingress
	client    *simnet.Node
	backends  []*scriptedBackend
	attempts  []*scriptedAttempt // in the order in which they began
	onAttempt func(*scriptedAttempt)
}

const virtualAddress = "10.0.0.1:6379"

// latency is one-way, without jitter.
const latency = ms / 2

// newSimulation starts an ingress and the given number of backends. Attempts that arrive there are recorded, and
// passed to onAttempt if it is set.
func newSimulation(t *testing.T, seed uint64, backends int, change func(*Config)) *simulation {
	t.Helper()
	sim := &simulation{T: t, net: simnet.New(seed)}
	sim.net.Faults = simnet.Faults{Latency: latency}
	sim.node, sim.client = sim.net.Node("10.0.0.1"), sim.net.Node("10.0.2.1")
	list := MemberList{Revision: 1, Complete: true}
	for n := range backends {
		b := &scriptedBackend{simulation: sim, node: sim.net.Node(fmt.Sprintf("10.0.1.%d", n+1)), name: strconv.Itoa(n + 1)}
		b.node.Start(func(l *reactor.Loop) {
			var err error
			if b.ln, err = l.Listen(b.node.IP+":7", b); err != nil {
				t.Fatal(err)
			}
		})
		sim.backends = append(sim.backends, b)
		list.Members = append(list.Members, Member{ID: b.name, HostPort: b.node.IP + ":7",
			Locality: "a", Flavor: "std", Phase: PhaseServing, Size: 1})
	}
	cfg, err := ParseConfig(fmt.Appendf(nil, `{"name":"n0","listen":%q,"seed":"%x","settings":%s}`, virtualAddress, seed,
		fmt.Sprintf(settings, 3600_000)))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Choice.Probing = false
	if change != nil {
		change(&cfg)
	}
	sim.node.Start(func(l *reactor.Loop) {
		if sim.ingress, err = New(cfg, l); err != nil {
			t.Fatal(err)
		}
	})
	sim.node.Loop.Post(func() { sim.ingress.UpdateMembers(list); sim.ingress.DiscoveryQueried() })
	sim.client.Start(func(*reactor.Loop) {})
	sim.advance(10 * ms)
	return sim
}

// advance lets virtual time pass.
func (i *simulation) advance(d time.Duration) { i.net.RunUntil(i.net.Now() + d) }

// do runs f as a part of the ingress's next round.
func (i *simulation) do(f func()) {
	i.node.Loop.Post(f)
	i.net.RunUntil(i.net.Now())
}

// scriptedBackend is a backend that the test plays.
type scriptedBackend struct {
	*simulation
	node *simnet.Node
	ln   reactor.Listener
	name string
}

// scriptedAttempt is one command, or the first part of one, that arrived at a backend.
type scriptedAttempt struct {
	backend      *scriptedBackend
	conn         reactor.Conn
	begunAt      time.Duration // when its first byte was written
	args         []string      // nil while it is incomplete
	timeLimit    time.Duration // how long the ingress waits for its answer, as the command states
	disconnected bool          // the ingress has ended the connection
}

// Ready accepts connections.
func (b *scriptedBackend) Ready(reactor.Event) {
	for {
		nc, err := b.ln.Accept()
		if err != nil {
			return
		}
		_ = nc.Watch(&scriptedConn{scriptedBackend: b, conn: nc})
	}
}

type scriptedConn struct {
	*scriptedBackend
	conn     reactor.Conn
	received []byte
	last     *scriptedAttempt
}

// Ready reads commands.
func (c *scriptedConn) Ready(reactor.Event) {
	var buf [8 << 10]byte
	for {
		begun := simnet.SentAt(c.conn)
		n, err := c.conn.Read(buf[:])
		if err == reactor.ErrWouldBlock {
			return
		}
		if err != nil {
			if c.last != nil {
				c.last.disconnected = true
			}
			return
		}
		if len(c.received) == 0 {
			c.last = &scriptedAttempt{backend: c.scriptedBackend, conn: c.conn, begunAt: begun}
			c.attempts = append(c.attempts, c.last)
		}
		c.received = append(c.received, buf[:n]...)
		args, used, err := nextCommand(c.received)
		if err != nil {
			c.Errorf("backend %s got %.80q: %v", c.name, c.received, err)
			return
		}
		if used == 0 {
			continue
		}
		if used < len(c.received) {
			c.Errorf("backend %s got bytes behind a command: %.80q", c.name, c.received[used:])
		}
		for _, a := range args {
			c.last.args = append(c.last.args, string(a))
		}
		c.received = nil
		_, limit, _ := strings.Cut(c.last.args[optionsArg], "d=")
		limit, _, _ = strings.Cut(limit, ",")
		millis, err := strconv.Atoi(limit)
		if err != nil {
			c.Errorf("backend %s got options without a time limit: %q", c.name, c.last.args[optionsArg])
		}
		c.last.timeLimit = time.Duration(millis) * ms
		if c.onAttempt != nil {
			c.onAttempt(c.last)
		}
	}
}

// write writes on the attempt's connection.
func (a *scriptedAttempt) write(text string) { _, _ = a.conn.Write([]byte(text)) }

// serve answers with a value.
func (a *scriptedAttempt) serve(v string) {
	a.write(fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(v), v))
}

// virtualClient is the connection of one client.
type virtualClient struct {
	*simulation
	conn      reactor.Conn
	unsent    []byte
	connected bool
	received  []byte
	ended     bool // by the ingress, or by a reset
	reset     bool
}

// dial connects a client, and sends text once the connection is up.
func (i *simulation) dial(text string) *virtualClient {
	i.Helper()
	c := &virtualClient{simulation: i, unsent: []byte(text)}
	var err error
	if c.conn, err = i.client.Dial(virtualAddress, c); err != nil {
		i.Fatal(err)
	}
	return c
}

// Ready writes what is to be sent and reads the replies.
func (c *virtualClient) Ready(e reactor.Event) {
	c.connected = c.connected || e&reactor.Writable != 0
	c.flush()
	var buf [4096]byte
	for !c.ended {
		n, err := c.conn.Read(buf[:])
		c.received = append(c.received, buf[:n]...)
		if err == reactor.ErrWouldBlock {
			return
		}
		c.ended = err != nil
		c.reset = c.reset || err != nil && e&reactor.Disconnected != 0
	}
}

func (c *virtualClient) flush() {
	if c.connected && len(c.unsent) > 0 {
		n, _ := c.conn.Write(c.unsent)
		c.unsent = c.unsent[n:]
	}
}

// send sends more.
func (c *virtualClient) send(text string) {
	c.unsent = append(c.unsent, text...)
	c.flush()
}

// answers returns the replies received so far.
func (c *virtualClient) answers() string { return string(bytes.TrimSpace(c.received)) }

// encodeRequest returns a request of a class with a time limit in milliseconds.
func encodeRequest(class, id string, limit int) string {
	options := standin.Options(class, limit)
	if class == "lookup" {
		return encode("Q.ASK", someCustomer, id, options)
	}
	return encode("Q.DO", someCustomer, id, options, "BODY")
}

// virtualDepartures are the ways in which a client disconnects.
var virtualDepartures = map[string]func(*virtualClient){
	"end":   func(c *virtualClient) { c.conn.Close() },
	"reset": func(c *virtualClient) { c.client.Kill() },
}
