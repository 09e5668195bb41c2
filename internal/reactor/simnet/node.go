package simnet

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"wickarch/internal/reactor"
)

// Node is one machine, and the reactor.Driver of the program on it.
type Node struct {
	IP             string
	Loop           *reactor.Loop // of the running program; nil while none runs
	ClockRate      float64       // of the program's clock, relative to the network's
	MaxDescriptors int           // limit for the program; 0: none

	net            *Net
	startedAt      time.Duration // when the program started, in network time
	wallStart      time.Time     // the wall clock at that time
	listeners      []*listener
	conns          []*conn     // those that hold a descriptor
	readyConns     []*conn     // have events to report in the next Wait
	readyListeners []*listener // likewise
	assignedPorts  int
	descriptors    int           // held now
	incarnation    int           // counts starts and ends: a round scheduled for an earlier one is dropped
	nextRound      time.Duration // if roundScheduled
	roundScheduled bool
	paused         bool
	missedRound    bool // a round was due while paused
}

// Epoch is the wall clock at time 0 of every network.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Node adds a machine, on which no program runs yet.
func (n *Net) Node(ip string) *Node {
	m := &Node{IP: ip, ClockRate: 1, net: n, wallStart: Epoch}
	n.nodes = append(n.nodes, m)
	n.byIP[ip] = m
	return m
}

// Start starts a program: setup gets its loop, whose rounds run from then on.
func (m *Node) Start(setup func(*reactor.Loop)) {
	m.incarnation++
	m.startedAt, m.wallStart = m.net.now, Epoch.Add(m.net.now)
	m.Loop = reactor.New(m)
	m.paused, m.missedRound, m.roundScheduled = false, false, false
	setup(m.Loop)
	m.wake(m.net.now)
}

// Kill ends the program as SIGKILL does; its connections are reset.
func (m *Node) Kill() {
	m.net.trace("%s is killed", m.IP)
	m.incarnation++
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
	m.listeners, m.conns, m.readyConns, m.readyListeners, m.descriptors = nil, nil, nil, nil, 0
}

// PowerOff stops the machine: its peers receive neither data nor a reset any more.
func (m *Node) PowerOff() {
	m.net.trace("%s is powered off", m.IP)
	m.incarnation++
	m.Loop = nil
	for _, c := range m.conns {
		c.machineDown = true
	}
	m.listeners, m.conns, m.readyConns, m.readyListeners, m.descriptors = nil, nil, nil, nil, 0
}

// Pause suspends the program, as SIGSTOP or a long garbage collection does. Its
// kernel keeps running.
func (m *Node) Pause() {
	m.net.trace("%s is paused", m.IP)
	m.paused = true
}

// Resume ends a pause and runs a round that was missed.
func (m *Node) Resume() {
	m.net.trace("%s resumes", m.IP)
	if m.paused = false; m.missedRound {
		m.missedRound = false
		m.wake(m.net.now)
	}
}

// OpenDescriptors is the number of descriptors that the program holds.
func (m *Node) OpenDescriptors() int { return m.descriptors }

// Now is the program's clock.
func (m *Node) Now() time.Duration {
	return time.Duration(float64(m.net.now-m.startedAt) * m.ClockRate)
}

// ReadsDelayed is always false: no poll or read fails in the simulation.
func (m *Node) ReadsDelayed() bool { return false }

// WallTime is the current wall clock.
func (m *Node) WallTime() time.Time { return m.wallStart.Add(m.Now()) }

// networkTime converts a time of the program's clock to network time, rounded up.
func (m *Node) networkTime(t time.Duration) time.Duration {
	return m.startedAt + time.Duration(float64(t)/m.ClockRate) + 1
}

// Wake schedules a round.
func (m *Node) Wake() { m.wake(m.net.now) }

// Close does nothing: the node stays usable.
func (m *Node) Close() {}

// wake schedules a round at a time plus a random lag, unless one is scheduled earlier.
func (m *Node) wake(at time.Duration) {
	at = max(at, m.net.now) + m.net.randomDuration(m.net.Faults.Lag)
	if m.Loop == nil || m.roundScheduled && m.nextRound <= at {
		return
	}
	m.roundScheduled, m.nextRound = true, at
	incarnation := m.incarnation
	m.net.schedule(at, func() {
		if m.incarnation == incarnation && m.roundScheduled && m.nextRound == at {
			m.runRound()
		}
	})
}

