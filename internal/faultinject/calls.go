//go:build linux

package faultinject

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"
)

// descriptor is the state of one file descriptor of the traced program.
type descriptor struct {
	name      string
	socket    bool
	regular   bool          // see isStoredFile
	connected bool          // by the program, so to a backend; otherwise accepted from a client
	broken    syscall.Errno // the error of all further calls on it; 0 for none
}

// direction distinguishes calls that read from a descriptor from those that write to it.
type direction int

const (
	readDirection direction = iota
	writeDirection
)

// classifiers, by system call number, return the kind of a call, or "" if it must not fail.
// Those of connect and close also update the state of the descriptor.
var classifiers = newClassifiers()

func newClassifiers() map[int]func(t *tracer, r *registers) Call {
	byNumber := map[int]func(t *tracer, r *registers) Call{
		unix.SYS_ACCEPT4:       func(*tracer, *registers) Call { return Accept },
		unix.SYS_SOCKET:        func(*tracer, *registers) Call { return Socket },
		unix.SYS_EPOLL_PWAIT:   func(*tracer, *registers) Call { return Poll },
		unix.SYS_PPOLL:         func(*tracer, *registers) Call { return Poll },
		unix.SYS_EPOLL_CREATE1: func(*tracer, *registers) Call { return CreatePoller },
		unix.SYS_OPENAT:        func(*tracer, *registers) Call { return Open },
		unix.SYS_FLOCK:         func(*tracer, *registers) Call { return Lock },
		unix.SYS_FSYNC:         func(*tracer, *registers) Call { return Sync },
		unix.SYS_FDATASYNC:     func(*tracer, *registers) Call { return Sync },
		unix.SYS_EPOLL_CTL: func(_ *tracer, r *registers) Call {
			if r.argument(1) == unix.EPOLL_CTL_ADD {
				return Watch
			}
			return ""
		},
		unix.SYS_CONNECT: func(t *tracer, r *registers) Call {
			t.descriptor(int(r.argument(0))).connected = true
			return Connect
		},
		unix.SYS_CLOSE: func(t *tracer, r *registers) Call {
			delete(t.descriptors, int(r.argument(0)))
			return ""
		},
		unix.SYS_READ:     func(t *tracer, r *registers) Call { return t.transferCall(r, readDirection) },
		unix.SYS_RECVFROM: func(t *tracer, r *registers) Call { return t.transferCall(r, readDirection) },
		unix.SYS_WRITE:    func(t *tracer, r *registers) Call { return t.transferCall(r, writeDirection) },
		unix.SYS_PWRITE64: func(t *tracer, r *registers) Call { return t.transferCall(r, writeDirection) },
		unix.SYS_SENDTO:   func(t *tracer, r *registers) Call { return t.transferCall(r, writeDirection) },
	}
	for _, number := range olderPollCalls {
		byNumber[number] = func(*tracer, *registers) Call { return Poll }
	}
	return byNumber
}

func tracedCalls() []int { return slices.Sorted(maps.Keys(classifiers)) }

// transferCall returns the kind of a read or write, or "" if it must not fail.
func (t *tracer) transferCall(r *registers, dir direction) Call {
	d := t.descriptor(int(r.argument(0)))
	switch {
	case d.regular && dir == readDirection:
		return ReadFile
	case d.regular:
		return WriteFile
	case !d.socket:
		return ""
	case d.connected && dir == readDirection:
		return ReadBackend
	case d.connected:
		return WriteBackend
	case dir == readDirection:
		return ReadClient
	}
	return WriteClient
}

// descriptor returns the state of a descriptor. On first use it reads /proc.
func (t *tracer) descriptor(fd int) *descriptor {
	if d := t.descriptors[fd]; d != nil {
		return d
	}
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", t.pid, fd))
	d := &descriptor{name: name, socket: strings.HasPrefix(name, "socket:"), regular: isStoredFile(name)}
	if err == nil {
		t.descriptors[fd] = d
	}
	return d
}

// isStoredFile reports whether a descriptor's name is that of a file in which the program can store data.
func isStoredFile(name string) bool {
	for _, prefix := range []string{"/dev/", "/proc/", "/sys/"} {
		if strings.HasPrefix(name, prefix) {
			return false
		}
	}
	return strings.HasPrefix(name, "/")
}

// path returns the name of the file that a call refers to, or "" if there is none.
func (t *tracer) path(tid int, call Call, regs *registers) string {
	switch call {
	case Open:
		name := make([]byte, maxPathBytes)
		n, err := syscall.PtracePeekData(tid, uintptr(regs.argument(1)), name)
		if err != nil && n == 0 {
			return ""
		}
		return unix.ByteSliceToString(name[:n])
	case ReadFile, WriteFile, Sync, Lock:
		return t.descriptor(int(regs.argument(0))).name
	}
	return ""
}

const maxPathBytes = 256 // longer paths are truncated

// interceptCall makes the system call at which a thread has stopped fail, if a rule applies.
func (t *tracer) interceptCall(tid int) {
	regs, err := readRegisters(tid)
	if err != nil {
		return // the thread has ended
	}
	if regs.callNumber() == unix.SYS_CLOCK_GETTIME {
		t.interceptClock(tid, regs)
		return
	}
	classify := classifiers[regs.callNumber()]
	if classify == nil {
		return
	}
	call := classify(t, regs)
	if call == "" {
		return
	}
	onSocket := call == ReadBackend || call == WriteBackend || call == ReadClient || call == WriteClient
	if onSocket {
		if d := t.descriptor(int(regs.argument(0))); d.broken != 0 {
			regs.skipCall(d.broken)
			return
		}
	}
	rule, matched := t.rules.match(call, t.path(tid, call, regs))
	if !matched {
		return
	}
	if rule.Fault == Short {
		regs.setLength(t.rules.shortLength(rule, regs.argument(2)))
		return
	}
	errno, known := errnoByName[rule.Fault]
	if !known {
		fmt.Fprintf(os.Stderr, "faultinject: unknown error name %q\n", rule.Fault)
		return
	}
	if rule.Broken && onSocket {
		t.descriptor(int(regs.argument(0))).broken = errno
	}
	regs.skipCall(errno)
}

// errnoByName holds the errors that rules can name.
var errnoByName = map[string]syscall.Errno{
	"EADDRNOTAVAIL": syscall.EADDRNOTAVAIL, "EAGAIN": syscall.EAGAIN, "ECONNABORTED": syscall.ECONNABORTED,
	"ECONNREFUSED": syscall.ECONNREFUSED, "ECONNRESET": syscall.ECONNRESET, "EHOSTUNREACH": syscall.EHOSTUNREACH,
	"EINTR": syscall.EINTR, "EIO": syscall.EIO, "ENOLCK": syscall.ENOLCK, "EMFILE": syscall.EMFILE, "ENETDOWN": syscall.ENETDOWN,
	"ENETUNREACH": syscall.ENETUNREACH, "ENFILE": syscall.ENFILE, "ENOBUFS": syscall.ENOBUFS, "ENOMEM": syscall.ENOMEM,
	"ENOSPC": syscall.ENOSPC, "EPERM": syscall.EPERM, "EPROTO": syscall.EPROTO, "ETIMEDOUT": syscall.ETIMEDOUT,
}
