// Command rig plays the cases of the review: each starts real ingresses as
// processes, between stand-ins for clients, backends and discovery on loopback.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// env is what a case runs in.
type env struct {
	root    string // of the repository
	dir     string // temporary, removed at the end
	trouble bool   // false with TROUBLE=0
	started time.Time

	mu     sync.Mutex
	record *bufio.Writer
	broken []string
	nodes  []*ingress
}

var errNoRun = errors.New("the case could not run")

func newEnv(folder string) (*env, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &env{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: bufio.NewWriter(f)}, nil
}

// ms is the time since the start of the case in milliseconds.
func (e *env) ms(t time.Time) float64 { return float64(t.Sub(e.started).Microseconds()) / 1000 }

// log writes a line to record.txt.
func (e *env) log(format string, args ...any) {
	now := e.ms(time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(e.record, "%10.1f "+format+"\n", append([]any{now}, args...)...)
}

// breaks notes that the rule was broken.
func (e *env) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	e.log("BROKEN %s", text)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.broken = append(e.broken, text)
}

// end ends all processes and returns the exit code.
func (e *env) end(err error) int {
	for _, n := range e.nodes {
		n.kill()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.record.Flush()
	for i, b := range e.broken {
		if i == 5 {
			fmt.Printf("... %d in all\n", len(e.broken))
			break
		}
		fmt.Println("broken:", b)
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(e.dir)
	} else {
		fmt.Println(e.dir)
	}
	switch {
	case err != nil:
		fmt.Println(err)
		return 2
	case len(e.broken) > 0:
		return 1
	}
	fmt.Println("held")
	return 0
}

// freeAddr returns an unused address.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// ingress is one process of the program.
type ingress struct {
	env    *env
	name   string
	addr   string
	file   string // NODE_CONFIG
	config map[string]any
	cmd    *exec.Cmd
	exited chan struct{}
	err    error // valid once exited is closed
}

// addIngress prepares an ingress; start starts it.
func (e *env) addIngress(name, discovery string, known list, settings map[string]any) *ingress {
	n := &ingress{env: e, name: name, addr: freeAddr(), file: filepath.Join(e.dir, name+".json")}
	n.config = map[string]any{"name": name, "listen": n.addr, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    known,
		"settings": settings}
	e.nodes = append(e.nodes, n)
	return n
}

// write writes the configuration.
func (n *ingress) write() error {
	data, err := json.Marshal(n.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.file+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(n.file+".new", n.file)
}

// runCommand reads a command of deploy/balancer.toml.
func runCommand(root string) (string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command, nil
		}
	}
	return "", fmt.Errorf("%w: no run command", errNoRun)
}

// start starts the process by the run command of the deploy file.
func (n *ingress) start() error {
	n.config["seed"] = fmt.Sprintf("%016x", time.Now().UnixNano())
	if err := n.write(); err != nil {
		return err
	}
	command, err := runCommand(n.env.root)
	if err != nil {
		return err
	}
	tmp, err := os.MkdirTemp(n.env.dir, "tmp-")
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(n.env.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = n.env.root
	cmd.Env = append(os.Environ(), "NODE_NAME="+n.name, "NODE_LISTEN="+n.addr, "NODE_DISCOVERY="+n.config["discovery"].(string),
		"NODE_CONFIG="+n.file, "TMPDIR="+tmp)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		n.err = err
		close(exited)
	}()
	n.env.log("START %s", n.name)
	return nil
}

// kill ends the process and waits for it.
func (n *ingress) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGCONT)
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// waitReady waits for +PONG.
func (n *ingress) waitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		nc, err := net.DialTimeout("tcp", n.addr, time.Second)
		if err != nil {
			continue
		}
		_ = nc.SetDeadline(time.Now().Add(time.Second))
		_, _ = nc.Write(encode("PING"))
		line, _ := bufio.NewReader(nc).ReadString('\n')
		_ = nc.Close()
		if line == "+PONG\r\n" {
			n.env.log("READY %s", n.name)
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready", errNoRun, n.name)
}

// encode writes a command.
func encode(words ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b
}
