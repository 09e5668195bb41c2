package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wickarch/internal/rolloutlink"
	"wickarch/internal/standin"
	"wickarch/rollout"
)

// budgetsOf are the budgets of a fleet, as deploy/coordinator.toml has them.
func budgetsOf(ingresses, backends int) string {
	return fmt.Sprintf(`[[budget]]
name = "ingresses"
role = "ingress"
share = 0.10
of = %d
[[budget]]
name = "ingresses of a zone"
role = "ingress"
each = "zone"
most = %d
[[budget]]
name = "backends"
role = "backend"
most = %d
[[budget]]
name = "backends of a cell"
role = "backend"
each = "cell"
most = 1
`, ingresses, max(1, ingresses/10), max(1, backends/20))
}

// coordinators are three real ones.
type coordinators struct {
	Addresses []string
	cmds      []*exec.Cmd
	dir       string
	logs      []string
}

func startCoordinators(bin string, ingresses, backends int) (c *coordinators, err error) {
	c = &coordinators{}
	if c.dir, err = os.MkdirTemp("", "coordinators"); err != nil {
		return nil, err
	}
	for range 3 {
		a, err := standin.Reserve()
		if err != nil {
			return nil, err
		}
		c.Addresses = append(c.Addresses, a)
	}
	for i, address := range c.Addresses {
		text := fmt.Sprintf("id = %d\nlisten = %q\ndir = %q\n", i+1, address, filepath.Join(c.dir, fmt.Sprint("c", i+1)))
		for j, a := range c.Addresses {
			text += fmt.Sprintf("[[coordinator]]\nid = %d\naddress = %q\n", j+1, a)
		}
		path := filepath.Join(c.dir, fmt.Sprintf("c%d.toml", i+1))
		if err := os.WriteFile(path, []byte(text+budgetsOf(ingresses, backends)), 0o600); err != nil {
			return c, err
		}
		if out, err := exec.Command(filepath.Join(bin, "coordinator"), "init", path).CombinedOutput(); err != nil {
			return c, fmt.Errorf("coordinator init: %w: %s", err, out)
		}
		log, err := os.Create(filepath.Join(c.dir, fmt.Sprintf("c%d.log", i+1)))
		if err != nil {
			return c, err
		}
		c.logs = append(c.logs, log.Name())
		cmd := exec.Command(filepath.Join(bin, "coordinator"), "run", path)
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err = cmd.Start()
		_ = log.Close() // the coordinator has a descriptor of its own
		if err != nil {
			return c, err
		}
		c.cmds = append(c.cmds, cmd)
	}
	return c, nil
}

func (c *coordinators) stop() {
	for _, cmd := range c.cmds {
		cmd.Process.Kill()
		_ = cmd.Wait() // returns only that it was killed
	}
	os.RemoveAll(c.dir)
}

// usage is what the three use, the leader first.
func (c *coordinators) usage(leader int) (list []standin.Usage, err error) {
	for i := range c.cmds {
		u, err := standin.UsageOf(c.cmds[(leader+i)%len(c.cmds)].Process.Pid)
		if err != nil {
			return nil, err
		}
		list = append(list, u)
	}
	return list, nil
}

func (c *coordinators) status(ctx context.Context, client *http.Client) (s rolloutlink.Status, err error) {
	err = rolloutlink.CallLeader(ctx, client, c.Addresses, http.MethodGet, rolloutlink.PathStatus, nil, &s, rolloutlink.MaxStatusBytes)
	return s, err
}

// agents is the command of a process that runs many agents whose programs always serve: the
// decisions and the calls are the real ones, the programs are none.
type agents struct {
	Ingresses    int
	Backends     int
	Coordinators []string      `required:""`
	Report       time.Duration `default:"1s"`

	traffic           standin.Traffic
	calls, unanswered atomic.Int64
	late              atomic.Int64 // calls that took longer than Report
}

// Run runs them until standard input ends. To each line there it tells what was counted.
func (a *agents) Run() error {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range a.Ingresses + a.Backends {
		m := rollout.Member{Name: fmt.Sprint("n", i), Role: "ingress", Zone: zoneOf(i), Weight: 1}
		if i >= a.Ingresses {
			m.Name, m.Role, m.Cell = fmt.Sprint("b", i-a.Ingresses), "backend", fmt.Sprint("c", (i-a.Ingresses)/20)
		}
		all.Go(func() { a.one(ctx, m) })
	}
	fmt.Println("up")
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		fmt.Println(a.calls.Load(), a.unanswered.Load(), a.late.Load(), a.traffic.In.Load(), a.traffic.Out.Load(), a.traffic.Conns.Load())
	}
	cancel()
	all.Wait()
	return nil
}

