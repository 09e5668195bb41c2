package simnet

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"wickarch/internal/reactor"
)

// Node is one machine, and the reactor's world of the program on it.
type Node struct {
	IP             string
	Loop           *reactor.Loop // of the program that runs there; nil while none does
	ClockRate      float64       // of its clock, against the network's
	MaxDescriptors int           // descriptors it may hold; 0: no bound

	net       *Net
	epoch     time.Duration // when the program started, by the network
	began     time.Time
	listeners []*listener
	conns     []*conn // that hold a descriptor
	ready     []*conn
	accepts   []*listener // told of next
	port      int
	files     int
	life      int // counts starts: what was meant for one before is dropped
	wakeAt    time.Duration
	awake     bool // a round is due at wakeAt
	paused    bool
	missed    bool // a round fell due while paused
}

// Epoch is the wall clock at the start of every network.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Node adds a machine.
func (n *Net) Node(ip string) *Node {
	m := &Node{IP: ip, ClockRate: 1, net: n, began: Epoch}
	n.nodes = append(n.nodes, m)
	n.byIP[ip] = m
	return m
}

// Start begins a program: setup is given its loop, which runs from then on.
func (m *Node) Start(setup func(*reactor.Loop)) {
	m.life++
	m.epoch, m.began = m.net.now, Epoch.Add(m.net.now)
	m.Loop = reactor.New(m)
	m.paused, m.missed, m.awake = false, false, false
	setup(m.Loop)
	m.wake(m.net.now)
}

// Kill ends the program as SIGKILL does: its connections are reset.
func (m *Node) Kill() {
	m.net.trace("%s is killed", m.IP)
	m.life++
	m.Loop = nil
	for _, l := range m.listeners {
		l.closed = true
		for _, c := range l.waiting {
			c.abort()
		}
		l.waiting = nil
	}
	for _, c := range slices.Clone(m.conns) {
		c.abort()
	}
	m.listeners, m.conns, m.ready, m.accepts, m.files = nil, nil, nil, nil, 0
}

// Vanish ends the machine without a word: its peers hear nothing any more.
func (m *Node) PowerOff() {
	m.net.trace("%s vanishes", m.IP)
	m.life++
	m.Loop = nil
	for _, c := range m.conns {
		c.mute = true
	}
	m.listeners, m.conns, m.ready, m.accepts, m.files = nil, nil, nil, nil, 0
}

// Pause lets the program stand still, as SIGSTOP or a long collection does. Its
// kernel goes on.
func (m *Node) Pause() {
	m.net.trace("%s stands still", m.IP)
	m.paused = true
}

// Resume lets it run on.
func (m *Node) Resume() {
	m.net.trace("%s runs on", m.IP)
	if m.paused = false; m.missed {
		m.missed = false
		m.wake(m.net.now)
	}
}

// Open is the number of descriptors that its program holds.
func (m *Node) OpenDescriptors() int { return m.files }

// Now is the program's clock.
func (m *Node) Now() time.Duration {
	return time.Duration(float64(m.net.now-m.epoch) * m.ClockRate)
}

// Hindered tells that no call fails here.
func (m *Node) ReadsDelayed() bool { return false }

// Wall is the wall clock now.
func (m *Node) WallTime() time.Time { return m.began.Add(m.Now()) }

// networkTime turns a time of the program's clock into the network's.
func (m *Node) networkTime(t time.Duration) time.Duration {
	return m.epoch + time.Duration(float64(t)/m.ClockRate) + 1
}

// Wake has a round come soon.
func (m *Node) Wake() { m.wake(m.net.now) }

// Close does nothing: the node goes on.
func (m *Node) Close() {}

// wake has a round come at a time, if none comes sooner.
func (m *Node) wake(at time.Duration) {
	at = max(at, m.net.now) + m.net.span(m.net.Faults.Lag)
	if m.Loop == nil || m.awake && m.wakeAt <= at {
		return
	}
	m.awake, m.wakeAt = true, at
	life := m.life
	m.net.at(at, func() {
		if m.life == life && m.awake && m.wakeAt == at {
			m.turn()
		}
	})
}

