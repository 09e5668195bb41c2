// Package follower runs distribution.Follower in an ingress: the way to the coordinators,
// a folder on disk, a clock. All decisions are in distribution; here one goroutine owns them.
package follower

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"wickarch/distribution"
	"wickarch/internal/rolloutlink"
	"wickarch/rollout"
)

// alone is how long no coordinator has answered before the log tells.
const maxSilence = 3 * time.Second

// Ingress is what decides by configuration.
type Ingress interface {
	// CheckConfig tells why resources that are new or have changed can't be used, as a
	// *distribution.Refused where it is for one of them. It has no effects.
	CheckConfig(changed []distribution.Resource) error
	// Configure decides by it from when it returns. It has been checked. The error, if there
	// is one all the same, is told; what was in force stays.
	Configure(*distribution.ActiveConfig) error
}

// Follower is one.
type Follower struct {
	cfg          Config
	log          *slog.Logger
	ingress      Ingress
	core         *distribution.Follower
	store        *store
	http         *http.Client
	startedAt    time.Time
	events       chan func()
	disconnected bool   // no coordinator answers, as last told
	lastWarning  string // what was wrong, as last told: the same is told once until a version is in force
}

// New reads what is kept, has the ingress, which does not run yet, decide by it, and returns
// before any coordinator was asked. What is wrong with the folder is told in the log, and to the coordinators.
func New(cfg Config, ingress Ingress, log *slog.Logger) *Follower {
	return NewWithClient(cfg, ingress, log, rolloutlink.NewHTTP(cfg.PollTimeout()))
}

// NewWith is New with a client of the caller's own.
func NewWithClient(cfg Config, ingress Ingress, log *slog.Logger, client *http.Client) *Follower {
	f := &Follower{cfg: cfg, log: log.With("follower", cfg.Name), ingress: ingress, http: client, startedAt: time.Now(), events: make(chan func(), 1)}
	store, kept, err := openStore(cfg.Dir)
	if err != nil {
		f.warn("nothing is read of what was kept", err)
	}
	f.store = store
	life := uint64(f.startedAt.UnixNano())
	decides := distribution.FollowerConfig{Name: cfg.Name, Region: cfg.Region, Incarnation: life, Coordinators: len(cfg.Coordinators),
		PollTimeout: cfg.PollTimeout(), Check: ingress.CheckConfig}
	if f.core, err = distribution.NewFollower(decides, kept, life, 0); err != nil {
		f.warn("what was kept is not used", err)
	}
	if u := f.core.Active(); u.Version > 0 {
		if err := ingress.Configure(u); err != nil {
			f.warn("what was kept is not used", err)
			f.core, _ = distribution.NewFollower(decides, nil, life, 0) // with nothing kept there is nothing to refuse
		} else {
			f.log.Info("configured by what was kept", "in_force", u.Describe())
		}
	}
	return f
}

// tell tells in the log what is wrong, when it is not what was told last.
func (f *Follower) warn(what string, err error) {
	text := what + ": " + err.Error()
	if text == f.lastWarning {
		return
	}
	f.lastWarning = text
	args := []any{"error", err}
	var fault distribution.Fault
	if errors.As(err, &fault) {
		args = append(args, "remedy", fault.Remedy())
	}
	f.log.Warn(what, args...)
}

func (f *Follower) now() time.Duration { return time.Since(f.startedAt) }

// Run follows until ctx ends, for the ingress as it runs.
func (f *Follower) Run(ctx context.Context, ingress Ingress) {
	f.ingress = ingress
	defer f.store.close()
	defer f.http.CloseIdleConnections()
	for {
		var due <-chan time.Time
		var timer *time.Timer
		if at, any := f.core.Next(); any {
			timer = time.NewTimer(at - f.now())
			due = timer.C
		}
		select {
		case <-ctx.Done():
		case take := <-f.events:
			take()
		case <-due:
			if ask := f.core.Tick(f.now()); ask != nil {
				go f.poll(ctx, *ask)
			}
		}
		if timer != nil {
			timer.Stop()
		}
		if ctx.Err() != nil {
			return
		}
		if silent := f.now() - f.core.LastReply(); silent > maxSilence && !f.disconnected {
			f.disconnected = true
			u := f.core.Active()
			f.log.Warn("no coordinator answers, and what is in force stays", "in_force", u.Describe(), "since", f.startedAt.Add(f.core.LastReply()))
		}
	}
}

// ask carries one question, and hands what comes of it to the follower's goroutine.
func (f *Follower) poll(ctx context.Context, poll distribution.PollRequest) {
	call, cancel := context.WithTimeout(ctx, f.cfg.PollTimeout())
	defer cancel()
	var reply distribution.Reply
	leader, err := rolloutlink.Call(call, f.http, http.MethodPost, f.cfg.Coordinators[poll.Coordinator], rolloutlink.PathConfigPoll, poll.Poll, &reply, rolloutlink.MostConfig)
	take := func() { f.handleReply(poll, reply) }
	if err != nil {
		take = func() { f.handleFailure(poll, leader, err) }
	}
	select {
	case f.events <- take:
	case <-ctx.Done():
	}
}

func (f *Follower) handleFailure(ask distribution.PollRequest, leader string, err error) {
	var remote *rollout.RemoteError
	if errors.As(err, &remote) && remote.Kind != "NotLeader" {
		f.warn("a coordinator does not answer the question", remote)
	}
	f.core.Failed(f.now(), ask.Poll.Number, slices.Index(f.cfg.Coordinators, leader))
}

func (f *Follower) handleReply(ask distribution.PollRequest, reply distribution.Reply) {
	before := f.core.Active()
	was := before.Version
	save, err := f.core.Replied(f.now(), ask.Poll.Number, reply)
	if f.disconnected && f.core.LastReply() > f.now()-maxSilence {
		f.disconnected = false
		f.log.Info("a coordinator answers again", "newest", reply.Newest)
	}
	if err != nil {
		f.warn("a version is not taken", err)
		return
	}
	if save == nil {
		return
	}
	kept := f.store.save(save)
	if kept != nil {
		f.warn("what is in force is not kept", kept)
	}
	use := f.core.Saved(f.now(), kept)
	if use == nil {
		return
	}
	if err := f.ingress.Configure(use); err != nil {
		f.log.Error("a version that was checked can't be used", "version", use.Version, "error", err)
		f.core.ActivationFailed(f.now(), err)
		return
	}
	f.core.Activated(f.now())
	if use.Version != was {
		f.lastWarning = ""
		f.log.Info("in force", "version", use.Version, "before", was, "settled", use.Settled)
	}
}
