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

// simulation is an ingress in virtual time, between a client's machine and
// backends that the test plays. A run takes no real time, and its verdict hangs
// on no machine.
type simulation struct {
	*testing.T
	net      *simnet.Net
	node     *simnet.Node // the ingress's
	ingress  *Ingress
	client   *simnet.Node
	backends []*playedBackend
	attempts []*playedAttempt // in the order in which they began
	answer   func(*playedAttempt)
}

const virtualAddress = "10.0.0.1:6379"

// latency is one way, without jitter.
const latency = ms / 2

// newSimulation starts an ingress and so many backends. What comes to these
// is noted, and goes to answer, if there is one.
func newSimulation(t *testing.T, seed uint64, backends int, change func(*Config)) *simulation {
	t.Helper()
	i := &simulation{T: t, net: simnet.New(seed)}
	i.net.Faults = simnet.Faults{Latency: latency}
	i.node, i.client = i.net.Node("10.0.0.1"), i.net.Node("10.0.2.1")
	list := MemberList{Revision: 1, Complete: true}
	for n := range backends {
		b := &playedBackend{simulation: i, node: i.net.Node(fmt.Sprintf("10.0.1.%d", n+1)), name: strconv.Itoa(n + 1)}
		b.node.Start(func(l *reactor.Loop) {
			var err error
			if b.ln, err = l.Listen(b.node.IP+":7", b); err != nil {
				t.Fatal(err)
			}
		})
		i.backends = append(i.backends, b)
		list.Members = append(list.Members, Member{ID: b.name, HostPort: b.node.IP + ":7", Locality: "a", Flavor: "std", Phase: PhaseServing, Size: 1})
	}
	cfg, err := ParseConfig(fmt.Appendf(nil, `{"name":"n0","listen":%q,"seed":"%x","settings":%s}`, virtualAddress, seed, fmt.Sprintf(settings, 3600_000)))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Choice.Probing = false
	if change != nil {
		change(&cfg)
	}
	i.node.Start(func(l *reactor.Loop) {
		if i.ingress, err = New(cfg, l); err != nil {
			t.Fatal(err)
		}
	})
	i.node.Loop.Post(func() { i.ingress.UpdateMembers(list); i.ingress.DiscoveryQueried() })
	i.client.Start(func(*reactor.Loop) {})
	i.run(10 * ms)
	return i
}

// run lets time go on.
func (i *simulation) run(d time.Duration) { i.net.Until(i.net.Now() + d) }

// do runs f as a part of the ingress's next round.
func (i *simulation) do(f func()) {
	i.node.Loop.Post(f)
	i.net.Until(i.net.Now())
}

// playedBackend is one backend that the test plays.
type playedBackend struct {
	*simulation
	node *simnet.Node
	ln   reactor.Listener
	name string
}

// playedAttempt is one command, or the first part of one, that came to a backend.
type playedAttempt struct {
	at    *playedBackend
	conn  reactor.Conn
	begun time.Duration // its first byte was written
	args  []string      // nil while it is not whole
	told  time.Duration // how long its answer is waited for
	over  bool          // the ingress has ended the connection
}

// Ready takes connections.
func (b *playedBackend) Ready(reactor.Event) {
	for {
		nc, err := b.ln.Accept()
		if err != nil {
			return
		}
		_ = nc.Watch(&playedConn{playedBackend: b, conn: nc})
	}
}

type playedConn struct {
	*playedBackend
	conn reactor.Conn
	in   []byte
	last *playedAttempt
}

// Ready reads commands.
func (c *playedConn) Ready(reactor.Event) {
	var buf [8 << 10]byte
	for {
		begun := simnet.SentAt(c.conn)
		n, err := c.conn.Read(buf[:])
		if err == reactor.ErrWait {
			return
		}
		if err != nil {
			if c.last != nil {
				c.last.over = true
			}
			return
		}
		if len(c.in) == 0 {
			c.last = &playedAttempt{at: c.playedBackend, conn: c.conn, begun: begun}
			c.attempts = append(c.attempts, c.last)
		}
		c.in = append(c.in, buf[:n]...)
		args, used, err := nextCommand(c.in)
		if err != nil {
			c.Errorf("backend %s gets %.80q: %v", c.name, c.in, err)
			return
		}
		if used == 0 {
			continue
		}
		if used < len(c.in) {
			c.Errorf("backend %s gets something behind a command: %.80q", c.name, c.in[used:])
		}
		for _, a := range args {
			c.last.args = append(c.last.args, string(a))
		}
		c.in = nil
		_, limit, _ := strings.Cut(c.last.args[optionsArg], "d=")
		limit, _, _ = strings.Cut(limit, ",")
		told, err := strconv.Atoi(limit)
		if err != nil {
			c.Errorf("backend %s is told %q", c.name, c.last.args[optionsArg])
		}
		c.last.told = time.Duration(told) * ms
		if c.answer != nil {
			c.answer(c.last)
		}
	}
}

// say writes on the attempt's connection.
func (a *playedAttempt) say(text string) { _, _ = a.conn.Write([]byte(text)) }

// serve answers with a value.
func (a *playedAttempt) serve(v string) {
	a.say(fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(v), v))
}

// virtualClient is one client's connection.
type virtualClient struct {
	*simulation
	conn  reactor.Conn
	out   []byte
	up    bool
	in    []byte
	ended bool // by the ingress, or by a reset
	reset bool
}

// dial connects a client, and says text once the connection is up.
func (i *simulation) dial(text string) *virtualClient {
	i.Helper()
	c := &virtualClient{simulation: i, out: []byte(text)}
	var err error
	if c.conn, err = i.client.Dial(virtualAddress, c); err != nil {
		i.Fatal(err)
	}
	return c
}

// Ready writes what is to be said and reads what is answered.
func (c *virtualClient) Ready(e reactor.Event) {
	c.up = c.up || e&reactor.Writable != 0
	c.flush()
	var buf [4096]byte
	for !c.ended {
		n, err := c.conn.Read(buf[:])
		c.in = append(c.in, buf[:n]...)
		if err == reactor.ErrWait {
			return
		}
		c.ended = err != nil
		c.reset = c.reset || err != nil && e&reactor.Gone != 0
	}
}

func (c *virtualClient) flush() {
	if c.up && len(c.out) > 0 {
		n, _ := c.conn.Write(c.out)
		c.out = c.out[n:]
	}
}

// say sends more.
func (c *virtualClient) say(text string) {
	c.out = append(c.out, text...)
	c.flush()
}

// answers are the lines that have come.
func (c *virtualClient) answers() string { return string(bytes.TrimSpace(c.in)) }

// ask is a request of a class that has so many milliseconds.
func ask(class, id string, limit int) string {
	options := standin.Options(class, limit)
	if class == "lookup" {
		return encode("Q.ASK", someCustomer, id, options)
	}
	return encode("Q.DO", someCustomer, id, options, "BODY")
}

// leavingVirtually are the ways in which a client leaves.
var leavingVirtually = map[string]func(*virtualClient){
	"end":   func(c *virtualClient) { c.conn.Close() },
	"reset": func(c *virtualClient) { c.client.Kill() },
}
