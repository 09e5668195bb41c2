// Package admin is the second address of an ingress: HTTP/1.1, one call to a
// connection, for the platform and the people on call. It tells whether the
// ingress takes clients and its figures, and empties it.
//
// It runs on the reactor, beside the clients: an answer waits for no other
// goroutine. What callers may hold is bounded: connections in number, the oldest
// making room, each call in bytes and in time.
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
	mostCall    = 8 << 10                // bytes of one call's head
	usualTime   = 5 * time.Second        // from connecting to the end of the call
	lingerTime  = 250 * time.Millisecond // to read what crosses the answer
	acceptRetry = 5 * time.Millisecond   // after descriptors have run out
	acceptBatch = 16                     // connections taken before the clients have their turn
)

// Node is what the address tells of and commands. Its methods are called on the
// reactor's goroutine and do not block.
type Node interface {
	// TakesClients tells whether this process takes clients.
	TakesClients() bool
	// AppendMetrics appends the figures, a name=value a line.
	AppendMetrics(b []byte) []byte
	// AppendBackends appends what is known of each backend, a line each.
	AppendBackends(b []byte) []byte
	// AppendEvents appends counts of what has ended, by reason.
	AppendEvents(b []byte) []byte
	// Standby empties the ingress: it takes no clients and lets those it has go.
	Standby()
	// Active ends that.
	Active()
	// OutOfDescriptors notes that a caller waits and no descriptor is left for it: the
	// clients' part makes room for one at its next turn.
	OutOfDescriptors()
}

// Server serves the address.
type Server struct {
	loop       *reactor.Loop
	node       Node
	ln         reactor.Listener
	most       int // connections at once
	callTime   time.Duration
	conns      list.List // of *conn, the oldest first
	buf        []byte    // read into by every connection in turn
	acceptable bool
	retryAt    time.Duration // accept failed, or had its batch: not before then; 0 when not
}

// Listen opens the address, "host:port", for so many connections at once.
func Listen(loop *reactor.Loop, address string, most int, node Node) (*Server, error) {
	s := &Server{loop: loop, node: node, most: max(1, most), callTime: usualTime, buf: make([]byte, 4<<10)}
	var err error
	if s.ln, err = loop.Listen(address, s); err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	loop.Add(s)
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Address() }

// Open is how many connections there are.
func (s *Server) Open() int { return s.conns.Len() }

// Close ends the address and all connections to it.
func (s *Server) Close() {
	s.ln.Close()
	s.acceptable = false
	for e := s.conns.Front(); e != nil; e = s.conns.Front() {
		e.Value.(*conn).close()
	}
}

// Ready notes that connections wait.
func (s *Server) Ready(reactor.Event) { s.acceptable = true }

// Round takes the connections that wait.
func (s *Server) Round() {
	now := s.loop.Now()
	if s.retryAt > 0 && now >= s.retryAt {
		s.retryAt = 0
	}
	for n := 0; s.acceptable && s.retryAt == 0; n++ {
		if n == acceptBatch {
			s.retryAt = now + time.Millisecond
			return
		}
		nc, err := s.ln.Accept()
		if errors.Is(err, reactor.ErrWait) {
			s.acceptable = false
			return
		}
		if err != nil && !s.ln.Waiting() {
			s.acceptable = false // the last descriptor went to the one before
			return
		}
		if err != nil {
			// Descriptors have run out. The oldest caller without a whole call
			// makes room for one that may have more to say.
			// Where there is none, clients have them all, and one at rest does so.
			if errors.Is(err, reactor.ErrFiles) {
				s.makeRoom()
			}
			s.retryAt = now + acceptRetry
			return
		}
		s.add(nc, now)
	}
}

// makeRoom closes the oldest connection, or has the clients' part close one.
func (s *Server) makeRoom() {
	if e := s.conns.Front(); e != nil {
		e.Value.(*conn).close()
	} else {
		s.node.OutOfDescriptors()
	}
}

// Next tells when Round has something to do though nothing happens.
func (s *Server) Next() (at time.Duration, any bool) { return s.retryAt, s.acceptable }

