//go:build linux

package faultinject

import (
	"bufio"
	"fmt"
	"os"
	"testing"
	"time"
)

// clockProgramVariable makes the test binary run printClocks in place of the tests.
const clockProgramVariable = "FAULTINJECT_TEST_CLOCK"

// printClocks prints the wall clock in seconds and the monotonic run time in milliseconds until it is killed.
func printClocks() {
	started := time.Now()
	for range time.Tick(10 * time.Millisecond) {
		now := time.Now()
		fmt.Fprintln(os.Stderr, now.Unix(), now.Sub(started).Milliseconds())
	}
}

// Guards against a vDSO patch that does not step the wall clock, or that steps the monotonic clock too.
func TestStepClockMovesOnlyWallClock(t *testing.T) {
	cmd, err := Command(t.Context(), 1, []string{clockProgramVariable + "=1"})
	if err != nil {
		t.Fatal(err)
	}
	control, err := NewControl(cmd)
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err = cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); _ = cmd.Wait() }()
	lines := bufio.NewScanner(out)
	for _, offset := range []time.Duration{0, -time.Hour, 3 * time.Second, time.Hour} {
		if err = control.StepClock(offset); err != nil {
			t.Fatal(err)
		}
		before := int64(0)
		for n := range 20 { // the first lines may have been printed before the step
			if !lines.Scan() {
				t.Fatal("the program has closed its standard error")
			}
			var wall, elapsed int64
			if _, err = fmt.Sscan(lines.Text(), &wall, &elapsed); err != nil {
				t.Fatalf("%q: %v", lines.Text(), err)
			}
			if n > 10 {
				if got := time.Until(time.Unix(wall, 0)).Round(time.Second); (got - offset).Abs() > 2*time.Second {
					t.Errorf("stepped by %v: wall clock is off by %v", offset, got)
				}
			}
			if elapsed < before || n > 0 && elapsed > before+2000 {
				t.Errorf("stepped by %v: monotonic clock went from %d to %d ms", offset, before, elapsed)
			}
			before = elapsed
		}
	}
}
