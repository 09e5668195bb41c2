package admin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wickarch/internal/reactor"
)

// testTimeout bounds every wait of the tests; no test passes by reaching it.
const testTimeout = 30 * time.Second

type fakeNode struct {
	takesClients       bool
	onOutOfDescriptors func()
}

func (n *fakeNode) TakesClients() bool             { return n.takesClients }
func (n *fakeNode) AppendMetrics(b []byte) []byte  { return append(b, "edge_node.inflight=7\n"...) }
func (n *fakeNode) AppendBackends(b []byte) []byte { return append(b, "s-1 state=used\n"...) }
func (n *fakeNode) AppendEvents(b []byte) []byte   { return append(b, "closed client=1\n"...) }
func (n *fakeNode) Standby()                       { n.takesClients = false }
func (n *fakeNode) Active()                        { n.takesClients = true }
func (n *fakeNode) OutOfDescriptors()              { n.onOutOfDescriptors() }

func serve(t *testing.T, maxConns int) (*Server, *reactor.Loop) {
	t.Helper()
	return serveOn(t, maxConns, func(s *reactor.Sockets) reactor.Driver { return s })
}

func serveOn(t *testing.T, maxConns int, newWorld func(*reactor.Sockets) reactor.Driver) (*Server, *reactor.Loop) {
	t.Helper()
	sockets, err := reactor.NewSockets()
	if err != nil {
		t.Fatal(err)
	}
	world := newWorld(sockets)
	loop := reactor.New(world)
	s, err := Listen(loop, "127.0.0.1:0", maxConns, &fakeNode{})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = loop.Run() }()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		<-loop.Done()
		world.Close()
	})
	return s, loop
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	nc, err := net.DialTimeout("tcp", s.Addr(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(testTimeout))
	return nc
}

// call sends a request as raw text, and returns the response's status and body. The
// server must end the connection after the response.
func call(t *testing.T, s *Server, text string) (int, string) {
	t.Helper()
	nc := dial(t, s)
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(nc)
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("%q: after the response the connection gives %v, want its end", text, err)
	}
	return response.StatusCode, string(body)
}

func TestRequests(t *testing.T) {
	s, _ := serve(t, 4)
	for _, c := range []struct {
		requestLine, rest string
		status            int
		body              string
	}{
		{"GET /status", "", 503, "no\n"},
		{"PUT /active", "", 200, ""},
		{"GET /status", "", 200, "yes\n"},
		{"GET /status/metrics", "", 200, "edge_node.inflight=7\n"},
		{"PUT /standby", "Content-Length: 5\r\n\r\nhello", 200, ""},
		{"GET /status", "", 503, "no\n"},
		{"GET /standby", "", 405, ""},
		{"PUT /status", "", 405, ""},
		{"DELETE /status/metrics", "", 405, ""},
		{"GET /else", "", 404, ""},
		{"GET", "", 400, ""},
		{"GET /status", "X: " + strings.Repeat("x", maxHeadSize) + "\r\n\r\n", 431, ""},
		// Part of it is unread when the response is written: a close at that moment would be a reset.
		{"GET /status", "X: " + strings.Repeat("x", 2*maxHeadSize-1<<10) + "\r\n\r\n", 431, ""},
	} {
		rest := c.rest
		if rest == "" {
			rest = "\r\n"
		}
		status, body := call(t, s, fmt.Sprintf("%s HTTP/1.1\r\nHost: x\r\n%s", c.requestLine, rest))
		if status != c.status || body != c.body {
			t.Errorf("%s: status %d, body %q; want %d, %q", c.requestLine, status, body, c.status, c.body)
		}
	}
}

