package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"curlewsail/choice"
)

const (
	acceptAfterStop = 450 * time.Millisecond // clients connect for a while after SIGTERM
	lastAnswers     = 150 * time.Millisecond // to write what became due last
	writeTimeout    = 5 * time.Second        // a client that does not read its answers
	lingerTime      = 200 * time.Millisecond // to read what crosses the end of a connection
	mostPending     = 512                    // open requests on one connection
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
		if !s.add(nc) {
			nc.Close()
		}
	}
}

// add serves a new connection. Past the limit it closes the one that has been
// idle for longest.
func (s *Server) add(nc net.Conn) bool {
	c := &client{server: s, nc: nc, used: time.Now(), wake: make(chan struct{}, 1), space: make(chan struct{}, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	if len(s.clients) >= s.cfg.Limits.clients() {
		var oldest *client
		var used time.Time
		for o := range s.clients {
			if at, idle := o.idleSince(); idle && (oldest == nil || at.Before(used)) {
				oldest, used = o, at
			}
		}
		if oldest == nil {
			return false
		}
		oldest.drain()
	}
	c.drained = s.draining // closes after its first answer
	s.clients[c] = struct{}{}
	go c.read()
	go c.write()
	return true
}

func (s *Server) remove(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
	s.checkEmpty()
}

// slot is the place of one answer in the order of its connection.
type slot struct {
	request *request // nil for what needs no backend
	data    []byte
	filled  bool
}

// client is a client's connection. A reader takes commands off it and starts
// them at once; a writer sends the answers in the order of the commands.
type client struct {
	server *Server
	nc     net.Conn
	wake   chan struct{} // the writer has something to do
	space  chan struct{} // the reader may go on

	mu      sync.Mutex
	pending []*slot
	used    time.Time
	closing bool // takes no further command, and ends when all is answered
	drained bool // closes between requests
	gone    bool
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (c *client) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used, len(c.pending) == 0 && !c.closing && !c.drained
}

func (c *client) drain() {
	c.mu.Lock()
	c.drained = true
	c.mu.Unlock()
	notify(c.wake)
}

// fill gives a slot its answer. It does not block.
func (c *client) fill(s *slot, data []byte) {
	c.mu.Lock()
	s.data, s.filled = data, true
	first := len(c.pending) > 0 && c.pending[0] == s
	c.mu.Unlock()
	if first {
		notify(c.wake)
	}
}

// push appends a slot. It returns false if the connection takes no more: the
// command counts as not read, and the client sends it elsewhere.
func (c *client) push(s *slot) bool {
	for {
		c.mu.Lock()
		full := len(c.pending) >= mostPending && !c.gone
		closing := c.closing
		if !full && !closing {
			c.pending = append(c.pending, s)
		}
		c.mu.Unlock()
		if !full || closing {
			return !closing
		}
		<-c.space
	}
}

// abandoned returns the requests that still waited for an answer.
func (c *client) abandoned() (open []*request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.pending {
		if s.request != nil && !s.filled {
			open = append(open, s.request)
		}
	}
	c.pending = nil
	return open
}

// read takes commands until the client leaves.
func (c *client) read() {
	buf := make([]byte, 0, readBuffer)
	for {
		n, err := c.nc.Read(buf[len(buf):cap(buf)])
		if err != nil {
			break
		}
		at := time.Now()
		buf = buf[:len(buf)+n]
		rest, bad := c.commands(buf, at)
		if bad != nil {
			// What follows cannot be told apart any more.
			c.refuse(bad)
			c.mu.Lock()
			c.closing = true
			c.mu.Unlock()
			notify(c.wake)
			io.Copy(io.Discard, c.nc)
			break
		}
		switch {
		case len(rest) == 0 && cap(buf) > readBuffer:
			buf = make([]byte, 0, readBuffer)
		case len(rest) == cap(buf):
			buf = append(make([]byte, 0, 2*cap(buf)), rest...)
		default:
			buf = buf[:copy(buf[:cap(buf)], rest)]
		}
	}
	c.nc.Close()
	c.mu.Lock()
	c.gone = true
	c.mu.Unlock()
	notify(c.wake)
	c.server.loop.post(func(l *loop) { l.gone(c) })
	c.server.remove(c)
}

// commands starts all whole commands in buf and returns what is left.
func (c *client) commands(buf []byte, at time.Time) (rest []byte, err error) {
	for len(buf) > 0 {
		args, n, err := nextCommand(buf)
		if err != nil || n == 0 {
			return buf, err
		}
		buf = buf[n:]
		if len(args) > 0 { // an empty array asks for nothing
			c.command(args, n, at)
		}
	}
	return nil, nil
}

func (c *client) command(args [][]byte, size int, at time.Time) {
	if equalFold(args[0], "PING") {
		answer := redcon.AppendString(nil, "PONG")
		if !c.server.loop.ready.Load() {
			answer = redcon.AppendError(nil, "ERR no backend is known")
		}
		c.reply(answer)
		return
	}
	cmd, err := c.server.cfg.parseCommand(own(args, size))
	if err != nil {
		c.refuse(err)
		return
	}
	limit := min(cmd.limit, c.server.cfg.Choice.Classes[cmd.class].Deadline)
	r := &request{command: cmd, size: size, from: c, deadline: at.Add(limit - min(answerMargin, limit/marginPart))}
	r.slot = &slot{request: r}
	if c.push(r.slot) {
		c.server.loop.post(func(l *loop) { l.request(r) })
	}
}

// own copies the parts out of the read buffer.
func own(args [][]byte, size int) [][]byte {
	block := make([]byte, 0, size)
	for i, a := range args {
		at := len(block)
		block = append(block, a...)
		args[i] = block[at:len(block):len(block)]
	}
	return args
}

func (c *client) reply(data []byte) {
	if c.push(&slot{data: data, filled: true}) {
		notify(c.wake)
	}
}

// refuse answers what is no valid request.
func (c *client) refuse(err error) { c.reply(redcon.AppendError(nil, "ERR "+err.Error())) }

// write sends the answers in order.
func (c *client) write() {
	var out []byte
	for range c.wake {
		c.mu.Lock()
		out = out[:0]
		n := 0
		for n < len(c.pending) && c.pending[n].filled {
			out = append(out, c.pending[n].data...)
			n++
		}
		c.pending = c.pending[n:]
		if n > 0 {
			c.used = time.Now()
		}
		empty := len(c.pending) == 0
		if empty {
			c.pending = nil
			c.closing = c.closing || c.drained
		}
		last, gone := empty && c.closing, c.gone
		c.mu.Unlock()
		notify(c.space)
		if gone {
			return
		}
		if len(out) > 0 {
			c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.nc.Write(out); err != nil {
				c.nc.Close() // the reader notices
				c.mu.Lock()
				c.gone = true
				c.mu.Unlock()
				notify(c.space)
				return
			}
			if cap(out) > maxMessage {
				out = nil
			}
		}
		if last {
			// The reader goes on for a moment, so that what the client sends
			// meanwhile does not turn the end into a reset that eats answers.
			c.nc.(*net.TCPConn).CloseWrite()
			c.nc.SetReadDeadline(time.Now().Add(lingerTime))
			return
		}
	}
}
