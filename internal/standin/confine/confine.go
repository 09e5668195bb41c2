//go:build linux && amd64

// Package confine starts a program under a filter on the system calls that the
// standing trial on the full fleet refuses: those that start other programs or
// fork, io_uring, splice and sendfile, and Unix sockets. The filter is the
// kernel's own (seccomp, mode filter; seccomp(2)) and needs no rights. It holds
// for the process that calls Exec and for all that it becomes, and can't be
// taken off again; a test calls it in a process of its own.
package confine

import (
	"fmt"
	"runtime"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Mode is what the kernel does with a call that the trial refuses.
type Mode int

const (
	// Trap ends the process by SIGSYS: the Go runtime prints the stacks.
	Trap Mode = iota
	// Refuse lets the call fail as the trial does: ENOSYS, for splice EINVAL.
	Refuse
)

// Offsets in struct seccomp_data (linux/seccomp.h): the call's number, the
// architecture, and the low halves of the first arguments.
const (
	offNumber   = 0
	offArch     = 4
	offFirstArg = 16
)

// pathAt is where Exec's path lies: execve is let through for that address
// alone. A program that has replaced this one has nothing there.
const pathAddress = 0x5a5a_0000

// refused are the calls that never pass, whatever their arguments, and the
// error of each under Refuse.
var deniedCalls = []struct {
	number uint32
	err    syscall.Errno
}{
	{unix.SYS_FORK, unix.ENOSYS}, {unix.SYS_VFORK, unix.ENOSYS}, {unix.SYS_EXECVEAT, unix.ENOSYS},
	{unix.SYS_IO_URING_SETUP, unix.ENOSYS}, {unix.SYS_IO_URING_ENTER, unix.ENOSYS}, {unix.SYS_IO_URING_REGISTER, unix.ENOSYS},
	{unix.SYS_SPLICE, unix.EINVAL}, {unix.SYS_SENDFILE, unix.ENOSYS},
}

// program is the filter.
func filter(mode Mode) (f []unix.SockFilter) {
	statement := func(code uint16, k uint32) { f = append(f, unix.SockFilter{Code: code, K: k}) }
	load := func(at uint32) { statement(unix.BPF_LD|unix.BPF_W|unix.BPF_ABS, at) }
	ret := func(k uint32) { statement(unix.BPF_RET|unix.BPF_K, k) }
	unless := func(code uint16, k uint32, skip uint8) { // the test fails: passes over so many
		f = append(f, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_K | code, Jf: skip, K: k})
	}
	deny := func(err syscall.Errno) {
		if mode == Trap {
			ret(unix.SECCOMP_RET_TRAP)
		} else {
			ret(unix.SECCOMP_RET_ERRNO | uint32(err))
		}
	}
	load(offArch)
	f = append(f, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: 1, K: unix.AUDIT_ARCH_X86_64})
	ret(unix.SECCOMP_RET_KILL_PROCESS) // numbers of another architecture mean other calls
	load(offNumber)
	for _, r := range deniedCalls {
		unless(unix.BPF_JEQ, r.number, 1)
		deny(r.err)
	}
	// The C library makes threads by clone3, whose flags a filter can't read, and by clone where there is none.
	unless(unix.BPF_JEQ, unix.SYS_CLONE3, 1)
	ret(unix.SECCOMP_RET_ERRNO | uint32(unix.ENOSYS))
	unless(unix.BPF_JEQ, unix.SYS_CLONE, 4)
	load(offFirstArg)
	unless(unix.BPF_JSET, unix.CLONE_THREAD, 1)
	ret(unix.SECCOMP_RET_ALLOW)
	deny(unix.ENOSYS)
	unless(unix.BPF_JEQ, unix.SYS_EXECVE, 4)
	load(offFirstArg)
	unless(unix.BPF_JEQ, pathAddress, 1)
	ret(unix.SECCOMP_RET_ALLOW)
	deny(unix.ENOSYS)
	for _, call := range []uint32{unix.SYS_SOCKET, unix.SYS_SOCKETPAIR} {
		unless(unix.BPF_JEQ, call, 4)
		load(offFirstArg)
		unless(unix.BPF_JEQ, unix.AF_UNIX, 1)
		deny(unix.EAFNOSUPPORT)
		ret(unix.SECCOMP_RET_ALLOW)
	}
	ret(unix.SECCOMP_RET_ALLOW)
	return f
}

// Exec replaces this process by the program at path under the filter. It
// returns only an error.
func Exec(mode Mode, path string, args, env []string) error {
	runtime.LockOSThread()
	name, err := unix.BytePtrFromString(path)
	if err != nil {
		return fmt.Errorf("confine: path: %w", err)
	}
	page, _, e := unix.Syscall6(unix.SYS_MMAP, pathAddress, uintptr(unix.Getpagesize()), unix.PROT_READ|unix.PROT_WRITE,
		unix.MAP_PRIVATE|unix.MAP_ANONYMOUS|unix.MAP_FIXED_NOREPLACE, ^uintptr(0), 0)
	if e != 0 || page != pathAddress {
		return fmt.Errorf("confine: memory for the path: %w", e)
	}
	if len(path) >= unix.Getpagesize() {
		return fmt.Errorf("confine: path of %d bytes", len(path))
	}
	argv, err := syscall.SlicePtrFromStrings(args)
	if err != nil {
		return fmt.Errorf("confine: arguments: %w", err)
	}
	envp, err := syscall.SlicePtrFromStrings(env)
	if err != nil {
		return fmt.Errorf("confine: environment: %w", err)
	}
	// The page is none of the Go heap's, so the copy is made by the kernel: a
	// pointer into it would be no valid one for the compiler's checks.
	local := unix.Iovec{Base: name}
	local.SetLen(len(path) + 1)
	if _, err := unix.ProcessVMWritev(unix.Getpid(), []unix.Iovec{local}, []unix.RemoteIovec{{Base: pathAddress, Len: len(path) + 1}}, 0); err != nil {
		return fmt.Errorf("confine: memory for the path: %w", err)
	}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("confine: no new privileges: %w", err)
	}
	f := filter(mode)
	prog := unix.SockFprog{Len: uint16(len(f)), Filter: &f[0]}
	_, _, e = unix.RawSyscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_TSYNC, uintptr(unsafe.Pointer(&prog)))
	if e != 0 {
		return fmt.Errorf("confine: filter: %w", e)
	}
	_, _, e = unix.RawSyscall(unix.SYS_EXECVE, pathAddress, uintptr(unsafe.Pointer(&argv[0])), uintptr(unsafe.Pointer(&envp[0])))
	return fmt.Errorf("confine: %s: %w", path, e)
}
