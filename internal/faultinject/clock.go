//go:build linux

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

// Programs read clocks through code that the kernel maps into each process (vdso(7)), without a system call that
// the tracer could intercept. When the program starts, its copy of that code is replaced by one that makes the
// system call. The seccomp filter stops it only for the wall clock; the monotonic clock is unaffected.

var errNoClockCode = errors.New("the process has no vDSO with clock_gettime")

// patchClock replaces the clock code of a process that has just executed the program.
func patchClock(pid int) error {
	base, size, err := findVDSO(pid)
	if err != nil {
		return err
	}
	memory, err := os.Open(fmt.Sprintf("/proc/%d/mem", pid))
	if err != nil {
		return fmt.Errorf("clock: %w", err)
	}
	defer func() { _ = memory.Close() }() // opened read-only
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
		if s.Name == clockSymbol {
			_, err = syscall.PtracePokeText(pid, uintptr(base+s.Value), clockGettimeCode)
			return err
		}
	}
	return errNoClockCode
}

// findVDSO returns the address and size of the process's vDSO mapping.
func findVDSO(pid int) (base, size uint64, err error) {
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
	return 0, 0, errNoClockCode
}

// interceptClock returns the stepped time to a call that reads the wall clock, if a step is set.
func (t *tracer) interceptClock(tid int, regs *registers) {
	step := t.rules.currentClockStep()
	if step == 0 {
		return
	}
	now := time.Now().Add(step)
	value := binary.LittleEndian.AppendUint64(nil, uint64(now.Unix()))
	value = binary.LittleEndian.AppendUint64(value, uint64(now.Nanosecond()))
	if _, err := syscall.PtracePokeData(tid, uintptr(regs.argument(1)), value); err != nil {
		return // the call is executed and returns the error for a bad address itself
	}
	regs.skipCall(0)
}
