package standin

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// Received is one complete command that a backend has read.
type Received struct {
	Conn net.Conn
	Args []string
}

// ID returns the request's id, or "" if the command has none.
func (r Received) ID() string {
	if len(r.Args) < 3 {
		return ""
	}
	return r.Args[2]
}

// Answer replies to the command with a value.
func (r Received) Answer(value string) {
	_, _ = fmt.Fprintf(r.Conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// AnswerWithUsage replies to the command with a value and usage figures.
func (r Received) AnswerWithUsage(value, figures string) {
	_, _ = fmt.Fprintf(r.Conn, "*3\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$-1\r\n", len(value), value, len(figures), figures)
}

// Reply sends one reply line, such as "-BUSY".
func (r Received) Reply(text string) { _, _ = fmt.Fprintf(r.Conn, "%s\r\n", text) }

// Reset closes the connection with a TCP reset.
func (r Received) Reset() {
	_ = r.Conn.(*net.TCPConn).SetLinger(0)
	r.Conn.Close()
}

// LoadReport is a backend's reply to the INFO probe.
const LoadReport = "inflight=0,latency_ms=1"

const backlog = 100 // capacity of the channels of commands and connections that a test may leave unread

// Backend is a fake backend. It answers INFO probes itself. Every other command is
// passed to the handler, in order, on the goroutine of its connection. Without a
// handler, commands are sent on Got, and connections on Opened and Closed.
type Backend struct {
	Addr   string
	Got    chan Received
	Opened chan net.Conn
	Closed chan net.Conn // closed by the ingress

	handle   func(Received)
	stop     *stop // only for a backend of NewStoppedBackend; nil otherwise
	ln       net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	accepted int // connections accepted since the start
	closed   bool
}

// NewBackend starts a backend. Commands are passed to handle, or sent on Got if handle is nil.
func NewBackend(handle func(Received)) (*Backend, error) {
	ln, err := Listen()
	if err != nil {
		return nil, err
	}
	b := newBackend(ln, handle)
	go b.accept()
	return b, nil
}

func newBackend(ln net.Listener, handle func(Received)) *Backend {
	b := &Backend{Addr: ln.Addr().String(), ln: ln, handle: handle, conns: map[net.Conn]struct{}{}}
	if handle == nil {
		b.Got = make(chan Received, backlog)
		b.Opened, b.Closed = make(chan net.Conn, backlog), make(chan net.Conn, backlog)
	}
	return b
}

func (b *Backend) accept() {
	for {
		nc, err := b.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		b.mu.Lock()
		b.accepted++
		if b.closed {
			nc.Close()
		} else {
			b.conns[nc] = struct{}{}
		}
		b.mu.Unlock()
		if b.handle == nil {
			b.Opened <- nc
		}
		go b.serve(nc)
	}
}

func (b *Backend) serve(nc net.Conn) {
	commands := redcon.NewReader(b.stop.reader(nc))
	for {
		cmd, err := commands.ReadCommand()
		if err != nil {
			b.mu.Lock()
			delete(b.conns, nc)
			b.mu.Unlock()
			if b.handle == nil {
				b.Closed <- nc
			} else {
				nc.Close()
			}
			return
		}
		r := Received{Conn: nc}
		for _, a := range cmd.Args {
			r.Args = append(r.Args, string(a))
		}
		switch {
		case r.Args[0] == "INFO":
			_, _ = fmt.Fprintf(nc, "$%d\r\n%s\r\n", len(LoadReport), LoadReport)
		case b.handle != nil:
			b.handle(r)
		default:
			b.Got <- r
		}
	}
}

// Conns returns the number of open connections.
func (b *Backend) Conns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// Accepted returns the number of connections accepted since the start.
func (b *Backend) Accepted() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepted
}

// Close stops the backend and closes its connections.
func (b *Backend) Close() {
	b.ln.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for nc := range b.conns {
		nc.Close()
	}
}

// Effects counts how often each request was executed, over all backends that share
// it. The count is independent of the ingress's own figures.
type Effects struct {
	mu    sync.Mutex
	runs  map[string]int
	total int
}

// Record counts one execution of a request.
func (e *Effects) Record(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs == nil {
		e.runs = map[string]int{}
	}
	e.runs[id]++
	e.total++
}

// Count returns how often a request was executed.
func (e *Effects) Count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// Total returns the number of executions of all requests.
func (e *Effects) Total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.total
}

// Duplicates returns the ids of the requests that were executed more than once.
func (e *Effects) Duplicates() (ids []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, n := range e.runs {
		if n > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Handler returns a handler that counts each command, sleeps for takes(), and replies
// with the request's id as the value, so that a client can detect another request's
// value. With a meter, replies carry the customer's usage, at one unit per request.
func (e *Effects) Handler(takes func() time.Duration, meter *Meter) func(Received) {
	return func(r Received) {
		e.Record(r.ID())
		if d := takes(); d > 0 {
			time.Sleep(d)
		}
		if meter != nil {
			r.AnswerWithUsage(r.ID(), meter.Count(r.Args[1], 1))
			return
		}
		r.Answer(r.ID())
	}
}
