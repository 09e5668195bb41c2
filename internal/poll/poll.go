//go:build linux

// Package poll waits for events on many sockets on one goroutine: a thin layer
// over epoll.
//
// It keeps idle connections cheap. A goroutine that waits in net.Conn.Read costs
// its stack, its buffer and the runtime's record of the descriptor, about 3 KB
// together; a descriptor that is registered here needs none of these.
//
// The epoll descriptor itself is registered with the Go runtime's poller (one
// epoll may watch another), so Wait parks a goroutine and blocks no thread: with
// GOMAXPROCS=1, as on the platform, a thread blocked in epoll_wait would have to
// reacquire the only P for each event.
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

// Event is a set of flags: what a descriptor is ready for.
type Event uint32

// The flags of an Event. ReadClosed means that the peer has closed its sending
// side, Disconnected that the connection is closed both ways or has failed.
const (
	Readable     Event = syscall.EPOLLIN
	ReadClosed   Event = syscall.EPOLLRDHUP
	Writable     Event = syscall.EPOLLOUT
	Disconnected Event = syscall.EPOLLERR | syscall.EPOLLHUP
)

const (
	edgeTriggered = 1 << 31 // EPOLLET, which package syscall defines as a negative number
	maxEvents     = 256     // per epoll_wait
)

// Poller watches descriptors. Add and Wait must be called from one goroutine; Wake
// may be called from any.
type Poller struct {
	fd     int
	file   *os.File
	raw    syscall.RawConn
	events [maxEvents]syscall.EpollEvent

	interrupted uint64 // number of Waits that could not poll

	mu       sync.Mutex
	woken    bool      // Wake was called while not parked
	parked   bool      // Wait is parked or about to park
	deadline time.Time // the read deadline that Wait last set on file
	expired  bool      // Wake has since set a deadline in the past
}

// New returns a poller. It fails when descriptors have run out.
func New() (*Poller, error) {
	fd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if err = syscall.SetNonblock(fd, true); err != nil { // os.NewFile registers only non-blocking descriptors
		_ = syscall.Close(fd)
		return nil, fmt.Errorf("epoll: %w", err)
	}
	file := os.NewFile(uintptr(fd), "epoll")
	raw, err := file.SyscallConn()
	if err == nil {
		err = file.SetReadDeadline(time.Time{}) // fails if the runtime's poller has not registered it
	}
	if err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("epoll: %w", err)
	}
	return &Poller{fd: fd, file: file, raw: raw}, nil
}

// Add watches a descriptor until it is closed. Events are edge-triggered: the owner
// reads or writes until the call would block. Each event returns the tag. Descriptor
// numbers are reused, so the tag should distinguish an event of a closed connection
// from one of its successor.
func (p *Poller) Add(fd int, tag int32) error {
	e := syscall.EpollEvent{Events: uint32(Readable|ReadClosed|Writable) | edgeTriggered, Fd: int32(fd), Pad: tag}
	if err := syscall.EpollCtl(p.fd, syscall.EPOLL_CTL_ADD, fd, &e); err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	return nil
}

// Remove stops watching a descriptor. Closing it does that implicitly, except while
// another process holds the same connection or listener open.
func (p *Poller) Remove(fd int) { _ = syscall.EpollCtl(p.fd, syscall.EPOLL_CTL_DEL, fd, nil) }

// Wait blocks until there are events, Wake is called or the deadline passes, and
// calls handle for each event. The zero time means no deadline.
func (p *Poller) Wait(deadline time.Time, handle func(fd int, tag int32, e Event)) error {
	n, err := 0, error(nil)
	if p.park(deadline) {
		readErr := p.raw.Read(func(uintptr) bool {
			n, err = p.poll()
			return n > 0 || err != nil
		})
		if errors.Is(err, errInterrupted) {
			err = nil // lets the caller run its timers; the next Wait polls again before it parks
			p.interrupted++
		}
		p.mu.Lock()
		p.parked = false
		p.mu.Unlock()
		if readErr != nil && !errors.Is(readErr, os.ErrDeadlineExceeded) {
			return fmt.Errorf("epoll: %w", readErr)
		}
	}
	if n == 0 && err == nil { // woken or past the deadline: events may be pending all the same
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

// Interrupted is the number of Waits that got no events because the poll was interrupted maxInterrupts times
// in a row.
func (p *Poller) Interrupted() uint64 { return p.interrupted }

// park sets the deadline and marks the poller as parked. It returns false if Wake has been called already.
func (p *Poller) park(deadline time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.woken {
		p.woken = false
		return false
	}
	if p.expired || !deadline.Equal(p.deadline) {
		_ = p.file.SetReadDeadline(deadline)
		p.deadline, p.expired = deadline, false
	}
	p.parked = true
	return true
}

// poll gets the pending events without blocking.
func (p *Poller) poll() (int, error) {
	for range maxInterrupts {
		// The call never blocks, so it bypasses the Go scheduler.
		n, _, e := syscall.RawSyscall6(syscall.SYS_EPOLL_PWAIT, uintptr(p.fd), uintptr(unsafe.Pointer(&p.events[0])), maxEvents, 0, 0, 0)
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

// errInterrupted is returned if epoll_wait was interrupted maxInterrupts times in a row: events may be pending.
var errInterrupted = errors.New("epoll: interrupted")

// maxInterrupts is how many times in a row an interrupted epoll_wait (EINTR) is repeated.
const maxInterrupts = 16

var longAgo = time.Unix(1, 0)

// Wake ends the current Wait, or the next one. Several calls before that count as
// one. It only sets a deadline in the Go runtime, without a system call.
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

// Close closes the poller. The watched descriptors stay open.
func (p *Poller) Close() { _ = p.file.Close() }
