//go:build linux && amd64

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

// The faults of a run. Each kind has a goroutine and a generator of its own, so that one seed gives the
// same schedule of each.

const (
	calmLeast, calmMost   = 100, 800 // ms between two times of failing calls at one ingress
	faultLeast, faultMost = 40, 300  // ms that one lasts
	mostRules             = 4
)

// callFaults are what one rule may be. Those that touch discovery's connections too make it blind.
var callFaults = []struct {
	rule   faultinject.Rule
	blinds bool
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

// trouble plays all faults until the run's time is over, and waits for what it has begun.
func (r *run) trouble(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, r.cfg.FaultDuration)
	defer stop()
	var all sync.WaitGroup
	start := func(n uint64, play func(context.Context, *rand.Rand)) {
		all.Go(func() { play(ctx, rand.New(rand.NewPCG(r.cfg.Seed, n))) })
	}
	for n, in := range r.ingresses {
		if !r.cfg.NoSyscallFaults {
			start(uint64(100+n), in.callsFail)
		}
	}
	start(1, r.signals)
	start(2, r.cutLinks)
	start(3, r.moods)
	start(4, r.replace)
	start(5, r.holds)
	all.Wait()
}

// rest waits for a time between two bounds in milliseconds; it tells whether the run goes on.
func rest(ctx context.Context, rng *rand.Rand, least, most int) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(least+rng.IntN(most-least)) * time.Millisecond):
		return true
	}
}

// callsFail lets system calls of one ingress fail now and then.
func (i *ingress) callsFail(ctx context.Context, rng *rand.Rand) {
	for rest(ctx, rng, calmLeast, calmMost) {
		var rules []faultinject.Rule
		blinds, breaks := false, false
		for range 1 + rng.IntN(mostRules) {
			f := callFaults[rng.IntN(len(callFaults))]
			f.rule.Share = []float64{0.05, 0.3, 1}[rng.IntN(3)]
			if f.rule.Broken {
				f.rule.Share = 0.1
			}
			rules = append(rules, f.rule)
			blinds, breaks = blinds || f.blinds, breaks || f.rule.Broken
		}
		lasts := time.Duration(faultLeast+rng.IntN(faultMost-faultLeast)) * time.Millisecond
		_, control := i.last()
		from := time.Now()
		if _, err := control.Set(rules...); err != nil {
			continue // its process has just ended
		}
		select {
		case <-ctx.Done():
		case <-time.After(lasts):
		}
		applied, err := control.Set()
		if blinds {
			i.blinds(from, time.Now())
		}
		i.mu.Lock()
		i.failing = append(i.failing, window{span{from, time.Now()}, describe(rules), breaks})
		i.mu.Unlock()
		if err == nil {
			i.run.applied(control, applied)
		}
	}
}

// describe names rules in short.
func describe(rules []faultinject.Rule) string {
	var all []string
	for _, r := range rules {
		all = append(all, fmt.Sprintf("%s %s %g", r.Call, r.Fault, r.Share))
	}
	return strings.Join(all, ", ")
}

// applied takes the counts of a tracer into the report.
func (r *run) applied(of *faultinject.Control, counts map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for what, n := range of.Since(counts) {
		r.report.SyscallFaults[what] += n
	}
}

// signals stops, kills and reloads ingresses and steps their wall clocks, several at a time.
func (r *run) signals(ctx context.Context, rng *rand.Rand) {
	var under sync.WaitGroup
	defer under.Wait()
	for rest(ctx, rng, 150, 600) {
		in := r.ingresses[rng.IntN(len(r.ingresses))]
		what, series := rng.Float64(), 1+rng.IntN(3)
		if !in.change(true) {
			continue
		}
		again := faultinject.Rule{Call: faultinject.Socket, Fault: "ENOBUFS", Share: 0.5, Most: rng.IntN(4)}
		if what < 0.1 {
			r.count(func(p *Report) { p.ClockSteps++ })
			in.stepClock(clockSteps[rng.IntN(len(clockSteps))])
			in.change(false)
			continue
		}
		if what < 0.3 {
			r.count(func(p *Report) { p.Reloads++ })
			if err := in.reload(series); err != nil {
				r.violate(nil, "the configuration could not be written: %v", err)
			}
			in.change(false)
			continue
		}
		under.Go(func() {
			defer in.change(false)
			if what < 0.8 {
				r.count(func(p *Report) { p.Stops++ })
				in.stop(series)
			} else {
				r.count(func(p *Report) { p.Kills++ })
				in.kill()
			}
			if err := in.start(context.WithoutCancel(ctx), again); err != nil {
				r.violate(nil, "it did not start again: %v", err)
			}
		})
	}
}

