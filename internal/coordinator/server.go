// Package coordinator runs a replica (rollout/replica) with its disk, its network links and its clock.
// The replica makes all decisions; here one goroutine owns it and does the I/O.
package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"wickarch/distribution"
	"wickarch/internal/rolloutlink"
	"wickarch/rollout"
	"wickarch/rollout/replica"
)

const (
	maxConns          = 8192 // for 480 polling ingresses and 4,680 agents, with spare; with 4,096, 587 agents never got through
	maxPendingCalls   = 2048 // calls waiting for the goroutine that owns the replica
	maxQueuedMessages = 256  // messages to one coordinator; more are dropped, as a network would
	callTimeout       = 5 * time.Second
	pollTimeout       = 4 * time.Second // longer than the replica holds a poll
	orderTimeout      = 10 * time.Second
	compactAfter      = 5000 // log entries
)

// Server is one coordinator.
type Server struct {
	cfg     Config
	log     *slog.Logger
	ln      net.Listener
	disk    *Disk
	replica *replica.Replica
	started time.Time
	calls   chan func()   // run on the goroutine that owns the replica
	stopped chan struct{} // closed when that goroutine has returned
	peers   map[uint64]*peer
	http    *http.Client
	replies replyEncoder
}

// peer is the link to another coordinator.
type peer struct {
	address string
	queue   chan []byte
	cancel  context.CancelFunc
}

// Init creates the disk of a coordinator of the initial set.
func Init(cfg Config) error {
	addresses := map[uint64]string{}
	for _, p := range cfg.Peers {
		addresses[p.ID] = p.Address
	}
	if addresses[cfg.ID] == "" {
		return &rollout.BadRequest{What: fmt.Sprintf("coordinator %d is not in the initial set", cfg.ID)}
	}
	stored, err := replica.Bootstrap(addresses)
	if err != nil {
		return err
	}
	return Create(cfg.Dir, cfg.ID, stored)
}

// Listen opens the address and the disk. With join, an empty directory is accepted: it is that
// of a new coordinator that will replace another one.
func Listen(cfg Config, join bool, seed uint64, log *slog.Logger) (*Server, error) {
	s := &Server{cfg: cfg, log: log, started: time.Now(), calls: make(chan func(), maxPendingCalls),
		stopped: make(chan struct{}), peers: map[uint64]*peer{}, http: rolloutlink.NewHTTPClient(2 * time.Second)}
	var stored replica.Stored
	var err error
	s.disk, stored, err = Open(cfg.Dir, cfg.ID)
	var empty *EmptyDisk
	if join && errors.As(err, &empty) {
		if err = Create(cfg.Dir, cfg.ID, replica.Stored{}); err == nil {
			s.disk, stored, err = Open(cfg.Dir, cfg.ID)
		}
	}
	if err != nil {
		return nil, err
	}
	s.replica, err = replica.New(replica.Config{ID: cfg.ID, Rollout: rollout.Config{Budgets: cfg.Budget, Timing: cfg.Times.Timing()},
		TickInterval: cfg.Times.tickInterval(), ElectionTicks: 10, CompactAfter: compactAfter, DecideInterval: cfg.Times.decideInterval()},
		stored, s.disk, seed, s.now())
	if err == nil {
		s.ln, err = net.Listen("tcp", cfg.Listen)
	}
	if err != nil {
		_ = s.disk.Close()
		return nil, err
	}
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// now returns the time since the start, from the monotonic clock: changes of the system time have no effect.
func (s *Server) now() time.Duration { return time.Since(s.started) }

// Serve runs until ctx is done, or until the coordinator has to stop, which it returns as an error.
func (s *Server) Serve(ctx context.Context) error {
	defer func() { _ = s.disk.Close() }() // each write has been synced already
	server := &http.Server{Handler: s.routes(), ReadHeaderTimeout: callTimeout, ReadTimeout: 2 * callTimeout,
		WriteTimeout: orderTimeout + callTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)}
	served := make(chan struct{})
	go func() { _ = server.Serve(netutil.LimitListener(s.ln, maxConns)); close(served) }()
	ctx, cancel := context.WithCancel(ctx)
	var senders sync.WaitGroup
	err := s.run(ctx, &senders)
	cancel()
	close(s.stopped)
	_ = server.Close()
	<-served
	senders.Wait()
	return err
}

// run is the goroutine that owns the replica.
func (s *Server) run(ctx context.Context, senders *sync.WaitGroup) error {
	ticker := time.NewTicker(s.cfg.Times.tickInterval())
	defer ticker.Stop()
	leaderID, isLeader := uint64(0), false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			_ = s.replica.Tick(s.now()) // the replica keeps the error, see Err below
		case call := <-s.calls:
			call()
		}
		if err := s.replica.Err(); err != nil {
			return err
		}
		for _, m := range s.replica.TakeMessages() {
			s.send(ctx, senders, m)
		}
		if newID, isNow := s.replica.LeaderID(), s.replica.IsLeader(); newID != leaderID || isNow != isLeader {
			leaderID, isLeader = newID, isNow
			s.log.Info("leader", "coordinator", s.cfg.ID, "leads", leaderID, "here", isLeader, "term", s.replica.Term())
		}
	}
}