// Guards against a parser that needs a request to arrive in one piece.
func TestRequestInSingleBytes(t *testing.T) {
	s, _ := serve(t, 4)
	nc := dial(t, s)
	_ = nc.(*net.TCPConn).SetNoDelay(true)
	for _, b := range []byte("GET /status HTTP/1.1\r\nHost: x\r\n\r\n") {
		if _, err := nc.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil || response.StatusCode != 503 {
		t.Fatal(response, err)
	}
}

// Callers that keep a connection open with an incomplete request must not block
// others, nor exceed the limit of connections.
func TestIncompleteRequestsDoNotBlockOthers(t *testing.T) {
	const maxConns = 4
	s, loop := serve(t, maxConns)
	for n := range 5 * maxConns {
		incomplete := dial(t, s)
		if _, err := io.WriteString(incomplete, "GET /status HT"); err != nil {
			t.Fatal(err)
		}
		if n%3 != 0 {
			continue
		}
		if status, _ := call(t, s, "GET /status HTTP/1.1\r\nHost: x\r\n\r\n"); status != 503 {
			t.Fatalf("status %d, want 503", status)
		}
		open := 0
		loop.Do(func() { open = s.Open() })
		if open > maxConns {
			t.Fatalf("%d connections are open, want %d at most", open, maxConns)
		}
	}
}

// A caller that sends nothing more is closed by the timeout alone.
func TestSilentCallerTimesOut(t *testing.T) {
	s, loop := serve(t, 4)
	loop.Do(func() { s.callTimeout = 50 * time.Millisecond })
	nc := dial(t, s)
	if _, err := nc.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("read from a silent connection: %v, want EOF", err)
	}
}

// oneDescriptor is a World that accepts one connection at a time. As in a system without
// free descriptors, Accept then fails whether or not a connection waits.
type oneDescriptor struct {
	*reactor.Sockets
	inUse bool
}

type oneDescriptorListener struct {
	reactor.Listener
	world *oneDescriptor
}

type oneDescriptorConn struct {
	reactor.Conn
	world *oneDescriptor
}

func (w *oneDescriptor) Listen(address string, h reactor.Handler) (reactor.Listener, error) {
	ln, err := w.Sockets.Listen(address, h)
	return &oneDescriptorListener{ln, w}, err
}

func (l *oneDescriptorListener) Accept() (reactor.Conn, error) {
	if l.world.inUse {
		return nil, reactor.ErrOutOfResources
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.world.inUse = true
	return &oneDescriptorConn{nc, l.world}, nil
}

func (c *oneDescriptorConn) Close() {
	c.Conn.Close()
	c.world.inUse = false
}

// A caller that holds the last descriptor is closed only if another one waits: a failed
// Accept alone, without a waiting connection, must not close it.
func TestCallerWithTheLastDescriptorIsServed(t *testing.T) {
	s, loop := serveOn(t, 4, func(s *reactor.Sockets) reactor.Driver { return &oneDescriptor{Sockets: s} })
	loop.Do(func() { s.callTimeout = time.Hour })
	first := dial(t, s)
	const requestLine, rest = "GET /status HTTP/1.1\r\n", "Host: x\r\n\r\n"
	if _, err := io.WriteString(first, requestLine); err != nil {
		t.Fatal(err)
	}
	end := time.Now().Add(testTimeout)
	for received := 0; received < len(requestLine); { // by then the server has tried to accept another connection
		if time.Now().After(end) {
			t.Fatal("the connection was closed though no other one waits")
		}
		loop.Do(func() {
			if e := s.conns.Front(); e != nil {
				received = len(e.Value.(*conn).head)
			}
		})
	}
	if _, err := io.WriteString(first, rest); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(first), nil)
	if err != nil || response.StatusCode != 503 {
		t.Fatal(response, err)
	}
	first.Close()
	incomplete := dial(t, s)
	if _, err := io.WriteString(incomplete, requestLine); err != nil {
		t.Fatal(err)
	}
	if status, _ := call(t, s, requestLine+rest); status != 503 {
		t.Errorf("the caller that waits for a descriptor gets status %d, want 503", status)
	}
}

// If clients hold all descriptors, the node is asked to free one for a waiting caller.
func TestClientsFreeADescriptorForACaller(t *testing.T) {
	world := &oneDescriptor{inUse: true}
	s, loop := serveOn(t, 4, func(s *reactor.Sockets) reactor.Driver {
		world.Sockets = s
		return world
	})
	loop.Do(func() { s.node.(*fakeNode).onOutOfDescriptors = func() { world.inUse = false } })
	if status, _ := call(t, s, "GET /status HTTP/1.1\r\nHost: x\r\n\r\n"); status != 503 {
		t.Errorf("status %d, want 503", status)
	}
}
