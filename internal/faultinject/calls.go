//go:build linux && amd64

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

// descriptor is what is known of one descriptor of the program.
type descriptor struct {
	name      string
	socket    bool
	regular   bool
	connected bool          // by the program itself
	broken    syscall.Errno // all calls on it fail with it; 0: they do not
}

// direction is whether a call takes bytes from a descriptor or gives some to it.
type direction int

const (
	reads direction = iota
	writes
)

// handlers by the number of the call. Each tells the kind of the call, or "" for one that
// is not to fail.
var handlers = map[int]func(t *tracer, r *syscall.PtraceRegs) Call{
	unix.SYS_ACCEPT4:       func(*tracer, *syscall.PtraceRegs) Call { return Accept },
	unix.SYS_SOCKET:        func(*tracer, *syscall.PtraceRegs) Call { return Socket },
	unix.SYS_EPOLL_WAIT:    func(*tracer, *syscall.PtraceRegs) Call { return Poll },
	unix.SYS_EPOLL_PWAIT:   func(*tracer, *syscall.PtraceRegs) Call { return Poll },
	unix.SYS_PPOLL:         func(*tracer, *syscall.PtraceRegs) Call { return Poll },
	unix.SYS_EPOLL_CREATE1: func(*tracer, *syscall.PtraceRegs) Call { return CreatePoller },
	unix.SYS_OPENAT:        func(*tracer, *syscall.PtraceRegs) Call { return Open },
	unix.SYS_FLOCK:         func(*tracer, *syscall.PtraceRegs) Call { return Lock },
	unix.SYS_FSYNC:         func(*tracer, *syscall.PtraceRegs) Call { return Sync },
	unix.SYS_FDATASYNC:     func(*tracer, *syscall.PtraceRegs) Call { return Sync },
	unix.SYS_EPOLL_CTL: func(_ *tracer, r *syscall.PtraceRegs) Call {
		if r.Rsi == unix.EPOLL_CTL_ADD {
			return Watch
		}
		return ""
	},
	unix.SYS_CONNECT: func(t *tracer, r *syscall.PtraceRegs) Call {
		t.descriptor(int(r.Rdi)).connected = true
		return Connect
	},
	unix.SYS_CLOSE: func(t *tracer, r *syscall.PtraceRegs) Call {
		delete(t.sockets, int(r.Rdi))
		return ""
	},
	unix.SYS_READ:     func(t *tracer, r *syscall.PtraceRegs) Call { return t.transfer(r, reads) },
	unix.SYS_RECVFROM: func(t *tracer, r *syscall.PtraceRegs) Call { return t.transfer(r, reads) },
	unix.SYS_WRITE:    func(t *tracer, r *syscall.PtraceRegs) Call { return t.transfer(r, writes) },
	unix.SYS_PWRITE64: func(t *tracer, r *syscall.PtraceRegs) Call { return t.transfer(r, writes) },
	unix.SYS_SENDTO:   func(t *tracer, r *syscall.PtraceRegs) Call { return t.transfer(r, writes) },
}

func tracedCalls() []int { return slices.Sorted(maps.Keys(handlers)) }

// transfer tells what kind a read or write is.
func (t *tracer) transfer(r *syscall.PtraceRegs, way direction) Call {
	d := t.descriptor(int(r.Rdi))
	switch {
	case d.regular && way == reads:
		return ReadFile
	case d.regular:
		return WriteFile
	case !d.socket:
		return ""
	case d.connected && way == reads:
		return ReadBackend
	case d.connected:
		return WriteBackend
	case way == reads:
		return ReadClient
	}
	return WriteClient
}

// descriptor looks a descriptor up.
func (t *tracer) descriptor(fd int) *descriptor {
	if d := t.sockets[fd]; d != nil {
		return d
	}
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", t.pid, fd))
	d := &descriptor{name: name, socket: strings.HasPrefix(name, "socket:"), regular: isFile(name)}
	if err == nil {
		t.sockets[fd] = d
	}
	return d
}

// isFile tells whether a descriptor's name is that of a file that the program could keep something in.
func isFile(name string) bool {
	for _, system := range []string{"/dev/", "/proc/", "/sys/"} {
		if strings.HasPrefix(name, system) {
			return false
		}
	}
	return strings.HasPrefix(name, "/")
}

// path is the name of the file that a call is about, "" where it is about none.
func (t *tracer) path(tid int, call Call, regs *syscall.PtraceRegs) string {
	switch call {
	case Open:
		name := make([]byte, mostPath)
		n, err := syscall.PtracePeekData(tid, uintptr(regs.Rsi), name)
		if err != nil && n == 0 {
			return ""
		}
		return unix.ByteSliceToString(name[:n])
	case ReadFile, WriteFile, Sync, Lock:
		return t.descriptor(int(regs.Rdi)).name
	}
	return ""
}

const mostPath = 256 // bytes of a path that are read

// call lets one system call fail, if a rule says so.
func (t *tracer) call(tid int) {
	var regs syscall.PtraceRegs
	if syscall.PtraceGetRegs(tid, &regs) != nil {
		return // the thread has ended
	}
	if regs.Orig_rax == unix.SYS_CLOCK_GETTIME {
		t.clock(tid, &regs)
		return
	}
	handler := handlers[int(regs.Orig_rax)]
	if handler == nil {
		return
	}
	call := handler(t, &regs)
	if call == "" {
		return
	}
	onSocket := call == ReadBackend || call == WriteBackend || call == ReadClient || call == WriteClient
	if onSocket {
		if d := t.descriptor(int(regs.Rdi)); d.broken != 0 {
			fail(tid, &regs, d.broken)
			return
		}
	}
	rule, any := t.rules.draw(call, t.path(tid, call, &regs))
	if !any {
		return
	}
	if rule.Fault == Short {
		regs.Rdx = t.rules.shorter(rule, regs.Rdx)
		_ = syscall.PtraceSetRegs(tid, &regs)
		return
	}
	errno, known := errorNumbers[rule.Fault]
	if !known {
		fmt.Fprintf(os.Stderr, "faultinject: no error is called %q\n", rule.Fault)
		return
	}
	if rule.Broken && onSocket {
		t.descriptor(int(regs.Rdi)).broken = errno
	}
	fail(tid, &regs, errno)
}

// fail has the call return an error, or 0, in place of being carried out.
func fail(tid int, regs *syscall.PtraceRegs, errno syscall.Errno) {
	regs.Orig_rax = ^uint64(0)
	regs.Rax = -uint64(errno)
	_ = syscall.PtraceSetRegs(tid, regs)
}

// errorNumbers are the errors that rules may name.
var errorNumbers = map[string]syscall.Errno{
	"EADDRNOTAVAIL": syscall.EADDRNOTAVAIL, "EAGAIN": syscall.EAGAIN, "ECONNABORTED": syscall.ECONNABORTED,
	"ECONNREFUSED": syscall.ECONNREFUSED, "ECONNRESET": syscall.ECONNRESET, "EHOSTUNREACH": syscall.EHOSTUNREACH,
	"EINTR": syscall.EINTR, "EIO": syscall.EIO, "ENOLCK": syscall.ENOLCK, "EMFILE": syscall.EMFILE, "ENETDOWN": syscall.ENETDOWN,
	"ENETUNREACH": syscall.ENETUNREACH, "ENFILE": syscall.ENFILE, "ENOBUFS": syscall.ENOBUFS, "ENOMEM": syscall.ENOMEM,
	"ENOSPC": syscall.ENOSPC, "EPERM": syscall.EPERM, "EPROTO": syscall.EPROTO, "ETIMEDOUT": syscall.ETIMEDOUT,
}
