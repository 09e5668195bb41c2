// Command idle measures what connections at rest cost an ingress, and what
// they leave to the busy few. It starts the real program between stand-ins on
// loopback, holds connections in processes of their own, and prints tables. It
// is a long measurement, and no part of CI.
//
//	idle                            latency beside 0, 1,000, 10,000, 20,000 at rest, mass close and storm
//	idle -many 200000               as many at rest as asked for, over several ingresses on one core
//	idle -request -other OLD        CPU a request, beside an older build and a bare relay, in turn
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wickarch/internal/standin"
)

const (
	patience = time.Minute
	hole     = 666 // the customer whose requests backends never answer
	perNode  = 19_000
	cores    = 1.0
	memoryMB = 2048
	spacing  = 50 * time.Millisecond // so few are open at once that none is refused as pressed
)

var (
	program  = flag.String("program", "bin/wickarch", "the ingress")
	other    = flag.String("other", "", "with -request: an older build, measured in turn with it")
	seconds  = flag.Int("seconds", 10, "of each measurement")
	rate     = flag.Float64("rate", 500, "requests a second of the busy few")
	levels   = flag.String("idle", "0,1000,10000,19000", "connections at rest beside them")
	many     = flag.Int("many", 0, "measure so many connections at rest, over several ingresses on one core")
	rounds   = flag.Int("rounds", 3, "with -request: how often each is measured")
	requests = flag.Bool("request", false, "measure the CPU a request")
	cpu      = flag.String("cpu", "", "the core that the ingresses run on, by number (taskset)")
	hold     = flag.String("hold", "", "internal: hold connections to this address")
	count    = flag.Int("count", 0, "internal: so many")
	relay    = flag.String("relay", "", "internal: relay connections to this address")
)

func main() {
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case *hold != "":
		err = holdAll(*hold, *count)
	case *relay != "":
		err = relayAll(*relay)
	case *many > 0:
		err = atRest(ctx, *many)
	case *requests:
		err = costs(ctx)
	default:
		err = beside(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "idle:", err)
		os.Exit(1)
	}
}

// site is a set of stand-ins that ingresses run between.
type site struct {
	backends  []*standin.Backend
	discovery *standin.Discovery
	effects   standin.Effects
	atOnce    atomic.Bool // backends take no time
	dir       string
}

func newSite() (*site, error) {
	s := &site{}
	work := s.effects.Handler(func() time.Duration {
		if s.atOnce.Load() {
			return 0
		}
		return time.Duration(1+rand.IntN(3)) * time.Millisecond
	}, nil)
	var members []standin.Member
	for n := range 4 {
		b, err := standin.NewBackend(func(r standin.Received) {
			if r.Args[1] != fmt.Sprintf("%016x", hole) {
				work(r)
			}
		})
		if err != nil {
			return nil, err
		}
		s.backends = append(s.backends, b)
		members = append(members, b.Member(fmt.Sprintf("b%d", n)))
	}
	s.discovery = standin.NewDiscovery(members...)
	s.discovery.Open()
	var err error
	s.dir, err = os.MkdirTemp("", "idle")
	return s, err
}

func (s *site) close() {
	for _, b := range s.backends {
		b.Close()
	}
	s.discovery.Stop()
	os.RemoveAll(s.dir)
}

// start starts one ingress with places for perNode connections.
func (s *site) start(ctx context.Context, name, binary string) (*standin.Process, error) {
	node := standin.Node{Name: name, Listen: "127.0.0.1:0", Discovery: s.discovery.Addr(), Seed: "1",
		Limits:   standin.Limits{Cores: cores, MemoryMB: memoryMB, Sockets: 20_000},
		Settings: json.RawMessage(fmt.Sprintf(standin.Settings, 15_000, 1e6, 1e6))}
	run := []string{binary}
	if *cpu != "" {
		run = []string{"taskset", "-c", *cpu, binary}
	}
	if binary == *program {
		own := filepath.Join(s.dir, "own.toml")
		text := fmt.Sprintf("[door]\nplaces = %d\nuseful = %d\nhigh = %d\nlow = %d\nfloor = 0\n", perNode+400, perNode+400, perNode+300, perNode+200)
		if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
			return nil, err
		}
		run = append(run, "-config", own)
	}
	p, err := node.Start(ctx, run, s.dir)
	if err != nil {
		return nil, err
	}
	return p, standin.WaitReady(p.Addr, patience)
}

