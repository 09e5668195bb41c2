//go:build linux

package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"wickarch/internal/faultinject"
	"wickarch/internal/standin"
)

// ingress is one ingress with its processes, of which one runs at a time.
type ingress struct {
	run   *run
	node  standin.Node
	links [2]*standin.Link // to discovery; the configuration names one of them

	mu               sync.Mutex
	current          *standin.Process
	control          *faultinject.Control
	processes        []processRecord
	discoveryOutages []interval // times in which notifications of discovery may not have arrived
	reloadTimes      []time.Time
	faultWindows     []faultWindow // times in which system calls failed
	activeLink       int           // index in links
	changing         bool          // a stop, start, reload or clock step is under way
}

// processRecord holds the times of one process.
type processRecord struct {
	startedAt, readyAt             time.Time
	termSentAt, killedAt, exitedAt time.Time // SIGTERM; a random SIGKILL (see kill); exit. Zero: did not happen
}

// interval is a time with a start and an end.
type interval struct{ from, to time.Time }

// faultWindow is a time in which system calls failed.
type faultWindow struct {
	interval
	rules       string
	breaksConns bool // the faults broke connections to backends
}

// brokeBackendConns reports whether faults broke connections to backends between two times.
func (i *ingress) brokeBackendConns(from, to time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.ContainsFunc(i.faultWindows, func(w faultWindow) bool { return w.breaksConns && w.from.Before(to) && w.to.After(from) })
}

// faultsWithin describes the system call faults between two times.
func (i *ingress) faultsWithin(from, to time.Time) (all []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, w := range i.faultWindows {
		if w.from.Before(to) && w.to.After(from) {
			all = append(all, fmt.Sprintf("%v to %v: %s", w.from.Sub(i.run.startedAt).Round(time.Millisecond),
				w.to.Sub(i.run.startedAt).Round(time.Millisecond), w.rules))
		}
	}
	return all
}

const (
	readyTimeout     = 10 * time.Second // the rules require this of 9 in 10 restarts, the soak of every start
	killGrace        = 700 * time.Millisecond
	exitTimeout      = 5 * time.Second
	connectAfterTerm = 300 * time.Millisecond // how long after SIGTERM clients still connect
)

// newIngress prepares an ingress, without starting it.
func newIngress(r *run, n int) (*ingress, error) {
	i := &ingress{run: r}
	addr, err := standin.Reserve()
	if err != nil {
		return nil, err
	}
	for l := range i.links {
		if i.links[l], err = standin.NewLink(r.registry.Addr()); err != nil {
			return nil, err
		}
	}
	i.node = standin.Node{Name: fmt.Sprint("n", n), Listen: addr, Discovery: i.links[0].Addr,
		Seed:   fmt.Sprintf("%x", r.cfg.Seed*1000+uint64(n)),
		Limits: standin.Limits{Cores: 1, MemoryMB: 64, Sockets: r.cfg.maxSockets()}, Settings: r.settings(n)}
	return i, nil
}

// start starts the next process, with the given fault rules in force from its start, and waits until it accepts
// clients.
func (i *ingress) start(ctx context.Context, rules ...faultinject.Rule) error {
	env, err := faultinject.TracerEnv(i.run.cfg.Program, i.run.rng.Uint64(), rules...)
	if err != nil {
		return err
	}
	i.mu.Lock()
	node := i.node
	i.mu.Unlock()
	var control *faultinject.Control
	node.Prepare = func(cmd *exec.Cmd) (err error) {
		control, err = faultinject.NewControl(cmd)
		return err
	}
	startedAt := time.Now()
	tracer := i.run.cfg.Tracer
	if i.run.cfg.LogDir != "" {
		var config string
		var log *os.File
		if config, log, err = i.openLog(); err != nil {
			return err
		}
		node.Log, tracer = log, append(slices.Clone(tracer), "-config", config)
	}
	process, err := node.Start(ctx, tracer, i.run.cfg.ConfigDir, append(env, i.run.cfg.Env...)...)
	if err != nil {
		return fmt.Errorf("%s: %w", node.Name, err)
	}
	if err = standin.WaitReady(process.Addr, readyTimeout); err != nil {
		return fmt.Errorf("%s: %w", node.Name, err)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.current, i.control = process, control
	i.processes = append(i.processes, processRecord{startedAt: startedAt, readyAt: time.Now()})
	return nil
}

// openLog creates the log file of the next process, and writes the operator's configuration file that enables the
// logging of each request.
func (i *ingress) openLog() (config string, log *os.File, err error) {
	config = filepath.Join(i.run.cfg.LogDir, "own.toml")
	if err = os.WriteFile(config, []byte("[log]\nrequests = true\n"), 0o600); err != nil {
		return "", nil, err
	}
	i.mu.Lock()
	name := fmt.Sprintf("%s-%d.log", i.node.Name, len(i.processes))
	i.mu.Unlock()
	log, err = os.Create(filepath.Join(i.run.cfg.LogDir, name))
	return config, log, err
}

// acceptsClients reports whether a client may connect now, and the index of the process that it would connect to.
func (i *ingress) acceptsClients() (n int, accepts bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	n = len(i.processes) - 1
	if n < 0 {
		return 0, false
	}
	p := i.processes[n]
	stopping := !p.termSentAt.IsZero() && time.Since(p.termSentAt) > connectAfterTerm
	return n, !stopping && p.killedAt.IsZero() && p.exitedAt.IsZero()
}

// running returns the process that was started last.
func (i *ingress) running() (*standin.Process, *faultinject.Control) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.current, i.control
}