func (s *Server) add(nc reactor.Conn, now time.Duration) {
	if s.conns.Len() >= s.most {
		s.conns.Front().Value.(*conn).close()
	}
	c := &conn{server: s, net: nc}
	c.timer.Owner = c
	if err := nc.Watch(c); err != nil {
		nc.Close()
		return
	}
	c.place = s.conns.PushBack(c)
	s.loop.Set(&c.timer, now+s.callTime)
}

// conn is one caller's connection.
type conn struct {
	server   *Server
	net      reactor.Conn // nil once closed
	place    *list.Element
	timer    reactor.Timer
	head     []byte // of the call, as far as it is here
	answer   []byte // not written yet
	answered bool
	dropped  int // bytes read behind the call
}

// Ready takes what happened on the connection.
func (c *conn) Ready(e reactor.Event) {
	if e&reactor.Gone != 0 {
		c.close()
		return
	}
	if e&reactor.Writable != 0 && len(c.answer) > 0 {
		c.write()
	}
	if e&(reactor.Readable|reactor.Ended) != 0 {
		c.read()
	}
}

// Ring ends a connection whose time is up.
func (c *conn) Ring() { c.close() }

func (c *conn) close() {
	if c.net == nil {
		return
	}
	c.net.Close()
	c.net = nil
	c.server.loop.Unset(&c.timer)
	c.server.conns.Remove(c.place)
}

// read reads the call, or what comes behind it.
func (c *conn) read() {
	for c.net != nil {
		n, err := c.net.Read(c.server.buf)
		if errors.Is(err, reactor.ErrWait) {
			return
		}
		if err != nil {
			c.close()
			return
		}
		if c.answered {
			if c.dropped += n; c.dropped > mostCall {
				c.close()
			}
			continue
		}
		c.head = append(c.head, c.server.buf[:n]...)
		switch end := bytes.Index(c.head, []byte("\r\n\r\n")); {
		case end >= 0 && end+4 <= mostCall:
			c.call(c.head[:end+4])
		case end >= 0 || len(c.head) > mostCall:
			c.reply(http.StatusRequestHeaderFieldsTooLarge, nil)
		}
	}
}

// call answers a call by its head; a body means nothing to any of them.
func (c *conn) call(head []byte) {
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err != nil || r.ProtoMajor != 1 {
		c.reply(http.StatusBadRequest, nil)
		return
	}
	node := c.server.node
	method := http.MethodGet
	answer := func() (int, []byte) { return http.StatusNotFound, nil }
	switch r.URL.Path {
	case "/status":
		answer = func() (int, []byte) {
			if node.TakesClients() {
				return http.StatusOK, []byte("yes\n")
			}
			return http.StatusServiceUnavailable, []byte("no\n")
		}
	case "/status/metrics":
		answer = func() (int, []byte) { return http.StatusOK, node.AppendMetrics(nil) }
	case "/status/backends":
		answer = func() (int, []byte) { return http.StatusOK, node.AppendBackends(nil) }
	case "/status/events":
		answer = func() (int, []byte) { return http.StatusOK, node.AppendEvents(nil) }
	case "/standby":
		method = http.MethodPut
		answer = func() (int, []byte) { node.Standby(); return http.StatusOK, nil }
	case "/active":
		method = http.MethodPut
		answer = func() (int, []byte) { node.Active(); return http.StatusOK, nil }
	default:
		method = r.Method
	}
	if r.Method != method {
		c.reply(http.StatusMethodNotAllowed, nil)
		return
	}
	c.reply(answer())
}

// reply writes the one answer, and then ends the connection.
func (c *conn) reply(status int, body []byte) {
	b := append(make([]byte, 0, len(body)+160), "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(b, ' '), http.StatusText(status)...)
	b = append(b, "\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	c.answer = append(append(b, "\r\n\r\n"...), body...)
	c.answered, c.head = true, nil
	c.write()
}

// write writes what is left of the answer, and ends the sending behind it. What
// the caller still sends is read for a moment: left there, it would turn the end
// into a reset, which may eat the answer.
func (c *conn) write() {
	n, err := c.net.Write(c.answer)
	c.answer = c.answer[n:]
	switch {
	case errors.Is(err, reactor.ErrWait):
		return
	case err != nil && !errors.Is(err, io.EOF):
		c.close()
		return
	}
	c.net.CloseWrite()
	c.server.loop.Set(&c.timer, c.server.loop.Now()+lingerTime)
}
