package simnet

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"wickarch/internal/reactor"
)

var (
	errReset = errors.New("simnet: connection reset")
	errPipe  = errors.New("simnet: the connection has ended")
)

const connectAgain = time.Second // TCP asks again where a listener's queue was full

// conn is one end of a connection.
type conn struct {
	node    *Node
	peer    *conn // nil until it is up
	name    string
	handler reactor.Handler
	events  reactor.Event // not told yet
	queued  bool          // is in node.ready

	held     bool     // holds a descriptor
	up       bool     // connected
	closed   bool     // by its own program
	mute     bool     // its machine has vanished
	wasReset bool     // the other side, or the network, has reset it
	in       []byte   // has come and is not read
	ended    bool     // the other side's end has come
	shut     bool     // this side sends nothing more
	inFlight int      // bytes sent that the other side has not read
	sending  []packet // on the way to the other side, in order
	lastAt   time.Duration
	blocked  bool // a write found the buffer full
	accepted time.Duration
	broken   bool          // the network has reset it
	sentAt   time.Duration // when the first octet still unread was sent
	cameAt   time.Duration // when the last of what has come did so
}

// What a stand-in may know of its connection beyond its own end, to judge by.

// SentAt is when the first byte that waits to be read was sent.
func SentAt(c reactor.Conn) time.Duration { return c.(*conn).sentAt }

// FarIP is the address of the machine at the other end.
func PeerIP(c reactor.Conn) string {
	if far := c.(*conn).peer; far != nil {
		return far.node.IP
	}
	return ""
}

// FarClosed tells whether the program at the other end has closed it, or died.
func PeerClosed(c reactor.Conn) bool {
	far := c.(*conn).peer
	return far != nil && (far.closed || far.wasReset)
}

// Accepted tells whether the program at the other end has taken it, and when.
func Accepted(c reactor.Conn) (at time.Duration, yes bool) {
	far := c.(*conn).peer
	if far == nil || far.accepted == 0 {
		return 0, false
	}
	return far.accepted, true
}

// Broken tells whether the network has reset it.
func ResetByNetwork(c reactor.Conn) bool { return c.(*conn).broken }

// packet is a segment, an end (no bytes) or a reset on its way.
type packet struct {
	at    time.Duration
	sent  time.Duration
	data  []byte
	end   bool
	reset bool
}

// hold registers a descriptor that was taken.
func (c *conn) hold() {
	c.held = true
	c.node.conns = append(c.node.conns, c)
}

// Dial begins a connection.
func (m *Node) Dial(address string, h reactor.Handler) (reactor.Conn, error) {
	ip, port, err := split(address)
	if err != nil {
		return nil, err
	}
	if !m.file() {
		return nil, reactor.ErrOutOfResources
	}
	n := m.net
	n.conns++
	c := &conn{node: m, handler: h, name: fmt.Sprintf("c%d %s>%s", n.conns, m.IP, address)}
	c.hold()
	c.knock(ip, port)
	return c, nil
}

// knock asks for the connection, once its request has crossed the network.
func (c *conn) knock(ip string, port int) {
	n := c.node.net
	if n.chance(n.Faults.Lose) {
		return
	}
	refused := n.chance(n.Faults.Refuse)
	n.After(n.latency(), func() {
		if c.closed || c.mute || n.cuts[[2]string{c.node.IP, ip}] || n.cuts[[2]string{ip, c.node.IP}] {
			return
		}
		to := n.byIP[ip]
		if to == nil {
			return
		}
		var at *listener
		for _, l := range to.listeners {
			if l.port == port && !l.closed {
				at = l
			}
		}
		if at == nil && to.Loop == nil && to.files == 0 && !to.refuses() {
			return
		}
		if at == nil || refused {
			n.After(n.latency(), func() {
				if !c.closed {
					n.trace("%s is refused", c.name)
					c.wasReset = true
					c.tell(reactor.Disconnected)
				}
			})
			return
		}
		far := &conn{node: to, peer: c, up: true, name: c.name + " far"}
		if !at.arrive(far) {
			n.After(connectAgain, func() {
				if !c.closed {
					c.knock(ip, port)
				}
			})
			return
		}
		c.peer = far
		n.After(n.latency(), func() {
			if !c.closed && !c.mute && !c.wasReset {
				c.up = true
				c.tell(reactor.Writable)
				if len(c.in) > 0 {
					c.tell(reactor.Readable)
				}
			}
		})
	})
}

// refuses tells that the machine is there, though nothing listens.
func (m *Node) refuses() bool { return true }

// tell notes an event for the program.
func (c *conn) tell(e reactor.Event) {
	if c.closed || c.mute {
		return
	}
	c.events |= e
	if c.handler == nil {
		return
	}
	if !c.queued {
		c.queued = true
		c.node.ready = append(c.node.ready, c)
	}
	c.node.wake(c.node.net.now)
}

func (c *conn) Watch(h reactor.Handler) error {
	c.handler = h
	c.events |= reactor.Writable
	if len(c.in) > 0 || c.ended {
		c.events |= reactor.Readable
	}
	c.tell(0)
	return nil
}

func (c *conn) Read(b []byte) (int, error) {
	switch {
	case c.closed:
		return 0, errPipe
	case len(c.in) > 0 && len(b) > 0:
		n := copy(b, c.in)
		if c.in = c.in[n:]; len(c.in) == 0 {
			c.in = nil
		}
		c.taken(n)
		return n, nil
	case c.wasReset:
		return 0, errReset
	case c.ended:
		return 0, io.EOF
	}
	return 0, reactor.ErrWouldBlock
}

