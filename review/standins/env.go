// Command standins holds the stand-ins and the drivers of the cases under review/. Each case starts the project's
// own programs as separate processes and judges what clients, backends and the platform can see.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// env is the surroundings of one run of a case.
type env struct {
	root    string // of the repository
	tmp     string // temporary folder of this run
	trouble bool
	started time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*proc
}

// blocked ends a run that can't be judged: exit code 2.
type blocked struct{ why string }

// logf writes a line with the time since the start to record.txt.
func (e *env) logf(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%9.4f  %s\n", time.Since(e.started).Seconds(), fmt.Sprintf(format, args...))
}

// fail ends the run with exit code 2: the case could not run.
func (e *env) fail(format string, args ...any) { panic(blocked{fmt.Sprintf(format, args...)}) }

// proc is a process of the project.
type proc struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// start runs a shell command from the repository's root, as the platform does.
func (e *env) start(name, command string, environment ...string) *proc {
	return e.startWith(name, command, nil, environment...)
}

// startWith is start with further open files, from descriptor 3 on.
func (e *env) startWith(name, command string, files []*os.File, environment ...string) *proc {
	logFile, err := os.Create(filepath.Join(e.tmp, name+fmt.Sprintf(".%d.log", len(e.procs))))
	if err != nil {
		e.fail("log: %v", err)
	}
	home := filepath.Join(e.tmp, name+".tmp")
	_ = os.MkdirAll(home, 0o700)
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = e.root, logFile, logFile, files
	cmd.Env = append(os.Environ(), append([]string{"TMPDIR=" + home}, environment...)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		e.fail("start %s: %v", name, err)
	}
	p := &proc{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		logFile.Close()
		close(p.done)
	}()
	e.procs = append(e.procs, p)
	e.logf("start %s: pid %d: %s", name, cmd.Process.Pid, command)
	return p
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// alive reports whether the process still runs.
func (p *proc) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// wait waits for the process to end.
func (p *proc) wait(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// stopAll ends all processes that this run started.
func (e *env) stopAll() {
	for _, p := range e.procs {
		if p.alive() {
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
}

// output runs a command to its end and returns its exit code and what it printed.
func (e *env) output(command string, environment ...string) (int, string) {
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Env = e.root, append(os.Environ(), environment...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	if err != nil && cmd.ProcessState == nil {
		e.fail("%s: %v", command, err)
	}
	return cmd.ProcessState.ExitCode(), out.String()
}

// runCommand is the platform's command for one ingress, from the deploy file.
func (e *env) runCommand() string {
	text, err := os.ReadFile(filepath.Join(e.root, "deploy/balancer.toml"))
	if err != nil {
		e.fail("deploy file: %v", err)
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		e.fail("the deploy file has no run")
	}
	return string(m[1])
}

// freeAddress returns a loopback address with a port that is free now.
func (e *env) freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		e.fail("no free port: %v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// write writes a file into the temporary folder and returns its path.
func (e *env) write(name, text string) string {
	path := filepath.Join(e.tmp, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		e.fail("write: %v", err)
	}
	return path
}

// ingress is one ingress under test.
type ingress struct {
	*proc
	addr, admin string
}

// options of an ingress's configuration.
type options struct {
	name      string
	discovery string
	memoryMB  int
	known     []member
	settings  map[string]any
	extra     string // arguments behind the command
	noWait    bool   // don't wait until it is ready
}

// startIngress starts an ingress and waits until it answers PING with +PONG.
func (e *env) startIngress(o options) *ingress {
	in := &ingress{addr: e.freeAddress(), admin: e.freeAddress()}
	if o.memoryMB == 0 {
		o.memoryMB = 192
	}
	if o.known == nil {
		o.known = []member{}
	}
	config := map[string]any{"name": o.name, "listen": in.addr, "mgmt": in.admin, "discovery": o.discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": o.memoryMB, "sockets": 1024},
		"known":    map[string]any{"revision": 1, "complete": true, "members": o.known},
		"settings": o.settings}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		e.fail("configuration: %v", err)
	}
	path := e.write(o.name+".json", string(text))
	in.proc = e.start(o.name, e.runCommand()+o.extra, "NODE_CONFIG="+path, "NODE_NAME="+o.name, "NODE_LISTEN="+in.addr, "NODE_DISCOVERY="+o.discovery)
	if !o.noWait {
		e.awaitReady(in)
	}
	return in
}

// awaitReady waits until an ingress answers PING with +PONG.
func (e *env) awaitReady(in *ingress) {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && in.alive(); time.Sleep(20 * time.Millisecond) {
		c, err := dial(in.addr)
		if err != nil {
			continue
		}
		c.send("PING")
		answer, err := c.read(2 * time.Second)
		c.close()
		if err == nil && answer == "+PONG" {
			e.logf("%s is ready", in.name)
			return
		}
	}
	e.fail("%s is not ready", in.name)
}

// settings are those of the example in WIRE-wickarch.md, for a number of ingresses, with generous quotas.
func settings(ingresses, self int) map[string]any {
	const text = `{"bounds": {"cancelling": true, "conn_idle_ms": 15000.0, "connect_timeout_ms": 250.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000,
 "max_retry_after_ms": 1000.0, "most_held": 20000, "peer_messages": true, "probing": true, "retry_after": true, "second_copies": false,
 "streams_per_conn": 100, "try_limit": 4},
 "clients": {"marks_retry": true}, "discovery": "push", "domain_type": "gate",
 "invariants": {"answer_slack_ms": 8.0, "ask_every_ms": 10000.0, "cold_from": 0.15, "cold_ms": 17000.0, "drain_grace_ms": 500.0, "fall_ms": 1500.0, "tip_multiple": 3.0},
 "kinds": ["std-3core"],
 "prices": {"cross_zone": 0.01, "late_fail": 0.08, "peer": 0.03, "probe": 0.01, "waste": 0.08},
 "report": {"fields": ["rif", "lat_ms"], "how": "pull"},
 "request_classes": [
  {"aim_ms": 600.0, "dedup_scope": "all", "effect": "free", "give_up_ms": 2500.0, "late_worth": 0.2, "name": "lookup", "streamed": false, "window_ms": 5000.0, "worth": 2.0},
  {"aim_ms": 600.0, "dedup_scope": "all", "effect": "single_shot", "give_up_ms": 1500.0, "late_worth": 0.0, "name": "payment", "streamed": false, "window_ms": 5000.0, "worth": 6.0}],
 "specifics": {"cost_after": false, "count_fee": 0.0, "count_limit_ms": 0.0, "counter": false, "mail_per_s": 40.0, "max_units": 1, "use_period_ms": 500.0},
 "tick_ms": 2.0, "tier": 0, "tiers": ["banking-fleet"],
 "tiers_of_service": [
  {"beyond_costs": 1.0, "burst": 12.0, "extra_worth": 0.0, "hard_burst": 0.0, "hard_rate": 0.0, "name": "community", "open": 0, "price": 1.1, "quota_rate": 2.7, "tolerance": 0.0},
  {"beyond_costs": 0.6, "burst": 19.0, "extra_worth": 0.0, "hard_burst": 45.0, "hard_rate": 35.0, "name": "district", "open": 0, "price": 1.6, "quota_rate": 15.0, "tolerance": 5.0}],
 "weights": "nominal", "zone": 0, "zones": ["hall-a", "hall-b", "hall-c"]}`
	var s map[string]any
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		panic(err)
	}
	s["balancers"], s["self_index"] = ingresses, self
	return s
}
