//go:build linux && amd64

package faultinject

import (
	"bytes"
	"debug/elf"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// The wall clock is read through the page of code that the kernel maps into each process (vdso(7)), with no
// system call. At its start the program's copy of that code is changed to make the call, which the filter stops
// for the wall clock alone; the monotonic clock goes on untouched.

// realCall is "mov $228, %eax; syscall; ret": clock_gettime as a system call.
var realCall = []byte{0xb8, 0xe4, 0x00, 0x00, 0x00, 0x0f, 0x05, 0xc3}

const clockFunction = "__vdso_clock_gettime"

var errNoClock = errors.New("the kernel maps no code for the clock")

// leadClock changes the code for the clock in a process that has just become the program.
func leadClock(pid int) error {
	base, size, err := vdsoOf(pid)
	if err != nil {
		return err
	}
	memory, err := os.Open(fmt.Sprintf("/proc/%d/mem", pid))
	if err != nil {
		return fmt.Errorf("clock: %w", err)
	}
	defer func() { _ = memory.Close() }() // read alone
	image := make([]byte, size)
	if _, err = memory.ReadAt(image, int64(base)); err != nil {
		return fmt.Errorf("clock: %w", err)
	}
	file, err := elf.NewFile(bytes.NewReader(image))
	if err != nil {
		return fmt.Errorf("clock: %w", err)
	}
	symbols, err := file.DynamicSymbols()
	if err != nil {
		return fmt.Errorf("clock: %w", err)
	}
	for _, s := range symbols {
		if s.Name == clockFunction {
			_, err = syscall.PtracePokeText(pid, uintptr(base+s.Value), realCall)
			return err
		}
	}
	return errNoClock
}

// vdsoOf finds the mapping.
func vdsoOf(pid int) (base, size uint64, err error) {
	maps, err := os.ReadFile(fmt.Sprintf("/proc/%d/maps", pid))
	if err != nil {
		return 0, 0, fmt.Errorf("clock: %w", err)
	}
	for line := range strings.Lines(string(maps)) {
		if !strings.Contains(line, "[vdso]") {
			continue
		}
		var end uint64
		if _, err = fmt.Sscanf(line, "%x-%x", &base, &end); err != nil {
			return 0, 0, fmt.Errorf("clock: %w", err)
		}
		return base, end - base, nil
	}
	return 0, 0, errNoClock
}

// clock answers a reading of the wall clock where that is stepped.
func (t *tracer) clock(tid int, regs *syscall.PtraceRegs) {
	step := t.rules.clockStep()
	if step == 0 {
		return
	}
	now := time.Now().Add(step)
	value := binary.LittleEndian.AppendUint64(nil, uint64(now.Unix()))
	value = binary.LittleEndian.AppendUint64(value, uint64(now.Nanosecond()))
	if _, err := syscall.PtracePokeData(tid, uintptr(regs.Rsi), value); err != nil {
		return // the call itself will tell
	}
	fail(tid, regs, 0)
}
