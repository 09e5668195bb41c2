// Package coordinator runs rollout/replica: its disk, its links, its clock. All
// decisions are there; this is a thin shell, in which one goroutine owns the replica.
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
	mostConns   = 8192 // at once: 480 ingresses that ask besides 4,680 agents, and as much again
	mostWaiting = 2048 // calls for the one goroutine
	mostQueued  = 256  // messages for one other coordinator; what is more is dropped, as networks do
	callTime    = 5 * time.Second
	pollTime    = 4 * time.Second // beyond the time for which questions are held
	orderTime   = 10 * time.Second
	compact     = 5000 // entries
)

// Server is one coordinator.
type Server struct {
	cfg     Config
	log     *slog.Logger
	ln      net.Listener
	disk    *Disk
	replica *replica.Replica
	began   time.Time
	work    chan func()
	ended   chan struct{}
	peers   map[uint64]*peer
	http    *http.Client
	encoded encoded
}

// peer is the way to one other coordinator.
type peer struct {
	address string
	queue   chan []byte
	stop    context.CancelFunc
}

// Init makes the disk of a founding coordinator.
func Init(cfg Config) error {
	addresses := map[uint64]string{}
	for _, p := range cfg.Peers {
		addresses[p.ID] = p.Address
	}
	if addresses[cfg.ID] == "" {
		return &rollout.BadRequest{What: fmt.Sprintf("coordinator %d is none of the founding set", cfg.ID)}
	}
	stored, err := replica.Founding(addresses)
	if err != nil {
		return err
	}
	return Create(cfg.Dir, cfg.ID, stored)
}

// Listen opens the address and the disk. With join, an empty folder is one of a new
// coordinator that is to take another's place.
func Listen(cfg Config, join bool, seed uint64, log *slog.Logger) (*Server, error) {
	s := &Server{cfg: cfg, log: log, began: time.Now(), work: make(chan func(), mostWaiting), ended: make(chan struct{}), peers: map[uint64]*peer{},
		http: rolloutlink.NewHTTP(2 * time.Second)}
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
		Tick: cfg.Times.tick(), Election: 10, Compact: compact, Decide: cfg.Times.decide()}, stored, s.disk, seed, s.now())
	if err == nil {
		s.ln, err = net.Listen("tcp", cfg.Listen)
	}
	if err != nil {
		_ = s.disk.Close()
		return nil, err
	}
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// now is the coordinator's clock: monotonic, and not set by anyone.
func (s *Server) now() time.Duration { return time.Since(s.began) }

// Serve runs until ctx ends, or the coordinator has to stop; then the error says why.
func (s *Server) Serve(ctx context.Context) error {
	defer func() { _ = s.disk.Close() }() // each write was synced as it was made
	server := &http.Server{Handler: s.routes(), ReadHeaderTimeout: callTime, ReadTimeout: 2 * callTime, WriteTimeout: orderTime + callTime,
		IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)}
	served := make(chan struct{})
	go func() { _ = server.Serve(netutil.LimitListener(s.ln, mostConns)); close(served) }()
	ctx, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	err := s.run(ctx, &all)
	stop()
	close(s.ended)
	_ = server.Close()
	<-served
	all.Wait()
	return err
}

// run is the goroutine that owns the replica.
func (s *Server) run(ctx context.Context, all *sync.WaitGroup) error {
	ticker := time.NewTicker(s.cfg.Times.tick())
	defer ticker.Stop()
	leads, led := uint64(0), false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			_ = s.replica.Tick(s.now()) // kept for Err, below
		case f := <-s.work:
			f()
		}
		if err := s.replica.Err(); err != nil {
			return err
		}
		for _, m := range s.replica.Take() {
			s.send(ctx, all, m)
		}
		if l, is := s.replica.Leads(), s.replica.Leading(); l != leads || is != led {
			leads, led = l, is
			s.log.Info("leader", "coordinator", s.cfg.ID, "leads", leads, "here", led, "term", s.replica.Term())
		}
	}
}

// send puts a message on its way, on a goroutine and a connection of its peer's own.
func (s *Server) send(ctx context.Context, all *sync.WaitGroup, m replica.Message) {
	address := s.replica.Peers()[m.To]
	for _, p := range s.cfg.Peers {
		// One that joins has no log yet to find the others by, and its vote may be wanted
		// before it has one.
		if address == "" && p.ID == m.To {
			address = p.Address
		}
	}
	if address == "" {
		return
	}
	p := s.peers[m.To]
	if p != nil && p.address != address {
		p.stop()
		p = nil
	}
	if p == nil {
		peerCtx, stop := context.WithCancel(ctx)
		p = &peer{address: address, queue: make(chan []byte, mostQueued), stop: stop}
		s.peers[m.To] = p
		all.Go(func() { p.carry(peerCtx, s.http) })
	}
	select {
	case p.queue <- m.Data:
	default:
	}
}

func (p *peer) carry(ctx context.Context, c *http.Client) {
	for {
		var batch rolloutlink.Raft
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			batch.Messages = append(batch.Messages, m)
		}
		size := len(batch.Messages[0])
	more:
		for size < rolloutlink.MostRaft/4 {
			select {
			case m := <-p.queue:
				batch.Messages = append(batch.Messages, m)
				size += len(m)
			default:
				break more
			}
		}
		// What is lost is sent again by the library.
		_, _ = rolloutlink.Call(ctx, c, http.MethodPost, p.address, rolloutlink.PathRaft, batch, nil, rolloutlink.MostReport)
	}
}

