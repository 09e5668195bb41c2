package standin

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
)

// StopPoint is where a stopped backend blocks until Resume.
type StopPoint int

// The points at which a backend can stop.
const (
	Connecting StopPoint = iota // connections are not established
	HalfRead                    // connections are established, but a command of 64 KiB can't be written in full
)

// stop is the state of a stopped backend.
type stop struct {
	started chan net.Conn
	resumed chan struct{} // closed by Resume
	once    sync.Once
	filler  net.Conn // Connecting: the connection that fills the accept queue
}

// NewStoppedBackend starts a backend that stops at a point until Resume is called. The
// kernel's buffers and queues are kept small so that the point is always reached.
func NewStoppedBackend(at StopPoint) (*Backend, error) {
	how := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if at == HalfRead {
			failed := raw.Control(func(fd uintptr) {
				// With segments this short the sender's kernel buffers some tens of kilobytes at most.
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
	// The accept queue holds one connection, and the filler takes that place: later connections
	// are not established, and their SYN is sent again after a second.
	if err = b.setAcceptQueue(0); err == nil {
		b.stop.filler, err = net.Dial("tcp", b.Addr)
	}
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("stand-in backend: %w", err)
	}
	return b, nil
}

// setAcceptQueue sets the listen backlog; the kernel queues n+1 connections.
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

// CommandStarted delivers each connection to a stopped backend on which a first byte has arrived.
func (b *Backend) CommandStarted() <-chan net.Conn { return b.stop.started }

// Resume lets a stopped backend continue; it can't be stopped again.
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

// reader waits for the first byte of a connection, and then for Resume. It returns a reader
// of the whole stream, including that byte.
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