// holder is a process that holds connections at rest.
type holder struct {
	cmd *exec.Cmd
	in  *os.File
	out *os.File
}

// startHolder starts a process that opens connections, each of which asks once.
func startHolder(ctx context.Context, addr string, n int) (*holder, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	inR, inW, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	outR, outW, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	h := &holder{exec.CommandContext(ctx, self, "-hold", addr, "-count", strconv.Itoa(n)), inW, outR}
	h.cmd.Stdin, h.cmd.Stdout, h.cmd.Stderr = inR, outW, os.Stderr
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = h.cmd.Start()
	_, _ = inR.Close(), outW.Close() // the holder has descriptors of its own
	if err != nil {
		return nil, err
	}
	return h, h.done()
}

// done waits for the holder to have done the last thing it was told.
func (h *holder) done() error {
	var b [1]byte
	_, err := h.out.Read(b[:])
	return err
}

// tell: 'c' closes all connections at once, 'o' opens them again.
func (h *holder) tell(what byte) error {
	if _, err := h.in.Write([]byte{what}); err != nil {
		return err
	}
	return h.done()
}

func (h *holder) end() {
	_ = h.in.Close()  // tells it to end; one that has ended needs no telling
	_ = h.cmd.Wait()  // what it measured has been read
	_ = h.out.Close() // only read from
}

// holdAll is the holder's side.
func holdAll(addr string, n int) error {
	var conns []net.Conn
	open := func() error {
		conns = make([]net.Conn, n)
		var next atomic.Int64
		var all sync.WaitGroup
		var failed atomic.Int64
		for range 64 {
			all.Add(1)
			go func() {
				defer all.Done()
				for {
					i := int(next.Add(1)) - 1
					if i >= n {
						return
					}
					c, err := standin.Dial(addr, patience)
					if err != nil {
						failed.Add(1)
						continue
					}
					c.SetDeadline(time.Time{})
					id := standin.NewID()
					if c.Ask(id, standin.Lookup(1, id, 20_000)...) != standin.Served {
						failed.Add(1)
					}
					conns[i] = c.Conn // without the reader's buffer
				}
			}()
		}
		all.Wait()
		if failed.Load() > 0 {
			fmt.Fprintf(os.Stderr, "idle: %d of %d connections were not served\n", failed.Load(), n)
		}
		runtime.GC()
		return nil
	}
	if err := open(); err != nil {
		return err
	}
	if err := tellDone(); err != nil {
		return err
	}
	var b [1]byte
	for {
		if _, err := os.Stdin.Read(b[:]); err != nil {
			return nil
		}
		switch b[0] {
		case 'c':
			for _, c := range conns {
				if c != nil {
					c.Close()
				}
			}
		case 'o':
			if err := open(); err != nil {
				return err
			}
		}
		if err := tellDone(); err != nil {
			return err
		}
	}
}

// tellDone is the holder's side of done.
func tellDone() error {
	_, err := os.Stdout.Write([]byte{'.'})
	return err
}

// kernelBytes is what the kernel holds for sockets: its slabs and the memory of TCP.
func kernelBytes() int64 {
	var total int64
	if text, err := os.ReadFile("/proc/meminfo"); err == nil {
		for _, l := range strings.Split(string(text), "\n") {
			if f := strings.Fields(l); len(f) > 1 && f[0] == "Slab:" {
				kb, _ := strconv.ParseInt(f[1], 10, 64)
				total += kb << 10
			}
		}
	}
	if text, err := os.ReadFile("/proc/net/sockstat"); err == nil {
		for _, l := range strings.Split(string(text), "\n") {
			if f := strings.Fields(l); len(f) > 2 && f[0] == "TCP:" && f[len(f)-2] == "mem" {
				pages, _ := strconv.ParseInt(f[len(f)-1], 10, 64)
				total += pages * int64(os.Getpagesize())
			}
		}
	}
	return total
}