// do has f run on the replica's goroutine and waits until it has called done, or ctx ends.
func (s *Server) do(ctx context.Context, f func(done func(error))) error {
	result := make(chan error, 1)
	done := func(err error) {
		select {
		case result <- err:
		default:
		}
	}
	select {
	case s.work <- func() { f(done) }:
	default:
		return &Busy{mostWaiting}
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return &rollout.Undecided{Why: "it was not decided in time"}
	case <-s.ended:
		return &rollout.Undecided{Why: "this coordinator stops"}
	}
}

// handler answers a call: with what is to be its answer's body, or an error.
type handler func(ctx context.Context, body []byte) (any, error)

// decoded makes a handler of a function that takes the body as a value.
func decoded[T any](handle func(ctx context.Context, in T) (any, error)) handler {
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
	handle := func(pattern string, most int64, wait time.Duration, f handler) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
			if err != nil {
				s.answer(w, nil, &rollout.BadRequest{What: err.Error()})
				return
			}
			ctx, cancel := context.WithTimeout(r.Context(), wait)
			defer cancel()
			out, err := f(ctx, body)
			s.answer(w, out, err)
		})
	}
	handle("POST "+rolloutlink.PathReport, rolloutlink.MostReport, callTime, decoded(s.report))
	handle("POST "+rolloutlink.PathOrder, rolloutlink.MostOrder, orderTime, decoded(s.order))
	handle("POST "+rolloutlink.PathReplace, rolloutlink.MostOrder, callTime, decoded(s.replace))
	handle("GET "+rolloutlink.PathStatus, 0, callTime, s.status)
	handle("POST "+rolloutlink.PathConfigPoll, rolloutlink.MostReport, pollTime, decoded(s.configPoll))
	handle("POST "+rolloutlink.PathConfigOrder, rolloutlink.MostConfig, orderTime, decoded(s.configOrder))
	handle("GET "+rolloutlink.PathConfig, 0, callTime, s.config)
	handle("GET "+rolloutlink.PathConfigStatus, 0, callTime, s.configStatus)
	handle("POST "+rolloutlink.PathRaft, rolloutlink.MostRaft, callTime, decoded(s.raft))
	return mux
}

func (s *Server) report(ctx context.Context, report rollout.Report) (any, error) {
	var reply rollout.Reply
	err := s.do(ctx, func(done func(error)) {
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
	err := s.do(ctx, func(done func(error)) { s.replica.Order(s.now(), e, done) })
	s.log.Info("order", "by", e.By, "request", e.Request, "error", err)
	return struct{}{}, err
}

func (s *Server) replace(ctx context.Context, r rolloutlink.Replace) (any, error) {
	return struct{}{}, s.do(ctx, func(done func(error)) { done(s.replica.Replace(s.now(), r.Old, r.New, r.Address)) })
}

func (s *Server) status(ctx context.Context, _ []byte) (any, error) {
	var status json.RawMessage // made on the goroutine that owns what it tells of
	err := s.do(ctx, func(done func(error)) {
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
	err := s.do(ctx, func(done func(error)) {
		s.replica.Poll(s.now(), poll, func(r distribution.Reply, err error) { reply = r; done(err) })
	})
	if err != nil {
		return nil, err
	}
	return s.encoded.reply(reply)
}

func (s *Server) configOrder(ctx context.Context, e distribution.Entry) (any, error) {
	if err := e.CheckOperatorRequest(); err != nil {
		return nil, err
	}
	var made uint64
	err := s.do(ctx, func(done func(error)) {
		s.replica.Configure(s.now(), e, func(err error) {
			if c, failed := s.replica.Catalog(); failed == nil {
				made, _ = c.RequestVersion(e.Request)
			}
			done(err)
		})
	})
	s.log.Info("configuration", "by", e.By, "request", e.Request, "version", made, "error", err)
	return rolloutlink.Ordered{Version: made}, err
}

func (s *Server) config(ctx context.Context, _ []byte) (any, error) {
	var c rolloutlink.Config
	err := s.do(ctx, func(done func(error)) {
		catalog, err := s.replica.Catalog()
		if err == nil {
			c = rolloutlink.Config{State: distribution.State{Version: catalog.Version, Hash: catalog.Hash, Resources: catalog.Resources}, Oldest: catalog.Oldest()}
		}
		done(err)
	})
	return c, err
}

func (s *Server) configStatus(ctx context.Context, _ []byte) (any, error) {
	var status distribution.Status
	err := s.do(ctx, func(done func(error)) {
		var err error
		status, err = s.replica.ConfigStatus(s.now())
		done(err)
	})
	return status, err
}

// raft takes messages of other coordinators; all of them, and the last error.
func (s *Server) raft(ctx context.Context, batch rolloutlink.Raft) (any, error) {
	return struct{}{}, s.do(ctx, func(done func(error)) {
		var err error
		for _, m := range batch.Messages {
			if e := s.replica.Step(s.now(), m); e != nil {
				err = e
			}
		}
		done(err)
	})
}

func (s *Server) answer(w http.ResponseWriter, out any, err error) {
	code := http.StatusOK
	if err != nil {
		f := rolloutlink.Failure{Error: rollout.ToRemoteError(err)}
		switch f.Error.Kind {
		case "NotLeader":
			code = http.StatusMisdirectedRequest
			var not *rollout.NotLeader
			if errors.As(err, &not) {
				_ = s.do(context.Background(), func(done func(error)) { f.Leader = s.replica.Peers()[not.Leader]; done(nil) }) // stopped: no leader is named
			}
		case "BadRequest":
			code = http.StatusBadRequest
		case "Busy", "Undecided", "NoMajority":
			code = http.StatusServiceUnavailable
		default:
			code = http.StatusConflict
		}
		out = f
	}
	b, made := out.(rawJSON)
	if !made {
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
