// Package admin serves the admin address of an ingress for the platform and
// operators: HTTP/1.1 with one request per connection. It reports whether the
// ingress takes clients, reports metrics, and drains and reactivates the ingress.
//
// It runs on the reactor's goroutine, like the clients' connections, so a response
// waits for no other goroutine. The resources of callers are bounded: the number of
// connections, where a new one closes the oldest, and the size and time of a request.
package admin

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"wickarch/internal/reactor"
)

const (
	maxHeadSize        = 8 << 10                // bytes of a request's head
	defaultCallTimeout = 5 * time.Second        // from accepting the connection to the response
	lingerTimeout      = 250 * time.Millisecond // to read what the caller sends while it gets the response
	acceptBackoff      = 5 * time.Millisecond   // after descriptors have run out
	acceptBatch        = 16                     // connections accepted before the clients' connections are served
)

// Node is the ingress that the server reports on and controls. Its methods are
// called on the reactor's goroutine and do not block.
type Node interface {
	// TakesClients reports whether this process takes clients.
	TakesClients() bool
	// AppendMetrics appends the metrics, one name=value per line.
	AppendMetrics(b []byte) []byte
	// AppendBackends appends the state of each backend, one per line.
	AppendBackends(b []byte) []byte
	// AppendEvents appends the counts of what has ended, by reason.
	AppendEvents(b []byte) []byte
	// Standby drains the ingress: it takes no new clients and lets those connected go.
	Standby()
	// Active ends the drain.
	Active()
	// OutOfDescriptors reports that a caller can't be accepted because no descriptor is
	// left: the clients' side frees one in its next round.
	OutOfDescriptors()
}

// Server serves the admin address.
type Server struct {
	loop          *reactor.Loop
	node          Node
	ln            reactor.Listener
	maxConns      int
	callTimeout   time.Duration
	conns         list.List     // of *conn, oldest first
	buf           []byte        // read buffer shared by all connections
	acceptPending bool          // connections may wait to be accepted
	acceptAt      time.Duration // after a failed accept or a full batch: no accept before then; otherwise 0
}

// Listen opens address, "host:port", for at most maxConns connections at a time.
func Listen(loop *reactor.Loop, address string, maxConns int, node Node) (*Server, error) {
	s := &Server{loop: loop, node: node, maxConns: max(1, maxConns), callTimeout: defaultCallTimeout, buf: make([]byte, 4<<10)}
	var err error
	if s.ln, err = loop.Listen(address, s); err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	loop.Add(s)
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Address() }

// Open returns the number of open connections.
func (s *Server) Open() int { return s.conns.Len() }

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.ln.Close()
	s.acceptPending = false
	for e := s.conns.Front(); e != nil; e = s.conns.Front() {
		e.Value.(*conn).close()
	}
}

// Ready records that connections wait to be accepted.
func (s *Server) Ready(reactor.Event) { s.acceptPending = true }

// Round accepts the connections that wait.
func (s *Server) Round() {
	now := s.loop.Now()
	if s.acceptAt > 0 && now >= s.acceptAt {
		s.acceptAt = 0
	}
	for n := 0; s.acceptPending && s.acceptAt == 0; n++ {
		if n == acceptBatch {
			s.acceptAt = now + time.Millisecond
			return
		}
		nc, err := s.ln.Accept()
		if errors.Is(err, reactor.ErrWouldBlock) {
			s.acceptPending = false
			return
		}
		if err != nil && !s.ln.HasPending() {
			s.acceptPending = false // the last descriptor went to the connection accepted before
			return
		}
		if err != nil {
			// Descriptors have run out. The oldest caller, whose request is still
			// incomplete, is closed for the waiting one, which may send a whole request.
			// Without callers, clients hold all descriptors, and an idle client is closed.
			if errors.Is(err, reactor.ErrOutOfResources) {
				s.makeRoom()
			}
			s.acceptAt = now + acceptBackoff
			return
		}
		s.add(nc, now)
	}
}

// makeRoom closes the oldest connection or, without any, has the clients' side close one.
func (s *Server) makeRoom() {
	if e := s.conns.Front(); e != nil {
		e.Value.(*conn).close()
	} else {
		s.node.OutOfDescriptors()
	}
}

// Next returns when Round has work to do without an event.
func (s *Server) Next() (at time.Duration, any bool) { return s.acceptAt, s.acceptPending }