// send queues a message for its receiver. Each peer has its own goroutine and its own connection.
func (s *Server) send(ctx context.Context, senders *sync.WaitGroup, m replica.Message) {
	address := s.replica.Peers()[m.To]
	for _, p := range s.cfg.Peers {
		// A joining coordinator has no log yet that holds the others' addresses, and its vote may
		// be needed before it has one.
		if address == "" && p.ID == m.To {
			address = p.Address
		}
	}
	if address == "" {
		return
	}
	p := s.peers[m.To]
	if p != nil && p.address != address {
		p.cancel()
		p = nil
	}
	if p == nil {
		peerCtx, cancel := context.WithCancel(ctx)
		p = &peer{address: address, queue: make(chan []byte, maxQueuedMessages), cancel: cancel}
		s.peers[m.To] = p
		senders.Go(func() { p.sendQueued(peerCtx, s.http) })
	}
	select {
	case p.queue <- m.Data:
	default:
	}
}

// sendQueued sends the queued messages in batches until ctx is done.
func (p *peer) sendQueued(ctx context.Context, c *http.Client) {
	for {
		var batch rolloutlink.RaftMessages
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			batch.Messages = append(batch.Messages, m)
		}
		size := len(batch.Messages[0])
	more:
		for size < rolloutlink.MaxRaftBytes/4 {
			select {
			case m := <-p.queue:
				batch.Messages = append(batch.Messages, m)
				size += len(m)
			default:
				break more
			}
		}
		// The raft library sends lost messages again.
		_, _ = rolloutlink.Call(ctx, c, http.MethodPost, p.address, rolloutlink.PathRaft, batch, nil, rolloutlink.MaxReportBytes)
	}
}

// callReplica runs f on the goroutine that owns the replica and waits until f has called done or ctx is done.
// It returns *Busy at once if too many calls are pending.
func (s *Server) callReplica(ctx context.Context, f func(done func(error))) error {
	result := make(chan error, 1)
	done := func(err error) {
		select {
		case result <- err:
		default:
		}
	}
	select {
	case s.calls <- func() { f(done) }:
	default:
		return &Busy{maxPendingCalls}
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return &rollout.Undecided{Why: "no decision within the timeout"}
	case <-s.stopped:
		return &rollout.Undecided{Why: "this coordinator is stopping"}
	}
}

// handler handles a call. It returns the response body, or an error.
type handler func(ctx context.Context, body []byte) (any, error)

// jsonHandler returns a handler that decodes the body as JSON and passes the value to handle.
func jsonHandler[T any](handle func(ctx context.Context, in T) (any, error)) handler {
	return func(ctx context.Context, body []byte) (any, error) {
		var in T
		if err := json.Unmarshal(body, &in); err != nil {
			return nil, &rollout.BadRequest{What: err.Error()}
		}
		return handle(ctx, in)
	}
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, maxBytes int64, timeout time.Duration, serve handler) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
			if err != nil {
				s.respond(w, nil, &rollout.BadRequest{What: err.Error()})
				return
			}
			ctx, cancel := context.WithTimeout(r.Context(), timeout)
			defer cancel()
			out, err := serve(ctx, body)
			s.respond(w, out, err)
		})
	}
	handle("POST "+rolloutlink.PathReport, rolloutlink.MaxReportBytes, callTimeout, jsonHandler(s.report))
	handle("POST "+rolloutlink.PathOrder, rolloutlink.MaxOrderBytes, orderTimeout, jsonHandler(s.order))
	handle("POST "+rolloutlink.PathReplace, rolloutlink.MaxOrderBytes, callTimeout, jsonHandler(s.replace))
	handle("GET "+rolloutlink.PathStatus, 0, callTimeout, s.status)
	handle("POST "+rolloutlink.PathConfigPoll, rolloutlink.MaxReportBytes, pollTimeout, jsonHandler(s.configPoll))
	handle("POST "+rolloutlink.PathConfigOrder, rolloutlink.MaxConfigBytes, orderTimeout, jsonHandler(s.configOrder))
	handle("GET "+rolloutlink.PathConfig, 0, callTimeout, s.config)
	handle("GET "+rolloutlink.PathConfigStatus, 0, callTimeout, s.configStatus)
	handle("POST "+rolloutlink.PathRaft, rolloutlink.MaxRaftBytes, callTimeout, jsonHandler(s.raft))
	return mux
}

