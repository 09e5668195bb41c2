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
	keepIdle   = 60 // seconds of silence, then probes: a peer that vanished says nothing
	keepEvery  = 15
	keepProbes = 4

	// What a client does not read stays with whoever it comes from. Left alone, the
	// kernel takes megabytes of it for each connection.
	unsentMost      = 128 << 10 // bytes not sent yet that the kernel takes
	tcpNotSentLowat = 25        // TCP_NOTSENT_LOWAT, which package syscall does not have

	multipathTCP = 262 // IPPROTO_MPTCP, likewise

	// States of TCP_INFO, likewise, in which the other side has ended or all is over.
	tcpTimeWait  = 6
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// Sockets is the world of the system's sockets.
type Sockets struct {
	poller  *poll.Poller
	began   time.Time
	byFD    []*socket
	tag     int32
	retries *timewheel.Wheel[*retry]

	hinderedUntil time.Duration
}

// NewSockets makes a world. It fails when descriptors have run out.
func NewSockets() (*Sockets, error) {
	p, err := poll.New()
	if err != nil {
		return nil, err
	}
	return &Sockets{poller: p, began: time.Now(), retries: timewheel.New[*retry](Resolution)}, nil
}

// Now is the time since the world was made.
func (s *Sockets) Now() time.Duration { return time.Since(s.began) }

// Wall is the wall clock now.
func (s *Sockets) WallTime() time.Time { return time.Now().Round(0) } // without the monotonic reading

// Wake ends the wait that is on, or the next one.
func (s *Sockets) Wake() { s.poller.Wake() }

// Close ends the poller and all connections.
func (s *Sockets) Close() {
	for _, k := range s.byFD {
		switch {
		case k == nil:
		case k.ln != nil:
			k.ln.Close() // its descriptor belongs to package net, which would close the number once more
		default:
			k.Close()
		}
	}
	s.poller.Close()
}

var longAgo = time.Unix(1, 0)

// Wait waits for events and tells their handlers.
func (s *Sockets) Wait(until time.Duration, any bool) error {
	if due, some := s.retries.Next(); some && (!any || due < until) {
		until, any = due, true
	}
	at := time.Time{}
	if any {
		if at = s.began.Add(until); until <= s.Now() {
			at = longAgo
		}
	}
	before := s.poller.Interrupted()
	if err := s.poller.Wait(at, s.event); err != nil {
		return err
	}
	if s.poller.Interrupted() > before {
		s.hinder()
	}
	s.retries.Advance(s.Now(), tellRetry)
	return nil
}

func (s *Sockets) event(fd int, tag int32, e poll.Event) {
	// Descriptors are used again, within one round too: the tag tells an event
	// of a connection that was closed a moment ago from one of its successor.
	if fd >= len(s.byFD) || s.byFD[fd] == nil || s.byFD[fd].tag != tag {
		return
	}
	var what Event
	for _, m := range [...]struct {
		from poll.Event
		to   Event
	}{{poll.Readable, Readable}, {poll.Writable, Writable}, {poll.ReadClosed, ReadClosed}, {poll.Disconnected, Disconnected}} {
		if e&m.from != 0 {
			what |= m.to
		}
	}
	s.byFD[fd].handler.Ready(what)
}

// watch registers a descriptor.
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

// socket is a connection, or the watched part of a listener.
type socket struct {
	world   *Sockets
	handler Handler
	fd      int       // -1 once closed
	ln      *listener // of which it is the watched part; nil for a connection
	retry   *retry    // nil until a call has failed for want of means
	tag     int32
}

func (k *socket) Watch(h Handler) error {
	k.handler = h
	return k.world.watch(k)
}

// The calls below never block, so the Go scheduler need not be told of them.

