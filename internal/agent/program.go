package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"wickarch/internal/retry"
	"wickarch/internal/rolloutlink"
	"wickarch/rollout"
)

// driver is how an agent acts on its member. No method waits for the program to do
// what it is told; exited hears of its end.
type driver interface {
	launch(version string) error
	standby()
	terminate()
	kill()
	// look asks the program whether it is ready and what it has done. It may take
	// as long as its time limit, and is called beside the others: it changes nothing.
	look(ctx context.Context) seen
	// figures makes of what was seen what is reported.
	figures(s seen) rollout.Stats
	// adopt finds the program that ran before this agent started.
	adopt() *rollout.Running
}

// seen is what a look at a program tells.
type seen struct {
	ready, gone bool
	classes     map[string]rollout.Count // nil where it does not tell
	open        uint64                   // requests at that moment
}

// process drives a program that the agent starts. It outlives its agent, and the
// next one finds it by what is written in the agent's folder.
type process struct {
	cfg    Config
	dir    string
	now    func() time.Duration
	exited func(why string)
	client *http.Client

	lived *alive
	open  float64       // request seconds, as far as looked at
	last  time.Duration // when it was looked at last
	boot  uint64
}

// alive is a program that runs, as the agent's folder has it.
type alive struct {
	PID     int    `json:"pid"`
	Start   uint64 `json:"start"` // clock ticks since the machine's start: with the number it names one process
	Version string `json:"version"`
}

const mostLog = 4 << 20 // bytes of a program's log, before a new one is begun

func (p *process) path() string { return filepath.Join(p.dir, "program.json") }

// startOf is when a process started, in clock ticks; 0 if there is none.
func startOf(pid int) uint64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b)[strings.LastIndexByte(string(b), ')')+1:])
	if len(fields) < 20 || fields[0] == "Z" {
		return 0
	}
	n, err := strconv.ParseUint(fields[19], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (p *process) adopt() *rollout.Running {
	b, err := os.ReadFile(p.path())
	var a alive
	if err != nil || json.Unmarshal(b, &a) != nil || a.PID <= 0 || a.Start == 0 || startOf(a.PID) != a.Start {
		return nil
	}
	fd, err := unix.PidfdOpen(a.PID, 0)
	if err != nil || startOf(a.PID) != a.Start {
		return nil
	}
	p.lived = &a
	p.boot = a.Start
	exited := p.exited
	go func() { // it is no child of ours: the kernel tells its end by this descriptor
		defer func() { _ = unix.Close(fd) }()
		for {
			if _, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, -1); !errors.Is(err, unix.EINTR) {
				break
			}
		}
		exited("ended, and its exit code went to the agent before")
	}()
	return &rollout.Running{Version: a.Version}
}

func (p *process) launch(version string) error {
	cfg := p.cfg
	if again, err := LoadConfig(cfg.path); err == nil { // a build that was put in place since
		cfg = again
	}
	command := cfg.Versions[version]
	if len(command) == 0 {
		return &NoVersion{version, cfg.path}
	}
	name := filepath.Join(p.dir, "program.log")
	if st, err := os.Stat(name); err == nil && st.Size() > mostLog {
		_ = os.Rename(name, name+".1") // or the log grows on: no reason not to start
	}
	log, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return &StateFailed{name, err}
	}
	defer func() { _ = log.Close() }() // the program has a descriptor of its own
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(append(os.Environ(), cfg.Program.Env...), "WICKARCH_VERSION="+version, "WICKARCH_MEMBER="+cfg.Name)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	a := &alive{PID: cmd.Process.Pid, Start: startOf(cmd.Process.Pid), Version: version}
	p.lived, p.open, p.boot = a, 0, a.Start
	p.last = p.now()
	if b, err := json.Marshal(a); err == nil {
		if err := replaceFile(p.path(), b); err != nil {
			// A later agent would start a second one beside it.
			cmd.Process.Kill()
			_ = cmd.Wait()
			return &StateFailed{p.path(), err}
		}
	}
	exited := p.exited
	go func() {
		err := cmd.Wait()
		why := "exit code 0"
		if err != nil {
			why = err.Error()
		}
		exited(why)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	if a := p.lived; a != nil && startOf(a.PID) == a.Start {
		_ = syscall.Kill(a.PID, s)
	}
}

func (p *process) terminate() { p.signal(syscall.SIGTERM) }
func (p *process) kill()      { p.signal(syscall.SIGKILL) }

