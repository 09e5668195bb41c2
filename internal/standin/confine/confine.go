//go:build linux

// Package confine runs a program under a seccomp filter (seccomp(2)) that denies the
// system calls denied by the standing trial on the full fleet: those that execute
// programs or fork, io_uring, splice and sendfile, and Unix sockets. It needs no
// privileges. The filter applies to the process that calls Exec and to the program that
// replaces it, and can't be removed, so tests call Exec in a separate process.
package confine

import (
	"fmt"
	"runtime"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Mode is what the kernel does with a denied call.
type Mode int

const (
	// Trap ends the process with SIGSYS: the Go runtime prints the stacks.
	Trap Mode = iota
	// Refuse makes the call fail with the trial's errors: EAFNOSUPPORT for Unix sockets,
	// EINVAL for splice, ENOSYS for the others.
	Refuse
)

// Offsets in struct seccomp_data (linux/seccomp.h): the call's number, the
// architecture, and the low half of the first argument.
const (
	offNumber   = 0
	offArch     = 4
	offFirstArg = 16
)

// pathAddress is the address of Exec's path. The filter allows execve only with this
// pointer; after the exec nothing is mapped there, so further calls fail.
const pathAddress = 0x5a5a_0000

// deniedCalls are the calls denied whatever their arguments, with the error of each under
// Refuse.
var deniedCalls = []struct {
	number uint32
	err    syscall.Errno
}{
	{unix.SYS_EXECVEAT, unix.ENOSYS},
	{unix.SYS_IO_URING_SETUP, unix.ENOSYS}, {unix.SYS_IO_URING_ENTER, unix.ENOSYS}, {unix.SYS_IO_URING_REGISTER, unix.ENOSYS},
	{unix.SYS_SPLICE, unix.EINVAL}, {unix.SYS_SENDFILE, unix.ENOSYS},
}

// filter returns the BPF program.
func filter(mode Mode) (f []unix.SockFilter) {
	statement := func(code uint16, k uint32) { f = append(f, unix.SockFilter{Code: code, K: k}) }
	load := func(at uint32) { statement(unix.BPF_LD|unix.BPF_W|unix.BPF_ABS, at) }
	ret := func(k uint32) { statement(unix.BPF_RET|unix.BPF_K, k) }
	skipUnless := func(code uint16, k uint32, skip uint8) { // if the test fails, skips that many instructions
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
	f = append(f, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: 1, K: auditArch})
	ret(unix.SECCOMP_RET_KILL_PROCESS) // call numbers differ between architectures
	load(offNumber)
	for _, number := range forkCalls {
		skipUnless(unix.BPF_JEQ, number, 1)
		deny(unix.ENOSYS)
	}
	for _, r := range deniedCalls {
		skipUnless(unix.BPF_JEQ, r.number, 1)
		deny(r.err)
	}
	// The C library creates threads with clone3, whose flags a filter can't read, and falls back to
	// clone on ENOSYS.
	skipUnless(unix.BPF_JEQ, unix.SYS_CLONE3, 1)
	ret(unix.SECCOMP_RET_ERRNO | uint32(unix.ENOSYS))
	skipUnless(unix.BPF_JEQ, unix.SYS_CLONE, 4)
	load(offFirstArg)
	skipUnless(unix.BPF_JSET, unix.CLONE_THREAD, 1)
	ret(unix.SECCOMP_RET_ALLOW)
	deny(unix.ENOSYS)
	skipUnless(unix.BPF_JEQ, unix.SYS_EXECVE, 4)
	load(offFirstArg)
	skipUnless(unix.BPF_JEQ, pathAddress, 1)
	ret(unix.SECCOMP_RET_ALLOW)
	deny(unix.ENOSYS)
	for _, call := range []uint32{unix.SYS_SOCKET, unix.SYS_SOCKETPAIR} {
		skipUnless(unix.BPF_JEQ, call, 4)
		load(offFirstArg)
		skipUnless(unix.BPF_JEQ, unix.AF_UNIX, 1)
		deny(unix.EAFNOSUPPORT)
		ret(unix.SECCOMP_RET_ALLOW)
	}
	ret(unix.SECCOMP_RET_ALLOW)
	return f
}

// Exec replaces this process with the program at path, under the filter. It returns only
// on error.
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
		return fmt.Errorf("confine: path of %d bytes is too long", len(path))
	}
	argv, err := syscall.SlicePtrFromStrings(args)
	if err != nil {
		return fmt.Errorf("confine: arguments: %w", err)
	}
	envp, err := syscall.SlicePtrFromStrings(env)
	if err != nil {
		return fmt.Errorf("confine: environment: %w", err)
	}
	// The page is outside of the Go heap, so the kernel makes the copy: Go's pointer checks
	// would reject a pointer into it.
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
		return fmt.Errorf("confine: install seccomp filter: %w", e)
	}
	_, _, e = unix.RawSyscall(unix.SYS_EXECVE, pathAddress, uintptr(unsafe.Pointer(&argv[0])), uintptr(unsafe.Pointer(&envp[0])))
	return fmt.Errorf("confine: %s: %w", path, e)
}
