package ingress

import (
	"context"
	"log/slog"
	"time"

	"wickarch/choice"
	"wickarch/internal/front/admin"
	"wickarch/internal/handover"
	"wickarch/internal/lifecycle"
	"wickarch/internal/reactor"
)

const (
	acceptAfterStop   = 450 * time.Millisecond // clients may still connect for a while after SIGTERM
	firstRequestGrace = 50 * time.Millisecond  // for the first request on the last connections
	finalAnswerGrace  = 150 * time.Millisecond // to write the last answers
)

// Ingress is one ingress on a reactor: client connections, the gateway, and
// connections to backends. Its methods must be called on the reactor's goroutine.
type Ingress struct {
	cfg      *Config
	front    *front
	loop     *loop
	stopping bool          // the process is shutting down
	admin    *admin.Server // nil without an admin address
	inbox    inbox         // updates from discovery
}

// New creates an ingress on a reactor loop and opens its addresses. It is ready for
// clients once DiscoveryQueried was called and backends are known.
func New(cfg Config, reactorLoop *reactor.Loop) (*Ingress, error) {
	l, err := newLoop(&cfg, reactorLoop)
	if err != nil {
		return nil, err
	}
	f, err := newFront(&cfg, l)
	if err != nil {
		return nil, err
	}
	i := &Ingress{cfg: &cfg, front: f, loop: l}
	if cfg.Admin != "" {
		if i.admin, err = admin.Listen(reactorLoop, cfg.Admin, cfg.Limits.maxAdminConns(), i); err != nil {
			return nil, err
		}
	}
	return i, nil
}

// Addr returns the address on which clients are served.
func (i *Ingress) Addr() string { return i.front.ln.Address() }

// UpdateMembers applies an update from discovery: the full list, or changes to it.
func (i *Ingress) UpdateMembers(m MemberList) {
	kind := choice.Delta
	if m.Complete {
		kind = choice.Full
	}
	i.loop.updateMembers(kind, m)
}

// enqueueMembers queues an update from discovery. It may be called from any goroutine.
func (i *Ingress) enqueueMembers(m MemberList) {
	if i.inbox.put(m) {
		i.loop.Post(func() {
			for _, m := range i.inbox.take() {
				i.UpdateMembers(m)
			}
		})
	}
}

// DiscoveryQueried records that discovery was asked for the list, whether or not it answered.
func (i *Ingress) DiscoveryQueried() { i.loop.markAsked() }

// Drain closes each connection as soon as no request is open on it. New connections
// are accepted until CloseListener.
func (i *Ingress) Drain() {
	i.stopping = true
	i.loop.events.shutdownPhase("drain")
	i.front.drain()
}

// CloseListener stops accepting connections.
func (i *Ingress) CloseListener() {
	i.loop.events.shutdownPhase("close listener")
	i.front.closeListener()
}

// Finish stops accepting requests, on all connections: those that arrive later are refused.
func (i *Ingress) Finish() {
	i.loop.events.shutdownPhase("finish")
	i.front.finish(true)
}

// HandOver is Finish for an ingress that another process of it continues. Requests that lie unread are refused, too:
// no request is accepted any more that is not among the ids that it returns.
func (i *Ingress) HandOver() (ids []uint64) {
	i.loop.events.shutdownPhase("hand over")
	i.front.finish(false)
	return i.loop.ids.all()
}

// EndConnections ends the connections of clients that still send. It is called once all accepted requests have
// been answered: the longest deadline after Finish.
func (i *Ingress) EndConnections() {
	i.loop.events.shutdownPhase("end connections")
	i.front.endConnections()
}

// TakesClients reports whether this process is ready for clients.
func (i *Ingress) TakesClients() bool { return i.loop.ready && !i.front.draining && i.front.ln != nil }

// Standby drains the ingress until Active: each connection is closed as soon as no
// request is open on it, and PING is answered with an error. Requests that arrive
// meanwhile, on open or new connections, are served.
func (i *Ingress) Standby() {
	if !i.stopping {
		i.front.drain()
	}
}

// Active ends Standby. It has no effect on the drain at shutdown.
func (i *Ingress) Active() {
	if !i.stopping {
		i.front.resume()
	}
}

// OutOfDescriptors records that a caller of the admin address waits for a descriptor.
func (i *Ingress) OutOfDescriptors() { i.loop.OutOfDescriptors() }

// Usage is the resources that an ingress holds.
type Usage struct {
	Clients, Backends int   // connections
	Requests          int   // without a final answer, or with an attempt in flight
	Memory            int64 // bytes held for clients
}

// Usage returns the resources held now.
func (i *Ingress) Usage() Usage {
	return Usage{Clients: len(i.front.clients), Backends: i.loop.pool.Open(), Requests: len(i.loop.requests), Memory: i.loop.memory.used}
}

// AwaitHandover keeps the ingress from accepting clients until TakeOver, while another
// process of the same ingress still serves them. It is called before the reactor runs.
func (i *Ingress) AwaitHandover() { i.front.onHold = true }

