//go:build linux

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"wickarch/internal/faultinject"
)

// The faults of a run. Each kind of fault has its own goroutine and random generator, so that a seed gives the
// same schedule of each kind.

const (
	minFaultGap, maxFaultGap   = 100, 800 // ms between two fault windows of one ingress
	minFaultTime, maxFaultTime = 40, 300  // ms, the length of a window
	maxRules                   = 4
)

// syscallFaults are the faults that a rule is drawn from. hitsDiscovery marks those that also affect connections to
// discovery, so that notifications may not arrive.
var syscallFaults = []struct {
	rule          faultinject.Rule
	hitsDiscovery bool
}{
	{faultinject.Rule{Call: faultinject.Accept, Fault: "ECONNABORTED"}, false},
	{faultinject.Rule{Call: faultinject.Accept, Fault: "ENFILE"}, false},
	{faultinject.Rule{Call: faultinject.Accept, Fault: "EMFILE"}, false},
	{faultinject.Rule{Call: faultinject.Accept, Fault: "ENOBUFS"}, false},
	{faultinject.Rule{Call: faultinject.Accept, Fault: "EPROTO"}, false},
	{faultinject.Rule{Call: faultinject.Accept, Fault: "EINTR"}, false},
	{faultinject.Rule{Call: faultinject.Socket, Fault: "ENFILE"}, true},
	{faultinject.Rule{Call: faultinject.Socket, Fault: "ENOBUFS"}, true},
	{faultinject.Rule{Call: faultinject.Socket, Fault: "EMFILE"}, true},
	{faultinject.Rule{Call: faultinject.Connect, Fault: "EADDRNOTAVAIL"}, true},
	{faultinject.Rule{Call: faultinject.Connect, Fault: "ENETUNREACH"}, true},
	{faultinject.Rule{Call: faultinject.Connect, Fault: "ENOBUFS"}, true},
	{faultinject.Rule{Call: faultinject.Connect, Fault: "EHOSTUNREACH"}, true},
	{faultinject.Rule{Call: faultinject.Connect, Fault: "ECONNREFUSED"}, true},
	{faultinject.Rule{Call: faultinject.Watch, Fault: "ENOMEM"}, true},
	{faultinject.Rule{Call: faultinject.Poll, Fault: "EINTR"}, false},
	{faultinject.Rule{Call: faultinject.ReadClient, Fault: faultinject.Short}, false},
	{faultinject.Rule{Call: faultinject.ReadClient, Fault: "EINTR"}, false},
	{faultinject.Rule{Call: faultinject.WriteClient, Fault: faultinject.Short}, false},
	{faultinject.Rule{Call: faultinject.WriteClient, Fault: "ENOBUFS"}, false},
	{faultinject.Rule{Call: faultinject.WriteClient, Fault: "EAGAIN"}, false},
	{faultinject.Rule{Call: faultinject.ReadBackend, Fault: faultinject.Short}, false},
	{faultinject.Rule{Call: faultinject.ReadBackend, Fault: "EINTR"}, false},
	{faultinject.Rule{Call: faultinject.ReadBackend, Fault: "ETIMEDOUT", Broken: true}, true},
	{faultinject.Rule{Call: faultinject.ReadBackend, Fault: "EHOSTUNREACH", Broken: true}, true},
	{faultinject.Rule{Call: faultinject.WriteBackend, Fault: faultinject.Short}, false},
	{faultinject.Rule{Call: faultinject.WriteBackend, Fault: "ENOBUFS"}, true},
	{faultinject.Rule{Call: faultinject.WriteBackend, Fault: "EAGAIN"}, true},
	{faultinject.Rule{Call: faultinject.WriteBackend, Fault: "EINTR"}, false},
	{faultinject.Rule{Call: faultinject.WriteClient, Fault: "ENOMEM"}, false},
	{faultinject.Rule{Call: faultinject.ReadClient, Fault: "ENOMEM"}, false},
	{faultinject.Rule{Call: faultinject.ReadBackend, Fault: "ENOMEM"}, true},
	{faultinject.Rule{Call: faultinject.Accept, Fault: "ENETDOWN"}, false},
	{faultinject.Rule{Call: faultinject.Connect, Fault: "EAGAIN"}, true},
	{faultinject.Rule{Call: faultinject.WriteBackend, Fault: "ETIMEDOUT", Broken: true}, true},
	{faultinject.Rule{Call: faultinject.WriteBackend, Fault: "EHOSTUNREACH", Broken: true}, true},
	{faultinject.Rule{Call: faultinject.Open, Fault: "EIO", Path: ".json"}, false},
	{faultinject.Rule{Call: faultinject.Open, Fault: "ENFILE", Path: ".json"}, false},
	{faultinject.Rule{Call: faultinject.ReadFile, Fault: "EIO", Path: ".json"}, false},
}