// one runs the agent of a member.
func (a *agents) one(ctx context.Context, m rollout.Member) {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	d := rollout.NewAgent(rollout.AgentConfig{Member: m, Coordinators: len(a.Coordinators), Version: "v1", ReportInterval: a.Report, BeginTimeout: 4 * a.Report, DrainTimeout: 5 * time.Second,
		StopTimeout: 10 * time.Second, StartTimeout: 30 * time.Second, ProvePeriod: time.Second, Backoff: time.Second, MaxStarts: 3},
		rollout.AgentState{}, &rollout.Running{Version: "v1"}, rand.Uint64()>>11|1, 0)
	client := rolloutlink.NewHTTPClient(2 * a.Report)
	t := client.Transport.(*http.Transport)
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return a.traffic.WrapConn(c), nil
	}
	defer t.CloseIdleConnections()
	mail := make(chan func(), 16)
	var do func(actions []rollout.Action)
	do = func(actions []rollout.Action) {
		for _, act := range actions {
			if act.Send == nil {
				continue // nothing to start, stop or keep
			}
			r, to := *act.Send, act.To
			go func() {
				asked := time.Now()
				call, stop := context.WithTimeout(ctx, 2*a.Report)
				defer stop()
				var reply rollout.Reply
				a.calls.Add(1)
				leader, err := rolloutlink.Call(call, client, http.MethodPost, a.Coordinators[to], rolloutlink.PathReport, r, &reply, rolloutlink.MaxReportBytes)
				if time.Since(asked) > a.Report {
					a.late.Add(1)
				}
				f := func() { do(d.Replied(now(), r.Seq, reply)) }
				if err != nil {
					if leader == "" {
						a.unanswered.Add(1)
					}
					f = func() { d.Unanswered(now(), r.Seq, slices.Index(a.Coordinators, leader)) }
				}
				select {
				case mail <- f:
				case <-ctx.Done():
				}
			}()
		}
	}
	for {
		due := time.NewTimer(d.Next() - now())
		select {
		case <-ctx.Done():
			due.Stop()
			return
		case f := <-mail:
			f()
		case <-due.C:
			n := uint64(now() / time.Millisecond) // about what an ingress of the fleet serves
			figures := rollout.Stats{BootID: 1, Classes: map[string]rollout.Count{"lookup": {Served: n / 9, Refused: n / 900}, "payment": {Served: n / 80}}, InFlightSeconds: now().Seconds()}
			do(d.Ready(now(), true, figures))
			do(d.Tick(now()))
		}
		due.Stop()
	}
}

// byMembers measures three real coordinators under the reports of hollow agents of so many
// members, one in ten an ingress and the others backends, as the fleet has them.
func (r roles) byMembers(size int) ([]figure, error) {
	ingresses := size * fleetIngresses / (fleetIngresses + fleetBackends)
	c, err := startCoordinators(r.Bin, ingresses, size-ingresses)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return nil, err
	}
	a, err := self("agents", "--ingresses", fmt.Sprint(ingresses), "--backends", fmt.Sprint(size-ingresses), "--coordinators", strings.Join(c.Addresses, ","))
	if err != nil {
		return nil, err
	}
	defer a.stop()
	client := rolloutlink.NewHTTPClient(5 * time.Second)
	defer client.CloseIdleConnections()
	began := time.Now()
	in := 0
	var s rolloutlink.Status
	joined := 0.0
	for time.Since(began) < 30*time.Second {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		status, statusErr := c.status(ctx, client)
		cancel()
		if statusErr == nil {
			s, in = status, 0
			for _, m := range s.Members {
				if m.Out == "" {
					in++
				}
			}
			if in == size {
				joined = time.Since(began).Seconds()
				break
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	if s.Coordinator == 0 {
		return nil, fmt.Errorf("no coordinator leads")
	}
	time.Sleep(3 * time.Second)
	counts := func() (n [6]float64, err error) {
		if err = a.tell(""); err != nil {
			return n, err
		}
		text, err := a.line()
		if err != nil {
			return n, err
		}
		_, err = fmt.Sscan(text, &n[0], &n[1], &n[2], &n[3], &n[4], &n[5])
		return n, err
	}
	leader := int(s.Coordinator) - 1
	u0, err := c.usage(leader)
	if err != nil {
		return nil, err
	}
	n0, err := counts()
	if err != nil {
		return nil, err
	}
	time.Sleep(r.Rest)
	u1, err := c.usage(leader)
	if err != nil {
		return nil, err
	}
	n1, err := counts()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	asked := time.Now()
	last, err := c.status(ctx, client)
	took := time.Since(asked)
	out := size
	if err == nil {
		for _, m := range last.Members {
			if m.Out == "" {
				out--
			}
		}
	}
	span := r.Rest.Seconds()
	return []figure{
		{"members heard at the end", float64(size - out)},
		{"all heard after, s (0: never in 30 s)", joined},
		{"reports a second", (n1[0] - n0[0]) / span},
		{"reports with no answer a second", (n1[1] - n0[1]) / span},
		{"reports answered late a second", (n1[2] - n0[2]) / span},
		{"KB a second at the leader", (n1[3] - n0[3] + n1[4] - n0[4]) / span / 1e3},
		{"bytes a report and its answer", (n1[3] - n0[3] + n1[4] - n0[4]) / max(1, n1[0]-n0[0])},
		{"new connections a second", (n1[5] - n0[5]) / span},
		{"CPU of the leader, ms/s", ms(u1[0].CPU-u0[0].CPU) / span},
		{"CPU of a follower, ms/s", ms(u1[1].CPU-u0[1].CPU) / span},
		{"resident of the leader, MB", mb(u1[0].Resident)},
		{"connections at the leader", float64(u1[0].Files)},
		{"status answered after, ms", ms(took)},
	}, nil
}
