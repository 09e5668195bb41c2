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

	to   string
	ln   net.Listener
	mu   sync.Mutex
	heal [2]chan struct{} // of what goes there, and of what comes back; nil while the link carries, closed when it does again
	late time.Duration    // what each piece is held for
	ends map[net.Conn]struct{}
	gone bool
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
	l := &Link{Addr: ln.Addr().String(), to: to, ln: ln, ends: map[net.Conn]struct{}{}}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(near)
		}
	}()
	return l, nil
}

func (l *Link) carry(near net.Conn) {
	if !l.hold(near) {
		return
	}
	l.pass(there)
	far, err := net.Dial("tcp", l.to)
	if err != nil || !l.hold(far) {
		l.drop(near)
		return
	}
	go l.copy(far, near, there)
	l.copy(near, far, back)
}

// The two ways of a link.
const (
	there = iota
	back
)

// hold remembers an end, so that Reset and Close reach it.
func (l *Link) hold(nc net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone {
		nc.Close()
		return false
	}
	l.ends[nc] = struct{}{}
	return true
}

func (l *Link) drop(nc net.Conn) {
	nc.Close()
	l.mu.Lock()
	delete(l.ends, nc)
	l.mu.Unlock()
}

func (l *Link) copy(to, from net.Conn, way int) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		l.pass(way) // what comes while the link is silent is held, and so is an end
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
func (l *Link) pass(way int) {
	l.mu.Lock()
	heal, late := l.heal[way], l.late
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
	l.SilenceThere()
	l.silence(back)
}

// SilenceThere cuts one way alone: what is sent does not arrive, answers do.
func (l *Link) SilenceThere() { l.silence(there) }

// SilenceBack cuts the other way alone: what is sent arrives, answers do not.
func (l *Link) SilenceBack() { l.silence(back) }

func (l *Link) silence(way int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heal[way] == nil {
		l.heal[way] = make(chan struct{})
	}
}

// Delay holds each piece for so long, both ways, from now on.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late = d
}

// Heal lets through what was held, and all that comes, at once.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late = 0
	for way, heal := range l.heal {
		if heal != nil {
			close(heal)
			l.heal[way] = nil
		}
	}
}

// Reset ends all connections by a reset, as a process that dies does.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for nc := range l.ends {
		_ = nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
		delete(l.ends, nc)
	}
}

// Close ends the link.
func (l *Link) Close() {
	l.ln.Close()
	l.mu.Lock()
	l.gone = true
	l.mu.Unlock()
	l.Heal()
	l.Reset()
}
