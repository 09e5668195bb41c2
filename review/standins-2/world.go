package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is record.txt: each line with the time since the start.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
	dir   string // the case's folder, which the record does not name
}

func newRecord(path, dir string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun(err)
	}
	return &record{f: f, start: time.Now(), dir: dir}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), r.dir, "DIR")
	fmt.Fprintf(r.f, "%9.3f %s\n", time.Since(r.start).Seconds(), text)
}

// cannotRun ends the program with 2, after all processes that it started.
func cannotRun(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	endAll()
	os.Exit(2)
}

var started struct {
	mu   sync.Mutex
	list []*process
}

// process is one program of the project, started by the run line of the deploy file.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// start runs a command line by /bin/sh, as the platform does.
func start(root, line, logFile string, env ...string) *process {
	log, err := os.Create(logFile)
	if err != nil {
		cannotRun(err)
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
	cmd.Env = append(os.Environ(), env...)
	if err := cmd.Start(); err != nil {
		cannotRun(err)
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	started.mu.Lock()
	started.list = append(started.list, p)
	started.mu.Unlock()
	go func() { p.err = cmd.Wait(); close(p.exited) }()
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func endAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.list {
		p.signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range started.list {
		<-p.exited
	}
}

// freePort returns a port that is free now.
func freePort() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// readCommand reads an array of bulk strings.
func readCommand(r *bufio.Reader) ([]string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "*")))
	if err != nil || line[0] != '*' {
		return nil, errors.New("no array")
	}
	words := make([]string, n)
	for i := range words {
		if line, err = r.ReadString('\n'); err != nil {
			return nil, err
		}
		size, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "$")))
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		words[i] = string(b[:size])
	}
	return words, nil
}

// readAnswer reads one answer of an ingress: an error line, a simple string or a bulk string. It
// returns its first line, or the value behind "$".
func readAnswer(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if !strings.HasPrefix(line, "$") {
		return line, nil
	}
	size, err := strconv.Atoi(line[1:])
	if err != nil || size < 0 {
		return line, err
	}
	b := make([]byte, size+2)
	if _, err := io.ReadFull(r, b); err != nil {
		return "", err
	}
	return "$" + string(b[:size]), nil
}

func encode(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

// backend is a sound app node: it begins a command when its last byte has come, and answers after
// its service time. While it hangs, it answers nothing.
type backend struct {
	id      string
	addr    string
	service time.Duration

	mu       sync.Mutex
	hung     bool
	inflight int
	ran      map[string]int // by request id
}

func newBackend(id string, service time.Duration) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	b := &backend{id: id, addr: l.Addr().String(), service: service, ran: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

func (b *backend) isHung() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hung
}

func (b *backend) setHung(hung bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hung = hung
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		words, err := readCommand(r)
		if err != nil {
			return
		}
		if b.isHung() {
			_, _ = io.Copy(io.Discard, r) // until the ingress gives it up
			return
		}
		switch strings.ToUpper(words[0]) {
		case "PING":
			fmt.Fprint(c, "+PONG\r\n")
		case "INFO":
			b.mu.Lock()
			report := fmt.Sprintf("inflight=%d,latency_ms=%d", b.inflight, b.service.Milliseconds())
			b.mu.Unlock()
			fmt.Fprintf(c, "$%d\r\n%s\r\n", len(report), report)
		case "Q.ASK", "Q.DO":
			b.mu.Lock()
			b.ran[words[2]]++
			b.inflight++
			b.mu.Unlock()
			time.Sleep(b.service)
			b.mu.Lock()
			b.inflight--
			b.mu.Unlock()
			value := "value of " + words[2]
			fmt.Fprintf(c, "*3\r\n$%d\r\n%s\r\n$7\r\nused=10\r\n$-1\r\n", len(value), value)
		default:
			fmt.Fprint(c, "-ERR unknown\r\n")
		}
	}
}

// runs returns how often the backends ran requests.
func runs(list []*backend) (n int) {
	for _, b := range list {
		b.mu.Lock()
		for _, k := range b.ran {
			n += k
		}
		b.mu.Unlock()
	}
	return n
}

// discovery is the agent on the ingress's machine: the whole list, and watches with a line each 2 s.
type discovery struct {
	addr string

	mu       sync.Mutex
	revision int
	members  []map[string]any
	changed  chan struct{}
}

func newDiscovery(list []*backend) *discovery {
	d := &discovery{revision: 1, changed: make(chan struct{})}
	for _, b := range list {
		d.members = append(d.members, map[string]any{"id": b.id, "host_port": b.addr, "locality": "hall-a", "flavor": "std-3core",
			"cell": 0, "phase": "SERVING", "size": 1.0, "up_since_ms": 0})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	d.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/api/targets", func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		list, _ := json.Marshal(map[string]any{"revision": d.revision, "complete": true, "members": d.members})
		d.mu.Unlock()
		_, _ = w.Write(append(list, '\n'))
		if r.URL.Query().Get("stream") == "" {
			return
		}
		for {
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				_, _ = w.Write([]byte("\n"))
			}
		}
	})
	go func() { _ = http.Serve(l, mux) }()
	return d
}

