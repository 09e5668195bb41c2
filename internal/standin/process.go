package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// Process is a run of the real program with the configuration of one node.
type Process struct {
	Addr string // address for clients
	Cmd  *exec.Cmd

	exited chan struct{}
	err    error
	log    []string // the last lines of its log; read only after exit
}

const maxLogLines = 200

// Start starts a program with the node's configuration and waits until it logs its
// address. The program is killed when ctx ends.
func (n Node) Start(ctx context.Context, program []string, dir string, env ...string) (*Process, error) {
	path, err := n.Write(dir)
	if err != nil {
		return nil, err
	}
	p := &Process{Cmd: exec.CommandContext(ctx, program[0], program[1:]...), exited: make(chan struct{})}
	p.Cmd.Env = append(append(os.Environ(), env...), "NODE_CONFIG="+path)
	// In a process group of its own, the program gets no Ctrl-C from the terminal: only this
	// process does, which then stops the others in order.
	p.Cmd.ExtraFiles = n.Files
	p.Cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := p.Cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if n.Prepare != nil {
		if err := n.Prepare(p.Cmd); err != nil {
			return nil, fmt.Errorf("start: %w", err)
		}
	}
	if err := p.Cmd.Start(); err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	address := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if n.Log != nil {
				_, _ = fmt.Fprintln(n.Log, lines.Text())
			}
			if len(p.log) == maxLogLines {
				p.log = p.log[1:]
			}
			p.log = append(p.log, lines.Text())
			if _, rest, ok := strings.Cut(lines.Text(), "address="); ok && strings.Contains(lines.Text(), "serving") {
				select {
				case address <- strings.Fields(rest)[0]:
				default:
				}
			}
		}
		p.err = p.Cmd.Wait()
		close(p.exited)
	}()
	select {
	case p.Addr = <-address:
		return p, nil
	case <-p.exited:
		return nil, fmt.Errorf("the program exited before it was serving: %v: %s", p.err, strings.Join(p.log, "; "))
	}
}

// Exited reports whether the program has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Stop sends SIGTERM and waits for the program to exit; it kills the program after the
// timeout. It returns the exit error.
func (p *Process) Stop(timeout time.Duration) error {
	_ = p.Cmd.Process.Signal(syscall.SIGTERM)
	err := p.Wait(timeout)
	if errors.Is(err, errStillRunning) {
		p.Cmd.Process.Kill()
		<-p.exited
	}
	return err
}

var errStillRunning = errors.New("the program did not exit before the timeout")

// Log returns the last lines that the program logged. Call it only after exit.
func (p *Process) Log() []string { return p.log }

// Wait waits for the program to exit and returns its exit error.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.exited:
	case <-time.After(timeout):
		return errStillRunning
	}
	if p.err != nil {
		return fmt.Errorf("%w: %s", p.err, strings.Join(p.log, "; "))
	}
	return nil
}

// Usage is the resource usage of a process as reported by the kernel.
type Usage struct {
	CPU      time.Duration // user and system
	Resident int64         // bytes
	Files    int           // open file descriptors
	Switches int64         // voluntary context switches of all threads: wakeups
}

// Usage returns the resource usage of the process.
func (p *Process) Usage() (u Usage, err error) { return UsageOf(p.Cmd.Process.Pid) }

// UsageOf reads the resource usage of a process from /proc.
func UsageOf(pid int) (u Usage, err error) {
	base := fmt.Sprintf("/proc/%d", pid)
	stat, err := os.ReadFile(base + "/stat")
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat)[strings.LastIndexByte(string(stat), ')')+2:])
	var pages int64
	if _, err = fmt.Sscan(fields[21], &pages); err != nil {
		return u, fmt.Errorf("resident pages: %w", err)
	}
	u.Resident = pages * int64(os.Getpagesize())
	files, err := os.ReadDir(base + "/fd")
	if err != nil {
		return u, err
	}
	u.Files = len(files)
	tasks, err := os.ReadDir(base + "/task")
	if err != nil {
		return u, err
	}
	for _, t := range tasks {
		// schedstat is in nanoseconds; the CPU time in /proc/PID/stat has ticks of 10 ms.
		if sched, err := os.ReadFile(base + "/task/" + t.Name() + "/schedstat"); err == nil {
			var ns int64
			if _, err := fmt.Sscan(string(sched), &ns); err != nil {
				return u, fmt.Errorf("CPU time: %w", err)
			}
			u.CPU += time.Duration(ns)
		}
		status, err := os.ReadFile(base + "/task/" + t.Name() + "/status")
		if err != nil {
			continue // the thread has exited
		}
		if _, v, ok := strings.Cut(string(status), "\nvoluntary_ctxt_switches:"); ok {
			var n int64
			if _, err := fmt.Sscan(v, &n); err != nil {
				return u, fmt.Errorf("context switches: %w", err)
			}
			u.Switches += n
		}
	}
	return u, nil
}
