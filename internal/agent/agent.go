// Package agent runs a rollout.Agent next to one member: it drives and probes the member's
// program, reports to the coordinators and persists the agent's state. rollout.Agent makes
// all decisions; here one goroutine owns it.
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

// Agent is the agent of one member.
type Agent struct {
	cfg      Config
	log      *slog.Logger
	core     *rollout.Agent // makes the decisions
	driver   driver
	started  time.Time
	calls    chan func() // run on the goroutine of Run, which owns core
	http     *http.Client
	lock     *os.File
	launches int // programs launched, so that the exit of one is not taken for that of the next
}

// New creates an agent: it reads the stored state and finds the program that is already running.
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
	a := &Agent{cfg: cfg, log: log, started: time.Now(), calls: make(chan func(), 64),
		http: rolloutlink.NewHTTPClient(2 * cfg.CoreConfig().ReportInterval), lock: lock}
	var state rollout.AgentState
	b, err := retry.For(diskRetryTimeout, nil, func() ([]byte, error) { return os.ReadFile(a.statePath()) })
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return nil, &StateFailed{a.statePath(), err}
	default:
		if err := json.Unmarshal(b, &state); err != nil {
			return nil, &StateDamaged{a.statePath(), err}
		}
	}
	if len(cfg.Hooks.Start) > 0 {
		a.driver = &hookDriver{cfg: cfg, onExit: a.exitCallback(0), onError: func(err error) { log.Warn("hook", "error", err) }}
	} else {
		a.driver = &processDriver{cfg: cfg, dir: cfg.Dir, now: a.now, onExit: a.exitCallback(0), client: newClient()}
	}
	running := a.driver.adopt()
	if running != nil && running.Version == "" {
		running.Version = cfg.Version
		if state.Version != "" {
			running.Version = state.Version
		}
	}
	var incarnation [8]byte
	rand.Read(incarnation[:])
	a.core = rollout.NewAgent(cfg.CoreConfig(), state, running, binary.BigEndian.Uint64(incarnation[:])>>11|1, a.now())
	return a, nil
}

func (a *Agent) statePath() string { return filepath.Join(a.cfg.Dir, "agent.json") }

func (a *Agent) now() time.Duration { return time.Since(a.started) }

// exitCallback returns a function that reports the exit of the n-th program launched, and why it
// exited; 0 is the program that was already running. Reports on earlier programs are ignored.
func (a *Agent) exitCallback(n int) func(string) {
	return func(why string) {
		a.calls <- func() {
			if n == a.launches {
				a.perform(a.core.Exited(a.now(), why))
			}
		}
	}
}

// Run runs until ctx is done. The program continues to run without its agent.
func (a *Agent) Run(ctx context.Context) {
	defer func() { _ = a.lock.Close() }()
	poll := time.NewTicker(a.cfg.pollInterval())
	defer poll.Stop()
	probing := false // a probe is in flight
	for {
		due := time.NewTimer(a.core.Next() - a.now())
		select {
		case <-ctx.Done():
			due.Stop()
			return
		case f := <-a.calls:
			f()
		case <-due.C:
			a.perform(a.core.Tick(a.now()))
		case <-poll.C:
			if probing {
				break
			}
			probing = true
			n := a.launches
			go func() { // a program that hangs must not block its agent
				probeCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
				defer cancel()
				result := a.driver.probe(probeCtx)
				a.calls <- func() {
					probing = false
					if n != a.launches {
						return
					}
					if result.stopped {
						a.perform(a.core.Exited(a.now(), "it is not running"))
					}
					a.perform(a.core.Ready(a.now(), result.ready, a.driver.stats(result)))
				}
			}()
		}
		due.Stop()
	}
}

// perform performs the actions that core has decided on.
func (a *Agent) perform(actions []rollout.Action) {
	for i := 0; i < len(actions); i++ {
		switch action := actions[i]; {
		case action.Save != nil:
			b, err := json.Marshal(action.Save)
			if err == nil {
				err = replaceFile(a.statePath(), b)
			}
			if err == nil {
				continue
			}
			a.log.Error("memory", "error", &StateFailed{a.statePath(), err}, "remedy", (&StateFailed{}).Remedy())
			if action.SaveRequired { // the actions that depend on the save are dropped
				actions = append(slices.Clone(actions[:i+1]), a.core.SaveFailed(a.now(), err)...)
			}
		case action.Send != nil:
			a.send(*action.Send, action.To)
		case action.Launch != "":
			a.launches++
			onExit := a.exitCallback(a.launches)
			switch d := a.driver.(type) {
			case *processDriver:
				d.onExit = onExit
			case *hookDriver:
				d.onExit = onExit
			}
			a.log.Info("start", "version", action.Launch)
			if err := a.driver.launch(action.Launch); err != nil {
				a.log.Error("start", "version", action.Launch, "error", err)
				go onExit(err.Error())
			}
		case action.Standby:
			a.log.Info("standby")
			a.driver.standby()
		case action.Terminate:
			a.log.Info("terminate")
			a.driver.terminate()
		case action.Kill:
			a.log.Warn("kill")
			a.driver.kill()
		case action.Log != "":
			a.log.Info(action.Log)
		}
	}
}

// send sends a report to a coordinator in the background.
func (a *Agent) send(report rollout.Report, to int) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*a.cfg.CoreConfig().ReportInterval)
		defer cancel()
		var reply rollout.Reply
		leader, err := rolloutlink.Call(ctx, a.http, http.MethodPost, a.cfg.Coordinators[to], rolloutlink.PathReport,
			report, &reply, rolloutlink.MaxReportBytes)
		a.calls <- func() {
			if err != nil {
				a.log.Debug("report", "to", a.cfg.Coordinators[to], "error", err)
				a.core.Unanswered(a.now(), report.Seq, slices.Index(a.cfg.Coordinators, leader))
				return
			}
			a.perform(a.core.Replied(a.now(), report.Seq, reply))
		}
	}()
}
