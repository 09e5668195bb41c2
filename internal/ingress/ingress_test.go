package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"wickarch/internal/standin"
)

// testTimeout bounds every wait in the tests; no test passes by reaching it.
const testTimeout = 30 * time.Second

const (
	lookup       = "c=lookup,t=basic,d=20000,units=1,spread=1,first=0"
	payment      = "c=payment,t=basic,d=20000,units=1,spread=1,first=0"
	someCustomer = "00000000b4d65521"
	someID       = "9b1f03aa5c7e2d41"
)

var newID = standin.NewID

// settings have one plan whose quota no test exhausts; %d is the idle timeout of backend connections.
var settings = strings.ReplaceAll(standin.Settings, "%g", "1000")

type received = standin.Received

// fakeBackend passes each command to the test, which answers it.
type fakeBackend struct{ *standin.Backend }

func newBackend(t *testing.T) *fakeBackend {
	t.Helper()
	b, err := standin.NewBackend(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return &fakeBackend{b}
}

func (b *fakeBackend) member(id string) Member { return Member(b.Member(id)) }

func newFakeDiscovery(t *testing.T, members ...Member) *standin.Discovery {
	var list []standin.Member
	for _, m := range members {
		list = append(list, standin.Member(m))
	}
	d := standin.NewDiscovery(list...)
	t.Cleanup(d.Stop)
	return d
}

// rig is an ingress between a fake discovery and fake backends.
type rig struct {
	*testing.T
	server    *Server
	discovery *standin.Discovery
	stop      context.CancelFunc
	ended     chan error
}

func newRig(t *testing.T, change func(*Config), members ...Member) *rig {
	t.Helper()
	d := newFakeDiscovery(t, members...)
	d.Open()
	r := startRig(t, d, change)
	c := r.dial()
	for line := ""; line != "+PONG"; {
		c.send("PING")
		line = c.line()
	}
	c.nc.Close()
	return r
}

func startRig(t *testing.T, d *standin.Discovery, change func(*Config)) *rig {
	t.Helper()
	cfg, err := ParseConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","seed":"1","settings":%s}`,
		fmt.Sprintf(settings, 3600_000)))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Discovery = d.Addr()
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
		s.sources.close() // Serve may still wait for late clients
		s.loop.Do(s.loop.Stop)
	})
	return r
}

// countClients returns the number of connected clients and visits each, if visit is not
// nil, on the reactor's goroutine.
func (r *rig) countClients(visit func(*client)) (n int) {
	r.server.loop.Do(func() {
		n = len(r.server.front.clients)
		for _, c := range r.server.front.clients {
			if visit != nil {
				visit(c)
			}
		}
	})
	return n
}

// onLoop runs f on the reactor's goroutine and waits for it.
func (r *rig) onLoop(f func(l *loop)) {
	r.server.loop.Do(func() { f(r.server.loop) })
}

// fakeClient is a client connection that fails the test on an unexpected answer or error.
type fakeClient struct {
	t  *testing.T
	nc net.Conn
	in *bufio.Reader
	c  *standin.Client
}

func (r *rig) dial() *fakeClient {
	r.Helper()
	c, err := standin.Dial(r.server.Addr(), testTimeout)
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { c.Close() })
	return &fakeClient{r.T, c.Conn, c.In, c}
}

func encode(words ...string) string { return string(standin.Encode(words...)) }

func (c *fakeClient) send(words ...string) { c.write(encode(words...)) }

func (c *fakeClient) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.nc, text); err != nil {
		c.t.Fatal(err)
	}
}

// line reads one answer.
func (c *fakeClient) line() string {
	c.t.Helper()
	s, err := c.c.ReadReply()
	if err != nil {
		c.t.Fatal(err)
	}
	return s
}

func (c *fakeClient) want(text string) {
	c.t.Helper()
	if got := c.line(); got != text {
		c.t.Fatalf("answer %q, want %q", got, text)
	}
}

// wantEnd waits until the ingress closes the connection without sending another byte.
func (c *fakeClient) wantEnd() {
	c.t.Helper()
	if err := c.c.ExpectClosed(); err != nil {
		c.t.Fatal(err)
	}
}

func wait[T any](t *testing.T, what string, ch <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
	return v
}

func wantNone[T any](t *testing.T, what string, ch <-chan T) {
	t.Helper()
	select {
	case <-ch:
		t.Fatalf("got %s, want none", what)
	default:
	}
}