// injectFaults injects all kinds of faults for FaultDuration, and waits until those under way are over.
func (r *run) injectFaults(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, r.cfg.FaultDuration)
	defer stop()
	var injectors sync.WaitGroup
	start := func(n uint64, inject func(context.Context, *rand.Rand)) {
		injectors.Go(func() { inject(ctx, rand.New(rand.NewPCG(r.cfg.Seed, n))) })
	}
	for n, in := range r.ingresses {
		if !r.cfg.NoSyscallFaults {
			start(uint64(100+n), in.failSyscalls)
		}
	}
	start(1, r.sendSignals)
	start(2, r.disruptLinks)
	start(3, r.changeProfiles)
	start(4, r.replaceBackends)
	start(5, r.pauseIngresses)
	injectors.Wait()
}

// sleepRandom sleeps for a random time between two bounds in milliseconds. It returns false if ctx ended.
func sleepRandom(ctx context.Context, rng *rand.Rand, minMs, maxMs int) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(minMs+rng.IntN(maxMs-minMs)) * time.Millisecond):
		return true
	}
}

// failSyscalls makes system calls of one ingress fail from time to time.
func (i *ingress) failSyscalls(ctx context.Context, rng *rand.Rand) {
	for sleepRandom(ctx, rng, minFaultGap, maxFaultGap) {
		var rules []faultinject.Rule
		hitsDiscovery, breaks := false, false
		for range 1 + rng.IntN(maxRules) {
			f := syscallFaults[rng.IntN(len(syscallFaults))]
			f.rule.Share = []float64{0.05, 0.3, 1}[rng.IntN(3)]
			if f.rule.Broken {
				f.rule.Share = 0.1
			}
			rules = append(rules, f.rule)
			hitsDiscovery, breaks = hitsDiscovery || f.hitsDiscovery, breaks || f.rule.Broken
		}
		duration := time.Duration(minFaultTime+rng.IntN(maxFaultTime-minFaultTime)) * time.Millisecond
		_, control := i.running()
		from := time.Now()
		if _, err := control.Set(rules...); err != nil {
			continue // the process has just exited
		}
		select {
		case <-ctx.Done():
		case <-time.After(duration):
		}
		applied, err := control.Set()
		if hitsDiscovery {
			i.recordDiscoveryOutage(from, time.Now())
		}
		i.mu.Lock()
		i.faultWindows = append(i.faultWindows, faultWindow{interval{from, time.Now()}, describeRules(rules), breaks})
		i.mu.Unlock()
		if err == nil {
			i.run.countFaults(control, applied)
		}
	}
}

// describeRules returns the rules in short form.
func describeRules(rules []faultinject.Rule) string {
	var all []string
	for _, r := range rules {
		all = append(all, fmt.Sprintf("%s %s %g", r.Call, r.Fault, r.Share))
	}
	return strings.Join(all, ", ")
}

// countFaults adds the new counts of a tracer to the report.
func (r *run) countFaults(control *faultinject.Control, counts map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for what, n := range control.Delta(counts) {
		r.report.SyscallFaults[what] += n
	}
}

// sendSignals stops, kills and reloads ingresses and steps their wall clocks. Several ingresses may be stopping or
// starting at a time.
func (r *run) sendSignals(ctx context.Context, rng *rand.Rand) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for sleepRandom(ctx, rng, 150, 600) {
		in := r.ingresses[rng.IntN(len(r.ingresses))]
		action, signals := rng.Float64(), 1+rng.IntN(3)
		if !in.setChanging(true) {
			continue
		}
		startRule := faultinject.Rule{Call: faultinject.Socket, Fault: "ENOBUFS", Share: 0.5, MaxFaults: rng.IntN(4)}
		if action < 0.1 {
			r.updateReport(func(p *Report) { p.ClockSteps++ })
			in.stepClock(clockOffsets[rng.IntN(len(clockOffsets))])
			in.setChanging(false)
			continue
		}
		if action < 0.3 {
			r.updateReport(func(p *Report) { p.Reloads++ })
			if err := in.reload(signals); err != nil {
				r.addViolation(nil, "the configuration could not be written: %v", err)
			}
			in.setChanging(false)
			continue
		}
		pending.Go(func() {
			defer in.setChanging(false)
			if action < 0.8 {
				r.updateReport(func(p *Report) { p.Stops++ })
				in.stop(signals)
			} else {
				r.updateReport(func(p *Report) { p.Kills++ })
				in.kill()
			}
			if err := in.start(context.WithoutCancel(ctx), startRule); err != nil {
				r.addViolation(nil, "the ingress did not restart: %v", err)
			}
		})
	}
}

// clockOffsets are the offsets of an ingress's wall clock that a step is drawn from.
var clockOffsets = []time.Duration{-time.Hour, -3 * time.Second, 0, 3 * time.Second, time.Hour}