// taken gives the other side room for what was read.
func (c *conn) taken(n int) {
	p := c.peer
	if p == nil {
		return
	}
	net := c.node.net
	net.After(net.latency(), func() {
		p.inFlight -= n
		if p.blocked {
			p.blocked = false
			p.tell(reactor.Writable)
		}
	})
}

// Waited tells how long ago the last segment came, by the program's clock.
func (c *conn) SinceLastReceive() time.Duration {
	return time.Duration(float64(c.node.net.now-c.cameAt) * c.node.ClockRate)
}

// Gone tells whether the other side has ended it, or it has broken.
func (c *conn) Disconnected() bool { return c.closed || c.ended || c.wasReset }

// Unsent tells whether something is on its way.
func (c *conn) HasUnacked() bool { return !c.closed && len(c.sending) > 0 }

func (c *conn) Pending() bool { return c.closed || len(c.in) > 0 || c.ended || c.wasReset }

func (c *conn) Write(b []byte) (int, error) {
	switch {
	case c.closed, c.shut:
		return 0, errPipe
	case c.wasReset:
		return 0, errReset
	case !c.up:
		return 0, reactor.ErrWouldBlock
	}
	n := c.node.net
	most := n.Faults.Buffer
	if most == 0 {
		most = usualBuffer
	}
	room := max(0, most-c.inFlight)
	if room > 1 && n.chance(n.Faults.ShortSend) {
		room = 1 + n.Rand.IntN(room)
		room = min(room, max(1, n.Rand.IntN(len(b)+1)))
	}
	took := min(room, len(b))
	rest := slices.Clone(b[:took])
	for len(rest) > 0 {
		part := rest
		if len(rest) > 1 && n.chance(n.Faults.Cut) {
			part = rest[:1+n.Rand.IntN(len(rest)-1)]
		}
		rest = rest[len(part):]
		c.send(packet{data: part})
	}
	c.inFlight += took
	if took < len(b) {
		c.blocked = true
		if room > 0 { // cut short though there is room: it takes more again soon
			n.After(n.latency(), func() {
				if c.blocked {
					c.blocked = false
					c.tell(reactor.Writable)
				}
			})
		}
		return took, reactor.ErrWouldBlock
	}
	return took, nil
}

func (c *conn) CloseWrite() {
	if !c.shut && !c.closed && c.up {
		c.shut = true
		c.send(packet{end: true})
	}
}

func (c *conn) Close() {
	if c.closed {
		return
	}
	unread := len(c.in) > 0
	c.release()
	if c.peer == nil || c.wasReset || c.mute {
		return
	}
	// What has not been read turns the end into a reset, as TCP does.
	if unread {
		c.send(packet{reset: true})
	} else if !c.shut {
		c.shut = true
		c.send(packet{end: true})
	}
}

// release gives the descriptor back.
func (c *conn) release() {
	c.closed = true
	if c.held {
		c.held = false
		c.node.files--
		if i := slices.Index(c.node.conns, c); i >= 0 {
			c.node.conns = slices.Delete(c.node.conns, i, i+1)
		}
	}
	c.in = nil
}

// abort ends it as a program that dies does.
func (c *conn) abort() {
	if c.closed {
		return
	}
	c.release()
	if c.peer != nil && !c.wasReset && !c.mute {
		c.send(packet{reset: true})
	}
}

// send puts something on its way. It comes behind what was sent before.
func (c *conn) send(p packet) {
	n := c.node.net
	if len(p.data) > 0 && n.chance(n.Faults.Reset) {
		n.trace("%s is reset by the network", c.name)
		peer := c.peer
		c.broken, peer.broken = true, true
		n.After(n.latency(), c.breakOff)
		n.After(n.latency(), peer.breakOff)
	}
	c.lastAt = max(c.lastAt, n.now+n.latency())
	p.at, p.sent = c.lastAt, n.now
	c.sending = append(c.sending, p)
	n.at(p.at, c.depart)
}

// depart delivers what has come to the other side by now, unless the way is cut.
func (c *conn) depart() {
	n := c.node.net
	for len(c.sending) > 0 && c.sending[0].at <= n.now {
		if c.mute {
			return
		}
		if n.cuts[[2]string{c.node.IP, c.peer.node.IP}] {
			if !slices.Contains(n.held, c) {
				n.held = append(n.held, c)
			}
			return
		}
		p := c.sending[0]
		c.sending = c.sending[1:]
		c.peer.receive(p)
	}
}

// breakOff ends both directions, at this end.
func (c *conn) breakOff() {
	if c.closed || c.mute || c.wasReset {
		return
	}
	c.wasReset, c.in = true, nil
	c.tell(reactor.Disconnected | reactor.Readable | reactor.ReadClosed)
}

// receive takes a packet in.
func (c *conn) receive(p packet) {
	n := c.node.net
	switch {
	case c.mute, c.wasReset:
	case p.reset:
		n.trace("%s gets a reset", c.name)
		c.breakOff()
	case c.closed:
		// Sent to a connection that has been closed: a reset goes back.
		if !p.end && !c.peer.closed {
			n.After(n.latency(), c.peer.breakOff)
		}
	case p.end:
		n.note(nil)
		n.trace("%s gets the end", c.name)
		c.ended = true
		c.tell(reactor.Readable | reactor.ReadClosed)
	default:
		n.note(p.data)
		if n.Trace != nil { // the arguments alone would cost something
			n.trace("%s gets %q", c.name, p.data)
		}
		if len(c.in) == 0 {
			c.sentAt = p.sent
		}
		c.in, c.cameAt = append(c.in, p.data...), n.now
		c.tell(reactor.Readable)
	}
}
