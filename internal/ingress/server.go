package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"curlewsail/choice"
)

const (
	acceptAfterStop = 450 * time.Millisecond // clients connect for a while after SIGTERM
	lastAnswers     = 150 * time.Millisecond // to write what became due last
	acceptRetry     = 5 * time.Millisecond
	spareShare      = 16                     // of the places for clients, so many are kept free
	idleLeast       = 2 * time.Second        // a connection that has asked may be closed when idle for so long
	silentLeast     = 250 * time.Millisecond // and one that has not when it is so old
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
	leaving  int           // clients that were closed to make room and are not gone yet
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
	return &Server{cfg: &cfg, ln: ln, loop: l, clients: map[*client]struct{}{}, empty: make(chan struct{}),
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
		// With no room even so, the next ones wait in the listener's queue: to
		// turn them away would hit usual clients as well.
		for !s.room() {
			time.Sleep(acceptRetry)
		}
		if !s.add(nc) {
			nc.Close()
		}
	}
}

// room makes room for a further connection. Near the limit it closes the one
// that matters least: first those that have never asked for anything, then the
// one that has been idle for longest. One with a request open stays.
func (s *Server) room() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := s.cfg.Limits.clients()
	if s.stopping || len(s.clients)-s.leaving < most-most/spareShare {
		return true
	}
	var least *client
	var rank standing
	now := time.Now()
	for c := range s.clients {
		if r, closable := c.standing(now); closable && (least == nil || r.before(rank)) {
			least, rank = c, r
		}
	}
	if least != nil {
		least.evict()
		s.leaving++
	}
	return len(s.clients) < most
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
	go c.read()
	return true
}

func (s *Server) remove(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
	if c.evicted {
		s.leaving--
	}
	s.checkEmpty()
}