// TakeOver ends AwaitHandover. This process's shares of customers' ceilings fill only
// from now on, as the previous process may have spent those until now. ids are those of the
// requests that it has accepted: a request that comes with one of them may have run.
func (i *Ingress) TakeOver(ids []uint64) {
	i.loop.ids.addAll(ids, i.loop.Now())
	i.loop.gateway.PredecessorStopped(i.loop.Now())
	i.front.onHold = false
}

// Server is one running ingress on real sockets.
type Server struct {
	*Ingress
	addr               string
	sockets            *reactor.Sockets
	handover           *handover.Lock // held by the process that accepts clients; nil if no other process of this ingress can exist
	waitForLateClients func()         // waits while clients may still connect after the stop

	sources        *sources
	discoveryAddrs chan string // discovery addresses to switch to
	background     []func(context.Context)
}

// Listen creates an ingress and opens its addresses.
func Listen(cfg Config) (*Server, error) {
	sockets, err := reactor.NewSockets()
	if err != nil {
		return nil, err
	}
	i, err := New(cfg, reactor.New(sockets))
	if err != nil {
		sockets.Close()
		return nil, err
	}
	var lock *handover.Lock
	if cfg.HandoverDir != "" {
		// Without the lock, both processes accept clients for a moment.
		if lock, err = handover.Open(cfg.HandoverDir); err != nil {
			slog.Warn("handover lock failed; accepting clients beside the process before", "error", err)
		} else {
			i.AwaitHandover()
		}
	}
	return &Server{Ingress: i, handover: lock, addr: i.Addr(), sockets: sockets,
		waitForLateClients: func() { time.Sleep(acceptAfterStop) }, discoveryAddrs: make(chan string),
		sources: newSources(i.enqueueMembers)}, nil
}

// Reload applies what may change while the ingress runs: the discovery address.
// Connections and all other state are kept.
func (s *Server) Reload(cfg Config) {
	select {
	case s.discoveryAddrs <- cfg.Discovery:
	case <-s.loop.Done():
	}
}

// Addr returns the address on which clients are served.
func (s *Server) Addr() string { return s.addr }

// Serve runs the ingress until ctx ends. It then keeps accepting connections for as
// long as clients may still connect, answers all accepted requests, closes each
// connection between requests, and returns. The platform kills the process no sooner
// than the longest deadline plus 700 ms after the stop, so requests accepted within
// acceptAfterStop and firstRequestGrace have their full deadline.
func (s *Server) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	empty := s.front.empty
	go func() { failed <- s.loop.Run() }()
	for _, run := range s.background {
		go run(ctx)
	}
	defer s.sockets.Close()
	if s.handover != nil {
		defer s.handover.Close()
		go s.awaitHandover()
	}
	defer func() {
		s.loop.Post(s.loop.Stop)
		<-s.loop.Done()
	}()
	defer s.sources.close()
	s.sources.follow(s.cfg.Discovery, func() { s.loop.Post(s.DiscoveryQueried) })
	go func() {
		for {
			select {
			case addr := <-s.discoveryAddrs:
				s.sources.follow(addr, nil)
			case <-s.loop.Done():
				return
			}
		}
	}()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}

	longest := time.Duration(0)
	for _, c := range s.cfg.Choice.Classes {
		longest = max(longest, c.Deadline)
	}
	s.loop.Do(s.Drain)
	if s.handover == nil || !s.handover.Contended() {
		s.waitForLateClients()
	}
	s.loop.Do(s.CloseListener)
	select {
	case <-empty:
	case <-time.After(firstRequestGrace):
	}
	if s.handover != nil {
		s.releaseHandover()
	} else {
		s.loop.Do(s.Finish)
	}
	select {
	case <-empty:
		return nil
	case <-time.After(longest):
	}
	s.loop.Do(s.EndConnections)
	select {
	case <-empty:
	case <-time.After(finalAnswerGrace):
		s.loop.Do(func() { s.loop.recordViolation(lifecycle.CheckExit(s.loop.metrics.open), nil) })
	}
	return nil
}

// awaitHandover waits until the process before has stopped, and takes over from it.
func (s *Server) awaitHandover() {
	if err := s.handover.Acquire(); err != nil {
		slog.Warn("handover lock failed; accepting clients beside the process before", "error", err)
	}
	ids, err := s.handover.TakeIDs()
	if err != nil {
		slog.Warn("the request ids of the process before are unknown; a copy of its requests may run again", "error", err)
	}
	s.loop.Post(func() { s.TakeOver(ids) })
}

// releaseHandover stops accepting requests, and lets the next process begin.
func (s *Server) releaseHandover() {
	var ids []uint64
	s.loop.Do(func() { ids = s.HandOver() })
	if err := s.handover.WriteIDs(ids); err != nil {
		slog.Warn("the next process will not know the ids of this one's requests", "error", err)
	}
	_ = s.handover.Release() // Close releases it at the latest
}