// row is what a load of the busy few saw.
func row(name string, l *standin.Load) {
	t, all := l.Tally(), l.Latencies()
	fmt.Printf("%-34s %7d %7d %7d %8.2f %8.2f %8.2f %8.2f\n", name, t.Asked, t.Served, t.Asked-t.Served,
		ms(standin.Percentile(all, 0.5)), ms(standin.Percentile(all, 0.99)), ms(standin.Percentile(all, 0.999)), ms(standin.Percentile(all, 1)))
	if err := t.Check(); err != nil {
		fmt.Println("  NOT SOUND:", err)
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (s *site) load(ctx context.Context, addr string, d time.Duration) *standin.Load {
	l := &standin.Load{Addr: addr, PerSecond: *rate, Payments: 0.5, Deadline: 5 * time.Second}
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	if *rate == 0 {
		l.RunClosed(ctx, 8)
	} else {
		l.Run(ctx)
	}
	return l
}

// late measures how late deadlines are kept: of requests that no backend
// answers, and of halves of commands.
func late(addr string, n int) (request, half []time.Duration) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range n {
		all.Add(2)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(i) * spacing)
			const limit = 500 * time.Millisecond
			c, err := standin.Dial(addr, patience)
			if err != nil {
				return
			}
			defer c.Close()
			start := time.Now()
			// An end of the connection is an answer too: what counts is when it comes.
			_ = c.Send(standin.Payment(hole, standin.NewID(), int(limit.Milliseconds()))...)
			_, _ = c.ReadReply()
			took := time.Since(start) - (limit - 15*time.Millisecond) // the ingress answers so much before
			mu.Lock()
			request = append(request, took)
			mu.Unlock()
		}()
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(i) * spacing)
			c, err := standin.Dial(addr, patience)
			if err != nil {
				return
			}
			defer c.Close()
			// An end of the connection is an answer too: what counts is when it comes.
			_ = c.Send("PING")
			_, _ = c.ReadReply()
			start := time.Now()
			_, _ = c.Write([]byte("*1\r\n$4\r\nPI"))
			_, _ = c.ReadReply()
			mu.Lock()
			half = append(half, time.Since(start)-2*time.Second)
			mu.Unlock()
		}()
	}
	all.Wait()
	return request, half
}

// beside measures the busy few beside connections at rest.
func beside(ctx context.Context) error {
	s, err := newSite()
	if err != nil {
		return err
	}
	defer s.close()
	d := time.Duration(*seconds) * time.Second
	fmt.Printf("%.0f requests a second, half of them payments, for %v; milliseconds from when each was due\n", *rate, d)
	fmt.Printf("%-34s %7s %7s %7s %8s %8s %8s %8s\n", "beside", "asked", "served", "others", "p50", "p99", "p99.9", "most")
	for _, text := range strings.Split(*levels, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		if err := s.level(ctx, n, d); err != nil {
			return err
		}
	}
	return nil
}

// stopIngress ends an ingress that has been measured: what it ends with changes no figure.
func stopIngress(p *standin.Process) { _ = p.Stop(patience) }

