// Package fleetproc runs a whole fleet on one machine: coordinators, agents and ingresses
// as processes, with fake backends and clients. Connections to coordinators pass through
// proxies that can silence (also one direction alone), delay and reset them. Tests and long
// measurements share it. Everything listens on loopback.
package fleetproc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"wickarch/internal/rolloutlink"
	"wickarch/internal/standin"
)

// Config is the size and the load of a fleet.
type Config struct {
	Dir          string // for all files that are written
	Bin          string // directory with wickarch, coordinator, agent, wickarch-fleet and rollouts
	Coordinators int
	Ingresses    int
	Backends     int
	Zones        int
	Budgets      string // in the format of the coordinators' file
	PerSecond    float64
	Payments     float64
	Prove        time.Duration
	Report       time.Duration
}

// Fleet is a running fleet.
type Fleet struct {
	Config
	Coordinators []*Process
	Agents       []*Process // of the ingresses, then of the backends
	Programs     []*Process // ingresses started without an agent
	Front        *standin.Front
	Effects      standin.Effects
	Backends     []*Backend
	Links        [][]*standin.Link // from each agent, or each of Programs, to each coordinator
	PeerLinks    [][]*standin.Link // from each coordinator to each other one
	Addresses    []string          // addresses of the coordinators

	registry     *standin.Registry
	hookServer   *httptest.Server
	http         *http.Client
	stop         context.CancelFunc
	done         chan standin.FrontTally
	mu           sync.Mutex
	killed       bool
	customerLoad *CustomerLoad
}

// Process is a process of the fleet that can be killed, paused and restarted.
type Process struct {
	Name string
	args []string
	env  []string
	log  string
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Start starts the process. It is killed when the process that started it dies.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the program has its own descriptor
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), p.env...), log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); close(done) }()
	p.cmd, p.done = cmd, done
	return nil
}