func (s *Server) add(nc reactor.Conn, now time.Duration) {
	if s.conns.Len() >= s.maxConns {
		s.conns.Front().Value.(*conn).close()
	}
	c := &conn{server: s, net: nc}
	c.timer.Owner = c
	if err := nc.Watch(c); err != nil {
		nc.Close()
		return
	}
	c.element = s.conns.PushBack(c)
	s.loop.Set(&c.timer, now+s.callTimeout)
}

// conn is the connection of one caller. It serves one request.
type conn struct {
	server    *Server
	net       reactor.Conn  // nil once closed
	element   *list.Element // in Server.conns
	timer     reactor.Timer
	head      []byte // of the request, as far as it was received
	unwritten []byte // of the response
	responded bool   // respond was called
	discarded int    // bytes read after the response was made
}

// Ready handles an event of the connection.
func (c *conn) Ready(e reactor.Event) {
	if e&reactor.Disconnected != 0 {
		c.close()
		return
	}
	if e&reactor.Writable != 0 && len(c.unwritten) > 0 {
		c.write()
	}
	if e&(reactor.Readable|reactor.ReadClosed) != 0 {
		c.read()
	}
}

// TimerFired closes the connection when its time is up.
func (c *conn) TimerFired() { c.close() }

func (c *conn) close() {
	if c.net == nil {
		return
	}
	c.net.Close()
	c.net = nil
	c.server.loop.Unset(&c.timer)
	c.server.conns.Remove(c.element)
}

// read reads the request, and discards what comes after it.
func (c *conn) read() {
	for c.net != nil {
		n, err := c.net.Read(c.server.buf)
		if errors.Is(err, reactor.ErrWouldBlock) {
			return
		}
		if err != nil {
			c.close()
			return
		}
		if c.responded {
			if c.discarded += n; c.discarded > maxHeadSize {
				c.close()
			}
			continue
		}
		c.head = append(c.head, c.server.buf[:n]...)
		switch end := bytes.Index(c.head, []byte("\r\n\r\n")); {
		case end >= 0 && end+4 <= maxHeadSize:
			c.handle(c.head[:end+4])
		case end >= 0 || len(c.head) > maxHeadSize:
			c.respond(http.StatusRequestHeaderFieldsTooLarge, nil)
		}
	}
}

// handle handles a request by its head; a body has no meaning for any request.
func (c *conn) handle(head []byte) {
	request, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err != nil || request.ProtoMajor != 1 {
		c.respond(http.StatusBadRequest, nil)
		return
	}
	node := c.server.node
	method := http.MethodGet
	execute := func() (int, []byte) { return http.StatusNotFound, nil }
	switch request.URL.Path {
	case "/status":
		execute = func() (int, []byte) {
			if node.TakesClients() {
				return http.StatusOK, []byte("yes\n")
			}
			return http.StatusServiceUnavailable, []byte("no\n")
		}
	case "/status/metrics":
		execute = func() (int, []byte) { return http.StatusOK, node.AppendMetrics(nil) }
	case "/status/backends":
		execute = func() (int, []byte) { return http.StatusOK, node.AppendBackends(nil) }
	case "/status/events":
		execute = func() (int, []byte) { return http.StatusOK, node.AppendEvents(nil) }
	case "/standby":
		method = http.MethodPut
		execute = func() (int, []byte) { node.Standby(); return http.StatusOK, nil }
	case "/active":
		method = http.MethodPut
		execute = func() (int, []byte) { node.Active(); return http.StatusOK, nil }
	default:
		method = request.Method
	}
	if request.Method != method {
		c.respond(http.StatusMethodNotAllowed, nil)
		return
	}
	c.respond(execute())
}

// respond writes the response and then ends the connection.
func (c *conn) respond(status int, body []byte) {
	b := append(make([]byte, 0, len(body)+160), "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(b, ' '), http.StatusText(status)...)
	b = append(b, "\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	c.unwritten = append(append(b, "\r\n\r\n"...), body...)
	c.responded, c.head = true, nil
	c.write()
}

// write writes what is left of the response, and then closes the sending side. What
// the caller still sends is read for lingerTimeout: a close with unread input would
// reset the connection, and the caller could lose the response.
func (c *conn) write() {
	n, err := c.net.Write(c.unwritten)
	c.unwritten = c.unwritten[n:]
	switch {
	case errors.Is(err, reactor.ErrWouldBlock):
		return
	case err != nil && !errors.Is(err, io.EOF):
		c.close()
		return
	}
	c.net.CloseWrite()
	c.server.loop.Set(&c.timer, c.server.loop.Now()+lingerTimeout)
}
