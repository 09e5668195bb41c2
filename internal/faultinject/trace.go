//go:build linux && amd64

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

// SeedVariable names the seed by which a tracer draws the calls that fail.
const SeedVariable = "WICKARCH_FAULTINJECT_SEED"

// rulesVariable holds the rules in force at the start.
const rulesVariable = "WICKARCH_FAULTINJECT_RULES"

// Exit codes of the tracer where the program gave none.
const (
	exitFailed = 125 // the tracer itself failed
	exitSignal = 128 // and the number of the signal that ended the program
)

// traceMain runs the tracer and returns its exit code: that of the program.
func traceMain() int {
	seed, err := strconv.ParseUint(os.Getenv(SeedVariable), 10, 64)
	if err != nil {
		seed = 1
	}
	t := &tracer{rules: newTable(seed), threads: map[int]bool{}, sockets: map[int]*descriptor{}}
	var first Rules
	if err = json.Unmarshal([]byte(os.Getenv(rulesVariable)), &first); err != nil {
		fmt.Fprintln(os.Stderr, "faultinject: rules:", err)
		return exitFailed
	}
	t.rules.set(first)
	code, err := t.run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "faultinject:", err)
		return exitFailed
	}
	return code
}

// tracer is the state of one traced program.
type tracer struct {
	rules   *table
	pid     int
	threads map[int]bool        // known by their first stop
	sockets map[int]*descriptor // of the program
}

// run starts the program and follows it to its end.
func (t *tracer) run() (code int, err error) {
	runtime.LockOSThread() // ptrace belongs to one thread
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
		return 0, fmt.Errorf("first stop: %w", err)
	}
	options := unix.PTRACE_O_TRACECLONE | unix.PTRACE_O_TRACESECCOMP | unix.PTRACE_O_EXITKILL | unix.PTRACE_O_TRACEEXEC
	if err := syscall.PtraceSetOptions(t.pid, options); err != nil {
		return 0, fmt.Errorf("options: %w", err)
	}
	t.threads[t.pid] = true
	go t.takeRules()
	if err := syscall.PtraceCont(t.pid, 0); err != nil {
		return 0, fmt.Errorf("continue: %w", err)
	}
	return t.follow()
}

// forwardSignals hands the signals that a platform sends on to the program.
func (t *tracer) forwardSignals() {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT)
	for s := range signals {
		_ = syscall.Kill(t.pid, s.(syscall.Signal))
	}
}

// takeRules reads rules and answers each line with the counts so far.
func (t *tracer) takeRules() {
	lines := bufio.NewScanner(os.Stdin)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var r Rules
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			fmt.Fprintln(os.Stderr, "faultinject: rules:", err)
			continue
		}
		t.rules.set(r)
		answer, err := json.Marshal(t.rules.report())
		if err != nil {
			fmt.Fprintln(os.Stderr, "faultinject:", err)
			continue
		}
		fmt.Println(string(answer))
	}
}

// follow handles all stops until the program ends.
func (t *tracer) follow() (code int, err error) {
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
			// A thread that has ended meanwhile can't be continued: its end is told next.
			_ = syscall.PtraceCont(tid, t.stopped(tid, status))
		}
	}
}

// stopped handles one stop and returns the signal to be delivered, 0 for none.
func (t *tracer) stopped(tid int, status syscall.WaitStatus) (deliver int) {
	known := t.threads[tid]
	t.threads[tid] = true
	switch s := status.StopSignal(); {
	case s == syscall.SIGTRAP && status.TrapCause() == unix.PTRACE_EVENT_SECCOMP:
		t.call(tid)
		return 0
	case s == syscall.SIGTRAP && status.TrapCause() == unix.PTRACE_EVENT_EXEC:
		if err := leadClock(tid); err != nil {
			fmt.Fprintln(os.Stderr, "faultinject:", err)
		}
		return 0
	case s == syscall.SIGTRAP && status.TrapCause() > 0:
		return 0
	case s == syscall.SIGSTOP && !known: // the first stop of a new thread
		return 0
	default:
		return int(s)
	}
}
