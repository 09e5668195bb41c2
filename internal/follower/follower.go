// Package follower runs a distribution.Follower in an ingress. It adds the connection to the
// coordinators, storage on disk and a clock. All decisions are made in package distribution; one
// goroutine here owns that state.
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

// maxSilence is how long no coordinator may answer before that is logged.
const maxSilence = 3 * time.Second

// Ingress uses the configuration.
type Ingress interface {
	// CheckConfig reports why new or changed resources can't be used, as a *distribution.Refused
	// if one of them is the cause. It has no side effects.
	CheckConfig(changed []distribution.Resource) error
	// Configure activates a configuration that has passed CheckConfig: it is used from when
	// Configure returns. If it fails all the same, the error is reported and the configuration
	// before stays active.
	Configure(*distribution.ActiveConfig) error
}

// Follower keeps the configuration of an ingress up to date.
type Follower struct {
	cfg          Config
	log          *slog.Logger
	ingress      Ingress
	core         *distribution.Follower
	store        *store
	http         *http.Client
	startedAt    time.Time
	events       chan func()
	disconnected bool   // the log last said that no coordinator answers
	lastWarning  string // the last warning logged: it is not repeated until another version is activated
}

// New reads the stored configuration, activates it in the ingress, which does not run yet, and
// returns before any coordinator is polled. Errors of the folder are logged and reported to the
// coordinators.
func New(cfg Config, ingress Ingress, log *slog.Logger) *Follower {
	return NewWithClient(cfg, ingress, log, rolloutlink.NewHTTPClient(cfg.PollTimeout()))
}

// NewWithClient is New with an HTTP client of the caller.
func NewWithClient(cfg Config, ingress Ingress, log *slog.Logger, client *http.Client) *Follower {
	f := &Follower{cfg: cfg, log: log.With("follower", cfg.Name), ingress: ingress, http: client,
		startedAt: time.Now(), events: make(chan func(), 1)}
	store, stored, err := openStore(cfg.Dir)
	if err != nil {
		f.warn("reading the stored configuration failed", err)
	}
	f.store = store
	incarnation := uint64(f.startedAt.UnixNano())
	config := distribution.FollowerConfig{Name: cfg.Name, Region: cfg.Region, Incarnation: incarnation, Coordinators: len(cfg.Coordinators),
		PollTimeout: cfg.PollTimeout(), Check: ingress.CheckConfig}
	if f.core, err = distribution.NewFollower(config, stored, incarnation, 0); err != nil {
		f.warn("the stored configuration is not used", err)
	}
	if active := f.core.Active(); active.Version > 0 {
		if err := ingress.Configure(active); err != nil {
			f.warn("the stored configuration is not used", err)
			f.core, _ = distribution.NewFollower(config, nil, incarnation, 0) // can't fail without a stored configuration
		} else {
			f.log.Info("configured by what was kept", "in_force", active.Describe())
		}
	}
	return f
}

// warn logs a warning, unless it is the same as the last one.
func (f *Follower) warn(message string, err error) {
	text := message + ": " + err.Error()
	if text == f.lastWarning {
		return
	}
	f.lastWarning = text
	args := []any{"error", err}
	var fault distribution.Fault
	if errors.As(err, &fault) {
		args = append(args, "remedy", fault.Remedy())
	}
	f.log.Warn(message, args...)
}

func (f *Follower) now() time.Duration { return time.Since(f.startedAt) }

// Run keeps the running ingress up to date until ctx ends.
func (f *Follower) Run(ctx context.Context, ingress Ingress) {
	f.ingress = ingress
	defer f.store.close()
	defer f.http.CloseIdleConnections()
	for {
		var due <-chan time.Time
		var timer *time.Timer
		if at, ok := f.core.Next(); ok {
			timer = time.NewTimer(at - f.now())
			due = timer.C
		}
		select {
		case <-ctx.Done():
		case handle := <-f.events:
			handle()
		case <-due:
			if request := f.core.Tick(f.now()); request != nil {
				go f.poll(ctx, *request)
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
			f.log.Warn("no coordinator answers; the active configuration stays in use", "in_force", u.Describe(),
				"since", f.startedAt.Add(f.core.LastReply()))
		}
	}
}

// poll sends one poll, and passes its result to the follower's goroutine.
func (f *Follower) poll(ctx context.Context, request distribution.PollRequest) {
	callCtx, cancel := context.WithTimeout(ctx, f.cfg.PollTimeout())
	defer cancel()
	var reply distribution.Reply
	leader, err := rolloutlink.Call(callCtx, f.http, http.MethodPost, f.cfg.Coordinators[request.Coordinator],
		rolloutlink.PathConfigPoll, request.Poll, &reply, rolloutlink.MaxConfigBytes)
	handle := func() { f.handleReply(request, reply) }
	if err != nil {
		handle = func() { f.handleFailure(request, leader, err) }
	}
	select {
	case f.events <- handle:
	case <-ctx.Done():
	}
}

func (f *Follower) handleFailure(request distribution.PollRequest, leader string, err error) {
	var remote *rollout.RemoteError
	if errors.As(err, &remote) && remote.Kind != "NotLeader" {
		f.warn("a coordinator rejected the poll", remote)
	}
	f.core.Failed(f.now(), request.Poll.Number, slices.Index(f.cfg.Coordinators, leader))
}

func (f *Follower) handleReply(request distribution.PollRequest, reply distribution.Reply) {
	previous := f.core.Active()
	oldVersion := previous.Version
	update, err := f.core.Replied(f.now(), request.Poll.Number, reply)
	if f.disconnected && f.core.LastReply() > f.now()-maxSilence {
		f.disconnected = false
		f.log.Info("a coordinator answers again", "newest", reply.Newest)
	}
	if err != nil {
		f.warn("a version was rejected", err)
		return
	}
	if update == nil {
		return
	}
	storeErr := f.store.save(update)
	if storeErr != nil {
		f.warn("a version could not be stored", storeErr)
	}
	active := f.core.Saved(f.now(), storeErr)
	if active == nil {
		return
	}
	if err := f.ingress.Configure(active); err != nil {
		f.log.Error("activating a version failed although it had passed the check", "version", active.Version, "error", err)
		f.core.ActivationFailed(f.now(), err)
		return
	}
	f.core.Activated(f.now())
	if active.Version != oldVersion {
		f.lastWarning = ""
		f.log.Info("version activated", "version", active.Version, "before", oldVersion, "settled", active.Settled)
	}
}
