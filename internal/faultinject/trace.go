//go:build linux

package faultinject

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"
)

// SeedVariable names the environment variable with the seed for choosing the calls that fail.
const SeedVariable = "WICKARCH_FAULTINJECT_SEED"

// rulesVariable names the environment variable with the initial rules.
const rulesVariable = "WICKARCH_FAULTINJECT_RULES"

// Exit codes of the tracer if the program has not returned one.
const (
	exitFailed = 125 // the tracer itself failed
	exitSignal = 128 // plus the number of the signal that ended the program
)

// runTracer runs the tracer and returns its exit code, which is that of the program.
func runTracer() int {
	seed, err := strconv.ParseUint(os.Getenv(SeedVariable), 10, 64)
	if err != nil {
		seed = 1
	}
	t := &tracer{rules: newRuleTable(seed), threads: map[int]bool{}, descriptors: map[int]*descriptor{}}
	var initial Rules
	if err = json.Unmarshal([]byte(os.Getenv(rulesVariable)), &initial); err != nil {
		fmt.Fprintln(os.Stderr, "faultinject: rules:", err)
		return exitFailed
	}
	t.rules.set(initial)
	code, err := t.run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "faultinject:", err)
		return exitFailed
	}
	return code
}

// tracer is the state of one traced program.
type tracer struct {
	rules       *ruleTable
	pid         int
	threads     map[int]bool        // threads that have stopped at least once
	descriptors map[int]*descriptor // of the program, by number
}

// run starts the program and traces it until it ends.
func (t *tracer) run() (code int, err error) {
	runtime.LockOSThread() // only the thread that started the program may trace it
	program := os.Getenv(ProgramVariable)
	if program == "" {
		program = os.Args[0]
	}
	cmd := exec.Command(os.Args[0], append([]string{program}, os.Args[1:]...)...)
	cmd.Env = append(slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, RoleVariable+"=") }),
		RoleVariable+"="+roleLauncher)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Ptrace: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return 0, fmt.Errorf("start: %w", err)
	}
	t.pid = cmd.Process.Pid
	go t.forwardSignals()
	if _, err := syscall.Wait4(t.pid, nil, 0, nil); err != nil {
		return 0, fmt.Errorf("wait for the first stop: %w", err)
	}
	options := unix.PTRACE_O_TRACECLONE | unix.PTRACE_O_TRACESECCOMP | unix.PTRACE_O_EXITKILL | unix.PTRACE_O_TRACEEXEC
	if err := syscall.PtraceSetOptions(t.pid, options); err != nil {
		return 0, fmt.Errorf("set ptrace options: %w", err)
	}
	t.threads[t.pid] = true
	go t.readRules()
	if err := syscall.PtraceCont(t.pid, 0); err != nil {
		return 0, fmt.Errorf("continue: %w", err)
	}
	return t.handleStops()
}

// forwardSignals passes signals from the platform to the program.
func (t *tracer) forwardSignals() {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT)
	for s := range signals {
		_ = syscall.Kill(t.pid, s.(syscall.Signal))
	}
}

// readRules reads rules from standard input and responds to each line with the current counts.
func (t *tracer) readRules() {
	lines := bufio.NewScanner(os.Stdin)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var r Rules
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			fmt.Fprintln(os.Stderr, "faultinject: rules:", err)
			continue
		}
		t.rules.set(r)
		response, err := json.Marshal(t.rules.snapshot())
		if err != nil {
			fmt.Fprintln(os.Stderr, "faultinject:", err)
			continue
		}
		fmt.Println(string(response))
	}
}

// handleStops handles all stops of threads until the program ends.
func (t *tracer) handleStops() (code int, err error) {
	for {
		var status syscall.WaitStatus
		tid, err := syscall.Wait4(-1, &status, syscall.WALL, nil)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil {
			return 0, fmt.Errorf("wait: %w", err)
		}
		switch {
		case status.Exited() && tid == t.pid:
			return status.ExitStatus(), nil
		case status.Signaled() && tid == t.pid:
			return exitSignal + int(status.Signal()), nil
		case status.Stopped():
			// This fails if the thread has ended in the meantime; a later Wait4 reports its end.
			_ = syscall.PtraceCont(tid, t.handleStop(tid, status))
		}
	}
}

// handleStop handles one stop of a thread and returns the signal to deliver, 0 for none.
func (t *tracer) handleStop(tid int, status syscall.WaitStatus) (deliver int) {
	known := t.threads[tid]
	t.threads[tid] = true
	switch s := status.StopSignal(); {
	case s == syscall.SIGTRAP && status.TrapCause() == unix.PTRACE_EVENT_SECCOMP:
		t.interceptCall(tid)
		return 0
	case s == syscall.SIGTRAP && status.TrapCause() == unix.PTRACE_EVENT_EXEC:
		if err := patchClock(tid); err != nil {
			fmt.Fprintln(os.Stderr, "faultinject:", err)
		}
		return 0
	case s == syscall.SIGTRAP && status.TrapCause() > 0:
		return 0
	case s == syscall.SIGSTOP && !known: // a new thread starts with this stop; it is not delivered
		return 0
	default:
		return int(s)
	}
}
