package ingress

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"wickarch/internal/standin"
)

// stoppedBackend is a backend that stops at a point until the test lets it go on.
func stoppedBackend(t *testing.T, at standin.Point) *fakeBackend {
	t.Helper()
	b, err := standin.NewStoppedBackend(at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	t.Cleanup(b.Go)
	return &fakeBackend{b}
}

// The ways in which a client leaves.
var leaving = map[string]func(net.Conn){
	"end":   func(nc net.Conn) { nc.Close() },
	"reset": func(nc net.Conn) { nc.(*net.TCPConn).SetLinger(0); nc.Close() },
}

// A request whose client has left while it waited must not go on, whether or not
// the settings let work be cancelled: what was not written whole never ran. Nor
// may the end of a client go unnoticed because nothing is read from it.
func TestRequestOfAClientThatLeftWhileItWaitedIsNotSentOn(t *testing.T) {
	for state, s := range map[string]struct {
		at   standin.Point
		more string // behind the request
		slot int    // answers that are due then
	}{
		"connecting":   {standin.Connecting, "", 1},
		"queued":       {standin.Connecting, encode("Q.DO", anyone, newID(), payment, "BODY"), 2},
		"not read":     {standin.Connecting, strings.Repeat(encode("PING"), 2*mostPending), mostPending},
		"half written": {standin.HalfRead, "", 1},
	} {
		for way, leave := range leaving {
			for _, cancelling := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, cancelling %v", state, way, cancelling), func(t *testing.T) {
					b := stoppedBackend(t, s.at)
					r := newRig(t, func(cfg *Config) { cfg.Choice.Cancelling, cfg.Choice.Probing = cancelling, false }, b.member("b"))
					c := r.dial()
					c.write(encode("Q.DO", anyone, newID(), payment, strings.Repeat("x", 64<<10)) + s.more)
					r.eventually("the request to wait", func(l *loop) bool {
						clients := r.server.front.clients
						return l.pool.Open() > 0 && len(clients) == 1 && clients[0].pending == s.slot
					})
					if s.at == standin.HalfRead {
						wait(t, "half a request", b.Begun())
					}
					leave(c.nc)
					open, answered := -1, uint64(0)
					r.eventually("the client's end to be seen", func(l *loop) bool {
						open = l.pool.Open()
						answered = l.figures.classes[1].Failure + l.figures.classes[1].Busy
						return len(r.server.front.clients) == 0
					})
					if answered != 0 {
						t.Fatal("it was seen only when the request's own time was up")
					}
					if open != 0 {
						t.Fatalf("%d attempts go on though their client has left", open)
					}
					b.Go()
					other := newID()
					r.dial().send("Q.DO", anyone, other, payment, "BODY")
					if got := wait(t, "another's request", b.Got); got.ID() != other {
						t.Errorf("the backend got %s of the client that had left", got.ID())
					}
					idle(t, "a request of the client that had left", b.Got)
				})
			}
		}
	}
}