// clockSteps are by how much an ingress's wall clock may be off.
var clockSteps = []time.Duration{-time.Hour, -3 * time.Second, 0, 3 * time.Second, time.Hour}

// stepClock steps the wall clock of an ingress.
func (i *ingress) stepClock(off time.Duration) {
	_, control := i.last()
	if err := control.StepClock(off); err != nil {
		i.run.violate(nil, "the clock of %s could not be stepped: %v", i.node.Name, err)
	}
}

func (r *run) count(f func(*Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.report)
}

// cutLinks silences and resets the ways to discovery.
func (r *run) cutLinks(ctx context.Context, rng *rand.Rand) {
	var under sync.WaitGroup
	defer under.Wait()
	for rest(ctx, rng, 200, 900) {
		in := r.ingresses[rng.IntN(len(r.ingresses))]
		link := in.links[rng.IntN(len(in.links))]
		from := time.Now()
		if rng.IntN(2) == 0 {
			link.Reset()
			in.blinds(from, time.Now())
			continue
		}
		lasts := time.Duration(200+rng.IntN(2000)) * time.Millisecond
		link.Silence()
		in.blinds(from, from.Add(lasts))
		under.Go(func() {
			time.Sleep(lasts)
			link.Heal()
		})
	}
}

// Bounds on how long an ingress is held up, in milliseconds. The rules allow for 0.15 s; what the machine does
// to the others comes on top.
const holdLeast, holdMost = 10, 100

// holds stops an ingress for a moment, as a busy machine does.
func (r *run) holds(ctx context.Context, rng *rand.Rand) {
	for rest(ctx, rng, 50, 400) {
		in := r.ingresses[rng.IntN(len(r.ingresses))]
		lasts := time.Duration(holdLeast+rng.IntN(holdMost-holdLeast)) * time.Millisecond
		process, _ := in.last()
		if process.Cmd.Process.Signal(syscall.SIGSTOP) != nil {
			continue // it has ended
		}
		time.Sleep(lasts)
		_ = process.Cmd.Process.Signal(syscall.SIGCONT)
	}
}

// moods has backends hang, reset, refuse and spoil for a while.
func (r *run) moods(ctx context.Context, rng *rand.Rand) {
	for rest(ctx, rng, 100, 500) {
		r.mu.Lock()
		b := r.backends[rng.IntN(len(r.backends))]
		r.mu.Unlock()
		m := mood{latency: time.Duration(1+rng.IntN(40)) * time.Millisecond}
		share := func() float64 { return []float64{0, 0, 0.1, 0.5}[rng.IntN(4)] }
		m.hang, m.reset, m.refuse, m.fail, m.spoilt, m.twice, m.pieces = share(), share()/3, share(), share()/3, share()/4, share()/4, share()
		if rng.IntN(3) == 0 {
			m.idleClose = time.Duration(20+rng.IntN(500)) * time.Millisecond
		}
		b.set(m)
		time.AfterFunc(time.Duration(200+rng.IntN(1200))*time.Millisecond, func() { b.set(calm) })
	}
}

// replace drains backends, and kills some; each is followed by a cold one.
func (r *run) replace(ctx context.Context, rng *rand.Rand) {
	for rest(ctx, rng, 500, 1500) {
		r.mu.Lock()
		n := rng.IntN(len(r.backends))
		b := r.backends[n]
		r.backends[n] = r.backends[len(r.backends)-1]
		r.backends = r.backends[:len(r.backends)-1]
		r.report.BackendsReplaced++
		r.mu.Unlock()
		if rng.IntN(3) == 0 {
			b.close() // it dies, and discovery hears of it
			b.tell()
			r.registry.Set(b.member("DELETED"))
		} else {
			b.tell()
			r.registry.Set(b.member("DRAINING"))
			time.AfterFunc(3*time.Second, b.close)
		}
		if _, err := r.addBackend(time.Now()); err != nil {
			r.violate(nil, "no backend could be started: %v", err)
		}
	}
}

// crowd opens connections that say nothing, as many as there are descriptors.
func (r *run) crowd(ctx context.Context) {
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
		if most := r.cfg.sockets() * len(r.ingresses); len(held) > most {
			held[0].Close()
			held = held[1:]
		}
		time.Sleep(time.Millisecond)
	}
}