// PID returns the process id; 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process, if it was started.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill sends SIGKILL, also to a paused process, and waits for its exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// Log returns the process's output, or the error of reading it.
func (p *Process) Log() string {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// Backend is a fake backend that is drained, stopped and started by its owner's hook commands.
type Backend struct {
	Name string

	fleet        *Fleet
	mu           sync.Mutex
	server       *standin.Backend
	version      string
	drained      time.Time // when the registry announced draining; zero if not draining
	lateRequests int       // requests received more than 550 ms after drained
	drains       int
}

// Start starts a fleet and waits until all members serve.
func Start(cfg Config) (*Fleet, error) {
	f := newFleet(cfg)
	if err := f.build(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func newFleet(cfg Config) *Fleet {
	f := &Fleet{Config: cfg, registry: standin.NewRegistry(), http: rolloutlink.NewHTTPClient(3 * time.Second), done: make(chan standin.FrontTally, 1)}
	f.hookServer = httptest.NewServer(http.HandlerFunc(f.hook))
	return f
}

func (f *Fleet) build() error {
	if err := f.startBackends(); err != nil {
		return err
	}
	if err := f.startCoordinators(); err != nil {
		return err
	}
	f.Front = &standin.Front{PerSecond: f.PerSecond, Payments: f.Payments, Deadline: 3 * time.Second, Effects: &f.Effects}
	for i := range f.Ingresses {
		if err := f.startIngressAgent(i); err != nil {
			return err
		}
	}
	for i := range f.Config.Backends {
		b := f.Backends[i]
		text := f.agentFile(b.Name, "backend", i, "v1") + "[hooks]\n"
		for _, name := range []string{"drain", "stop", "start", "ready"} {
			text += fmt.Sprintf("%s = [%q, \"hook\", %q]\n", name, f.bin("rollouts"), f.hookServer.URL+"/"+name+"/"+b.Name)
		}
		if err := f.startAgent(b.Name, text, nil); err != nil {
			return err
		}
	}
	f.startFront()
	return f.Wait(time.Minute, "all members serve", func(s rolloutlink.Status) bool {
		serving := 0
		for _, m := range s.Members {
			if m.Out == "" {
				serving++
			}
		}
		return serving == f.Ingresses+f.Config.Backends && f.Front.Unavailable() == 0
	})
}

// startBackends starts the fake backends.
func (f *Fleet) startBackends() error {
	for i := range f.Config.Backends {
		b := &Backend{Name: fmt.Sprint("b", i), fleet: f}
		f.Backends = append(f.Backends, b)
		if err := b.start("v1", true); err != nil {
			return err
		}
	}
	return nil
}

// startCoordinators starts the coordinators, each with a link of its own to each other one.
func (f *Fleet) startCoordinators() error {
	for range f.Config.Coordinators {
		a, err := standin.Reserve()
		if err != nil {
			return err
		}
		f.Addresses = append(f.Addresses, a)
	}
	for i := range f.Config.Coordinators {
		var links []*standin.Link
		text := fmt.Sprintf("id = %d\nlisten = %q\ndir = %q\n", i+1, f.Addresses[i], filepath.Join(f.Dir, fmt.Sprint("c", i+1)))
		for j, address := range f.Addresses {
			var l *standin.Link
			if i != j {
				var err error
				if l, err = standin.NewLink(address); err != nil {
					return err
				}
				address = l.Addr
			}
			links = append(links, l)
			text += fmt.Sprintf("[[coordinator]]\nid = %d\naddress = %q\n", j+1, address)
		}
		f.PeerLinks = append(f.PeerLinks, links)
		r := f.Report.Milliseconds()
		text += f.Budgets + fmt.Sprintf("\n[times]\ntick_ms = 50\ndecide_ms = 100\nreport_ms = %d\nfresh_ms = %d\nlearn_ms = %d\nbegin_ms = %d\nbear_ms = 4000\nwatch_ms = 500\n", r, 8*r, 6*r, 6*r)
		path := filepath.Join(f.Dir, fmt.Sprintf("c%d.toml", i+1))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		if out, err := exec.Command(f.bin("coordinator"), "init", path).CombinedOutput(); err != nil {
			return fmt.Errorf("coordinator init: %w: %s", err, out)
		}
		p := &Process{Name: fmt.Sprint("coordinator ", i+1), args: []string{f.bin("coordinator"), "run", path}, log: filepath.Join(f.Dir, fmt.Sprintf("c%d.log", i+1))}
		if err := p.Start(); err != nil {
			return err
		}
		f.Coordinators = append(f.Coordinators, p)
	}
	return nil
}

func (f *Fleet) bin(name string) string { return filepath.Join(f.Bin, name) }

// agentFile returns the part of an agent's configuration file that all agents share. It adds
// the agent's links to Links.
func (f *Fleet) agentFile(name, role string, i int, version string) string {
	r := f.Report.Milliseconds()
	links := make([]string, 0, len(f.Addresses))
	var own []*standin.Link
	for _, a := range f.Addresses {
		l, err := standin.NewLink(a)
		if err != nil {
			panic(err) // no free port on loopback
		}
		own = append(own, l)
		links = append(links, fmt.Sprintf("%q", l.Addr))
	}
	f.Links = append(f.Links, own)
	return fmt.Sprintf("name = %q\nrole = %q\nzone = \"z%d\"\nweight = 1.0\ncoordinators = [%s]\ndir = %q\nversion = %q\n[times]\nreport_ms = %d\nbegin_ms = %d\npoll_ms = %d\ndrain_ms = 200\nstop_ms = 6000\nstart_ms = 8000\nprove_ms = %d\nbackoff_ms = 100\ntries = 2\n",
		name, role, i%f.Zones, strings.Join(links, ", "), filepath.Join(f.Dir, name), version, r, 6*r, max(r/2, 50), f.Prove.Milliseconds())
}

func (f *Fleet) startAgent(name, text string, env []string) error {
	path := filepath.Join(f.Dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	p := &Process{Name: "agent of " + name, args: []string{f.bin("agent"), "run", path}, env: env, log: filepath.Join(f.Dir, name+".agent.log")}
	f.Agents = append(f.Agents, p)
	return p.Start()
}

// configureIngress writes the configuration of an ingress and returns its environment and
// its management address.
func (f *Fleet) configureIngress(i int) (env []string, admin string, err error) {
	listen, err := standin.Reserve()
	if err != nil {
		return nil, "", err
	}
	if admin, err = standin.Reserve(); err != nil {
		return nil, "", err
	}
	f.Front.Addrs = append(f.Front.Addrs, listen)
	settings := strings.Replace(fmt.Sprintf(standin.Settings, 60_000, 1e6, 1e6), `"balancers":1,"self_index":0`, fmt.Sprintf(`"balancers":%d,"self_index":%d`, f.Ingresses, i), 1)
	node := standin.Node{Name: fmt.Sprint("n", i), Listen: listen, Discovery: f.registry.Addr(), Seed: fmt.Sprintf("%x", i+1), Limits: standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 512},
		Settings: json.RawMessage(settings)}
	path, err := node.Write(f.Dir)
	return []string{"NODE_CONFIG=" + path, "NODE_MGMT=" + admin}, admin, err
}

// startIngressAgent configures an ingress and starts its agent, which starts the ingress.
func (f *Fleet) startIngressAgent(i int) error {
	name := fmt.Sprint("n", i)
	env, admin, err := f.configureIngress(i)
	if err != nil {
		return err
	}
	program, faulty := f.bin("wickarch"), f.bin("rollouts")
	text := f.agentFile(name, "ingress", i, "v1") + "[program]\n" + fmt.Sprintf("admin = %q\nenv = [%q, %q]\n", admin, env[0], env[1]) +
		fmt.Sprintf("[versions]\nv1 = [%q]\nv2 = [%q]\n", program, program)
	for _, how := range []string{"crash", "refuse", "slow"} {
		text += fmt.Sprintf("%s = [%q, \"faulty\", %q, \"--how\", %q]\n", how, faulty, program, how)
	}
	return f.startAgent(name, text, nil)
}

// Status requests the fleet's status directly from the leader.
func (f *Fleet) Status(timeout time.Duration) (s rolloutlink.Status, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err = rolloutlink.CallLeader(ctx, f.http, f.Addresses, http.MethodGet, rolloutlink.PathStatus, nil, &s, rolloutlink.MaxStatusBytes)
	return s, err
}

// Wait waits until the fleet's status fulfils a condition; what names the condition.
func (f *Fleet) Wait(timeout time.Duration, what string, is func(rolloutlink.Status) bool) error {
	end := time.Now().Add(timeout)
	var last string
	for time.Now().Before(end) {
		s, err := f.Status(2 * time.Second)
		if err == nil && is(s) {
			return nil
		}
		last = fmt.Sprint(err)
		if err == nil {
			last = ""
			for _, r := range s.Rollouts {
				last += fmt.Sprintf("%s %s wave %d %d/%d halt %v waits %v gate %s; ", r.ID, r.Phase, r.Wave, r.Done, r.Total, r.Halt, r.WaitingFor, r.Gate)
			}
			for _, m := range s.Members {
				if m.Out != "" {
					last += m.Name + ": " + m.Out + "; "
				}
			}
			last += s.GrantsBlocked
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("timed out after %v waiting until %s: %s; %d ingresses unavailable, %+v",
		timeout, what, last, f.Front.Unavailable(), f.Front.Seen())
}

// RunOperator runs the operators' command wickarch-fleet and returns its exit code and output;
// the code is -1 if the command can't be run.
func (f *Fleet) RunOperator(args ...string) (code int, out string) {
	cmd := exec.Command(f.bin("wickarch-fleet"), args...)
	cmd.Env = append(os.Environ(), "WICKARCH_COORDINATORS="+strings.Join(f.Addresses, ","))
	b, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), string(b)
	}
	if err != nil {
		return -1, err.Error()
	}
	return 0, string(b)
}

// Leader returns the index of the leading coordinator, from 0; -1 if there is none.
func (f *Fleet) Leader() int {
	s, err := f.Status(5 * time.Second)
	if err != nil {
		return -1
	}
	return int(s.Coordinator) - 1
}

// KillIngress sends SIGKILL to an ingress, and reports whether there was one to kill.
func (f *Fleet) KillIngress(i int) bool {
	if i < len(f.Programs) {
		f.mu.Lock()
		f.killed = true
		f.mu.Unlock()
		f.Programs[i].Kill()
		return true
	}
	b, err := os.ReadFile(filepath.Join(f.Dir, fmt.Sprint("n", i), "program.json"))
	var p struct{ PID int }
	if err != nil || json.Unmarshal(b, &p) != nil || p.PID <= 0 {
		return false
	}
	f.mu.Lock()
	f.killed = true
	f.mu.Unlock()
	return syscall.Kill(p.PID, syscall.SIGKILL) == nil
}

// Check returns an error for each violation of an invariant, as counted by the fakes:
// requests lost, or answered twice or wrongly, payments executed twice, and requests to a
// backend after its drain.
func (f *Fleet) Check() error {
	f.mu.Lock()
	killed := f.killed
	f.mu.Unlock()
	t := f.Front.Seen()
	var violations []error
	if err := t.Check(killed); err != nil {
		violations = append(violations, err)
	}
	if duplicates := f.Effects.Duplicates(); len(duplicates) > 0 {
		for _, id := range duplicates {
			if standin.PaymentID(id) {
				violations = append(violations, fmt.Errorf("payment %s was executed %d times", id, f.Effects.Count(id)))
			}
		}
	}
	for _, b := range f.Backends {
		b.mu.Lock()
		if b.lateRequests > 0 {
			violations = append(violations, fmt.Errorf("%s received %d requests more than 550 ms after discovery announced its drain",
				b.Name, b.lateRequests))
		}
		b.mu.Unlock()
	}
	return errors.Join(violations...)
}

// Stop stops everything and returns the front's tally.
func (f *Fleet) Stop() (t standin.FrontTally) {
	if f.stop != nil {
		f.stop()
		t = <-f.done
	}
	for _, p := range append(f.Agents, f.Programs...) {
		p.Kill()
	}
	for i := range f.Ingresses {
		f.KillIngress(i)
	}
	for _, p := range f.Coordinators {
		p.Kill()
	}
	for _, list := range append(f.Links, f.PeerLinks...) {
		for _, l := range list {
			if l != nil {
				l.Close()
			}
		}
	}
	for _, b := range f.Backends {
		b.mu.Lock()
		if b.server != nil {
			b.server.Close()
		}
		b.mu.Unlock()
	}
	f.hookServer.Close()
	f.registry.Stop()
	return t
}

// hook serves the hook commands of the backends' owners.
func (f *Fleet) hook(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	for _, b := range f.Backends {
		if len(parts) != 2 || b.Name != parts[1] {
			continue
		}
		var err error
		switch parts[0] {
		case "drain":
			b.drain()
		case "stop":
			b.stop()
		case "start":
			err = b.start(r.URL.Query().Get("version"), false)
		case "ready":
			b.mu.Lock()
			if b.server == nil {
				w.WriteHeader(http.StatusGone)
			}
			b.mu.Unlock()
			return
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
		return
	}
	http.NotFound(w, r)
}

func (b *Backend) start(version string, warm bool) error {
	work := b.fleet.Effects.Handler(func() time.Duration { return 2 * time.Millisecond }, nil)
	s, err := standin.NewBackend(func(r standin.Received) {
		b.mu.Lock()
		if !b.drained.IsZero() && time.Since(b.drained) > 550*time.Millisecond {
			b.lateRequests++
		}
		b.mu.Unlock()
		if len(r.Args) > 1 && r.Args[1] == fmt.Sprintf("%016x", loadCustomer) {
			b.fleet.mu.Lock()
			load := b.fleet.customerLoad
			b.fleet.mu.Unlock()
			load.recordArrival()
		}
		work(r)
	})
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server, b.version, b.drained = s, version, time.Time{}
	m := s.Member(b.Name)
	if !warm {
		m.UpSince = time.Now().UnixMilli()
	}
	b.fleet.registry.Set(m)
	return nil
}

func (b *Backend) drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server == nil || !b.drained.IsZero() {
		return
	}
	b.drains++
	m := b.server.Member(b.Name)
	m.Phase = "DRAINING"
	b.fleet.registry.Set(m)
	b.drained = time.Now()
}

func (b *Backend) stop() {
	b.drain()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server == nil {
		return
	}
	m := b.server.Member(b.Name)
	m.Phase = "DELETED"
	b.fleet.registry.Set(m)
	b.server.Close()
	b.server = nil
}

// Version returns the version that the backend serves; "" while it is not running.
func (b *Backend) Version() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server == nil {
		return ""
	}
	return b.version
}

// Build builds the programs that a fleet needs into a directory.
func Build(dir string) error {
	var out bytes.Buffer
	cmd := exec.Command("go", "build", "-o", dir+"/", "wickarch/cmd/wickarch", "wickarch/cmd/coordinator", "wickarch/cmd/agent", "wickarch/cmd/wickarch-fleet",
		"wickarch/cmd/bench/rollouts")
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("build: %w: %s", err, out.String())
	}
	return nil
}
