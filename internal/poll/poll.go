//go:build linux

// Package poll waits for many sockets on one goroutine: a thin layer over epoll.
//
// It exists for connections at rest. A goroutine that waits in net.Conn.Read
// costs its stack, its buffer and the runtime's record of the descriptor, some
// 3 KB together; a descriptor that is registered here costs none of that.
//
// The epoll descriptor itself is registered with the Go runtime's own poller
// (one epoll may watch another), so that Wait parks a goroutine and blocks no
// thread: with one processor for Go, as on the platform, a thread blocked in
// epoll_wait would have to win that back for each event.
package poll

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// Event tells what a descriptor is ready for.
type Event uint32

// Parts of an Event. Ended means that the other side sends nothing more, Gone
// that the connection has ended both ways.
const (
	Readable     Event = syscall.EPOLLIN
	ReadClosed   Event = syscall.EPOLLRDHUP
	Writable     Event = syscall.EPOLLOUT
	Disconnected Event = syscall.EPOLLERR | syscall.EPOLLHUP
)

const (
	edge  = 1 << 31 // EPOLLET, which package syscall has as a negative number
	batch = 256     // events taken at a time
)

// Poller watches descriptors. Add and Wait belong to one goroutine; Wake may be
// called from any.
type Poller struct {
	fd     int
	file   *os.File
	raw    syscall.RawConn
	events [batch]syscall.EpollEvent

	interrupted uint64 // Waits that could not poll

	mu      sync.Mutex
	woken   bool
	parked  bool
	until   time.Time // the deadline set on file
	expired bool      // the deadline set on file is over: it was set to wake
}

// New makes a poller. It fails when descriptors have run out.
func New() (*Poller, error) {
	fd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if err = syscall.SetNonblock(fd, true); err != nil { // or os.NewFile does not register it
		_ = syscall.Close(fd)
		return nil, fmt.Errorf("epoll: %w", err)
	}
	file := os.NewFile(uintptr(fd), "epoll")
	raw, err := file.SyscallConn()
	if err == nil {
		err = file.SetReadDeadline(time.Time{}) // fails if it is not registered
	}
	if err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("epoll: %w", err)
	}
	return &Poller{fd: fd, file: file, raw: raw}, nil
}

// Add watches a descriptor, for as long as it is open. Each change to readable
// or writable is told once: the owner reads or writes until it would block. tag
// comes back with each event; descriptors are used again, so it should tell an
// event of a connection that has been closed from one of its successor.
func (p *Poller) Add(fd int, tag int32) error {
	e := syscall.EpollEvent{Events: uint32(Readable|ReadClosed|Writable) | edge, Fd: int32(fd), Pad: tag}
	if err := syscall.EpollCtl(p.fd, syscall.EPOLL_CTL_ADD, fd, &e); err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	return nil
}

// Remove ends the watch. Closing a descriptor does so by itself, but not while
// another process holds the same connection or listener open.
func (p *Poller) Remove(fd int) { _ = syscall.EpollCtl(p.fd, syscall.EPOLL_CTL_DEL, fd, nil) }

// Wait waits until there are events, Wake is called, or the time is over, and
// hands the events on. The zero time waits without an end.
func (p *Poller) Wait(until time.Time, handle func(fd int, tag int32, e Event)) error {
	n, err := 0, error(nil)
	if p.park(until) {
		parked := p.raw.Read(func(uintptr) bool {
			n, err = p.poll()
			return n > 0 || err != nil
		})
		if errors.Is(err, errInterrupted) {
			err = nil // timers have their turn, and the next Wait polls again before it parks
			p.interrupted++
		}
		p.mu.Lock()
		p.parked = false
		p.mu.Unlock()
		if parked != nil && !errors.Is(parked, os.ErrDeadlineExceeded) {
			return fmt.Errorf("epoll: %w", parked)
		}
	}
	if n == 0 && err == nil { // woken, or at the end of the time: what there is counts all the same
		n, err = p.poll()
	}
	if errors.Is(err, errInterrupted) {
		err = nil
		p.interrupted++
	}
	if err != nil {
		return err
	}
	for _, e := range p.events[:n] {
		handle(int(e.Fd), e.Pad, Event(e.Events))
	}
	return nil
}

// Interrupted counts the Waits that were interrupted too often to take any event.
func (p *Poller) Interrupted() uint64 { return p.interrupted }

// park readies the wait, unless there is something to do already.
func (p *Poller) park(until time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.woken {
		p.woken = false
		return false
	}
	if p.expired || !until.Equal(p.until) {
		_ = p.file.SetReadDeadline(until)
		p.until, p.expired = until, false
	}
	p.parked = true
	return true
}

// poll takes the events that there are, without waiting.
func (p *Poller) poll() (int, error) {
	for range mostInterrupted {
		// A call that never blocks need not tell the Go scheduler of itself.
		n, _, e := syscall.RawSyscall6(syscall.SYS_EPOLL_PWAIT, uintptr(p.fd), uintptr(unsafe.Pointer(&p.events[0])), batch, 0, 0, 0)
		switch e {
		case 0:
			return int(n), nil
		case syscall.EINTR:
		default:
			return 0, fmt.Errorf("epoll: %w", e)
		}
	}
	return 0, errInterrupted
}

// errInterrupted tells that there may be events: the call was interrupted mostInterrupted times in a row.
var errInterrupted = errors.New("epoll: interrupted")

const mostInterrupted = 16

var longAgo = time.Unix(1, 0)

// Wake ends the wait that is on, or the next one. Many calls count as one. It
// moves the runtime's deadline and enters no kernel.
func (p *Poller) Wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.parked {
		if !p.expired {
			_ = p.file.SetReadDeadline(longAgo)
			p.expired = true
		}
		return
	}
	p.woken = true
}

// Close ends the poller. The descriptors stay open.
func (p *Poller) Close() { _ = p.file.Close() }
