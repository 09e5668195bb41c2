//go:build linux

package faultinject

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

// echoProgramVariable makes the test binary run echo in place of the tests.
const echoProgramVariable = "FAULTINJECT_TEST_ECHO"

func TestMain(m *testing.M) {
	RunRole()
	if os.Getenv(clockProgramVariable) != "" {
		printClocks()
	}
	if os.Getenv(echoProgramVariable) != "" {
		echo()
		return
	}
	os.Exit(m.Run())
}

// echo accepts connections and prints the result of each accept and read to standard error.
func echo() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println("listen:", err)
		os.Exit(1)
	}
	fmt.Fprintln(os.Stderr, ln.Addr())
	for {
		c, err := ln.Accept()
		if err != nil {
			fmt.Fprintln(os.Stderr, "accept:", err)
			continue
		}
		go func() {
			defer c.Close()
			b := make([]byte, 100)
			for {
				n, err := c.Read(b)
				if err != nil {
					fmt.Fprintln(os.Stderr, "read:", err)
					return
				}
				fmt.Fprintln(os.Stderr, "bytes:", n)
			}
		}()
	}
}

// Guards against faults that are counted but never reach the program: errors and short reads must
// occur in a real process, by rules that change while it runs.
func TestRulesApplyToRunningProgram(t *testing.T) {
	cmd, err := Command(t.Context(), 1, []string{echoProgramVariable + "=1"})
	if err != nil {
		t.Fatal(err)
	}
	control, err := NewControl(cmd)
	if err != nil {
		t.Fatal(err)
	}
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err = cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(log)
	next := func() string {
		t.Helper()
		if !lines.Scan() {
			t.Fatal("the program has closed its standard error")
		}
		return lines.Text()
	}
	addr := next()
	if _, err = control.Set(Rule{Call: ReadClient, Fault: Short, Share: 1, MaxBytes: 2}); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err = c.Write([]byte("123")); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"bytes: 2", "bytes: 1"} {
		if got := next(); got != want {
			t.Errorf("the program read %q, want %q", got, want)
		}
	}
	if _, err = control.Set(Rule{Call: Accept, Fault: "ENFILE", Share: 1, MaxFaults: 1},
		Rule{Call: ReadClient, Fault: "EHOSTUNREACH", Share: 1, MaxFaults: 1, Broken: true}); err != nil {
		t.Fatal(err)
	}
	if _, err = c.Write([]byte("4")); err != nil {
		t.Fatal(err)
	}
	if got := next(); !strings.Contains(got, syscall.EHOSTUNREACH.Error()) {
		t.Errorf("the program read %q, want a broken connection", got)
	}
	second, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if got := next(); !strings.Contains(got, "accept") || !strings.Contains(got, syscall.ENFILE.Error()) {
		t.Errorf("the program printed %q, want a failed accept", got)
	}
	applied, err := control.Set()
	if err != nil {
		t.Fatal(err)
	}
	for call, n := range map[string]int{"accept ENFILE": 1, "read-client EHOSTUNREACH": 1} {
		if applied[call] != n {
			t.Errorf("%s was applied %d times, want %d: %v", call, applied[call], n, applied)
		}
	}
	if err = cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	var ended *exec.ExitError
	if err = cmd.Wait(); !errors.As(err, &ended) || ended.ExitCode() != exitSignal+int(syscall.SIGTERM) {
		t.Errorf("tracer ended with %v, want the exit code of a program ended by SIGTERM", err)
	}
}