func (k *socket) Read(b []byte) (int, error) {
	for range mostInterrupted {
		n, _, e := syscall.RawSyscall(syscall.SYS_READ, uintptr(k.fd), uintptr(unsafe.Pointer(unsafe.SliceData(b))), uintptr(len(b)))
		switch transferVerdict(e) {
		case verdictOK:
			k.succeeded(Readable)
			if n == 0 {
				return 0, io.EOF
			}
			return int(n), nil
		case verdictWait:
			return 0, ErrWouldBlock
		case verdictShortage:
			return 0, k.readLater()
		case verdictOver:
			return 0, e
		}
	}
	return 0, k.readLater()
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
		case verdictAgain:
			if interrupted++; interrupted == mostInterrupted {
				k.tellAgain(Writable, pauseShort)
				return written, ErrWouldBlock
			}
		case verdictWait:
			if k.HasUnacked() {
				k.tellAgain(Writable, pauseBlocked)
			} else { // for want of memory: no room will come about of which the poller could tell
				k.tellAgain(Writable, pauseShort)
			}
			return written, ErrWouldBlock
		case verdictShortage:
			k.tellAgain(Writable, pauseShort)
			return written, ErrWouldBlock
		case verdictOver:
			return written, e
		}
	}
	return written, nil
}

func (k *socket) Pending() bool {
	var one [1]byte
	for range mostInterrupted {
		_, _, e := syscall.RawSyscall6(syscall.SYS_RECVFROM, uintptr(k.fd), uintptr(unsafe.Pointer(&one)), 1,
			syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		switch transferVerdict(e) {
		case verdictAgain:
			continue
		case verdictWait, verdictShortage: // the latter says nothing; a Read tells again
			return false
		}
		return true
	}
	return true // it can't be told: a Read will
}

// Waited asks for when the last segment with data came. The system tells it in
// milliseconds, by a clock that may be some of them behind.
func (k *socket) SinceLastReceive() time.Duration {
	info, ok := k.info()
	if !ok {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// info asks the system what it knows of the connection.
func (k *socket) info() (info syscall.TCPInfo, ok bool) {
	size := uint32(unsafe.Sizeof(info))
	_, _, e := syscall.RawSyscall6(syscall.SYS_GETSOCKOPT, uintptr(k.fd), syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	return info, e == 0
}

// Gone asks for the state of the connection.
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

// Unsent asks for the send queue: what the other side's kernel has not
// acknowledged is in it. Where that can't be told, nothing is.
func (k *socket) HasUnacked() bool {
	var n int32
	_, _, e := syscall.RawSyscall(syscall.SYS_IOCTL, uintptr(k.fd), syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n)))
	return e == 0 && n > 1 // our own end counts as one
}

func (k *socket) CloseWrite() { _ = syscall.Shutdown(k.fd, syscall.SHUT_WR) }

func (k *socket) Close() {
	if k.fd < 0 {
		return
	}
	_ = syscall.Close(k.fd)
	if k.retry != nil {
		k.world.retries.Stop(&k.retry.timer)
	}
	if k.fd < len(k.world.byFD) && k.world.byFD[k.fd] == k {
		k.world.byFD[k.fd] = nil
	}
	k.fd = -1
}

// Dial begins a connection.
func (s *Sockets) Dial(address string, h Handler) (Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	family := syscall.AF_INET
	var sa syscall.Sockaddr
	if ip := to.Addr().Unmap(); ip.Is4() {
		sa = &syscall.SockaddrInet4{Port: int(to.Port()), Addr: ip.As4()}
	} else {
		family, sa = syscall.AF_INET6, &syscall.SockaddrInet6{Port: int(to.Port()), Addr: ip.As16()}
	}
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		if socketVerdict(err) == verdictShortage {
			return nil, shortage("socket", err)
		}
		return nil, fmt.Errorf("socket: %w", err)
	}
	k := &socket{world: s, handler: h, fd: fd}
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	err = syscall.Connect(fd, sa)
	switch connectVerdict(err) {
	case verdictShortage:
		_ = syscall.Close(fd)
		return nil, fmt.Errorf("dial %s: %w (%w)", address, ErrTemporary, err)
	case verdictOver:
		_ = syscall.Close(fd)
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if err := s.watch(k); err != nil {
		_ = syscall.Close(fd)
		return nil, err
	}
	return k, nil
}

// listener takes connections.
type listener struct {
	socket
	ln        *net.TCPListener
	each      bool // the connections that it takes do not inherit all options
	inherited bool // others have it too, and share whether its calls may wait
}

// options are those of a client's connection. One that a plain TCP socket takes
// inherits them, at no call for each.
var options = [...][3]int{
	{syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1},
	{syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
	{syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, keepIdle},
	{syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, keepEvery},
	{syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, keepProbes},
	{syscall.IPPROTO_TCP, tcpNotSentLowat, unsentMost},
}

// setOptions sets them all, and returns the first error.
func setOptions(fd int) (err error) {
	for _, o := range options {
		if e := syscall.SetsockoptInt(fd, o[0], o[1], o[2]); err == nil {
			err = e
		}
	}
	return err
}

// Inherited is the address that stands for an inherited listening socket.
func InheritedAddress(fd int) string { return inheritedPrefix + strconv.Itoa(fd) }

const inheritedPrefix = "fd:"

// open opens an address, or takes over a socket that was inherited.
func open(address string) (net.Listener, error) {
	number, inherited := strings.CutPrefix(address, inheritedPrefix)
	if !inherited {
		// Multipath TCP, the default, does not hand the options below on to the
		// connections that it takes.
		var plain net.ListenConfig
		plain.SetMultipathTCP(false)
		return plain.Listen(context.Background(), "tcp", address)
	}
	fd, err := strconv.Atoi(number)
	if err != nil || fd <= 2 {
		return nil, fmt.Errorf("listen: %q is no inherited descriptor", address)
	}
	file := os.NewFile(uintptr(fd), address)
	defer func() { _ = file.Close() }() // the listener has a descriptor of its own
	return net.FileListener(file)
}

// Listen opens an address.
func (s *Sockets) Listen(address string, h Handler) (Listener, error) {
	ln, err := open(address)
	if err != nil {
		return nil, err
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("listen: %s is no TCP socket", address)
	}
	l := &listener{socket: socket{world: s, handler: h, fd: -1}, ln: tcp, inherited: strings.HasPrefix(address, inheritedPrefix)}
	l.socket.ln = l
	raw, err := l.ln.SyscallConn()
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("listen: %w", err)
	}
	control := raw.Control(func(fd uintptr) {
		l.fd = int(fd)
		protocol, unknown := syscall.GetsockoptInt(l.fd, syscall.SOL_SOCKET, syscall.SO_PROTOCOL)
		l.each = unknown == nil && protocol == multipathTCP
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
	if l.fd < 0 || l.inherited && !l.waiting() {
		return nil, ErrWouldBlock
	}
	var err error
	for range acceptTries {
		var fd int
		fd, _, err = syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		switch acceptVerdict(err) {
		case verdictOK:
			if l.each {
				_ = setOptions(fd) // those that this one does not know it need not have
			}
			return &socket{world: l.world, fd: fd}, nil
		case verdictWait:
			return nil, ErrWouldBlock
		case verdictShortage:
			return nil, shortage("accept", err)
		}
	}
	return nil, fmt.Errorf("accept: %w (%w)", ErrTemporary, err)
}

// acceptTries is how many connections in a row may turn out to be broken before others have their turn.
const acceptTries = 64

func (l *listener) HasPending() bool {
	if l.fd < 0 {
		return false
	}
	n, e := l.look()
	return e != 0 || n > 0 // where it can't be told, the next Accept will
}

// look tells how many of this one socket have a connection to be taken.
func (l *listener) look() (n uintptr, e syscall.Errno) {
	look := struct { // struct pollfd
		fd           int32
		events, what int16
	}{fd: int32(l.fd), events: syscall.EPOLLIN} // the same bit as POLLIN
	var at syscall.Timespec // now
	e = syscall.EINTR
	for tries := 0; e == syscall.EINTR && tries < mostInterrupted; tries++ {
		n, _, e = syscall.RawSyscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&look)), 1, uintptr(unsafe.Pointer(&at)), 0, 0, 0)
	}
	return n, e
}

// waiting tells whether a connection waits to be taken. Whoever else has an
// inherited socket may take O_NONBLOCK off it at any time, as os/exec does when it
// hands it to the next process; accept4 would then hold up everything until the
// next client comes. (SO_RCVTIMEO bounds that for plain TCP alone, and Go's own
// listeners are of Multipath TCP.) One process takes clients at a time, so what
// waits here is there to be taken; the flag is set again for where two do.
func (l *listener) waiting() bool {
	if n, e := l.look(); e == 0 && n == 0 {
		return false
	}
	_ = syscall.SetNonblock(l.fd, true)
	return true
}

func (l *listener) Address() string { return l.ln.Addr().String() }

func (l *listener) Close() {
	if l.fd >= 0 {
		l.world.byFD[l.fd] = nil
		l.world.poller.Remove(l.fd) // it may be open elsewhere
		l.fd = -1
		_ = l.ln.Close()
	}
}