func (s *site) level(ctx context.Context, n int, d time.Duration) error {
	p, err := s.start(ctx, "n", *program)
	if err != nil {
		return err
	}
	defer stopIngress(p)
	time.Sleep(time.Second) // until the start's garbage has settled
	before, err := p.Usage()
	if err != nil {
		return err
	}
	kernel := kernelBytes()
	var h *holder
	if n > 0 {
		if h, err = startHolder(ctx, p.Addr, n); err != nil {
			return err
		}
		defer h.end()
	}
	time.Sleep(4 * time.Second)
	at, _ := p.Usage()
	kernelAt := kernelBytes()
	time.Sleep(d)
	rested, _ := p.Usage()
	row(fmt.Sprintf("%d at rest", n), s.load(ctx, p.Addr, d))
	busy, _ := p.Usage()
	if n == 0 {
		request, half := late(p.Addr, 60)
		lateness("0 at rest", request, half)
		return nil
	}
	loaded := func(name string, do func() error) error {
		var l *standin.Load
		done := make(chan struct{})
		go func() { l = s.load(ctx, p.Addr, d); close(done) }()
		time.Sleep(d / 4)
		start := time.Now()
		doErr := do()
		took := time.Since(start)
		<-done
		row(fmt.Sprintf("%s (%.1f s)", name, took.Seconds()), l)
		return doErr
	}
	var request, half []time.Duration
	err = loaded(fmt.Sprintf("%d close at once", n), func() error {
		got := make(chan struct{})
		go func() { request, half = late(p.Addr, 60); close(got) }()
		time.Sleep(300 * time.Millisecond)
		closeErr := h.tell('c')
		<-got
		return closeErr
	})
	if err != nil {
		return err
	}
	lateness("  meanwhile", request, half)
	if err := loaded(fmt.Sprintf("%d reconnect", n), func() error { return h.tell('o') }); err != nil {
		return err
	}
	fmt.Printf("  a connection at rest: %d bytes in user space, %d in the kernel (both ends and the holder's); at rest %.2f%% CPU, %.1f wakeups a second; beside the load %.0f us CPU a request\n",
		(at.Resident-before.Resident)/int64(n), (kernelAt-kernel)/int64(n),
		100*(rested.CPU-at.CPU).Seconds()/d.Seconds(), float64(rested.Switches-at.Switches)/d.Seconds(),
		(busy.CPU-rested.CPU).Seconds()*1e6/(*rate*d.Seconds()))
	return nil
}

func lateness(name string, request, half []time.Duration) {
	for what, l := range map[string][]time.Duration{"requests'": request, "half commands'": half} {
		slices.Sort(l)
		fmt.Printf("  %s: %s deadlines late by %.2f (p50), %.2f (most) ms, of %d\n", name, what,
			ms(standin.Percentile(l, 0.5)), ms(standin.Percentile(l, 1)), len(l))
	}
}

// atRest holds many connections over several ingresses, each with a holder.
func atRest(ctx context.Context, want int) error {
	s, err := newSite()
	if err != nil {
		return err
	}
	defer s.close()
	var nodes []*standin.Process
	var before, at, after standin.Usage
	sum := func() (u standin.Usage) {
		for _, p := range nodes {
			v, _ := p.Usage()
			u.CPU, u.Resident, u.Files, u.Switches = u.CPU+v.CPU, u.Resident+v.Resident, u.Files+v.Files, u.Switches+v.Switches
		}
		return u
	}
	for n := 0; n*perNode < want; n++ {
		p, err := s.start(ctx, fmt.Sprintf("n%d", n), *program)
		if err != nil {
			return err
		}
		defer stopIngress(p)
		nodes = append(nodes, p)
	}
	time.Sleep(time.Second)
	before = sum()
	kernel := kernelBytes()
	held := 0
	for _, p := range nodes {
		n := min(perNode, want-held)
		h, err := startHolder(ctx, p.Addr, n)
		if err != nil {
			return err
		}
		defer h.end()
		held += n
		fmt.Printf("%d connections\n", held)
	}
	time.Sleep(5 * time.Second)
	at = sum()
	kernelAt := kernelBytes()
	d := time.Duration(*seconds) * time.Second
	time.Sleep(d)
	after = sum()
	fmt.Printf("%d ingresses hold %d descriptors: %d bytes a connection in user space, %d in the kernel (both ends); at rest %.2f%% CPU, %.1f wakeups a second, all together\n",
		len(nodes), at.Files, (at.Resident-before.Resident)/int64(held), (kernelAt-kernel)/int64(held),
		100*(after.CPU-at.CPU).Seconds()/d.Seconds(), float64(after.Switches-at.Switches)/d.Seconds())
	fmt.Printf("%-34s %7s %7s %7s %8s %8s %8s %8s\n", "beside", "asked", "served", "others", "p50", "p99", "p99.9", "most")
	row(fmt.Sprintf("%d at rest, on one of them", held), s.load(ctx, nodes[0].Addr, d))
	return nil
}

