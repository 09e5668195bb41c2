package ingress

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// patience bounds every wait of the tests; none of them passes by waiting.
const patience = 30 * time.Second

const (
	lookup  = "c=lookup,t=basic,d=20000,units=1,spread=1,first=0"
	payment = "c=payment,t=basic,d=20000,units=1,spread=1,first=0"
	anyone  = "00000000b4d65521"
	someID  = "9b1f03aa5c7e2d41"
)

// newID is the id of a new try.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

const settings = `{"balancers":1,"self_index":0,"zone":0,"zones":["a"],"kinds":["std"],"tick_ms":2,"discovery":"push",
 "bounds":{"cancelling":true,"conn_idle_ms":%d,"connect_timeout_ms":5000,"max_retry_after_ms":1000,"probing":true,
  "retry_after":true,"second_copies":false,"try_limit":4},
 "invariants":{"cold_from":0.2,"cold_ms":1000,"drain_grace_ms":500,"fall_ms":1500,"tip_multiple":3},
 "report":{"fields":["rif","lat_ms"],"how":"pull"},
 "request_classes":[
  {"name":"lookup","aim_ms":600,"give_up_ms":20000,"effect":"free","dedup_scope":"all","worth":2,"window_ms":5000},
  {"name":"payment","aim_ms":600,"give_up_ms":20000,"effect":"single_shot","dedup_scope":"all","worth":6,"window_ms":5000}],
 "specifics":{"max_units":1,"use_period_ms":500},
 "tiers_of_service":[{"name":"basic","quota_rate":1000,"burst":1000,"price":1}],"weights":"nominal"}`

// received is one command that came to a backend.
type received struct {
	nc   net.Conn
	args []string
}

func (r received) answer(value string) {
	fmt.Fprintf(r.nc, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}
func (r received) line(text string) { fmt.Fprintf(r.nc, "%s\r\n", text) }
func (r received) reset() {
	r.nc.(*net.TCPConn).SetLinger(0)
	r.nc.Close()
}

// fakeBackend hands each command to the test, which answers it. Probes it
// answers itself.
type fakeBackend struct {
	addr   string
	got    chan received
	closed chan net.Conn // connections that the ingress has ended
	opened chan net.Conn
}

func newBackend(t *testing.T) *fakeBackend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &fakeBackend{addr: ln.Addr().String(), got: make(chan received, 100),
		closed: make(chan net.Conn, 100), opened: make(chan net.Conn, 100)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			b.opened <- nc
			go b.serve(nc)
		}
	}()
	return b
}

func (b *fakeBackend) serve(nc net.Conn) {
	commands := redcon.NewReader(nc)
	for {
		cmd, err := commands.ReadCommand()
		if err != nil {
			b.closed <- nc
			return
		}
		r := received{nc: nc}
		for _, a := range cmd.Args {
			r.args = append(r.args, string(a))
		}
		if r.args[0] == "INFO" {
			text := "inflight=0,latency_ms=1"
			fmt.Fprintf(nc, "$%d\r\n%s\r\n", len(text), text)
			continue
		}
		b.got <- r
	}
}

func (b *fakeBackend) member(id string) member {
	return member{ID: id, HostPort: b.addr, Locality: "a", Flavor: "std", Phase: phaseServing, Size: 1}
}

// fakeDiscovery serves one list, and watches fed by the test.
type fakeDiscovery struct {
	*httptest.Server
	lines   chan string   // the next lines of the watch now open
	watched chan string   // the index from which each watch began
	gate    chan struct{} // closed when the list may be told
	mu      sync.Mutex
	list    memberList
}

func newFakeDiscovery(t *testing.T, members ...member) *fakeDiscovery {
	d := &fakeDiscovery{lines: make(chan string), watched: make(chan string, 100), gate: make(chan struct{}),
		list: memberList{Revision: 7, Complete: true, Members: members}}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("stream") == "" {
			select {
			case <-d.gate:
			case <-r.Context().Done():
				return
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			json.NewEncoder(w).Encode(d.list)
			return
		}
		w.(http.Flusher).Flush()
		d.watched <- r.URL.Query().Get("index")
		for {
			select {
			case line := <-d.lines:
				if line == "end" {
					return
				}
				io.WriteString(w, line+"\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { d.CloseClientConnections(); d.Close() })
	return d
}

// rig is an ingress between fakes.
type rig struct {
	*testing.T
	server    *Server
	discovery *fakeDiscovery
	stop      context.CancelFunc
	ended     chan error
}

func newRig(t *testing.T, change func(*Config), members ...member) *rig {
	t.Helper()
	d := newFakeDiscovery(t, members...)
	close(d.gate)
	r := serve(t, d, change)
	c := r.dial()
	for line := ""; line != "+PONG"; {
		c.send("PING")
		line = c.line()
	}
	c.nc.Close()
	return r
}

func serve(t *testing.T, d *fakeDiscovery, change func(*Config)) *rig {
	t.Helper()
	cfg, err := ParseConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","seed":"1","settings":%s}`,
		fmt.Sprintf(settings, 3600_000)))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Discovery = d.Listener.Addr().String()
	if change != nil {
		change(&cfg)
	}
	s, err := Listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{T: t, server: s, discovery: d, stop: cancel, ended: make(chan error, 1)}
	go func() { r.ended <- s.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		s.ln.Close()
		s.mu.Lock()
		for c := range s.clients {
			c.nc.Close()
		}
		s.mu.Unlock()
	})
	return r
}

// ask runs f on the loop's goroutine and waits for it.
func (r *rig) ask(f func(l *loop)) {
	done := make(chan struct{})
	r.server.loop.post(func(l *loop) { f(l); close(done) })
	<-done
}

type fakeClient struct {
	t  *testing.T
	nc net.Conn
	in *bufio.Reader
}

func (r *rig) dial() *fakeClient {
	r.Helper()
	nc, err := net.Dial("tcp", r.server.Addr().String())
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(patience))
	return &fakeClient{r.T, nc, bufio.NewReader(nc)}
}

func encode(words ...string) string {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return string(b)
}

func (c *fakeClient) send(words ...string) { c.write(encode(words...)) }

func (c *fakeClient) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.nc, text); err != nil {
		c.t.Fatal(err)
	}
}

// line reads one answer: the line, and the value where it is a bulk string.
func (c *fakeClient) line() string {
	c.t.Helper()
	s, err := c.in.ReadString('\n')
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	if strings.HasPrefix(s, "$") {
		v, err := c.in.ReadString('\n')
		if err != nil {
			c.t.Fatalf("half an answer: %v", err)
		}
		s += v
	}
	return strings.TrimSpace(s)
}

func (c *fakeClient) want(text string) {
	c.t.Helper()
	if got := c.line(); got != text {
		c.t.Fatalf("answer %q, want %q", got, text)
	}
}

// wantEnd waits for the ingress to close the connection without another byte.
func (c *fakeClient) wantEnd() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.in); err != nil || len(rest) > 0 {
		c.t.Fatalf("the connection gave %q, %v; want its end", rest, err)
	}
}

func wait[T any](t *testing.T, what string, ch <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(patience):
		t.Fatalf("waited in vain for %s", what)
	}
	return v
}

func idle[T any](t *testing.T, what string, ch <-chan T) {
	t.Helper()
	select {
	case <-ch:
		t.Fatalf("there is %s, want none", what)
	default:
	}
}
