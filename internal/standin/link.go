package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link carries connections to an address and can fail as a network does.
type Link struct {
	Addr string // connect here

	to     string
	ln     net.Listener
	mu     sync.Mutex
	healed [2]chan struct{} // of what goes there, and of what comes back; nil while the link carries, closed when it does again
	delay  time.Duration    // what each piece is held for
	conns  map[net.Conn]struct{}
	closed bool
}

// NewLink starts a link to an address.
func NewLink(to string) (*Link, error) {
	ln, err := Listen()
	return newLink(ln, err, to)
}

// NewLinkAt starts a link at an address, where connections were refused until then.
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

// The two ways of a link.
const (
	forward = iota
	reverse
)

// hold remembers an end, so that Reset and Close reach it.
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

func (l *Link) copy(to, from net.Conn, way int) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		l.wait(way) // what comes while the link is silent is held, and so is an end
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

// pass waits while the link is silent that way, and for as long as it delays.
func (l *Link) wait(way int) {
	l.mu.Lock()
	heal, late := l.healed[way], l.delay
	l.mu.Unlock()
	if heal != nil {
		<-heal
	}
	if late > 0 {
		time.Sleep(late)
	}
}

// Silence cuts the link as a lost network does: connections stay open, and
// neither bytes nor ends come through until Heal.
func (l *Link) Silence() {
	l.SilenceForward()
	l.silence(reverse)
}

// SilenceThere cuts one way alone: what is sent does not arrive, answers do.
func (l *Link) SilenceForward() { l.silence(forward) }

// SilenceBack cuts the other way alone: what is sent arrives, answers do not.
func (l *Link) SilenceReverse() { l.silence(reverse) }

func (l *Link) silence(way int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed[way] == nil {
		l.healed[way] = make(chan struct{})
	}
}

// Delay holds each piece for so long, both ways, from now on.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Heal lets through what was held, and all that comes, at once.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = 0
	for way, heal := range l.healed {
		if heal != nil {
			close(heal)
			l.healed[way] = nil
		}
	}
}

// Reset ends all connections by a reset, as a process that dies does.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for nc := range l.conns {
		_ = nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
		delete(l.conns, nc)
	}
}

// Close ends the link.
func (l *Link) Close() {
	l.ln.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Heal()
	l.Reset()
}