func (s *Server) report(ctx context.Context, report rollout.Report) (any, error) {
	var reply rollout.Reply
	err := s.callReplica(ctx, func(done func(error)) {
		var err error
		reply, err = s.replica.Report(s.now(), report)
		done(err)
	})
	return reply, err
}

func (s *Server) order(ctx context.Context, e rollout.Entry) (any, error) {
	if err := e.CheckOrder(); err != nil {
		return nil, err
	}
	err := s.callReplica(ctx, func(done func(error)) { s.replica.Order(s.now(), e, done) })
	s.log.Info("order", "by", e.By, "request", e.Request, "error", err)
	return struct{}{}, err
}

func (s *Server) replace(ctx context.Context, r rolloutlink.Replace) (any, error) {
	return struct{}{}, s.callReplica(ctx, func(done func(error)) { done(s.replica.Replace(s.now(), r.Old, r.New, r.Address)) })
}

func (s *Server) status(ctx context.Context, _ []byte) (any, error) {
	var status json.RawMessage // encoded on the goroutine that owns the replica, as it refers to the replica's state
	err := s.callReplica(ctx, func(done func(error)) {
		st, err := s.replica.Status(s.now())
		if err == nil {
			status, err = json.Marshal(rolloutlink.Status{Status: st, Coordinator: s.cfg.ID, Coordinators: s.replica.Peers()})
		}
		done(err)
	})
	return status, err
}

func (s *Server) configPoll(ctx context.Context, poll distribution.Poll) (any, error) {
	var reply distribution.Reply
	err := s.callReplica(ctx, func(done func(error)) {
		s.replica.Poll(s.now(), poll, func(r distribution.Reply, err error) { reply = r; done(err) })
	})
	if err != nil {
		return nil, err
	}
	return s.replies.reply(reply)
}

func (s *Server) configOrder(ctx context.Context, e distribution.Entry) (any, error) {
	if err := e.CheckOperatorRequest(); err != nil {
		return nil, err
	}
	var version uint64
	err := s.callReplica(ctx, func(done func(error)) {
		s.replica.Configure(s.now(), e, func(err error) {
			if c, failed := s.replica.Catalog(); failed == nil {
				version, _ = c.RequestVersion(e.Request)
			}
			done(err)
		})
	})
	s.log.Info("configuration", "by", e.By, "request", e.Request, "version", version, "error", err)
	return rolloutlink.ConfigOrderReply{Version: version}, err
}

func (s *Server) config(ctx context.Context, _ []byte) (any, error) {
	var c rolloutlink.Config
	err := s.callReplica(ctx, func(done func(error)) {
		catalog, err := s.replica.Catalog()
		if err == nil {
			c = rolloutlink.Config{State: distribution.State{Version: catalog.Version, Hash: catalog.Hash, Resources: catalog.Resources},
				Oldest: catalog.Oldest()}
		}
		done(err)
	})
	return c, err
}

func (s *Server) configStatus(ctx context.Context, _ []byte) (any, error) {
	var status distribution.Status
	err := s.callReplica(ctx, func(done func(error)) {
		var err error
		status, err = s.replica.ConfigStatus(s.now())
		done(err)
	})
	return status, err
}

// raft passes the messages of another coordinator to the replica: all of them, whatever fails. It returns the last error.
func (s *Server) raft(ctx context.Context, batch rolloutlink.RaftMessages) (any, error) {
	return struct{}{}, s.callReplica(ctx, func(done func(error)) {
		var err error
		for _, m := range batch.Messages {
			if stepErr := s.replica.Step(s.now(), m); stepErr != nil {
				err = stepErr
			}
		}
		done(err)
	})
}

// respond writes the response: out, or err as a rolloutlink.ErrorReply.
func (s *Server) respond(w http.ResponseWriter, out any, err error) {
	code := http.StatusOK
	if err != nil {
		reply := rolloutlink.ErrorReply{Error: rollout.ToRemoteError(err)}
		switch reply.Error.Kind {
		case "NotLeader":
			code = http.StatusMisdirectedRequest
			var notLeader *rollout.NotLeader
			if errors.As(err, &notLeader) {
				// Fails if the server has stopped; then no leader is named.
				_ = s.callReplica(context.Background(), func(done func(error)) { reply.Leader = s.replica.Peers()[notLeader.Leader]; done(nil) })
			}
		case "BadRequest":
			code = http.StatusBadRequest
		case "Busy", "Undecided", "NoMajority":
			code = http.StatusServiceUnavailable
		default:
			code = http.StatusConflict
		}
		out = reply
	}
	b, encoded := out.(rawJSON)
	if !encoded {
		b, err = json.Marshal(out)
	} else {
		err = nil
	}
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	w.Write(b)
}
