package ingress

import (
	"fmt"
	"testing"
	"time"
)

// eventually waits until something holds of the loop.
func (r *rig) eventually(what string, ok func(l *loop) bool) {
	r.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		var done bool
		r.ask(func(l *loop) { done = ok(l) })
		if done {
			return
		}
		time.Sleep(time.Millisecond)
	}
	r.Fatalf("waited in vain for %s", what)
}

func TestChangesOfTheListAreFollowed(t *testing.T) {
	one, two := newBackend(t), newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, one.member("1"))
	if index := wait(t, "a watch", r.discovery.watched); index != "7" {
		t.Errorf("the watch begins at %s, want the list's 7", index)
	}
	c := r.dial()
	c.send("Q.ASK", anyone, someID, lookup)
	first := wait(t, "the request", one.got)
	first.answer("v")
	c.want("$1\r\nv")

	r.discovery.lines <- ""
	r.discovery.lines <- fmt.Sprintf(`{"revision":8,"complete":false,"members":[{"id":"1","host_port":%q,"phase":"DRAINING"},{"id":"2","host_port":%q,"phase":"SERVING","size":1}]}`,
		one.addr, two.addr)
	if nc := wait(t, "the end of the idle connection to the draining backend", one.closed); nc != first.nc {
		t.Error("another connection ended")
	}
	for range 5 {
		c.send("Q.DO", anyone, someID, payment, "BODY")
		wait(t, "the request at the new backend", two.got).answer("w")
		c.want("$1\r\nw")
	}

	r.discovery.lines <- "end" // the connection breaks: the watch goes on from the last revision
	if index := wait(t, "the next watch", r.discovery.watched); index != "8" {
		t.Errorf("the watch goes on from %s, want 8", index)
	}
	r.discovery.lines <- fmt.Sprintf(`{"revision":9,"complete":true,"members":[{"id":"1","host_port":%q,"phase":"SERVING","size":1}]}`, one.addr)
	r.eventually("the missing backend to go", func(l *loop) bool { return len(l.pool.byName) == 1 })
	c.send("Q.DO", anyone, someID, payment, "BODY")
	wait(t, "the request at the first backend", one.got).answer("x")
	c.want("$1\r\nx")
	r.discovery.lines <- `{"revision":10,"complete":false,"members":[{"id":"1","phase":"DELETED"}]}`
	r.eventually("the deleted backend to go", func(l *loop) bool { return len(l.pool.byName) == 0 })
}

// A watch that was cut off stays open and says nothing.
func TestSilentWatchIsBegunAnew(t *testing.T) {
	b := newBackend(t)
	f := newFakeDiscovery(t, b.member("b"))
	close(f.gate)
	got := make(chan memberList, 10)
	d := newDiscovery(f.Listener.Addr().String(), func(l memberList) { got <- l })
	d.silence = 50 * time.Millisecond
	go d.run(t.Context(), func() {})
	if l := wait(t, "the list", got); !l.Complete || len(l.Members) != 1 || l.Members[0] != b.member("b") {
		t.Errorf("the list is %+v", l)
	}
	wait(t, "a watch", f.watched)
	wait(t, "a second one", f.watched)
}

func TestDiscoveryIsTriedAgain(t *testing.T) {
	f := newFakeDiscovery(t)
	d := newDiscovery(f.Listener.Addr().String(), func(memberList) {})
	d.patience = 20 * time.Millisecond
	started := make(chan struct{}, 10)
	go d.run(t.Context(), func() { started <- struct{}{} })
	wait(t, "the first try to fail", started)
	close(f.gate)
	wait(t, "a watch", f.watched)
	idle(t, "a second start", started)
}

// Unix time is turned into the gateway's clock; 0 means long ago.
func TestStartOfABackendIsOnTheGatewaysClock(t *testing.T) {
	r := newRig(t, nil, newBackend(t).member("b"))
	r.ask(func(l *loop) {
		if _, dated := l.started(0); dated {
			t.Error("0 is taken for a time")
		}
		now := time.Now()
		at, dated := l.started(now.Add(-3 * time.Second).UnixMilli())
		if age := now.Sub(l.start) - at; !dated || age < 2900*time.Millisecond || age > 3100*time.Millisecond {
			t.Errorf("the backend is %v old, want 3s", age)
		}
	})
}