// stepClock sets the offset of the wall clock that the ingress reads.
func (i *ingress) stepClock(offset time.Duration) {
	_, control := i.running()
	if err := control.StepClock(offset); err != nil {
		i.run.addViolation(nil, "the clock of %s could not be stepped: %v", i.node.Name, err)
	}
}

func (r *run) updateReport(f func(*Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.report)
}

// disruptLinks silences and resets the links to discovery.
func (r *run) disruptLinks(ctx context.Context, rng *rand.Rand) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for sleepRandom(ctx, rng, 200, 900) {
		in := r.ingresses[rng.IntN(len(r.ingresses))]
		link := in.links[rng.IntN(len(in.links))]
		from := time.Now()
		if rng.IntN(2) == 0 {
			link.Reset()
			in.recordDiscoveryOutage(from, time.Now())
			continue
		}
		duration := time.Duration(200+rng.IntN(2000)) * time.Millisecond
		link.Silence()
		in.recordDiscoveryOutage(from, from.Add(duration))
		pending.Go(func() {
			time.Sleep(duration)
			link.Heal()
		})
	}
}

// Bounds of how long an ingress is paused, in milliseconds. The rules allow for 0.15 s; stalls that the machine
// causes come on top.
const minPause, maxPause = 10, 100

// pauseIngresses pauses ingresses for moments, as a busy machine does.
func (r *run) pauseIngresses(ctx context.Context, rng *rand.Rand) {
	for sleepRandom(ctx, rng, 50, 400) {
		in := r.ingresses[rng.IntN(len(r.ingresses))]
		duration := time.Duration(minPause+rng.IntN(maxPause-minPause)) * time.Millisecond
		process, _ := in.running()
		if process.Cmd.Process.Signal(syscall.SIGSTOP) != nil {
			continue // it has exited
		}
		time.Sleep(duration)
		_ = process.Cmd.Process.Signal(syscall.SIGCONT)
	}
}

// changeProfiles gives backends a faulty profile for a while.
func (r *run) changeProfiles(ctx context.Context, rng *rand.Rand) {
	for sleepRandom(ctx, rng, 100, 500) {
		r.mu.Lock()
		b := r.backends[rng.IntN(len(r.backends))]
		r.mu.Unlock()
		profile := faultProfile{maxLatency: time.Duration(1+rng.IntN(40)) * time.Millisecond}
		share := func() float64 { return []float64{0, 0, 0.1, 0.5}[rng.IntN(4)] }
		profile.hangShare, profile.resetShare, profile.refuseShare, profile.errorShare, profile.malformedShare, profile.duplicateShare,
			profile.fragmentShare = share(), share()/3, share(), share()/3, share()/4, share()/4, share()
		if rng.IntN(3) == 0 {
			profile.idleTimeout = time.Duration(20+rng.IntN(500)) * time.Millisecond
		}
		b.setProfile(profile)
		time.AfterFunc(time.Duration(200+rng.IntN(1200))*time.Millisecond, func() { b.setProfile(healthyProfile) })
	}
}

// replaceBackends drains or kills backends, and starts a cold backend for each.
func (r *run) replaceBackends(ctx context.Context, rng *rand.Rand) {
	for sleepRandom(ctx, rng, 500, 1500) {
		r.mu.Lock()
		n := rng.IntN(len(r.backends))
		b := r.backends[n]
		r.backends[n] = r.backends[len(r.backends)-1]
		r.backends = r.backends[:len(r.backends)-1]
		r.report.BackendsReplaced++
		r.mu.Unlock()
		if rng.IntN(3) == 0 {
			b.close() // it dies first; discovery is notified afterwards
			b.markNotified()
			r.registry.Set(b.member("DELETED"))
		} else {
			b.markNotified()
			r.registry.Set(b.member("DRAINING"))
			time.AfterFunc(3*time.Second, b.close)
		}
		if _, err := r.addBackend(time.Now()); err != nil {
			r.addViolation(nil, "a backend could not be started: %v", err)
		}
	}
}

// openIdleConns opens connections that send nothing, as many as the ingresses have descriptors.
func (r *run) openIdleConns(ctx context.Context) {
	var held []net.Conn
	defer func() {
		for _, nc := range held {
			nc.Close()
		}
	}()
	for ctx.Err() == nil {
		in := r.ingresses[rand.IntN(len(r.ingresses))]
		if nc, err := net.DialTimeout("tcp", in.node.Listen, time.Second); err == nil {
			held = append(held, nc)
		}
		if maxConns := r.cfg.maxSockets() * len(r.ingresses); len(held) > maxConns {
			held[0].Close()
			held = held[1:]
		}
		time.Sleep(time.Millisecond)
	}
}
