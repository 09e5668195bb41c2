package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link is a TCP proxy to one address that can simulate network faults.
type Link struct {
	Addr string // address to connect to

	to     string
	ln     net.Listener
	mu     sync.Mutex
	healed [2]chan struct{} // per direction: non-nil while silenced, closed by Heal
	delay  time.Duration    // delay of each chunk
	conns  map[net.Conn]struct{}
	closed bool
}

// NewLink starts a link to an address.
func NewLink(to string) (*Link, error) {
	ln, err := Listen()
	return newLink(ln, err, to)
}

// NewLinkAt starts a link at a given address, where connections were refused until then.
func NewLinkAt(at, to string) (*Link, error) {
	ln, err := net.Listen("tcp", at)
	return newLink(ln, err, to)
}

func newLink(ln net.Listener, err error, to string) (*Link, error) {
	if err != nil {
		return nil, err
	}
	l := &Link{Addr: ln.Addr().String(), to: to, ln: ln, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go l.relay(near)
		}
	}()
	return l, nil
}

func (l *Link) relay(near net.Conn) {
	if !l.track(near) {
		return
	}
	l.wait(forward)
	far, err := net.Dial("tcp", l.to)
	if err != nil || !l.track(far) {
		l.drop(near)
		return
	}
	go l.copy(far, near, forward)
	l.copy(near, far, reverse)
}

// The two directions of a link: from the side that connects to the target address, and back.
const (
	forward = iota
	reverse
)

// track records a connection so that Reset and Close can end it. It closes the connection
// and returns false if the link is closed.
func (l *Link) track(nc net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		nc.Close()
		return false
	}
	l.conns[nc] = struct{}{}
	return true
}

func (l *Link) drop(nc net.Conn) {
	nc.Close()
	l.mu.Lock()
	delete(l.conns, nc)
	l.mu.Unlock()
}

func (l *Link) copy(to, from net.Conn, direction int) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		l.wait(direction) // data and EOF are held while the link is silenced
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			break
		}
	}
	l.drop(to)
	l.drop(from)
}

// wait blocks while the direction is silenced, and then for the delay.
func (l *Link) wait(direction int) {
	l.mu.Lock()
	healed, delay := l.healed[direction], l.delay
	l.mu.Unlock()
	if healed != nil {
		<-healed
	}
	if delay > 0 {
		time.Sleep(delay)
	}
}

// Silence simulates a network partition: connections stay open, and neither data nor
// EOF passes until Heal.
func (l *Link) Silence() {
	l.SilenceForward()
	l.silence(reverse)
}

// SilenceForward silences only the direction to the target; replies still arrive.
func (l *Link) SilenceForward() { l.silence(forward) }

// SilenceReverse silences only the direction from the target; requests still arrive.
func (l *Link) SilenceReverse() { l.silence(reverse) }

func (l *Link) silence(direction int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed[direction] == nil {
		l.healed[direction] = make(chan struct{})
	}
}

// Delay delays each chunk by d in both directions from now on.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Heal ends silence and delay, and releases the data held back.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = 0
	for direction, healed := range l.healed {
		if healed != nil {
			close(healed)
			l.healed[direction] = nil
		}
	}
}

// Reset closes all connections with a TCP reset, as the death of a process does.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for nc := range l.conns {
		_ = nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
		delete(l.conns, nc)
	}
}

// Close closes the listener and resets all connections.
func (l *Link) Close() {
	l.ln.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Heal()
	l.Reset()
}
