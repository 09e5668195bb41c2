//go:build linux && amd64

package faultinject

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// launch installs the filter and becomes the program. It returns only an error.
func launch() error {
	runtime.LockOSThread() // the filter is the thread's, and stays through exec
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no_new_privs: %w", err)
	}
	program, args := os.Args[1], os.Args[1:]
	env := slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, RoleVariable+"=") })
	filter := filterOf(tracedCalls())
	prog := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if err := unix.Prctl(unix.PR_SET_SECCOMP, unix.SECCOMP_MODE_FILTER, uintptr(unsafe.Pointer(&prog)), 0, 0); err != nil {
		return fmt.Errorf("seccomp: %w", err)
	}
	return fmt.Errorf("exec %s: %w", program, syscall.Exec(program, args, env))
}

// filterOf is the filter that stops the thread for its tracer at these calls.
func filterOf(calls []int) []unix.SockFilter {
	const (
		offsetCall  = 0  // of seccomp_data.nr
		offsetFirst = 16 // of the low half of its first argument
		behindList  = 3  // instructions between the list of calls and the last
		loadWord    = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
		jumpEqual   = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K
		giveBack    = unix.BPF_RET | unix.BPF_K
	)
	filter := []unix.SockFilter{{Code: loadWord, K: offsetCall}}
	for i, nr := range calls {
		filter = append(filter, unix.SockFilter{Code: jumpEqual, K: uint32(nr), Jt: uint8(len(calls) - i + behindList)})
	}
	return append(filter,
		// Of the clocks, the wall clock alone.
		unix.SockFilter{Code: jumpEqual, K: unix.SYS_CLOCK_GETTIME, Jf: 2},
		unix.SockFilter{Code: loadWord, K: offsetFirst},
		unix.SockFilter{Code: jumpEqual, K: unix.CLOCK_REALTIME, Jt: 1},
		unix.SockFilter{Code: giveBack, K: unix.SECCOMP_RET_ALLOW},
		unix.SockFilter{Code: giveBack, K: unix.SECCOMP_RET_TRACE})
}