// turn runs one round of the program.
func (m *Node) turn() {
	m.awake = false
	if m.paused {
		m.missed = true
		return
	}
	l := m.Loop
	life := m.life
	_ = l.Wait(0, true) // the simulated world's wait does not fail
	if m.life != life {
		return
	}
	l.Round()
	if m.life != life {
		return
	}
	if len(m.ready) > 0 || len(m.accepts) > 0 {
		m.wake(m.net.now)
	} else if at, any := l.Next(); any {
		m.wake(m.networkTime(at))
	}
}

// Wait tells the handlers what has happened, in any order.
func (m *Node) Wait(time.Duration, bool) error {
	life := m.life
	accepts := m.accepts
	m.accepts = nil
	for _, l := range accepts {
		l.told = false
		if !l.closed {
			l.handler.Ready(reactor.Readable)
		}
	}
	ready := m.ready
	m.ready = nil
	m.net.Rand.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	for _, c := range ready {
		if m.life != life {
			return nil
		}
		what := c.events
		c.events, c.queued = 0, false
		if c.handler != nil && !c.closed && what != 0 {
			c.handler.Ready(what)
		}
	}
	return nil
}

var errInUse = errors.New("simnet: address in use")

// Listen opens an address of the node.
func (m *Node) Listen(address string, h reactor.Handler) (reactor.Listener, error) {
	ip, port, err := split(address)
	if err != nil {
		return nil, err
	}
	if ip != m.IP {
		return nil, fmt.Errorf("simnet: %s has no address %s", m.IP, ip)
	}
	if port == 0 {
		m.port++
		port = 40_000 + m.port
	}
	for _, l := range m.listeners {
		if l.port == port && !l.closed {
			return nil, errInUse
		}
	}
	if !m.file() {
		return nil, reactor.ErrOutOfResources
	}
	l := &listener{node: m, port: port, handler: h}
	m.listeners = append(m.listeners, l)
	return l, nil
}

// file takes a descriptor.
func (m *Node) file() bool {
	if m.MaxDescriptors > 0 && m.files >= m.MaxDescriptors {
		return false
	}
	m.files++
	return true
}

// listener takes the connections of one port.
type listener struct {
	node    *Node
	port    int
	handler reactor.Handler
	waiting []*conn
	told    bool // is in node.accepts
	closed  bool
}

func (l *listener) Accept() (reactor.Conn, error) {
	if l.closed || len(l.waiting) == 0 {
		return nil, reactor.ErrWouldBlock
	}
	if !l.node.file() {
		return nil, reactor.ErrOutOfResources
	}
	c := l.waiting[0]
	l.waiting = l.waiting[1:]
	c.hold()
	c.accepted = l.node.net.now
	return c, nil
}

func (l *listener) HasPending() bool { return !l.closed && len(l.waiting) > 0 }

func (l *listener) Address() string { return fmt.Sprintf("%s:%d", l.node.IP, l.port) }

func (l *listener) Close() {
	if l.closed {
		return
	}
	l.closed = true
	l.node.files--
	l.node.listeners = slices.DeleteFunc(l.node.listeners, func(o *listener) bool { return o == l })
	for _, c := range l.waiting {
		c.abort()
	}
	l.waiting = nil
}

// arrive queues a connection, or drops it where the queue is full.
func (l *listener) arrive(c *conn) bool {
	most := l.node.net.Faults.Backlog
	if most == 0 {
		most = usualBacklog
	}
	if len(l.waiting) >= most {
		return false
	}
	l.waiting = append(l.waiting, c)
	if !l.told {
		l.told = true
		l.node.accepts = append(l.node.accepts, l)
	}
	l.node.wake(l.node.net.now)
	return true
}
