package faultinject

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// callNumberRegister holds the number of a system call.
const callNumberRegister = 8

// registers are those of a thread that has stopped at a system call.
type registers struct {
	tid    int
	values unix.PtraceRegsArm64
}

// readRegisters reads the registers of a thread that has stopped. It fails if the thread has ended.
func readRegisters(tid int) (*registers, error) {
	r := &registers{tid: tid}
	return r, unix.PtraceGetRegSetArm64(tid, unix.NT_PRSTATUS, &r.values)
}

func (r *registers) callNumber() int { return int(r.values.Regs[callNumberRegister]) }

// argument returns an argument of the call, counted from 0.
func (r *registers) argument(n int) uint64 { return r.values.Regs[n] }

// setLength changes the third argument, the length of a read or write.
func (r *registers) setLength(n uint64) {
	r.values.Regs[2] = n
	_ = unix.PtraceSetRegSetArm64(r.tid, unix.NT_PRSTATUS, &r.values)
}

// skipCall makes the call return an error, or 0 for success, without being executed: the call number
// -1 makes the kernel skip it. The kernel keeps that number in a register set of its own.
func (r *registers) skipCall(errno syscall.Errno) {
	number := int32(-1)
	set := unix.Iovec{Base: (*byte)(unsafe.Pointer(&number))}
	set.SetLen(int(unsafe.Sizeof(number)))
	_, _, e := unix.RawSyscall6(unix.SYS_PTRACE, unix.PTRACE_SETREGSET, uintptr(r.tid), unix.NT_ARM_SYSTEM_CALL,
		uintptr(unsafe.Pointer(&set)), 0, 0)
	if e != 0 {
		return // the thread has ended
	}
	r.values.Regs[0] = -uint64(errno)
	_ = unix.PtraceSetRegSetArm64(r.tid, unix.NT_PRSTATUS, &r.values)
}

// olderPollCalls are calls that wait for events and that not every architecture has.
var olderPollCalls []int

// clockGettimeCode is "bti c; mov x8, #113; svc #0; ret": clock_gettime as a system call.
var clockGettimeCode = []byte{0x5f, 0x24, 0x03, 0xd5, 0x28, 0x0e, 0x80, 0xd2, 0x01, 0x00, 0x00, 0xd4, 0xc0, 0x03, 0x5f, 0xd6}

const clockSymbol = "__kernel_clock_gettime"