// costs measures the CPU that a request takes, for builds and a bare relay in turn.
func costs(ctx context.Context) error {
	s, err := newSite()
	if err != nil {
		return err
	}
	defer s.close()
	builds := []string{*program, "relay"}
	if *other != "" {
		builds = append(builds, *other)
	}
	d := time.Duration(*seconds) * time.Second
	fmt.Printf("%-40s %9s %9s %9s %9s %9s\n", "", "rate", "us CPU", "p50", "p99", "descriptors")
	for _, r := range []float64{0, 2000, 200} { // 0: 8 clients in a closed loop, on backends that answer at once
		*rate = r
		s.atOnce.Store(r == 0)
		for range *rounds {
			for _, b := range builds {
				if err := s.cost(ctx, b, d); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (s *site) cost(ctx context.Context, build string, d time.Duration) error {
	var p *standin.Process
	var pid int
	var addr string
	if build == "relay" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		args := []string{self, "-relay", s.backends[0].Addr}
		if *cpu != "" {
			args = append([]string{"taskset", "-c", *cpu}, args...)
		}
		cmd := exec.CommandContext(ctx, args[0], args[1:]...)
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		out, err := cmd.StdoutPipe()
		if err != nil {
			return err
		}
		if err := cmd.Start(); err != nil {
			return err
		}
		defer func() {
			cmd.Process.Kill()
			_ = cmd.Wait() // returns only that it was killed
		}()
		if _, err := fmt.Fscan(out, &addr); err != nil {
			return err
		}
		pid = cmd.Process.Pid
	} else {
		var err error
		if p, err = s.start(ctx, "n", build); err != nil {
			return err
		}
		defer stopIngress(p)
		pid, addr = p.Cmd.Process.Pid, p.Addr
	}
	s.load(ctx, addr, 2*time.Second) // warm
	before, err := standin.UsageOf(pid)
	if err != nil {
		return err
	}
	l := s.load(ctx, addr, d)
	after, err := standin.UsageOf(pid)
	if err != nil {
		return err
	}
	all, t := l.Latencies(), l.Tally()
	fmt.Printf("%-40s %9.0f %9.1f %9.2f %9.2f %9d", build, *rate, (after.CPU-before.CPU).Seconds()*1e6/float64(t.Asked),
		ms(standin.Percentile(all, 0.5)), ms(standin.Percentile(all, 0.99)), after.Files)
	if *rate == 0 {
		fmt.Printf("  %.0f/s", float64(t.Asked)/d.Seconds())
	}
	if t.Served != t.Asked {
		fmt.Printf("  (served %d of %d)", t.Served, t.Asked)
	}
	fmt.Println()
	return nil
}

// relayAll is a relay that reads whole answers and decides nothing: the least
// that anything between clients and backends costs in this language. Each
// client's connection has one of its own to the backend.
func relayAll(to string) error {
	runtime.GOMAXPROCS(1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr())
	for {
		near, err := ln.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer near.Close()
			far, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			defer far.Close()
			in, out := make([]byte, 4096), make([]byte, 4096)
			for {
				n, err := near.Read(in)
				if err != nil {
					return
				}
				if _, err = far.Write(in[:n]); err != nil {
					return
				}
				if n, err = far.Read(out); err != nil {
					return
				}
				// The value alone, as an ingress passes it on: behind "*3\r\n", before the figures.
				value := out[4:n]
				if end := strings.Index(string(value), "\r\n$-1"); end >= 0 {
					value = value[:end+2]
				}
				if _, err := near.Write(value); err != nil {
					return
				}
			}
		}()
	}
}
