//go:build linux && amd64

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

// ingress is one ingress and its processes, one after the other.
type ingress struct {
	run   *run
	node  standin.Node
	links [2]*standin.Link // to discovery; one of them is configured

	mu      sync.Mutex
	process *standin.Process
	control *faultinject.Control
	lives   []life
	blind   []span // times in which what discovery told may not have arrived
	hups    []time.Time
	failing []window // in which system calls failed
	using   int      // of links
	changes bool     // it is being stopped or started
}

// life is one process.
type life struct {
	begun, ready          time.Time
	told, killed, expired time.Time // SIGTERM; a SIGKILL drawn at random; its end. Zero: not
}

// span is a time with a beginning and an end.
type span struct{ from, to time.Time }

// window is a time in which system calls failed.
type window struct {
	span
	rules  string
	breaks bool // connections to backends
}

// broke tells whether connections to backends broke within a time.
func (i *ingress) broke(from, to time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.ContainsFunc(i.failing, func(w window) bool { return w.breaks && w.from.Before(to) && w.to.After(from) })
}

// failed tells which calls failed within a time.
func (i *ingress) failed(from, to time.Time) (all []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, w := range i.failing {
		if w.from.Before(to) && w.to.After(from) {
			all = append(all, fmt.Sprintf("%v to %v: %s", w.from.Sub(i.run.begun).Round(time.Millisecond), w.to.Sub(i.run.begun).Round(time.Millisecond), w.rules))
		}
	}
	return all
}

const (
	readyPatience = 10 * time.Second // for nine in ten of those that start again
	killGrace     = 700 * time.Millisecond
	endPatience   = 5 * time.Second
	connectsAfter = 300 * time.Millisecond // clients connect for so long after SIGTERM
)

// newIngress prepares an ingress.
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
	i.node = standin.Node{Name: fmt.Sprint("n", n), Listen: addr, Discovery: i.links[0].Addr, Seed: fmt.Sprintf("%x", r.cfg.Seed*1000+uint64(n)),
		Limits: standin.Limits{Cores: 1, MemoryMB: 64, Sockets: r.cfg.sockets()}, Settings: r.settings(n)}
	return i, nil
}

// start starts the next process and waits until it takes clients.
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
	begun := time.Now()
	tracer := i.run.cfg.Tracer
	if i.run.cfg.Logs != "" {
		var config string
		var log *os.File
		if config, log, err = i.logs(); err != nil {
			return err
		}
		node.Log, tracer = log, append(slices.Clone(tracer), "-config", config)
	}
	process, err := node.Start(ctx, tracer, i.run.cfg.Dir, append(env, i.run.cfg.Env...)...)
	if err != nil {
		return fmt.Errorf("%s: %w", node.Name, err)
	}
	if err = standin.WaitReady(process.Addr, readyPatience); err != nil {
		return fmt.Errorf("%s: %w", node.Name, err)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.process, i.control = process, control
	i.lives = append(i.lives, life{begun: begun, ready: time.Now()})
	return nil
}

// logs opens the log of the next process, and writes the file of our own that has each request logged.
func (i *ingress) logs() (config string, log *os.File, err error) {
	config = filepath.Join(i.run.cfg.Logs, "own.toml")
	if err = os.WriteFile(config, []byte("[log]\nrequests = true\n"), 0o600); err != nil {
		return "", nil, err
	}
	i.mu.Lock()
	name := fmt.Sprintf("%s-%d.log", i.node.Name, len(i.lives))
	i.mu.Unlock()
	log, err = os.Create(filepath.Join(i.run.cfg.Logs, name))
	return config, log, err
}

// takes tells whether a client may connect now, and to which of its processes.
func (i *ingress) takes() (n int, yes bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	n = len(i.lives) - 1
	if n < 0 {
		return 0, false
	}
	l := i.lives[n]
	stopping := !l.told.IsZero() && time.Since(l.told) > connectsAfter
	return n, !stopping && l.killed.IsZero() && l.expired.IsZero()
}

// last is the process that runs.
func (i *ingress) last() (*standin.Process, *faultinject.Control) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process, i.control
}

// change marks the ingress as being stopped or started; it tells whether it was free for that.
func (i *ingress) change(on bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if on && i.changes {
		return false
	}
	i.changes = on
	return true
}

// stop ends the process by a series of SIGTERM, and kills it at the page's earliest.
func (i *ingress) stop(signals int) {
	process, _ := i.last()
	now := time.Now()
	i.note(func(l *life) { l.told = now })
	for range signals {
		_ = process.Cmd.Process.Signal(syscall.SIGTERM)
		time.Sleep(5 * time.Millisecond)
	}
	err := process.Wait(time.Until(now.Add(i.run.cfg.longest() + killGrace)))
	if err != nil && !process.Exited() {
		err = process.Wait(i.run.heldUp(now, time.Now()))
	}
	if err != nil && !process.Exited() {
		_ = process.Cmd.Process.Kill()
		_ = process.Wait(endPatience)
		i.run.violate(nil, "%s has not ended %v after SIGTERM", i.node.Name, i.run.cfg.longest()+killGrace)
	} else if err != nil {
		i.run.violate(nil, "%s ended after SIGTERM with %v", i.node.Name, err)
	}
	i.ended(process)
}

// kill ends the process at once.
func (i *ingress) kill() {
	process, _ := i.last()
	i.note(func(l *life) { l.killed = time.Now() })
	_ = process.Cmd.Process.Kill()
	_ = process.Wait(endPatience)
	i.ended(process)
}

// ended looks at what a process that has ended has said.
func (i *ingress) ended(process *standin.Process) {
	i.note(func(l *life) { l.expired = time.Now() })
	for _, line := range process.Log() {
		if strings.Contains(line, "the rule on requests") {
			i.run.violate(nil, "%s says %q", i.node.Name, line)
		}
	}
}

func (i *ingress) note(f func(*life)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f(&i.lives[len(i.lives)-1])
}

// reload moves discovery to the other link by a series of SIGHUP.
func (i *ingress) reload(signals int) error {
	i.mu.Lock()
	old := i.using
	i.using = 1 - old
	i.node.Discovery = i.links[i.using].Addr
	node, process := i.node, i.process
	i.hups = append(i.hups, time.Now())
	i.mu.Unlock()
	if _, err := node.Write(i.run.cfg.Dir); err != nil {
		return err
	}
	for range signals {
		_ = process.Cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(2 * time.Millisecond)
	}
	return nil
}

// blinds notes a time in which discovery may not have been heard.
func (i *ingress) blinds(from, to time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.blind = append(i.blind, span{from, to})
}

// The times by which what discovery tells counts as told, whether or not it arrived.
const (
	toldAfterTrouble = 6 * time.Second
	toldAfterReload  = 4 * time.Second
)

// toldBy is when a change that discovery was told of at a time counts as told to a process of the ingress.
func (i *ingress) toldBy(at time.Time, n int) time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	if begun := i.lives[n].ready; at.Before(begun) {
		at = begun
	}
	by := at
	for _, b := range i.blind {
		if b.from.Before(at.Add(time.Second)) && b.to.After(at.Add(-time.Second)) {
			by = later(by, later(at, b.to).Add(toldAfterTrouble))
		}
	}
	for _, h := range i.hups {
		if h.Before(at.Add(time.Second)) && h.Add(toldAfterReload).After(at) {
			by = later(by, h.Add(toldAfterReload))
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
