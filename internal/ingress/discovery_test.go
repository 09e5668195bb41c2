package ingress

import (
	"fmt"
	"testing"
	"time"

	"wickarch/choice"
)

// eventually waits until something holds of the loop.
func (r *rig) eventually(what string, ok func(l *loop) bool) {
	r.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		var done bool
		r.onLoop(func(l *loop) { done = ok(l) })
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
	if index := wait(t, "a watch", r.discovery.Watched); index != "7" {
		t.Errorf("the watch begins at %s, want the list's 7", index)
	}
	c := r.dial()
	c.send("Q.ASK", someCustomer, newID(), lookup)
	first := wait(t, "the request", one.Got)
	first.Answer("v")
	c.want("$1\r\nv")

	r.discovery.Lines <- ""
	r.discovery.Lines <- fmt.Sprintf(`{"revision":8,"complete":false,"members":[{"id":"1","host_port":%q,"phase":"DRAINING"},{"id":"2","host_port":%q,"phase":"SERVING","size":1}]}`,
		one.Addr, two.Addr)
	if nc := wait(t, "the end of the idle connection to the draining backend", one.Closed); nc != first.Conn {
		t.Error("another connection ended")
	}
	for range 5 {
		c.send("Q.DO", someCustomer, newID(), payment, "BODY")
		wait(t, "the request at the new backend", two.Got).Answer("w")
		c.want("$1\r\nw")
	}

	r.discovery.Lines <- "end" // the connection breaks: the watch goes on from the last revision
	if index := wait(t, "the next watch", r.discovery.Watched); index != "8" {
		t.Errorf("the watch goes on from %s, want 8", index)
	}
	r.discovery.Lines <- fmt.Sprintf(`{"revision":9,"complete":true,"members":[{"id":"1","host_port":%q,"phase":"SERVING","size":1}]}`, one.Addr)
	r.eventually("the missing backend to go", func(l *loop) bool { return len(l.pool.BackendIDs()) == 1 })
	c.send("Q.DO", someCustomer, newID(), payment, "BODY")
	wait(t, "the request at the first backend", one.Got).Answer("x")
	c.want("$1\r\nx")
	r.discovery.Lines <- `{"revision":10,"complete":false,"members":[{"id":"1","phase":"DELETED"}]}`
	r.eventually("the deleted backend to go", func(l *loop) bool { return len(l.pool.BackendIDs()) == 0 })
}

// A watch that was cut off stays open and says nothing.
func TestSilentWatchIsBegunAnew(t *testing.T) {
	b := newBackend(t)
	f := newFakeDiscovery(t, b.member("b"))
	f.Open()
	got := make(chan MemberList, 10)
	d := newDiscoveryClient(f.Addr(), func(l MemberList) { got <- l })
	d.silence = 50 * time.Millisecond
	go d.run(t.Context(), func() {})
	if l := wait(t, "the list", got); !l.Complete || len(l.Members) != 1 || l.Members[0] != b.member("b") {
		t.Errorf("the list is %+v", l)
	}
	wait(t, "a watch", f.Watched)
	wait(t, "a second one", f.Watched)
}

func TestDiscoveryIsTriedAgain(t *testing.T) {
	f := newFakeDiscovery(t)
	d := newDiscoveryClient(f.Addr(), func(MemberList) {})
	d.patience = 20 * time.Millisecond
	started := make(chan struct{}, 10)
	go d.run(t.Context(), func() { started <- struct{}{} })
	wait(t, "the first try to fail", started)
	f.Open()
	wait(t, "a watch", f.Watched)
	wantNone(t, "a second start", started)
}

// Unix time is turned into the gateway's clock; 0 means long ago.
func TestStartOfABackendIsOnTheGatewaysClock(t *testing.T) {
	r := newRig(t, nil, newBackend(t).member("b"))
	r.onLoop(func(l *loop) {
		if _, dated := l.started(Member{ID: "c"}); dated {
			t.Error("0 is taken for a time")
		}
		at, dated := l.started(Member{ID: "c", UpSince: time.Now().Add(-3 * time.Second).UnixMilli()})
		if age := l.Now() - at; !dated || age < 2900*time.Millisecond || age > 3100*time.Millisecond {
			t.Errorf("the backend is %v old, want 3s", age)
		}
	})
}

