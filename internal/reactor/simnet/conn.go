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
	errPipe  = errors.New("simnet: write or read on a closed connection")
)

// connectRetryInterval is the time after which a SYN that a full listen queue dropped is sent again.
const connectRetryInterval = time.Second

// conn is one end of a connection.
type conn struct {
	node    *Node
	peer    *conn // nil until the connect has reached the listener
	name    string
	handler reactor.Handler
	events  reactor.Event // not yet reported to the handler
	queued  bool          // is in node.readyConns

	holdsDescriptor bool
	connected       bool
	closed          bool          // by its own program
	machineDown     bool          // its machine is powered off
	wasReset        bool          // by the peer or the network
	received        []byte        // arrived and not read
	peerEnded       bool          // the peer's FIN has arrived
	writeClosed     bool          // the FIN has been sent
	inFlight        int           // bytes sent that the peer has not read
	sending         []packet      // on the way to the peer, in order
	lastArrival     time.Duration // when the last packet sent arrives
	blocked         bool          // a write did not take all bytes
	acceptedAt      time.Duration // 0 until accepted
	resetByNetwork  bool
	sentAt          time.Duration // when the first byte still unread was sent
	receivedAt      time.Duration // when data last arrived
}

// The functions below tell simulated clients and backends more about a connection
// than a real one shows, so that they can check what the ingress does.

// SentAt is when the first unread byte was sent.
func SentAt(c reactor.Conn) time.Duration { return c.(*conn).sentAt }

// PeerIP is the address of the machine at the other end; empty while unconnected.
func PeerIP(c reactor.Conn) string {
	if remote := c.(*conn).peer; remote != nil {
		return remote.node.IP
	}
	return ""
}

// PeerClosed reports whether the other end is closed or reset, or its program was killed.
func PeerClosed(c reactor.Conn) bool {
	remote := c.(*conn).peer
	return remote != nil && (remote.closed || remote.wasReset)
}

// Accepted reports whether and when the program at the other end accepted the connection.
func Accepted(c reactor.Conn) (at time.Duration, ok bool) {
	remote := c.(*conn).peer
	if remote == nil || remote.acceptedAt == 0 {
		return 0, false
	}
	return remote.acceptedAt, true
}

// ResetByNetwork reports whether the simulated network has reset the connection.
func ResetByNetwork(c reactor.Conn) bool { return c.(*conn).resetByNetwork }

// packet is a data segment, a FIN or a reset in transit.
type packet struct {
	at    time.Duration // arrival
	sent  time.Duration
	data  []byte
	end   bool // FIN
	reset bool
}

// registerDescriptor adds the connection to those that hold a descriptor of the node.
func (c *conn) registerDescriptor() {
	c.holdsDescriptor = true
	c.node.conns = append(c.node.conns, c)
}

// Dial starts a connection.
func (m *Node) Dial(address string, h reactor.Handler) (reactor.Conn, error) {
	ip, port, err := splitAddress(address)
	if err != nil {
		return nil, err
	}
	if !m.takeDescriptor() {
		return nil, reactor.ErrOutOfResources
	}
	n := m.net
	n.conns++
	c := &conn{node: m, handler: h, name: fmt.Sprintf("c%d %s>%s", n.conns, m.IP, address)}
	c.registerDescriptor()
	c.connect(ip, port)
	return c, nil
}

// connect sends a connect request over the network and handles its result.
func (c *conn) connect(ip string, port int) {
	n := c.node.net
	if n.occurs(n.Faults.Lose) {
		return
	}
	refused := n.occurs(n.Faults.Refuse)
	n.After(n.latency(), func() {
		if c.closed || c.machineDown || n.partitions[[2]string{c.node.IP, ip}] || n.partitions[[2]string{ip, c.node.IP}] {
			return
		}
		destination := n.byIP[ip]
		if destination == nil {
			return
		}
		var found *listener
		for _, l := range destination.listeners {
			if l.port == port && !l.closed {
				found = l
			}
		}
		if found == nil && destination.Loop == nil && destination.descriptors == 0 && !destination.refuses() {
			return
		}
		if found == nil || refused {
			n.After(n.latency(), func() {
				if !c.closed {
					n.trace("%s: connection refused", c.name)
					c.wasReset = true
					c.notify(reactor.Disconnected)
				}
			})
			return
		}
		remote := &conn{node: destination, peer: c, connected: true, name: c.name + " far"}
		if !found.enqueue(remote) {
			n.After(connectRetryInterval, func() {
				if !c.closed {
					c.connect(ip, port)
				}
			})
			return
		}
		c.peer = remote
		n.After(n.latency(), func() {
			if !c.closed && !c.machineDown && !c.wasReset {
				c.connected = true
				c.notify(reactor.Writable)
				if len(c.received) > 0 {
					c.notify(reactor.Readable)
				}
			}
		})
	})
}

