package standin

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// Received is one command that came whole to a backend.
type Received struct {
	Conn net.Conn
	Args []string
}

// ID is the request's id, or "" where the command has none.
func (r Received) ID() string {
	if len(r.Args) < 3 {
		return ""
	}
	return r.Args[2]
}

// Answer serves the command with a value.
func (r Received) Answer(value string) {
	_, _ = fmt.Fprintf(r.Conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// Metered serves the command with a value and the figures on use.
func (r Received) AnswerWithUsage(value, figures string) {
	_, _ = fmt.Fprintf(r.Conn, "*3\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$-1\r\n", len(value), value, len(figures), figures)
}

// Line answers with a line such as "-BUSY".
func (r Received) Reply(text string) { _, _ = fmt.Fprintf(r.Conn, "%s\r\n", text) }

// Reset ends the connection by a reset.
func (r Received) Reset() {
	_ = r.Conn.(*net.TCPConn).SetLinger(0)
	r.Conn.Close()
}

// LoadReport is what a backend answers to INFO.
const LoadReport = "inflight=0,latency_ms=1"

const backlog = 100 // commands and connections that a test may leave untaken

// Backend is one stand-in backend. It answers probes itself. Each other command
// goes to Handle, on a goroutine of its connection, in order; with no Handle
// they are handed out on Got, and connections on Opened and Closed.
type Backend struct {
	Addr   string
	Got    chan Received
	Opened chan net.Conn
	Closed chan net.Conn // the ingress has ended it

	handle   func(Received)
	stop     *stop // of a stopped one; else nil
	ln       net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	accepted int // connections in all
	closed   bool
}

// NewBackend starts a backend. Each command goes to handle, or to Got if that is nil.
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

// Conns is the number of connections that are open.
func (b *Backend) Conns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// Met is the number of connections that there were in all.
func (b *Backend) Accepted() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepted
}

// Close ends the backend and its connections.
func (b *Backend) Close() {
	b.ln.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for nc := range b.conns {
		nc.Close()
	}
}

// Effects counts how often each request has run, over all backends that it is
// given to. It stands apart from what the ingress says of itself.
type Effects struct {
	mu    sync.Mutex
	runs  map[string]int
	total int
}

// Run counts a run of a request.
func (e *Effects) Record(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs == nil {
		e.runs = map[string]int{}
	}
	e.runs[id]++
	e.total++
}

// Of tells how often a request has run.
func (e *Effects) Count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// Total tells how many runs there were in all.
func (e *Effects) Total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.total
}

// Twice names the requests that ran more than once.
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

// Work returns a handler that counts each command, takes so long over it, and
// answers with the request's id as the value, so that a client can tell whose
// value it got. With a meter the answers tell the customer's use, a unit a request.
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
