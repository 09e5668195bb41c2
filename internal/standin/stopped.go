package standin

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
)

// Point is where a stopped backend holds what comes to it, until Go.
type StopPoint int

// The points.
const (
	Connecting StopPoint = iota // connections do not come up
	HalfRead                    // they do, and of a command of 64 KiB less than all can be written
)

// stop is what holds a stopped backend.
type stop struct {
	started chan net.Conn
	resumed chan struct{} // closed by Go
	once    sync.Once
	filler  net.Conn // Connecting: what fills the queue
}

// NewStoppedBackend starts a backend that stops at a point and goes on at a
// word. What the kernel would take ahead is kept small, so that the point is
// reached every time.
func NewStoppedBackend(at StopPoint) (*Backend, error) {
	how := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if at == HalfRead {
			failed := raw.Control(func(fd uintptr) {
				// With segments this short the other side's kernel takes some tens of kilobytes at most.
				if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 88); err == nil {
					err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1)
				}
			})
			if failed != nil {
				return failed
			}
		}
		return err
	}}
	how.SetMultipathTCP(false)
	ln, err := listen(&how, 0)
	if err != nil {
		return nil, err
	}
	b := newBackend(ln, nil)
	b.stop = &stop{started: make(chan net.Conn, backlog), resumed: make(chan struct{})}
	if at == HalfRead {
		go b.accept()
		return b, nil
	}
	// A queue for one, which a connection of our own fills: what comes then waits to come up, and
	// asks again after a second.
	if err = b.setAcceptQueue(0); err == nil {
		b.stop.filler, err = net.Dial("tcp", b.Addr)
	}
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("stand-in backend: %w", err)
	}
	return b, nil
}

// queue sets how many connections may wait to be taken, and one more.
func (b *Backend) setAcceptQueue(n int) (err error) {
	raw, err := b.ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	if failed := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), n) }); failed != nil {
		return failed
	}
	return err
}

// Begun hands out each connection to a stopped backend on which a command has begun to come.
func (b *Backend) CommandStarted() <-chan net.Conn { return b.stop.started }

// Go lets a stopped backend go on, for good.
func (b *Backend) Resume() {
	b.stop.once.Do(func() {
		close(b.stop.resumed)
		if b.stop.filler == nil {
			return
		}
		b.stop.filler.Close()
		if nc, err := b.ln.Accept(); err == nil {
			nc.Close() // the filler
		}
		_ = b.setAcceptQueue(backlog)
		go b.accept()
	})
}

// reader reads a connection, past the stop's first byte once it goes on.
func (s *stop) reader(nc net.Conn) io.Reader {
	if s == nil {
		return nc
	}
	var first [1]byte
	n, _ := nc.Read(first[:])
	if n > 0 {
		s.started <- nc
	}
	<-s.resumed
	return io.MultiReader(bytes.NewReader(first[:n]), nc)
}
