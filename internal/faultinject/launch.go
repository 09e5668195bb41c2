//go:build linux

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

// launch installs the seccomp filter and executes the program. It returns only on error.
func launch() error {
	runtime.LockOSThread() // the filter applies to the calling thread and survives exec
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no_new_privs: %w", err)
	}
	program, args := os.Args[1], os.Args[1:]
	env := slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, RoleVariable+"=") })
	filter := buildFilter(tracedCalls())
	prog := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if err := unix.Prctl(unix.PR_SET_SECCOMP, unix.SECCOMP_MODE_FILTER, uintptr(unsafe.Pointer(&prog)), 0, 0); err != nil {
		return fmt.Errorf("seccomp: %w", err)
	}
	return fmt.Errorf("exec %s: %w", program, syscall.Exec(program, args, env))
}

// buildFilter returns a filter that stops a thread for its tracer at the given calls and at reads of the wall clock.
func buildFilter(calls []int) []unix.SockFilter {
	const (
		offsetNumber    = 0  // of seccomp_data.nr
		offsetArg0      = 16 // of the low 32 bits of seccomp_data.args[0]
		jumpBeyondCalls = 3  // instructions between the list of calls and SECCOMP_RET_TRACE, less one
		loadWord        = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
		jumpEqual       = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K
		returnAction    = unix.BPF_RET | unix.BPF_K
	)
	filter := []unix.SockFilter{{Code: loadWord, K: offsetNumber}}
	for i, nr := range calls {
		filter = append(filter, unix.SockFilter{Code: jumpEqual, K: uint32(nr), Jt: uint8(len(calls) - i + jumpBeyondCalls)})
	}
	return append(filter,
		// Of the calls of clock_gettime, stop only those for the wall clock.
		unix.SockFilter{Code: jumpEqual, K: unix.SYS_CLOCK_GETTIME, Jf: 2},
		unix.SockFilter{Code: loadWord, K: offsetArg0},
		unix.SockFilter{Code: jumpEqual, K: unix.CLOCK_REALTIME, Jt: 1},
		unix.SockFilter{Code: returnAction, K: unix.SECCOMP_RET_ALLOW},
		unix.SockFilter{Code: returnAction, K: unix.SECCOMP_RET_TRACE})
}