// settings are those of the page on the wire, for one of three ingresses, with the names in the protocol's form.
const settings = `{"balancers":3,"self_index":0,"zone":0,"zones":["hall-a","hall-b","hall-c"],"kinds":["std-3core"],
"tick_ms":2.0,"tier":0,"tiers":["banking-fleet"],"discovery":"push","domain_type":"gate","clients":{"marks_retry":true},
"bounds":{"cancelling":true,"conn_idle_ms":15000.0,"connect_timeout_ms":250.0,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,
 "max_retry_after_ms":1000.0,"most_held":20000,"peer_messages":true,"probing":true,"retry_after":true,"second_copies":false,
 "streams_per_conn":100,"try_limit":4},
"goal":{"whole":0.5,"worst_class":0.1,"worst_tenant":0.15,"worst_window":0.25},
"invariants":{"answer_slack_ms":8.0,"ask_every_ms":10000.0,"cold_from":0.15,"cold_ms":17000.0,"drain_grace_ms":500.0,
 "fall_ms":1500.0,"tip_multiple":3.0},
"prices":{"connection":0.0,"cross_zone":0.01,"discovery":0.0,"handshake":0.0,"late_fail":0.08,"moves":0.0,"origin":0.0,
 "peer":0.03,"probe":0.01,"waste":0.08},
"report":{"fields":["rif","lat_ms"],"how":"pull"},
"request_classes":[
 {"aim_ms":600.0,"dedup_scope":"all","effect":"free","give_up_ms":2500.0,"late_worth":0.2,"name":"lookup","streamed":false,
  "window_ms":5000.0,"worth":2.0},
 {"aim_ms":600.0,"dedup_scope":"all","effect":"single_shot","give_up_ms":1500.0,"late_worth":0.0,"name":"payment",
  "streamed":false,"window_ms":5000.0,"worth":6.0}],
"specifics":{"cost_after":false,"count_fee":0.0,"count_limit_ms":0.0,"counter":false,"mail_per_s":40.0,"max_units":1,
 "use_period_ms":500.0},
"tiers_of_service":[
 {"beyond_costs":1.0,"burst":12.0,"extra_worth":0.0,"hard_burst":0.0,"hard_rate":0.0,"name":"community","open":0,"price":1.1,
  "quota_rate":2.7,"tolerance":0.0},
 {"beyond_costs":0.6,"burst":19.0,"extra_worth":0.0,"hard_burst":45.0,"hard_rate":35.0,"name":"district","open":0,
  "price":1.6,"quota_rate":15.0,"tolerance":5.0}],
"weights":"nominal"}`

// ingress is one real ingress.
type ingress struct {
	*process
	addr string
}

// startIngress starts the ingress by the run line and waits until it answers PING.
func startIngress(root, dir, discovery string, memoryMB int, flags ...string) *ingress {
	addr := fmt.Sprintf("127.0.0.1:%d", freePort())
	config, _ := json.Marshal(map[string]any{"name": "n1", "listen": addr, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024},
		"settings": json.RawMessage(settings)})
	path := filepath.Join(dir, "n1.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		cannotRun(err)
	}
	i := &ingress{start(root, strings.Join(append([]string{"exec bin/wickarch"}, flags...), " "), filepath.Join(dir, "n1.log"), "NODE_CONFIG="+path), addr}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && i.running(); time.Sleep(50 * time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		fmt.Fprint(c, encode("PING"))
		_ = c.SetDeadline(time.Now().Add(time.Second))
		answer, _ := readAnswer(bufio.NewReader(c))
		c.Close()
		if answer == "+PONG" {
			return i
		}
	}
	cannotRun(errors.New("the ingress did not become ready"))
	return nil
}

var lastID struct {
	sync.Mutex
	n uint64
}

func newID() string {
	lastID.Lock()
	defer lastID.Unlock()
	lastID.n++
	return fmt.Sprintf("%016x", 0x5100000000000000+lastID.n)
}

// lookup is a request of one of many customers, each far below its quota.
func lookup(plan string, ms int) (id, command string) {
	id = newID()
	n, _ := strconv.ParseUint(id[8:], 16, 64)
	return id, encode("Q.ASK", fmt.Sprintf("%016x", 1000+n), id, fmt.Sprintf("c=lookup,t=%s,d=%d,units=1,spread=2,first=0", plan, ms))
}

// payment is the same for a request that must never run twice.
func payment(plan string, ms int) string {
	id := newID()
	n, _ := strconv.ParseUint(id[8:], 16, 64)
	return encode("Q.DO", fmt.Sprintf("%016x", 1000+n), id, fmt.Sprintf("c=payment,t=%s,d=%d,units=1,spread=2,first=0", plan, ms), "PAY")
}

// wasReset reports whether the peer reset the connection after it had ended it: it does so when it
// closes a connection on which something lies unread.
func wasReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	code := 0
	_ = raw.Control(func(fd uintptr) { code, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
	return code != 0
}

// write writes a file into the case's folder and returns its path.
func (s *stage) write(name, text string) string {
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		cannotRun(err)
	}
	return path
}

// run runs a program of the project to its end and records what it prints.
func (s *stage) run(name string, args ...string) (code int) {
	cmd := exec.Command(filepath.Join(s.root, "bin", name), args...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		cannotRun(err)
	}
	s.record.printf("%s %s: exit code %d: %s", name, strings.Join(args, " "), cmd.ProcessState.ExitCode(),
		strings.ReplaceAll(strings.TrimSpace(string(out)), "\n", " | "))
	return cmd.ProcessState.ExitCode()
}
