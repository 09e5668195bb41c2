//go:build linux

package reactor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"

	"wickarch/internal/poll"
	"wickarch/internal/timewheel"
)

const (
	keepAliveIdle     = 60 // seconds without traffic before the first probe: a peer that has vanished sends no FIN
	keepAliveInterval = 15 // seconds
	keepAliveProbes   = 4

	// maxUnsent limits the unsent bytes that the kernel buffers per connection, so
	// that the rest of what a slow client does not read stays at its origin. By
	// default the kernel buffers megabytes for each connection.
	maxUnsent       = 128 << 10
	tcpNotSentLowat = 25 // TCP_NOTSENT_LOWAT; package syscall does not define it

	ipprotoMPTCP = 262 // IPPROTO_MPTCP; not in package syscall

	// States in TCP_INFO (not in package syscall) in which the peer has closed the
	// connection or it has ended.
	tcpTimeWait  = 6
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// Sockets is the Driver on the system's sockets.
type Sockets struct {
	poller  *poll.Poller
	started time.Time
	byFD    []*socket
	tag     int32
	retries *timewheel.Wheel[*retry]

	readsDelayedUntil time.Duration
}

// NewSockets returns a driver. It fails when descriptors have run out.
func NewSockets() (*Sockets, error) {
	p, err := poll.New()
	if err != nil {
		return nil, err
	}
	return &Sockets{poller: p, started: time.Now(), retries: timewheel.New[*retry](Resolution)}, nil
}

// Now is the time since the driver was created.
func (s *Sockets) Now() time.Duration { return time.Since(s.started) }

// WallTime is the current wall clock.
func (s *Sockets) WallTime() time.Time { return time.Now().Round(0) } // without the monotonic reading

// Wake ends the current Wait, or the next one.
func (s *Sockets) Wake() { s.poller.Wake() }

// Close closes the poller, all listeners and all connections.
func (s *Sockets) Close() {
	for _, k := range s.byFD {
		switch {
		case k == nil:
		case k.ln != nil:
			k.ln.Close() // package net owns its descriptor and would close the same number a second time
		default:
			k.Close()
		}
	}
	s.poller.Close()
}

var longAgo = time.Unix(1, 0)

// Wait waits for events and calls their handlers, then those whose retry is due.
func (s *Sockets) Wait(until time.Duration, hasDeadline bool) error {
	if due, retryPending := s.retries.Next(); retryPending && (!hasDeadline || due < until) {
		until, hasDeadline = due, true
	}
	deadline := time.Time{}
	if hasDeadline {
		if deadline = s.started.Add(until); until <= s.Now() {
			deadline = longAgo
		}
	}
	before := s.poller.Interrupted()
	if err := s.poller.Wait(deadline, s.dispatch); err != nil {
		return err
	}
	if s.poller.Interrupted() > before {
		s.markReadsDelayed()
	}
	s.retries.Advance(s.Now(), fireRetry)
	return nil
}

func (s *Sockets) dispatch(fd int, tag int32, e poll.Event) {
	// Descriptor numbers are reused, even within one round: the tag distinguishes
	// an event of a closed connection from one of its successor.
	if fd >= len(s.byFD) || s.byFD[fd] == nil || s.byFD[fd].tag != tag {
		return
	}
	var events Event
	for _, mapping := range [...]struct {
		from poll.Event
		to   Event
	}{{poll.Readable, Readable}, {poll.Writable, Writable}, {poll.ReadClosed, ReadClosed}, {poll.Disconnected, Disconnected}} {
		if e&mapping.from != 0 {
			events |= mapping.to
		}
	}
	s.byFD[fd].handler.Ready(events)
}

// watch registers a socket's descriptor with the poller, under a new tag.
func (s *Sockets) watch(k *socket) error {
	for k.fd >= len(s.byFD) {
		s.byFD = append(s.byFD, nil)
	}
	if s.tag++; s.tag <= 0 {
		s.tag = 1
	}
	k.tag = s.tag
	if err := s.poller.Add(k.fd, k.tag); err != nil {
		return shortage("watch", err)
	}
	s.byFD[k.fd] = k
	return nil
}

// socket is a connection, or the part of a listener that the poller watches.
type socket struct {
	sockets *Sockets
	handler Handler
	fd      int       // -1 once closed
	ln      *listener // the listener that embeds it; nil for a connection
	retry   *retry    // nil until a call has to be retried
	tag     int32
}

func (k *socket) Watch(h Handler) error {
	k.handler = h
	return k.sockets.watch(k)
}

// The system calls below never block, so they are raw calls that bypass the Go scheduler.

func (k *socket) Read(b []byte) (int, error) {
	for range maxInterrupts {
		n, _, e := syscall.RawSyscall(syscall.SYS_READ, uintptr(k.fd), uintptr(unsafe.Pointer(unsafe.SliceData(b))), uintptr(len(b)))
		switch transferVerdict(e) {
		case verdictOK:
			k.succeeded(Readable)
			if n == 0 {
				return 0, io.EOF
			}
			return int(n), nil
		case verdictWouldBlock:
			return 0, ErrWouldBlock
		case verdictShortage:
			return 0, k.retryRead()
		case verdictFailed:
			return 0, e
		}
	}
	return 0, k.retryRead()
}

func (k *socket) Write(b []byte) (written int, err error) {
	for interrupted := 0; written < len(b); {
		rest := b[written:]
		n, _, e := syscall.RawSyscall6(syscall.SYS_SENDTO, uintptr(k.fd), uintptr(unsafe.Pointer(unsafe.SliceData(rest))), uintptr(len(rest)),
			syscall.MSG_NOSIGNAL, 0, 0)
		switch transferVerdict(e) {
		case verdictOK:
			written += int(n)
			interrupted = 0
			k.succeeded(Writable)
		case verdictRetry:
			if interrupted++; interrupted == maxInterrupts {
				k.notifyLater(Writable, shortBackoff)
				return written, ErrWouldBlock
			}
		case verdictWouldBlock:
			if k.HasUnacked() {
				k.notifyLater(Writable, blockedBackoff)
			} else { // out of memory with an empty send queue: no space will become free that the poller could report
				k.notifyLater(Writable, shortBackoff)
			}
			return written, ErrWouldBlock
		case verdictShortage:
			k.notifyLater(Writable, shortBackoff)
			return written, ErrWouldBlock
		case verdictFailed:
			return written, e
		}
	}
	return written, nil
}

func (k *socket) Pending() bool {
	var buf [1]byte
	for range maxInterrupts {
		_, _, e := syscall.RawSyscall6(syscall.SYS_RECVFROM, uintptr(k.fd), uintptr(unsafe.Pointer(&buf)), 1,
			syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		switch transferVerdict(e) {
		case verdictRetry:
			continue
		case verdictWouldBlock, verdictShortage: // after a shortage it is unknown; a later Read retries
			return false
		}
		return true
	}
	return true // unknown: a Read will show
}

// SinceLastReceive uses the kernel's time of the last segment with data. The kernel
// reports it in milliseconds, on a clock that may lag by some milliseconds.
func (k *socket) SinceLastReceive() time.Duration {
	info, ok := k.info()
	if !ok {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// info returns the connection's TCP_INFO.
func (k *socket) info() (info syscall.TCPInfo, ok bool) {
	size := uint32(unsafe.Sizeof(info))
	_, _, e := syscall.RawSyscall6(syscall.SYS_GETSOCKOPT, uintptr(k.fd), syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	return info, e == 0
}

// Disconnected uses the kernel's TCP state of the connection.
func (k *socket) Disconnected() bool {
	info, ok := k.info()
	if !ok {
		return false
	}
	switch info.State {
	case tcpTimeWait, tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
		return true
	}
	return false
}

// Unread asks for the size of the receive queue.
func (k *socket) Unread() int { return k.queueSize(syscall.TIOCINQ) }

// HasUnacked asks for the size of the send queue, which holds the bytes that the
// peer's kernel has not acknowledged. It is false if that is unknown.
func (k *socket) HasUnacked() bool {
	return k.queueSize(syscall.TIOCOUTQ) > 1 // this side's FIN counts as one byte
}

// queueSize returns the size of one of the socket's queues; 0 if that is unknown.
func (k *socket) queueSize(request uintptr) int {
	var n int32
	if _, _, e := syscall.RawSyscall(syscall.SYS_IOCTL, uintptr(k.fd), request, uintptr(unsafe.Pointer(&n))); e != 0 {
		return 0
	}
	return int(n)
}

func (k *socket) CloseWrite() { _ = syscall.Shutdown(k.fd, syscall.SHUT_WR) }

func (k *socket) Close() {
	if k.fd < 0 {
		return
	}
	_ = syscall.Close(k.fd)
	if k.retry != nil {
		k.sockets.retries.Stop(&k.retry.timer)
	}
	if k.fd < len(k.sockets.byFD) && k.sockets.byFD[k.fd] == k {
		k.sockets.byFD[k.fd] = nil
	}
	k.fd = -1
}

// Dial starts a non-blocking connect.
func (s *Sockets) Dial(address string, h Handler) (Conn, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	family := syscall.AF_INET
	var sa syscall.Sockaddr
	if ip := target.Addr().Unmap(); ip.Is4() {
		sa = &syscall.SockaddrInet4{Port: int(target.Port()), Addr: ip.As4()}
	} else {
		family, sa = syscall.AF_INET6, &syscall.SockaddrInet6{Port: int(target.Port()), Addr: ip.As16()}
	}
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		if socketVerdict(err) == verdictShortage {
			return nil, shortage("socket", err)
		}
		return nil, fmt.Errorf("socket: %w", err)
	}
	k := &socket{sockets: s, handler: h, fd: fd}
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	err = syscall.Connect(fd, sa)
	switch connectVerdict(err) {
	case verdictShortage:
		_ = syscall.Close(fd)
		return nil, fmt.Errorf("dial %s: %w (%w)", address, ErrTemporary, err)
	case verdictFailed:
		_ = syscall.Close(fd)
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if err := s.watch(k); err != nil {
		_ = syscall.Close(fd)
		return nil, err
	}
	return k, nil
}

// listener accepts connections on a socket of package net.
type listener struct {
	socket
	ln             *net.TCPListener
	optionsPerConn bool // accepted connections do not inherit all options (Multipath TCP)
	inherited      bool // other processes hold the socket too, and share its O_NONBLOCK flag
}

// clientOptions are the socket options of client connections. They are set on the
// listener: connections accepted on a plain TCP socket inherit them without
// further calls.
var clientOptions = [...][3]int{
	{syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1},
	{syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
	{syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, keepAliveIdle},
	{syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, keepAliveInterval},
	{syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, keepAliveProbes},
	{syscall.IPPROTO_TCP, tcpNotSentLowat, maxUnsent},
}

// setOptions sets all clientOptions and returns the first error.
func setOptions(fd int) (err error) {
	for _, o := range clientOptions {
		if e := syscall.SetsockoptInt(fd, o[0], o[1], o[2]); err == nil {
			err = e
		}
	}
	return err
}

// InheritedAddress is the Listen address of an inherited listening socket.
func InheritedAddress(fd int) string { return inheritedPrefix + strconv.Itoa(fd) }

const inheritedPrefix = "fd:"

// openListener opens an address, or takes over an inherited socket.
func openListener(address string) (net.Listener, error) {
	number, inherited := strings.CutPrefix(address, inheritedPrefix)
	if !inherited {
		// Connections accepted on a Multipath TCP socket, package net's default, do
		// not inherit the clientOptions.
		var config net.ListenConfig
		config.SetMultipathTCP(false)
		return config.Listen(context.Background(), "tcp", address)
	}
	fd, err := strconv.Atoi(number)
	if err != nil || fd <= 2 {
		return nil, fmt.Errorf("listen: %q does not name an inherited descriptor (fd:N, N > 2)", address)
	}
	file := os.NewFile(uintptr(fd), address)
	defer func() { _ = file.Close() }() // FileListener duplicates the descriptor
	return net.FileListener(file)
}

// Listen opens an address.
func (s *Sockets) Listen(address string, h Handler) (Listener, error) {
	ln, err := openListener(address)
	if err != nil {
		return nil, err
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("listen: %s is not a TCP socket", address)
	}
	l := &listener{socket: socket{sockets: s, handler: h, fd: -1}, ln: tcp, inherited: strings.HasPrefix(address, inheritedPrefix)}
	l.socket.ln = l
	raw, err := l.ln.SyscallConn()
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("listen: %w", err)
	}
	control := raw.Control(func(fd uintptr) {
		l.fd = int(fd)
		protocol, unknown := syscall.GetsockoptInt(l.fd, syscall.SOL_SOCKET, syscall.SO_PROTOCOL)
		l.optionsPerConn = unknown == nil && protocol == ipprotoMPTCP
		if err = setOptions(l.fd); err == nil {
			err = s.watch(&l.socket)
		}
	})
	if err = errors.Join(control, err); err != nil {
		ln.Close()
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

func (l *listener) Accept() (Conn, error) {
	if l.fd < 0 || l.inherited && !l.prepareAccept() {
		return nil, ErrWouldBlock
	}
	var err error
	for range maxAcceptTries {
		var fd int
		fd, _, err = syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		switch acceptVerdict(err) {
		case verdictOK:
			if l.optionsPerConn {
				_ = setOptions(fd) // best effort: an option that this protocol lacks is not required
			}
			return &socket{sockets: l.sockets, fd: fd}, nil
		case verdictWouldBlock:
			return nil, ErrWouldBlock
		case verdictShortage:
			return nil, shortage("accept", err)
		}
	}
	return nil, fmt.Errorf("accept: %w (%w)", ErrTemporary, err)
}

// maxAcceptTries is how many failed accepts in a row one Accept allows before it returns ErrTemporary, so
// that broken connections don't hold up the loop.
const maxAcceptTries = 64

func (l *listener) HasPending() bool {
	if l.fd < 0 {
		return false
	}
	n, e := l.poll()
	return e != 0 || n > 0 // if unknown, the next Accept will show
}

// poll returns 1 if a connection is pending, 0 if none is, and the call's error.
func (l *listener) poll() (n uintptr, e syscall.Errno) {
	pollFD := struct { // struct pollfd
		fd              int32
		events, revents int16
	}{fd: int32(l.fd), events: syscall.EPOLLIN} // the same bit as POLLIN
	var zero syscall.Timespec // the timeout: return immediately
	e = syscall.EINTR
	for tries := 0; e == syscall.EINTR && tries < maxInterrupts; tries++ {
		n, _, e = syscall.RawSyscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&pollFD)), 1, uintptr(unsafe.Pointer(&zero)), 0, 0, 0)
	}
	return n, e
}

// prepareAccept reports whether a connection is pending on an inherited socket, and
// sets O_NONBLOCK. Another process that holds the socket may clear the flag at any
// time, as os/exec does when it passes the socket on; accept4 would then block the
// whole loop until the next client connects. (SO_RCVTIMEO limits that only for
// plain TCP, and Go's own listeners use Multipath TCP.) One process accepts at a
// time, so a connection that is pending here is still there for accept4; the flag
// covers the case that two do.
func (l *listener) prepareAccept() bool {
	if n, e := l.poll(); e == 0 && n == 0 {
		return false
	}
	_ = syscall.SetNonblock(l.fd, true)
	return true
}

func (l *listener) Address() string { return l.ln.Addr().String() }

func (l *listener) Close() {
	if l.fd >= 0 {
		l.sockets.byFD[l.fd] = nil
		l.sockets.poller.Remove(l.fd) // it may be open elsewhere
		l.fd = -1
		_ = l.ln.Close()
	}
}
