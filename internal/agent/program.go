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

// driver controls a member's program. No method waits for the program to comply; its exit is
// reported by the callback onExit.
type driver interface {
	launch(version string) error
	standby()
	terminate()
	kill()
	// probe asks the program for its readiness and its request counts. It may take until ctx is
	// done and runs concurrently with the other methods: it must not change the driver.
	probe(ctx context.Context) probeResult
	// stats returns the stats to report, given the result of the latest probe.
	stats(result probeResult) rollout.Stats
	// adopt finds the program that was already running when this agent started; nil for none.
	adopt() *rollout.Running
}

// probeResult is the result of a probe.
type probeResult struct {
	ready, stopped bool
	classes        map[string]rollout.Count // nil if unknown
	inFlight       uint64                   // requests in flight at that moment
}

// processDriver controls a program that the agent starts. The program survives its agent, and the
// next agent finds it by the record in the agent's directory.
type processDriver struct {
	cfg    Config
	dir    string
	now    func() time.Duration
	onExit func(why string)
	client *http.Client

	program         *processRecord // nil if none has been started
	inFlightSeconds float64        // see rollout.Stats
	lastProbe       time.Duration  // when inFlightSeconds was last updated
	bootID          uint64         // see rollout.Stats
}

// processRecord identifies a running program; it is stored in the agent's directory.
type processRecord struct {
	PID     int    `json:"pid"`
	Start   uint64 `json:"start"` // clock ticks from system boot to the process's start: with the PID, it identifies one process
	Version string `json:"version"`
}

const maxLogBytes = 4 << 20 // a larger log is rotated when the program is started

func (p *processDriver) recordPath() string { return filepath.Join(p.dir, "program.json") }

// processStartTime returns when a process started, in clock ticks since system boot; 0 if it does not run.
func processStartTime(pid int) uint64 {
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

func (p *processDriver) adopt() *rollout.Running {
	b, err := os.ReadFile(p.recordPath())
	var record processRecord
	if err != nil || json.Unmarshal(b, &record) != nil || record.PID <= 0 || record.Start == 0 ||
		processStartTime(record.PID) != record.Start {
		return nil
	}
	fd, err := unix.PidfdOpen(record.PID, 0)
	if err != nil || processStartTime(record.PID) != record.Start {
		return nil
	}
	p.program = &record
	p.bootID = record.Start
	onExit := p.onExit
	go func() { // it is not a child of this process: the pidfd becomes readable when it exits
		defer func() { _ = unix.Close(fd) }()
		for {
			if _, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, -1); !errors.Is(err, unix.EINTR) {
				break
			}
		}
		onExit("exited with an unknown code, as a previous agent started it")
	}()
	return &rollout.Running{Version: record.Version}
}

func (p *processDriver) launch(version string) error {
	cfg := p.cfg
	if reloaded, err := LoadConfig(cfg.path); err == nil { // the commands may have changed since the agent started
		cfg = reloaded
	}
	command := cfg.Versions[version]
	if len(command) == 0 {
		return &NoVersion{version, cfg.path}
	}
	logPath := filepath.Join(p.dir, "program.log")
	if info, err := os.Stat(logPath); err == nil && info.Size() > maxLogBytes {
		_ = os.Rename(logPath, logPath+".1") // if this fails, the log keeps growing, which must not prevent the start
	}
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return &StateFailed{logPath, err}
	}
	defer func() { _ = log.Close() }() // the program has its own descriptor
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(append(os.Environ(), cfg.Program.Env...), "WICKARCH_VERSION="+version, "WICKARCH_MEMBER="+cfg.Name)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	record := &processRecord{PID: cmd.Process.Pid, Start: processStartTime(cmd.Process.Pid), Version: version}
	p.program, p.inFlightSeconds, p.bootID = record, 0, record.Start
	p.lastProbe = p.now()
	if b, err := json.Marshal(record); err == nil {
		if err := replaceFile(p.recordPath(), b); err != nil {
			// Without the record, the next agent would not find this program and would start a second one.
			cmd.Process.Kill()
			_ = cmd.Wait()
			return &StateFailed{p.recordPath(), err}
		}
	}
	onExit := p.onExit
	go func() {
		err := cmd.Wait()
		why := "exit code 0"
		if err != nil {
			why = err.Error()
		}
		onExit(why)
	}()
	return nil
}

// signal sends a signal to the program, unless it has exited and its PID may have been reused.
func (p *processDriver) signal(sig syscall.Signal) {
	if record := p.program; record != nil && processStartTime(record.PID) == record.Start {
		_ = syscall.Kill(record.PID, sig)
	}
}

func (p *processDriver) terminate() { p.signal(syscall.SIGTERM) }
func (p *processDriver) kill()      { p.signal(syscall.SIGKILL) }