// refuses reports that the machine answers a connect to a closed port with a reset.
func (m *Node) refuses() bool { return true }

// notify records events for the handler and schedules a round.
func (c *conn) notify(e reactor.Event) {
	if c.closed || c.machineDown {
		return
	}
	c.events |= e
	if c.handler == nil {
		return
	}
	if !c.queued {
		c.queued = true
		c.node.readyConns = append(c.node.readyConns, c)
	}
	c.node.wake(c.node.net.now)
}

func (c *conn) Watch(h reactor.Handler) error {
	c.handler = h
	c.events |= reactor.Writable
	if len(c.received) > 0 || c.peerEnded {
		c.events |= reactor.Readable
	}
	c.notify(0)
	return nil
}

func (c *conn) Read(b []byte) (int, error) {
	switch {
	case c.closed:
		return 0, errPipe
	case len(c.received) > 0 && len(b) > 0:
		n := copy(b, c.received)
		if c.received = c.received[n:]; len(c.received) == 0 {
			c.received = nil
		}
		c.freePeerBuffer(n)
		if c.node.net.Faults.Window > 0 && c.peer != nil {
			c.node.net.After(c.node.net.latency(), c.peer.deliver)
		}
		return n, nil
	case c.wasReset:
		return 0, errReset
	case c.peerEnded:
		return 0, io.EOF
	}
	return 0, reactor.ErrWouldBlock
}

// freePeerBuffer frees space in the peer's send buffer for n bytes that were read.
func (c *conn) freePeerBuffer(n int) {
	p := c.peer
	if p == nil {
		return
	}
	net := c.node.net
	net.After(net.latency(), func() {
		p.inFlight -= n
		if p.blocked {
			p.blocked = false
			p.notify(reactor.Writable)
		}
	})
}

// SinceLastReceive is the time since the last segment arrived, by the program's clock.
func (c *conn) SinceLastReceive() time.Duration {
	return time.Duration(float64(c.node.net.now-c.receivedAt) * c.node.ClockRate)
}

// Disconnected reports whether either side has closed the connection or it was reset.
func (c *conn) Disconnected() bool { return c.closed || c.peerEnded || c.wasReset }

// HasUnacked reports whether packets are in transit to the peer, or their acknowledgement is on its way back.
func (c *conn) HasUnacked() bool {
	n := c.node.net
	return !c.closed && (len(c.sending) > 0 || c.lastArrival > 0 && n.now < c.lastArrival+n.Faults.Latency+n.Faults.Jitter)
}

// Unread returns the number of bytes that have arrived and were not read.
func (c *conn) Unread() int { return len(c.received) }

func (c *conn) Pending() bool { return c.closed || len(c.received) > 0 || c.peerEnded || c.wasReset }

func (c *conn) Write(b []byte) (int, error) {
	switch {
	case c.closed, c.writeClosed:
		return 0, errPipe
	case c.wasReset:
		return 0, errReset
	case !c.connected:
		return 0, reactor.ErrWouldBlock
	}
	n := c.node.net
	capacity := n.Faults.Buffer
	if capacity == 0 {
		capacity = defaultBuffer
	}
	room := max(0, capacity-c.inFlight)
	if room > 1 && n.occurs(n.Faults.ShortSend) {
		room = 1 + n.Rand.IntN(room)
		room = min(room, max(1, n.Rand.IntN(len(b)+1)))
	}
	accepted := min(room, len(b))
	rest := slices.Clone(b[:accepted])
	for len(rest) > 0 {
		segment := rest
		if len(rest) > 1 && n.occurs(n.Faults.Cut) {
			segment = rest[:1+n.Rand.IntN(len(rest)-1)]
		}
		rest = rest[len(segment):]
		c.send(packet{data: segment})
	}
	c.inFlight += accepted
	if accepted < len(b) {
		c.blocked = true
		if room > 0 { // a short write, so the buffer may not be full: it becomes writable again soon
			n.After(n.latency(), func() {
				if c.blocked {
					c.blocked = false
					c.notify(reactor.Writable)
				}
			})
		}
		return accepted, reactor.ErrWouldBlock
	}
	return accepted, nil
}