func (p *process) standby() {
	go func() { // not waited for: SIGTERM drains as well
		req, err := http.NewRequest(http.MethodPut, "http://"+p.cfg.Program.Admin+"/standby", nil)
		if err != nil {
			return
		}
		if resp, err := p.client.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
}

func (p *process) get(ctx context.Context, path string) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.cfg.Program.Admin+path, nil)
	if err != nil {
		return 0, nil
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

func (p *process) look(ctx context.Context) (s seen) {
	code, _ := p.get(ctx, "/status")
	if code != http.StatusOK {
		return s
	}
	s.ready = true
	code, b := p.get(ctx, "/status/metrics")
	if code != http.StatusOK {
		return s
	}
	s.classes = map[string]rollout.Count{}
	lines := bufio.NewScanner(strings.NewReader(string(b)))
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), "=")
		n, err := strconv.ParseUint(value, 10, 64)
		if !ok || err != nil {
			continue
		}
		kind, class, _ := strings.Cut(strings.TrimPrefix(name, "edge_node."), ".")
		c := s.classes[class]
		switch kind {
		case "inflight":
			s.open = n
			continue
		case "success":
			c.Served = n
		case "busy":
			c.Refused = n
		case "failure":
			c.Failed = n
		default:
			continue
		}
		s.classes[class] = c
	}
	return s
}

func (p *process) figures(s seen) rollout.Stats {
	if s.classes == nil {
		return rollout.Stats{}
	}
	// Requests open, added up over time: how many there are now stands for the time since the last look.
	now := p.now()
	p.open += float64(s.open) * min(now-p.last, 2*time.Second).Seconds()
	p.last = now
	return rollout.Stats{BootID: p.boot, Classes: s.classes, InFlightSeconds: p.open}
}

// hooked drives a member by its owner's commands.
type hooked struct {
	cfg    Config
	exited func(why string)
	failed func(error)
}

func (h *hooked) run(ctx context.Context, name string, command []string, version string) error {
	if len(command) == 0 {
		return nil
	}
	cmd := exec.CommandContext(ctx, command[0], command[1:]...)
	cmd.Env = append(os.Environ(), "WICKARCH_MEMBER="+h.cfg.Name, "WICKARCH_VERSION="+version)
	cmd.WaitDelay = time.Second
	out, err := cmd.CombinedOutput()
	if err != nil {
		return &HookFailed{name, err, strings.TrimSpace(string(out[:min(len(out), 300)]))}
	}
	return nil
}

const hookTime = 60 * time.Second

func (h *hooked) start(name string, command []string, version string, then func(error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), hookTime)
		defer cancel()
		err := h.run(ctx, name, command, version)
		if err != nil {
			h.failed(err)
		}
		if then != nil {
			then(err)
		}
	}()
}

func (h *hooked) launch(version string) error {
	exited := h.exited
	h.start("start", h.cfg.Hooks.Start, version, func(err error) {
		if err != nil {
			exited(err.Error())
		}
	})
	return nil
}

func (h *hooked) standby() { h.start("drain", h.cfg.Hooks.Drain, "", nil) }

func (h *hooked) terminate() {
	exited := h.exited
	h.start("stop", h.cfg.Hooks.Stop, "", func(err error) {
		if err == nil {
			exited("stopped as told")
		}
	})
}

func (h *hooked) kill() {
	if len(h.cfg.Hooks.Kill) == 0 {
		h.terminate()
		return
	}
	exited := h.exited
	h.start("kill", h.cfg.Hooks.Kill, "", func(err error) {
		if err == nil {
			exited("killed")
		}
	})
}

func (h *hooked) look(ctx context.Context) seen {
	err := h.run(ctx, "ready", h.cfg.Hooks.Ready, "")
	return seen{ready: err == nil, gone: notRunning(err)}
}

func (h *hooked) figures(seen) rollout.Stats { return rollout.Stats{} }

// notRunning tells whether a ready hook says that its program does not run.
func notRunning(err error) bool {
	var f *HookFailed
	var exit *exec.ExitError
	return errors.As(err, &f) && errors.As(f.Err, &exit) && exit.ExitCode() == 3
}

func (h *hooked) adopt() *rollout.Running {
	ctx, cancel := context.WithTimeout(context.Background(), hookTime)
	defer cancel()
	err := h.run(ctx, "ready", h.cfg.Hooks.Ready, "")
	if notRunning(err) {
		return nil
	}
	return &rollout.Running{}
}

func newClient() *http.Client { return rolloutlink.NewHTTPClient(2 * time.Second) }

// diskPatience is how long an agent waits for a disk that fails.
const diskPatience = time.Second

// replaceFile writes a file as a whole and syncs it. While the disk fails by errors that pass it is tried again.
func replaceFile(path string, b []byte) error {
	_, err := retry.For(diskPatience, nil, func() (struct{}, error) { return struct{}{}, replaceOnce(path, b) })
	return err
}

func replaceOnce(path string, b []byte) error {
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
