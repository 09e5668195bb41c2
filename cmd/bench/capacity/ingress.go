package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"wickarch/internal/ingress"
	"wickarch/internal/standin"
)

// The fleet of two years ahead.
const (
	fleetIngresses = 480
	fleetBackends  = 4200
	fleetServices  = 71
	fleetRequests  = 59000 // a second
	fleetTenants   = 20000
	fleetChanges   = 440 // a day
	zonesOfFleet   = 5
)

func zoneOf(i int) string { return string(rune('a' + i%zonesOfFleet)) }

// plan is what a tenant may have, in units a second and units. Ceiling is one that may
// never be passed, with as much again as burst; 0 for none.
type plan struct{ Rate, Burst, Ceiling float64 }

var generous = plan{1e6, 1e6, 0}

// settings are those of ingress i of so many.
func settings(i, of int, p plan) json.RawMessage {
	s := fmt.Sprintf(standin.Settings, 60_000, p.Rate, p.Burst)
	if p.Ceiling > 0 {
		s = strings.Replace(s, `"price":1}`, fmt.Sprintf(`"price":1,"hard_rate":%g,"hard_burst":%g,"tolerance":2}`, p.Ceiling, p.Ceiling), 1)
	}
	return json.RawMessage(strings.Replace(s, `"balancers":1,"self_index":0,"zone":0,"zones":["a"]`,
		fmt.Sprintf(`"balancers":%d,"self_index":%d,"zone":%d,"zones":["a","b","c","d","e"]`, of, i, i%zonesOfFleet), 1))
}

// nodeOf is the configuration of ingress i of so many.
func nodeOf(i, of int, discovery string, memory int, p plan) standin.Node {
	return standin.Node{Name: fmt.Sprint("n", i), Listen: "127.0.0.1:0", Discovery: discovery, Seed: fmt.Sprintf("%x", i+1),
		Limits: standin.Limits{Cores: 1, MemoryMB: memory, Sockets: 4096}, Settings: settings(i, of, p)}
}

// program is the command of the real ingress.
func program(bin string) []string { return []string{filepath.Join(bin, "wickarch")} }

// startIngress starts a real ingress and waits until it is ready.
func startIngress(ctx context.Context, node standin.Node, bin, dir string) (*standin.Process, error) {
	p, err := node.Start(ctx, program(bin), dir)
	if err != nil {
		return nil, err
	}
	return p, ready(p.Addr)
}

// until waits until something is so, looking each millisecond.
func until(patience time.Duration, what string, is func() bool) error {
	for end := time.Now().Add(patience); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("waited %v in vain until %s", patience, what)
		}
	}
	return nil
}

// ready waits until an ingress takes clients.
func ready(addr string) error {
	return until(20*time.Second, "the ingress takes clients", func() bool {
		c, err := standin.Dial(addr, time.Second)
		if err != nil {
			return false
		}
		defer c.Close()
		if c.Send("PING") != nil {
			return false
		}
		l, err := c.ReadReply()
		return err == nil && l == "+PONG"
	})
}

// hollow is the command of a process that runs many ingresses with no clients.
type hollow struct {
	Count     int    `required:""`
	From      int    `help:"Number of the first one."`
	Of        int    `required:"" help:"Ingresses in the fleet."`
	Discovery string `required:""`
	Memory    int    `default:"64"`
}

// Run runs them until standard input ends, and tells on standard output when all listen.
// A line on standard input starts all of them anew.
func (h *hollow) Run() error {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	debug.SetGCPercent(100)
	runtime.GOMAXPROCS(2) // beside other work of the machine; a real one has one or more of its own
	lines := bufio.NewScanner(os.Stdin)
	for {
		stop, err := h.start()
		if err != nil {
			return err
		}
		fmt.Println("up")
		more := lines.Scan()
		stop()
		if !more {
			return nil
		}
	}
}

func (h *hollow) start() (stop func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range h.Count {
		data, err := json.Marshal(nodeOf(h.From+i, h.Of, h.Discovery, h.Memory, generous))
		if err != nil {
			cancel()
			return nil, err
		}
		cfg, err := ingress.ParseConfig(data)
		if err != nil {
			cancel()
			return nil, err
		}
		s, err := ingress.Listen(cfg)
		if err != nil {
			cancel()
			return nil, err
		}
		all.Go(func() {
			if err := s.Serve(ctx); err != nil {
				fmt.Fprintln(os.Stderr, "capacity: an ingress ended:", err)
			}
		})
	}
	return func() { cancel(); all.Wait() }, nil
}

// child is a process of this command itself.
type child struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Scanner
}

// self starts this command with other arguments, and waits for its first line.
func self(args ...string) (*child, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{cmd: exec.Command(exe, args...)}
	c.cmd.Stderr = os.Stderr
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.out = bufio.NewScanner(out)
	c.out.Buffer(nil, 1<<20)
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	if _, err := c.line(); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

// line waits for the next line.
func (c *child) line() (string, error) {
	if !c.out.Scan() {
		return "", errors.Join(errors.New("the child ended"), c.out.Err())
	}
	return c.out.Text(), nil
}

// tell sends a line.
func (c *child) tell(s string) error {
	_, err := io.WriteString(c.in, s+"\n")
	return err
}

func (c *child) usage() (standin.Usage, error) { return standin.UsageOf(c.cmd.Process.Pid) }

func (c *child) stop() {
	_ = c.in.Close() // tells the child to end; one that has ended needs no telling
	end := time.AfterFunc(10*time.Second, func() { c.cmd.Process.Kill() })
	defer end.Stop()
	_ = c.cmd.Wait() // what it measured has been read
}
