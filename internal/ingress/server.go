package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"curlewsail/choice"
	"curlewsail/door"
)

const (
	acceptAfterStop = 450 * time.Millisecond // clients connect for a while after SIGTERM
	lastAnswers     = 150 * time.Millisecond // to write what became due last
	acceptRetry     = 5 * time.Millisecond
)

// Server is one running ingress.
type Server struct {
	cfg  *Config
	ln   net.Listener
	loop *loop
	late func() // waits while clients still come after the stop

	sources *sources
	moves   chan string // addresses of discovery to move to

	mu       sync.Mutex
	clients  map[*client]struct{}
	door     *door.Door[*client]
	waiting  bool          // a connection waits for a place
	tending  *time.Timer   // calls tend when the door next has something to close
	freed    chan struct{} // a place may be free
	draining bool          // connections close between requests
	stopping bool          // no further connection is taken
	empty    chan struct{} // closed when stopping and no client is left
}

// Listen makes an ingress and opens its address.
func Listen(cfg Config) (*Server, error) {
	l, err := newLoop(&cfg)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("clients: %w", err)
	}
	d, err := door.New[*client](cfg.Limits.marks())
	if err != nil {
		return nil, err
	}
	return &Server{cfg: &cfg, ln: ln, loop: l, clients: map[*client]struct{}{}, empty: make(chan struct{}),
		door: d, freed: make(chan struct{}, 1),
		late: func() { time.Sleep(acceptAfterStop) }, moves: make(chan string),
		sources: newSources(func(m memberList) {
			kind := choice.Delta
			if m.Complete {
				kind = choice.Full
			}
			l.post(func(l *loop) { l.members(kind, m) })
		})}, nil
}

// Reload takes what may change while the ingress runs: the address of
// discovery. All connections and all that is known stay.
func (s *Server) Reload(cfg Config) {
	select {
	case s.moves <- cfg.Discovery:
	case <-s.loop.done:
	}
}

// Addr is the address on which clients are served.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Serve runs the ingress until ctx ends. It then goes on accepting for the
// time in which clients still come, answers all that it has taken, closes each
// connection between requests, and returns.
func (s *Server) Serve(ctx context.Context) error {
	stop := make(chan struct{})
	defer func() { close(stop); <-s.loop.done }()
	go s.loop.run(stop)
	defer s.sources.close()
	s.sources.follow(s.cfg.Discovery, func() { s.loop.post((*loop).open) })
	go func() {
		for {
			select {
			case addr := <-s.moves:
				s.sources.follow(addr, nil)
			case <-s.loop.done:
				return
			}
		}
	}()
	failed := make(chan error, 1)
	go func() { failed <- s.accept() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}

	longest := time.Duration(0)
	for _, c := range s.cfg.Choice.Classes {
		longest = max(longest, c.Deadline)
	}
	s.drain()
	s.late()
	s.ln.Close()
	s.mu.Lock()
	s.stopping = true
	notify(s.freed)
	s.checkEmpty()
	s.mu.Unlock()
	s.drain()
	select {
	case <-s.empty:
	case <-time.After(longest + lastAnswers):
	}
	return nil
}

// drain makes each connection close as soon as it has nothing open.
func (s *Server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.clients {
		c.drain()
	}
}

func (s *Server) checkEmpty() {
	if s.stopping && len(s.clients) == 0 {
		select {
		case <-s.empty:
		default:
			close(s.empty)
		}
	}
}

func (s *Server) accept() error {
	for {
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, or a connection that broke at once
			time.Sleep(acceptRetry)
			continue
		}
		// With no room the next ones wait in the listener's queue: to turn them
		// away would hit usual clients as well.
		for !s.room() {
			<-s.freed
		}
		if !s.add(nc) {
			nc.Close()
		}
	}
}

// room tells whether a further connection may be taken, and lets the door make
// room for it otherwise.
func (s *Server) room() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = !s.stopping && !s.door.Room()
	s.tend()
	return !s.waiting
}

// tend closes the connections that the door names. s.mu is held.
func (s *Server) tend() {
	now := s.loop.now()
	s.door.Due(now, s.waiting, func(p *door.Place[*client]) { p.Owner.evict() })
	if at, any := s.door.Next(s.waiting); any {
		if s.tending == nil {
			s.tending = time.AfterFunc(at-now, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.tend()
			})
		} else {
			s.tending.Reset(max(0, at-now))
		}
	}
}

// standing tells the door whether a client has anything open.
func (s *Server) standing(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch open, asked := c.open(); {
	case open:
		s.door.Work(&c.place, asked)
	default:
		s.door.Rest(&c.place, s.loop.now())
	}
	s.tend()
}

// add serves a new connection.
func (s *Server) add(nc net.Conn) bool {
	c := newClient(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	c.drained = s.draining // closes after its first answer
	s.clients[c] = struct{}{}
	s.door.Enter(&c.place, s.loop.now())
	s.tend()
	go c.read()
	return true
}

func (s *Server) remove(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
	s.door.Leave(&c.place)
	s.tend()
	notify(s.freed)
	s.checkEmpty()
}
