package standin

import (
	"io"
	"net"
	"sync"
)

// Link carries connections to an address and can fail as a network does.
type Link struct {
	Addr string // connect here

	to   string
	ln   net.Listener
	mu   sync.Mutex
	heal chan struct{} // nil while the link carries; closed when it does again
	ends map[net.Conn]struct{}
	gone bool
}

// NewLink starts a link to an address.
func NewLink(to string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
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
	l.pass()
	far, err := net.Dial("tcp", l.to)
	if err != nil || !l.hold(far) {
		l.drop(near)
		return
	}
	go l.copy(far, near)
	l.copy(near, far)
}

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

func (l *Link) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		l.pass() // what comes while the link is silent is held, and so is an end
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err == io.EOF {
			to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			break
		}
	}
	l.drop(to)
	l.drop(from)
}

// pass waits while the link is silent.
func (l *Link) pass() {
	l.mu.Lock()
	heal := l.heal
	l.mu.Unlock()
	if heal != nil {
		<-heal
	}
}

// Silence cuts the link as a lost network does: connections stay open, and
// neither bytes nor ends come through until Heal.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heal == nil {
		l.heal = make(chan struct{})
	}
}

// Heal lets through what was held, and all that comes.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heal != nil {
		close(l.heal)
		l.heal = nil
	}
}

// Reset ends all connections by a reset, as a process that dies does.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for nc := range l.ends {
		nc.(*net.TCPConn).SetLinger(0)
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