// setChanging sets or clears the mark that a stop, start, reload or clock step is under way. It returns false if the
// mark is to be set and is set already.
func (i *ingress) setChanging(on bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if on && i.changing {
		return false
	}
	i.changing = on
	return true
}

// stop ends the process by a series of SIGTERM. The process has until the earliest time at which the rules allow a
// SIGKILL (the longest request timeout and killGrace), plus the time for which the machine stalled; then it is killed.
func (i *ingress) stop(signals int) {
	process, _ := i.running()
	now := time.Now()
	i.updateProcess(func(p *processRecord) { p.termSentAt = now })
	for range signals {
		_ = process.Cmd.Process.Signal(syscall.SIGTERM)
		time.Sleep(5 * time.Millisecond)
	}
	err := process.Wait(time.Until(now.Add(i.run.cfg.maxTimeout() + killGrace)))
	if err != nil && !process.Exited() {
		err = process.Wait(i.run.maxStall(now, time.Now()))
	}
	if err != nil && !process.Exited() {
		_ = process.Cmd.Process.Kill()
		_ = process.Wait(exitTimeout)
		i.run.addViolation(nil, "%s has not exited %v after SIGTERM", i.node.Name, i.run.cfg.maxTimeout()+killGrace)
	} else if err != nil {
		i.run.addViolation(nil, "%s exited after SIGTERM with %v", i.node.Name, err)
	}
	i.recordExit(process)
}

// kill ends the process by SIGKILL.
func (i *ingress) kill() {
	process, _ := i.running()
	i.updateProcess(func(p *processRecord) { p.killedAt = time.Now() })
	_ = process.Cmd.Process.Kill()
	_ = process.Wait(exitTimeout)
	i.recordExit(process)
}

// recordExit records the exit of a process and searches its log for violations that the ingress itself reported.
func (i *ingress) recordExit(process *standin.Process) {
	i.updateProcess(func(p *processRecord) { p.exitedAt = time.Now() })
	for _, line := range process.Log() {
		if strings.Contains(line, "the rule on requests") {
			i.run.addViolation(nil, "%s logged %q", i.node.Name, line)
		}
	}
}

func (i *ingress) updateProcess(f func(*processRecord)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f(&i.processes[len(i.processes)-1])
}

// reload configures the other link to discovery and has the process reload by a series of SIGHUP.
func (i *ingress) reload(signals int) error {
	i.mu.Lock()
	old := i.activeLink
	i.activeLink = 1 - old
	i.node.Discovery = i.links[i.activeLink].Addr
	node, process := i.node, i.current
	i.reloadTimes = append(i.reloadTimes, time.Now())
	i.mu.Unlock()
	if _, err := node.Write(i.run.cfg.ConfigDir); err != nil {
		return err
	}
	for range signals {
		_ = process.Cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(2 * time.Millisecond)
	}
	return nil
}

// recordDiscoveryOutage records a time in which notifications of discovery may not have arrived.
func (i *ingress) recordDiscoveryOutage(from, to time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.discoveryOutages = append(i.discoveryOutages, interval{from, to})
}

// The times after which a notification of discovery counts as received, whether or not it arrived.
const (
	notifiedAfterOutage = 6 * time.Second
	notifiedAfterReload = 4 * time.Second
)

// notifiedBy returns when a change that discovery was notified of at a time counts as received by the n-th process of
// the ingress.
func (i *ingress) notifiedBy(at time.Time, n int) time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	if earliest := i.processes[n].readyAt; at.Before(earliest) {
		at = earliest
	}
	by := at
	for _, outage := range i.discoveryOutages {
		if outage.from.Before(at.Add(time.Second)) && outage.to.After(at.Add(-time.Second)) {
			by = later(by, later(at, outage.to).Add(notifiedAfterOutage))
		}
	}
	for _, reload := range i.reloadTimes {
		if reload.Before(at.Add(time.Second)) && reload.Add(notifiedAfterReload).After(at) {
			by = later(by, reload.Add(notifiedAfterReload))
		}
	}
	return by
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