// runRound runs one round of the program.
func (m *Node) runRound() {
	m.roundScheduled = false
	if m.paused {
		m.missedRound = true
		return
	}
	l := m.Loop
	incarnation := m.incarnation
	_ = l.Wait(0, true) // a Node's Wait never fails
	if m.incarnation != incarnation {
		return
	}
	l.Round()
	if m.incarnation != incarnation {
		return
	}
	if len(m.readyConns) > 0 || len(m.readyListeners) > 0 {
		m.wake(m.net.now)
	} else if at, ok := l.Next(); ok {
		m.wake(m.networkTime(at))
	}
}

// Wait calls the handlers of listeners, then those of connections in random order.
func (m *Node) Wait(time.Duration, bool) error {
	incarnation := m.incarnation
	accepting := m.readyListeners
	m.readyListeners = nil
	for _, l := range accepting {
		l.inReadyList = false
		if !l.closed {
			l.handler.Ready(reactor.Readable)
		}
	}
	ready := m.readyConns
	m.readyConns = nil
	m.net.Rand.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	for _, c := range ready {
		if m.incarnation != incarnation {
			return nil
		}
		pending := c.events
		c.events, c.queued = 0, false
		if c.handler != nil && !c.closed && pending != 0 {
			c.handler.Ready(pending)
		}
	}
	return nil
}

var errInUse = errors.New("simnet: address in use")

// Listen opens a port of the node.
func (m *Node) Listen(address string, h reactor.Handler) (reactor.Listener, error) {
	ip, port, err := splitAddress(address)
	if err != nil {
		return nil, err
	}
	if ip != m.IP {
		return nil, fmt.Errorf("simnet: %s has no address %s", m.IP, ip)
	}
	if port == 0 {
		m.assignedPorts++
		port = 40_000 + m.assignedPorts
	}
	for _, l := range m.listeners {
		if l.port == port && !l.closed {
			return nil, errInUse
		}
	}
	if !m.takeDescriptor() {
		return nil, reactor.ErrOutOfResources
	}
	l := &listener{node: m, port: port, handler: h}
	m.listeners = append(m.listeners, l)
	return l, nil
}

// takeDescriptor counts one more descriptor, or returns false at the limit.
func (m *Node) takeDescriptor() bool {
	if m.MaxDescriptors > 0 && m.descriptors >= m.MaxDescriptors {
		return false
	}
	m.descriptors++
	return true
}

// listener accepts the connections of one port.
type listener struct {
	node        *Node
	port        int
	handler     reactor.Handler
	waiting     []*conn
	inReadyList bool // is in node.readyListeners
	closed      bool
}

func (l *listener) Accept() (reactor.Conn, error) {
	if l.closed || len(l.waiting) == 0 {
		return nil, reactor.ErrWouldBlock
	}
	if !l.node.takeDescriptor() {
		return nil, reactor.ErrOutOfResources
	}
	c := l.waiting[0]
	l.waiting = l.waiting[1:]
	c.registerDescriptor()
	c.acceptedAt = l.node.net.now
	return c, nil
}

func (l *listener) HasPending() bool { return !l.closed && len(l.waiting) > 0 }

func (l *listener) Address() string { return fmt.Sprintf("%s:%d", l.node.IP, l.port) }

func (l *listener) Close() {
	if l.closed {
		return
	}
	l.closed = true
	l.node.descriptors--
	l.node.listeners = slices.DeleteFunc(l.node.listeners, func(o *listener) bool { return o == l })
	for _, c := range l.waiting {
		c.abort()
	}
	l.waiting = nil
}

// enqueue adds a connection to the accept queue. It returns false if that is full.
func (l *listener) enqueue(c *conn) bool {
	backlog := l.node.net.Faults.Backlog
	if backlog == 0 {
		backlog = defaultBacklog
	}
	if len(l.waiting) >= backlog {
		return false
	}
	l.waiting = append(l.waiting, c)
	if !l.inReadyList {
		l.inReadyList = true
		l.node.readyListeners = append(l.node.readyListeners, l)
	}
	l.node.wake(l.node.net.now)
	return true
}