func (p *processDriver) standby() {
	go func() { // best effort: SIGTERM drains as well
		req, err := http.NewRequest(http.MethodPut, "http://"+p.cfg.Program.Admin+"/standby", nil)
		if err != nil {
			return
		}
		if resp, err := p.client.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
}

func (p *processDriver) get(ctx context.Context, path string) (int, []byte) {
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

func (p *processDriver) probe(ctx context.Context) (result probeResult) {
	code, _ := p.get(ctx, "/status")
	if code != http.StatusOK {
		return result
	}
	result.ready = true
	code, b := p.get(ctx, "/status/metrics")
	if code != http.StatusOK {
		return result
	}
	result.classes = map[string]rollout.Count{}
	lines := bufio.NewScanner(strings.NewReader(string(b)))
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), "=")
		n, err := strconv.ParseUint(value, 10, 64)
		if !ok || err != nil {
			continue
		}
		kind, class, _ := strings.Cut(strings.TrimPrefix(name, "edge_node."), ".")
		count := result.classes[class]
		switch kind {
		case "inflight":
			result.inFlight = n
			continue
		case "success":
			count.Served = n
		case "busy":
			count.Refused = n
		case "failure":
			count.Failed = n
		default:
			continue
		}
		result.classes[class] = count
	}
	return result
}

func (p *processDriver) stats(result probeResult) rollout.Stats {
	if result.classes == nil {
		return rollout.Stats{}
	}
	// The integral over time of the requests in flight: their present number is taken for the time since the last
	// probe, of which at most 2 s count.
	now := p.now()
	p.inFlightSeconds += float64(result.inFlight) * min(now-p.lastProbe, 2*time.Second).Seconds()
	p.lastProbe = now
	return rollout.Stats{BootID: p.bootID, Classes: result.classes, InFlightSeconds: p.inFlightSeconds}
}

// hookDriver controls a member by the hook commands of its owner.
type hookDriver struct {
	cfg     Config
	onExit  func(why string)
	onError func(error)
}

// run runs a hook and waits for it. A hook without a command succeeds.
func (h *hookDriver) run(ctx context.Context, name string, command []string, version string) error {
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

const hookTimeout = 60 * time.Second

// runAsync runs a hook in the background. It reports an error to onError, and calls done, unless nil, with the result.
func (h *hookDriver) runAsync(name string, command []string, version string, done func(error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), hookTimeout)
		defer cancel()
		err := h.run(ctx, name, command, version)
		if err != nil {
			h.onError(err)
		}
		if done != nil {
			done(err)
		}
	}()
}

func (h *hookDriver) launch(version string) error {
	onExit := h.onExit
	h.runAsync("start", h.cfg.Hooks.Start, version, func(err error) {
		if err != nil {
			onExit(err.Error())
		}
	})
	return nil
}

func (h *hookDriver) standby() { h.runAsync("drain", h.cfg.Hooks.Drain, "", nil) }

func (h *hookDriver) terminate() {
	onExit := h.onExit
	h.runAsync("stop", h.cfg.Hooks.Stop, "", func(err error) {
		if err == nil {
			onExit("stopped by the stop hook")
		}
	})
}

func (h *hookDriver) kill() {
	if len(h.cfg.Hooks.Kill) == 0 {
		h.terminate()
		return
	}
	onExit := h.onExit
	h.runAsync("kill", h.cfg.Hooks.Kill, "", func(err error) {
		if err == nil {
			onExit("killed")
		}
	})
}

func (h *hookDriver) probe(ctx context.Context) probeResult {
	err := h.run(ctx, "ready", h.cfg.Hooks.Ready, "")
	return probeResult{ready: err == nil, stopped: notRunning(err)}
}

func (h *hookDriver) stats(probeResult) rollout.Stats { return rollout.Stats{} }

// notRunning reports whether the error of the ready hook means that the program is not running.
func notRunning(err error) bool {
	var failed *HookFailed
	var exit *exec.ExitError
	return errors.As(err, &failed) && errors.As(failed.Err, &exit) && exit.ExitCode() == 3
}

func (h *hookDriver) adopt() *rollout.Running {
	ctx, cancel := context.WithTimeout(context.Background(), hookTimeout)
	defer cancel()
	err := h.run(ctx, "ready", h.cfg.Hooks.Ready, "")
	if notRunning(err) {
		return nil
	}
	return &rollout.Running{}
}

func newClient() *http.Client { return rolloutlink.NewHTTPClient(2 * time.Second) }

// diskRetryTimeout is how long a failed read or write of the agent's files is retried.
const diskRetryTimeout = time.Second

// replaceFile replaces a file atomically and syncs it. Transient errors are retried.
func replaceFile(path string, b []byte) error {
	_, err := retry.For(diskRetryTimeout, nil, func() (struct{}, error) { return struct{}{}, replaceOnce(path, b) })
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
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
