// Package agent runs rollout.Agent beside one member: the program that it watches,
// the way to the coordinators, a memory on disk. All decisions are in rollout; here
// one goroutine owns them.
package agent

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"wickarch/internal/retry"
	"wickarch/internal/rolloutlink"
	"wickarch/rollout"
)

// Agent is one.
type Agent struct {
	cfg     Config
	log     *slog.Logger
	decides *rollout.Agent
	driver  driver
	began   time.Time
	mail    chan func()
	http    *http.Client
	lock    *os.File
	lives   int // programs started, so that the end of one is not taken for that of the next
}

// New starts an agent: it reads what it remembers, and finds the program that runs.
func New(cfg Config, log *slog.Logger) (*Agent, error) {
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, &StateFailed{cfg.Dir, err}
	}
	lock, err := os.OpenFile(filepath.Join(cfg.Dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, &StateFailed{cfg.Dir, err}
	}
	if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, &AlreadyRuns{cfg.Dir}
	}
	a := &Agent{cfg: cfg, log: log, began: time.Now(), mail: make(chan func(), 64), http: rolloutlink.NewHTTPClient(2 * cfg.Decides().ReportInterval), lock: lock}
	var mem rollout.AgentState
	b, err := retry.For(diskPatience, nil, func() ([]byte, error) { return os.ReadFile(a.path()) })
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return nil, &StateFailed{a.path(), err}
	default:
		if err := json.Unmarshal(b, &mem); err != nil {
			return nil, &StateDamaged{a.path(), err}
		}
	}
	if len(cfg.Hooks.Start) > 0 {
		a.driver = &hooked{cfg: cfg, exited: a.exited(0), failed: func(err error) { log.Warn("hook", "error", err) }}
	} else {
		a.driver = &process{cfg: cfg, dir: cfg.Dir, now: a.now, exited: a.exited(0), client: newClient()}
	}
	running := a.driver.adopt()
	if running != nil && running.Version == "" {
		running.Version = cfg.Version
		if mem.Version != "" {
			running.Version = mem.Version
		}
	}
	var inc [8]byte
	rand.Read(inc[:])
	a.decides = rollout.NewAgent(cfg.Decides(), mem, running, binary.BigEndian.Uint64(inc[:])>>11|1, a.now())
	return a, nil
}

func (a *Agent) path() string { return filepath.Join(a.cfg.Dir, "agent.json") }

func (a *Agent) now() time.Duration { return time.Since(a.began) }

// exited makes what tells the end of the program that is the n-th to be started.
func (a *Agent) exited(n int) func(string) {
	return func(why string) {
		a.mail <- func() {
			if n == a.lives {
				a.do(a.decides.Exited(a.now(), why))
			}
		}
	}
}

// Run runs until ctx ends. The program goes on without its agent.
func (a *Agent) Run(ctx context.Context) {
	defer func() { _ = a.lock.Close() }()
	poll := time.NewTicker(a.cfg.poll())
	defer poll.Stop()
	looking := false
	for {
		due := time.NewTimer(a.decides.Next() - a.now())
		select {
		case <-ctx.Done():
			due.Stop()
			return
		case f := <-a.mail:
			f()
		case <-due.C:
			a.do(a.decides.Tick(a.now()))
		case <-poll.C:
			if looking {
				break
			}
			looking = true
			n := a.lives
			go func() { // a program that hangs must not hold up its agent
				lookCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
				defer cancel()
				s := a.driver.look(lookCtx)
				a.mail <- func() {
					looking = false
					if n != a.lives {
						return
					}
					if s.gone {
						a.do(a.decides.Exited(a.now(), "it does not run"))
					}
					a.do(a.decides.Ready(a.now(), s.ready, a.driver.figures(s)))
				}
			}()
		}
		due.Stop()
	}
}

// do does what the decisions say.
func (a *Agent) do(actions []rollout.Action) {
	for i := 0; i < len(actions); i++ {
		switch act := actions[i]; {
		case act.Save != nil:
			b, err := json.Marshal(act.Save)
			if err == nil {
				err = replaceFile(a.path(), b)
			}
			if err == nil {
				continue
			}
			a.log.Error("memory", "error", &StateFailed{a.path(), err}, "remedy", (&StateFailed{}).Remedy())
			if act.SaveRequired { // what rests on it is dropped
				actions = append(slices.Clone(actions[:i+1]), a.decides.SaveFailed(a.now(), err)...)
			}
		case act.Send != nil:
			a.send(*act.Send, act.To)
		case act.Launch != "":
			a.lives++
			exited := a.exited(a.lives)
			switch d := a.driver.(type) {
			case *process:
				d.exited = exited
			case *hooked:
				d.exited = exited
			}
			a.log.Info("start", "version", act.Launch)
			if err := a.driver.launch(act.Launch); err != nil {
				a.log.Error("start", "version", act.Launch, "error", err)
				go exited(err.Error())
			}
		case act.Standby:
			a.log.Info("standby")
			a.driver.standby()
		case act.Terminate:
			a.log.Info("terminate")
			a.driver.terminate()
		case act.Kill:
			a.log.Warn("kill")
			a.driver.kill()
		case act.Log != "":
			a.log.Info(act.Log)
		}
	}
}

// send carries a report, beside everything else.
func (a *Agent) send(r rollout.Report, to int) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*a.cfg.Decides().ReportInterval)
		defer cancel()
		var reply rollout.Reply
		leader, err := rolloutlink.Call(ctx, a.http, http.MethodPost, a.cfg.Coordinators[to], rolloutlink.PathReport, r, &reply, rolloutlink.MaxReportBytes)
		a.mail <- func() {
			if err != nil {
				a.log.Debug("report", "to", a.cfg.Coordinators[to], "error", err)
				a.decides.Unanswered(a.now(), r.Seq, slices.Index(a.cfg.Coordinators, leader))
				return
			}
			a.do(a.decides.Replied(a.now(), r.Seq, reply))
		}
	}()
}
