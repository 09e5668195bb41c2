package faultinject

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// registers are those of a thread that has stopped at a system call.
type registers struct {
	tid    int
	values syscall.PtraceRegs
}

// readRegisters reads the registers of a thread that has stopped. It fails if the thread has ended.
func readRegisters(tid int) (*registers, error) {
	r := &registers{tid: tid}
	return r, syscall.PtraceGetRegs(tid, &r.values)
}

func (r *registers) callNumber() int { return int(r.values.Orig_rax) }

// argument returns an argument of the call, counted from 0.
func (r *registers) argument(n int) uint64 {
	return [...]uint64{r.values.Rdi, r.values.Rsi, r.values.Rdx}[n]
}

// setLength changes the third argument, the length of a read or write.
func (r *registers) setLength(n uint64) {
	r.values.Rdx = n
	_ = syscall.PtraceSetRegs(r.tid, &r.values)
}

// skipCall makes the call return an error, or 0 for success, without being executed: the call number
// -1 makes the kernel skip it.
func (r *registers) skipCall(errno syscall.Errno) {
	r.values.Orig_rax = ^uint64(0)
	r.values.Rax = -uint64(errno)
	_ = syscall.PtraceSetRegs(r.tid, &r.values)
}

// olderPollCalls are calls that wait for events and that not every architecture has.
var olderPollCalls = []int{unix.SYS_EPOLL_WAIT}

// clockGettimeCode is "mov $228, %eax; syscall; ret": clock_gettime as a system call.
var clockGettimeCode = []byte{0xb8, 0xe4, 0x00, 0x00, 0x00, 0x0f, 0x05, 0xc3}

const clockSymbol = "__vdso_clock_gettime"