// A new configuration moves discovery: the new address tells its whole list and
// its own revision, and neither connections nor what is known get lost.
func TestDiscoveryMovesToANewAddress(t *testing.T) {
	one, two := newBackend(t), newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, one.member("1"))
	wait(t, "a watch", r.discovery.Watched)
	c := r.dial()
	c.send("Q.ASK", someCustomer, newID(), lookup)
	first := wait(t, "the request", one.Got)

	silent := newFakeDiscovery(t) // tells nothing: the old address stays in force
	r.server.Reload(Config{Discovery: silent.Addr()})
	r.discovery.Lines <- fmt.Sprintf(`{"revision":99,"complete":false,"members":[{"id":"2","host_port":%q,"phase":"SERVING","size":1}]}`, two.Addr)
	r.eventually("a change at the old address", func(l *loop) bool { return len(l.pool.BackendIDs()) == 2 })

	next := newFakeDiscovery(t, one.member("1"))
	next.Open()
	for range 2 { // also to where it is
		r.server.Reload(Config{Discovery: next.Addr()})
		if index := wait(t, "a watch at the new address", next.Watched); index != "7" {
			t.Errorf("the new watch begins at %s, want its own list's 7", index)
		}
	}
	r.eventually("the new list to be in force", func(l *loop) bool { return len(l.pool.BackendIDs()) == 1 })
	first.Answer("v")
	c.want("$1\r\nv")
	r.awaitReusable(1)
	c.send("Q.ASK", someCustomer, newID(), lookup)
	if again := wait(t, "a further request", one.Got); again.Conn != first.Conn {
		t.Error("the connection to the backend was not kept")
	} else {
		again.Answer("w")
	}
	c.want("$1\r\nw")
}

// What the old address tells after the new one's list is out of date.
func TestLinesOfAnAddressLeftAreDropped(t *testing.T) {
	got := make(chan int64, 10)
	s := newSources(func(l MemberList) { got <- l.Revision })
	defer s.close()
	old, next := &source{func() {}}, &source{func() {}}
	s.next = old
	s.take(old, MemberList{Revision: 1})
	s.next = next
	s.take(old, MemberList{Revision: 2})
	s.take(next, MemberList{Revision: 3})
	s.take(old, MemberList{Revision: 4})
	close(got)
	var revisions []int64
	for r := range got {
		revisions = append(revisions, r)
	}
	if fmt.Sprint(revisions) != "[1 2 3]" {
		t.Errorf("revisions %v are handed on, want [1 2 3]", revisions)
	}
}

// A new backend may come to the address of one that is gone before discovery
// tells of that one's end. The two share nothing: neither connections nor warmth.
func TestBackendAtAnAddressTakenOverIsNew(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, b.member("old"))
	wait(t, "a watch", r.discovery.Watched)
	c := r.dial()
	c.send("Q.ASK", someCustomer, newID(), lookup)
	first := wait(t, "the request", b.Got)
	first.Answer("v")
	c.want("$1\r\nv")
	r.awaitReusable(1)
	r.discovery.Lines <- fmt.Sprintf(`{"revision":8,"complete":false,"members":[{"id":"new","host_port":%q,"phase":"SERVING","size":1,"up_since_ms":%d}]}`,
		b.Addr, time.Now().UnixMilli())
	if nc := wait(t, "the end of the old one's connection", b.Closed); nc != first.Conn {
		t.Error("another connection ended")
	}
	for range 2 { // the full list may name the old one once more
		r.onLoop(func(l *loop) {
			if len(l.pool.BackendIDs()) != 1 || l.pool.BackendIDs()["new"] <= 1 {
				t.Errorf("the backends are %v, want the new one alone under an id of its own", l.pool.BackendIDs())
			}
			l.updateMembers(choice.Full, MemberList{Complete: true, Members: []Member{
				{ID: "new", HostPort: b.Addr, Phase: PhaseServing, Size: 1, UpSince: time.Now().UnixMilli()}, b.member("old")}})
		})
	}
	c.send("Q.ASK", someCustomer, newID(), lookup)
	wait(t, "a request at the new one", b.Got).Answer("w")
	c.want("$1\r\nw")
}

// The address of a test's discovery is given back at the test's end: nothing may go
// on calling there, and take what comes after it for its own.
func TestNoDiscoveryIsFollowedBeyondItsTest(t *testing.T) {
	var r *rig
	t.Run("a test", func(t *testing.T) { r = startRig(t, newFakeDiscovery(t), nil) })
	if r.server.sources.ctx.Err() == nil {
		t.Error("discovery is followed though its test is over")
	}
}
