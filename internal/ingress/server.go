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
	acceptAfterStop = 450 * time.Millisecond // clients connect for a while after SIGTERM
	lastRequests    = 50 * time.Millisecond  // for the first request on those that connected last
	lastAnswers     = 150 * time.Millisecond // to write what became due last
)

// Ingress is one ingress on a reactor: clients' connections, the gateway, and
// the connections to backends. Its methods belong to the reactor's goroutine.
type Ingress struct {
	cfg      *Config
	front    *front
	loop     *loop
	stopping bool          // the process is to end
	admin    *admin.Server // nil without a second address
	inbox    inbox         // of discovery
}

// New makes an ingress on a reactor's loop and opens its address. It takes
// clients once Asked was called and backends are known.
func New(cfg Config, on *reactor.Loop) (*Ingress, error) {
	l, err := newLoop(&cfg, on)
	if err != nil {
		return nil, err
	}
	f, err := newFront(&cfg, l)
	if err != nil {
		return nil, err
	}
	i := &Ingress{cfg: &cfg, front: f, loop: l}
	if cfg.Admin != "" {
		if i.admin, err = admin.Listen(on, cfg.Admin, cfg.Limits.maxAdminConns(), i); err != nil {
			return nil, err
		}
	}
	return i, nil
}

// Addr is the address on which clients are served.
func (i *Ingress) Addr() string { return i.front.ln.Address() }

// UpdateMembers takes what discovery tells: the whole list, or changes to it.
func (i *Ingress) UpdateMembers(m MemberList) {
	kind := choice.Delta
	if m.Complete {
		kind = choice.Full
	}
	i.loop.updateMembers(kind, m)
}

// enqueueMembers takes what discovery tells, from any goroutine.
func (i *Ingress) enqueueMembers(m MemberList) {
	if i.inbox.put(m) {
		i.loop.Post(func() {
			for _, m := range i.inbox.take() {
				i.UpdateMembers(m)
			}
		})
	}
}

// DiscoveryQueried tells that discovery was asked for the list, whether or not it answered.
func (i *Ingress) DiscoveryQueried() { i.loop.markAsked() }

// Drain closes each connection as soon as it has nothing open. New ones are
// taken still, until CloseListener.
func (i *Ingress) Drain() {
	i.stopping = true
	i.loop.events.shutdownPhase("drain")
	i.front.drain()
}

// CloseListener ends the taking of connections.
func (i *Ingress) CloseListener() {
	i.loop.events.shutdownPhase("close listener")
	i.front.closeListener()
}

// Finish ends the taking of requests, on all connections.
func (i *Ingress) Finish() {
	i.loop.events.shutdownPhase("finish")
	i.front.finish()
}

// TakesClients tells whether this process takes clients.
func (i *Ingress) TakesClients() bool { return i.loop.ready && !i.front.draining && i.front.ln != nil }

// Standby empties the ingress until Active: each connection closes as soon as it
// has nothing open, and PING is answered with an error. What comes meanwhile, on
// connections that are open or new, is served.
func (i *Ingress) Standby() {
	if !i.stopping {
		i.front.drain()
	}
}

// Active ends a Standby; not the drain at the end of the process.
func (i *Ingress) Active() {
	if !i.stopping {
		i.front.resume()
	}
}

// OutOfDescriptors notes that a caller of the second address waits for a descriptor.
func (i *Ingress) OutOfDescriptors() { i.loop.OutOfDescriptors() }

// Usage is what an ingress holds.
type Usage struct {
	Clients, Backends int   // connections
	Requests          int   // that have no final answer, or an attempt out
	Memory            int64 // bytes for clients
}

// Usage tells what it holds now.
func (i *Ingress) Usage() Usage {
	return Usage{Clients: len(i.front.clients), Backends: i.loop.pool.Open(), Requests: len(i.loop.requests), Memory: i.loop.memory.used}
}

// AwaitHandover keeps the ingress from taking clients until Begin: another process of it
// does so still. It is called before the reactor runs.
func (i *Ingress) AwaitHandover() { i.front.onHold = true }

// TakeOver ends a Hold. What that process has drawn on ceilings until now is not
// drawn once more.
func (i *Ingress) TakeOver() {
	i.loop.gateway.PredecessorStopped(i.loop.Now())
	i.front.onHold = false
}

// Server is one running ingress, on sockets.
type Server struct {
	*Ingress
	addr               string
	sockets            *reactor.Sockets
	handover           *handover.Lock // to take clients; nil where no other process of this ingress can be
	waitForLateClients func()         // waits while clients still come after the stop

	sources        *sources
	discoveryAddrs chan string // addresses of discovery to move to
	background     []func(context.Context)
}

// Listen makes an ingress and opens its address.
func Listen(cfg Config) (*Server, error) {
	world, err := reactor.NewSockets()
	if err != nil {
		return nil, err
	}
	i, err := New(cfg, reactor.New(world))
	if err != nil {
		world.Close()
		return nil, err
	}
	var lock *handover.Lock
	if cfg.HandoverDir != "" {
		// Without it, both processes take clients for a moment.
		if lock, err = handover.Open(cfg.HandoverDir); err != nil {
			slog.Warn("clients are taken beside the process before", "error", err)
		} else {
			i.AwaitHandover()
		}
	}
	return &Server{Ingress: i, handover: lock, addr: i.Addr(), sockets: world,
		waitForLateClients: func() { time.Sleep(acceptAfterStop) }, discoveryAddrs: make(chan string),
		sources: newSources(i.enqueueMembers)}, nil
}

// Reload takes what may change while the ingress runs: the address of
// discovery. All connections and all that is known stay.
func (s *Server) Reload(cfg Config) {
	select {
	case s.discoveryAddrs <- cfg.Discovery:
	case <-s.loop.Done():
	}
}

// Addr is the address on which clients are served.
func (s *Server) Addr() string { return s.addr }

// Serve runs the ingress until ctx ends. It then goes on accepting for the
// time in which clients still come, answers all that it has taken, closes each
// connection between requests, and returns. A platform kills it no sooner than the
// longest deadline and 700 ms later, so what is taken until acceptAfterStop and
// lastRequests are over has its whole deadline.
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
		go func() {
			if err := s.handover.Acquire(); err != nil {
				slog.Warn("clients are taken beside the process before", "error", err)
			}
			s.loop.Post(s.TakeOver)
		}()
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
	if s.handover != nil {
		_ = s.handover.Release() // Close, deferred above, gives it up at the latest
	}
	select {
	case <-empty:
		return nil
	case <-time.After(lastRequests):
	}
	s.loop.Do(s.Finish)
	select {
	case <-empty:
	case <-time.After(longest + lastAnswers):
		s.loop.Do(func() { s.loop.recordViolation(lifecycle.CheckExit(s.loop.figures.open), nil) })
	}
	return nil
}