func (c *conn) CloseWrite() {
	if !c.writeClosed && !c.closed && c.connected {
		c.writeClosed = true
		c.send(packet{end: true})
	}
}

func (c *conn) Close() {
	if c.closed {
		return
	}
	unread := len(c.received) > 0
	c.release()
	if c.peer == nil || c.wasReset || c.machineDown {
		return
	}
	// As in TCP, closing with unread data sends a reset instead of a FIN.
	if unread {
		c.send(packet{reset: true})
	} else if !c.writeClosed {
		c.writeClosed = true
		c.send(packet{end: true})
	}
}

// release closes this end and frees its descriptor.
func (c *conn) release() {
	c.closed = true
	if c.holdsDescriptor {
		c.holdsDescriptor = false
		c.node.descriptors--
		if i := slices.Index(c.node.conns, c); i >= 0 {
			c.node.conns = slices.Delete(c.node.conns, i, i+1)
		}
	}
	c.received = nil
}

// abort closes the connection with a reset, as the death of its program does.
func (c *conn) abort() {
	if c.closed {
		return
	}
	c.release()
	if c.peer != nil && !c.wasReset && !c.machineDown {
		c.send(packet{reset: true})
	}
}

// send puts a packet in transit. It arrives after those sent before.
func (c *conn) send(p packet) {
	n := c.node.net
	if len(p.data) > 0 && n.occurs(n.Faults.Reset) {
		n.trace("%s: reset by the network", c.name)
		peer := c.peer
		c.resetByNetwork, peer.resetByNetwork = true, true
		n.After(n.latency(), c.markReset)
		n.After(n.latency(), peer.markReset)
	}
	c.lastArrival = max(c.lastArrival, n.now+n.latency())
	p.at, p.sent = c.lastArrival, n.now
	c.sending = append(c.sending, p)
	n.schedule(p.at, c.deliver)
}

// deliver hands the packets that are due to the peer, unless a partition holds them back.
func (c *conn) deliver() {
	n := c.node.net
	for len(c.sending) > 0 && c.sending[0].at <= n.now {
		if c.machineDown {
			return
		}
		if n.partitions[[2]string{c.node.IP, c.peer.node.IP}] {
			if !slices.Contains(n.blocked, c) {
				n.blocked = append(n.blocked, c)
			}
			return
		}
		p := c.sending[0]
		if !c.peer.hasWindowFor(p) {
			return // until the peer reads
		}
		c.sending = c.sending[1:]
		c.peer.receive(p)
	}
}

// hasWindowFor reports whether a packet fits into what this end's machine may hold. One that is empty accepts any.
func (c *conn) hasWindowFor(p packet) bool {
	window := c.node.net.Faults.Window
	return window == 0 || p.reset || c.closed || len(c.received) == 0 || len(c.received)+max(1, len(p.data)) <= window
}

// markReset resets this end: unread data is lost.
func (c *conn) markReset() {
	if c.closed || c.machineDown || c.wasReset {
		return
	}
	c.wasReset, c.received = true, nil
	c.notify(reactor.Disconnected | reactor.Readable | reactor.ReadClosed)
}

// receive handles a packet that has arrived.
func (c *conn) receive(p packet) {
	n := c.node.net
	switch {
	case c.machineDown, c.wasReset:
	case p.reset:
		n.trace("%s: received a reset", c.name)
		c.markReset()
	case c.closed:
		// Data for a closed connection is answered with a reset.
		if !p.end && !c.peer.closed {
			n.After(n.latency(), c.peer.markReset)
		}
	case p.end:
		n.hashDelivery(nil)
		n.trace("%s: received a FIN", c.name)
		c.peerEnded = true
		c.notify(reactor.Readable | reactor.ReadClosed)
	default:
		n.hashDelivery(p.data)
		if n.Trace != nil { // boxing the arguments is a cost even without a trace
			n.trace("%s: received %q", c.name, p.data)
		}
		if len(c.received) == 0 {
			c.sentAt = p.sent
		}
		c.received, c.receivedAt = append(c.received, p.data...), n.now
		c.notify(reactor.Readable)
	}
}
