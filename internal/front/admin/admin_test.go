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

// patience bounds every wait of the tests; none of them passes by waiting.
const patience = 30 * time.Second

type fakeNode struct {
	takes   bool
	starved func()
}

func (n *fakeNode) TakesClients() bool             { return n.takes }
func (n *fakeNode) AppendMetrics(b []byte) []byte  { return append(b, "edge_node.inflight=7\n"...) }
func (n *fakeNode) AppendBackends(b []byte) []byte { return append(b, "s-1 state=used\n"...) }
func (n *fakeNode) AppendEvents(b []byte) []byte   { return append(b, "closed client=1\n"...) }
func (n *fakeNode) Standby()                       { n.takes = false }
func (n *fakeNode) Active()                        { n.takes = true }
func (n *fakeNode) OutOfDescriptors()              { n.starved() }

func serve(t *testing.T, most int) (*Server, *reactor.Loop) {
	t.Helper()
	return serveOn(t, most, func(s *reactor.Sockets) reactor.World { return s })
}

func serveOn(t *testing.T, most int, of func(*reactor.Sockets) reactor.World) (*Server, *reactor.Loop) {
	t.Helper()
	sockets, err := reactor.NewSockets()
	if err != nil {
		t.Fatal(err)
	}
	world := of(sockets)
	loop := reactor.New(world)
	s, err := Listen(loop, "127.0.0.1:0", most, &fakeNode{})
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
	nc, err := net.DialTimeout("tcp", s.Addr(), patience)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(patience))
	return nc
}

// call makes one call of raw text, and returns its status and body. The
// connection must end behind the answer.
func call(t *testing.T, s *Server, text string) (int, string) {
	t.Helper()
	nc := dial(t, s)
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(nc)
	answer, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("%q: the connection goes on behind the answer: %v", text, err)
	}
	return answer.StatusCode, string(body)
}

func TestCalls(t *testing.T) {
	s, _ := serve(t, 4)
	for _, c := range []struct {
		line, more string
		status     int
		body       string
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
		{"GET /status", "X: " + strings.Repeat("x", mostCall) + "\r\n\r\n", 431, ""},
		// Some of it is unread when the answer is written: a close then would be a reset.
		{"GET /status", "X: " + strings.Repeat("x", 2*mostCall-1<<10) + "\r\n\r\n", 431, ""},
	} {
		more := c.more
		if more == "" {
			more = "\r\n"
		}
		status, body := call(t, s, fmt.Sprintf("%s HTTP/1.1\r\nHost: x\r\n%s", c.line, more))
		if status != c.status || body != c.body {
			t.Errorf("%s: %d %q, want %d %q", c.line, status, body, c.status, c.body)
		}
	}
}

// A call cut at every byte is one call.
func TestCallInPieces(t *testing.T) {
	s, _ := serve(t, 4)
	nc := dial(t, s)
	_ = nc.(*net.TCPConn).SetNoDelay(true)
	for _, b := range []byte("GET /status HTTP/1.1\r\nHost: x\r\n\r\n") {
		if _, err := nc.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	answer, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil || answer.StatusCode != 503 {
		t.Fatal(answer, err)
	}
}

// Callers that keep a connection and say half a call hold up nobody, however
// many they are, and no more connections than the bound.
func TestHalfCallsKeepNobodyOut(t *testing.T) {
	const most = 4
	s, loop := serve(t, most)
	for n := range 5 * most {
		half := dial(t, s)
		if _, err := io.WriteString(half, "GET /status HT"); err != nil {
			t.Fatal(err)
		}
		if n%3 != 0 {
			continue
		}
		if status, _ := call(t, s, "GET /status HTTP/1.1\r\nHost: x\r\n\r\n"); status != 503 {
			t.Fatalf("status %d", status)
		}
		open := 0
		loop.Do(func() { open = s.Open() })
		if open > most {
			t.Fatalf("%d connections are open, want %d at most", open, most)
		}
	}
}

// Whoever says nothing more is let go, by time alone.
func TestCallerThatSaysNothingIsLetGo(t *testing.T) {
	s, loop := serve(t, 4)
	loop.Do(func() { s.callTime = 50 * time.Millisecond })
	nc := dial(t, s)
	if _, err := nc.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("%v, want the end", err)
	}
}

// short is a world in which one connection can be taken at a time: as with the system's,
// where no descriptor is left, to accept one fails whether or not one waits.
type short struct {
	*reactor.Sockets
	taken bool
}

type shortListener struct {
	reactor.Listener
	world *short
}

type shortConn struct {
	reactor.Conn
	world *short
}

func (w *short) Listen(address string, h reactor.Handler) (reactor.Listener, error) {
	ln, err := w.Sockets.Listen(address, h)
	return &shortListener{ln, w}, err
}

func (l *shortListener) Accept() (reactor.Conn, error) {
	if l.world.taken {
		return nil, reactor.ErrFiles
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.world.taken = true
	return &shortConn{nc, l.world}, nil
}

func (c *shortConn) Close() {
	c.Conn.Close()
	c.world.taken = false
}

// Who has got the last descriptor makes room for one that waits, and for nobody else.
func TestCallerWithTheLastDescriptorIsAnswered(t *testing.T) {
	s, loop := serveOn(t, 4, func(s *reactor.Sockets) reactor.World { return &short{Sockets: s} })
	loop.Do(func() { s.callTime = time.Hour })
	first := dial(t, s)
	const line, rest = "GET /status HTTP/1.1\r\n", "Host: x\r\n\r\n"
	if _, err := io.WriteString(first, line); err != nil {
		t.Fatal(err)
	}
	end := time.Now().Add(patience)
	for head := 0; head < len(line); { // by then it has tried to accept another
		if time.Now().After(end) {
			t.Fatal("the connection was closed for nobody")
		}
		loop.Do(func() {
			if e := s.conns.Front(); e != nil {
				head = len(e.Value.(*conn).head)
			}
		})
	}
	if _, err := io.WriteString(first, rest); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(first), nil)
	if err != nil || answer.StatusCode != 503 {
		t.Fatal(answer, err)
	}
	first.Close()
	half := dial(t, s)
	if _, err := io.WriteString(half, line); err != nil {
		t.Fatal(err)
	}
	if status, _ := call(t, s, line+rest); status != 503 {
		t.Errorf("the one that waits for a descriptor is answered %d", status)
	}
}

// Where clients hold all descriptors, one of them makes room for a caller that waits.
func TestCallerAsksClientsForRoom(t *testing.T) {
	world := &short{taken: true}
	s, loop := serveOn(t, 4, func(s *reactor.Sockets) reactor.World {
		world.Sockets = s
		return world
	})
	loop.Do(func() { s.node.(*fakeNode).starved = func() { world.taken = false } })
	if status, _ := call(t, s, "GET /status HTTP/1.1\r\nHost: x\r\n\r\n"); status != 503 {
		t.Errorf("status %d", status)
	}
}
