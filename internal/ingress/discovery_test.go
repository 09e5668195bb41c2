package ingress

import (
	"fmt"
	"testing"
	"time"

	"wickarch/choice"
)

// eventually waits until a condition of the loop holds.
func (r *rig) eventually(what string, ok func(l *loop) bool) {
	r.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); {
		var done bool
		r.onLoop(func(l *loop) { done = ok(l) })
		if done {
			return
		}
		time.Sleep(time.Millisecond)
	}
	r.Fatalf("timed out waiting for %s", what)
}

// Guards against lost updates: backends that are added, drain, are deleted, or are missing
// from a full list, also across a broken watch.
func TestListChangesAreApplied(t *testing.T) {
	one, two := newBackend(t), newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, one.member("1"))
	if index := wait(t, "a watch", r.discovery.Watched); index != "7" {
		t.Errorf("the watch starts at revision %s, want 7, that of the list", index)
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
		t.Error("a different connection was closed")
	}
	for range 5 {
		c.send("Q.DO", someCustomer, newID(), payment, "BODY")
		wait(t, "the request at the new backend", two.Got).Answer("w")
		c.want("$1\r\nw")
	}

	r.discovery.Lines <- "end" // the connection breaks: the watch resumes from the last revision
	if index := wait(t, "the next watch", r.discovery.Watched); index != "8" {
		t.Errorf("the watch resumes from revision %s, want 8", index)
	}
	r.discovery.Lines <- fmt.Sprintf(`{"revision":9,"complete":true,"members":[{"id":"1","host_port":%q,"phase":"SERVING","size":1}]}`, one.Addr)
	r.eventually("the removal of the missing backend", func(l *loop) bool { return len(l.pool.BackendIDs()) == 1 })
	c.send("Q.DO", someCustomer, newID(), payment, "BODY")
	wait(t, "the request at the first backend", one.Got).Answer("x")
	c.want("$1\r\nx")
	r.discovery.Lines <- `{"revision":10,"complete":false,"members":[{"id":"1","phase":"DELETED"}]}`
	r.eventually("the removal of the deleted backend", func(l *loop) bool { return len(l.pool.BackendIDs()) == 0 })
}

// A watch whose connection was cut off stays open and silent; it must be replaced.
func TestSilentWatchIsReplaced(t *testing.T) {
	b := newBackend(t)
	f := newFakeDiscovery(t, b.member("b"))
	f.Open()
	got := make(chan MemberList, 10)
	d := newDiscoveryClient(f.Addr(), func(l MemberList) { got <- l })
	d.silenceTimeout = 50 * time.Millisecond
	go d.run(t.Context(), func() {})
	if l := wait(t, "the list", got); !l.Complete || len(l.Members) != 1 || l.Members[0] != b.member("b") {
		t.Errorf("the list is %+v", l)
	}
	wait(t, "a watch", f.Watched)
	wait(t, "a second watch", f.Watched)
}

func TestDiscoveryIsRetried(t *testing.T) {
	f := newFakeDiscovery(t)
	d := newDiscoveryClient(f.Addr(), func(MemberList) {})
	d.callTimeout = 20 * time.Millisecond
	attempted := make(chan struct{}, 10)
	go d.run(t.Context(), func() { attempted <- struct{}{} })
	wait(t, "the first attempt to fail", attempted)
	f.Open()
	wait(t, "a watch", f.Watched)
	wantNone(t, "a second call of onFirstAttempt", attempted)
}

// Start times are converted from Unix time to the gateway's clock; 0 means long ago.
func TestBackendStartTimeIsOnGatewayClock(t *testing.T) {
	r := newRig(t, nil, newBackend(t).member("b"))
	r.onLoop(func(l *loop) {
		if _, dated := l.started(Member{ID: "c"}); dated {
			t.Error("0 is taken for a start time")
		}
		at, dated := l.started(Member{ID: "c", UpSince: time.Now().Add(-3 * time.Second).UnixMilli()})
		if age := l.Now() - at; !dated || age < 2900*time.Millisecond || age > 3100*time.Millisecond {
			t.Errorf("the backend started %v ago, want 3s", age)
		}
	})
}

// Guards against a gap when a reload changes the discovery address: the old one stays in
// force until the new one has sent its full list, and backend connections are kept.
func TestReloadSwitchesDiscoveryAddress(t *testing.T) {
	one, two := newBackend(t), newBackend(t)
	r := newRig(t, func(cfg *Config) { cfg.Choice.Probing = false }, one.member("1"))
	wait(t, "a watch", r.discovery.Watched)
	c := r.dial()
	c.send("Q.ASK", someCustomer, newID(), lookup)
	first := wait(t, "the request", one.Got)

	silent := newFakeDiscovery(t) // never answers: the old address stays in force
	r.server.Reload(Config{Discovery: silent.Addr()})
	r.discovery.Lines <- fmt.Sprintf(`{"revision":99,"complete":false,"members":[{"id":"2","host_port":%q,"phase":"SERVING","size":1}]}`, two.Addr)
	r.eventually("a change from the old address", func(l *loop) bool { return len(l.pool.BackendIDs()) == 2 })

	next := newFakeDiscovery(t, one.member("1"))
	next.Open()
	for range 2 { // the second time to the current address
		r.server.Reload(Config{Discovery: next.Addr()})
		if index := wait(t, "a watch at the new address", next.Watched); index != "7" {
			t.Errorf("the new watch starts at revision %s, want 7, that of its own list", index)
		}
	}
	r.eventually("the new list to be in force", func(l *loop) bool { return len(l.pool.BackendIDs()) == 1 })
	first.Answer("v")
	c.want("$1\r\nv")
	r.awaitReusable(1)
	c.send("Q.ASK", someCustomer, newID(), lookup)
	if again := wait(t, "a further request", one.Got); again.Conn != first.Conn {
		t.Error("the backend connection was not kept")
	} else {
		again.Answer("w")
	}
	c.want("$1\r\nw")
}

// An update of the old address that arrives after the new one's list is out of date.
func TestUpdatesOfPreviousAddressAreDropped(t *testing.T) {
	got := make(chan int64, 10)
	s := newSources(func(l MemberList) { got <- l.Revision })
	defer s.close()
	old, next := &source{func() {}}, &source{func() {}}
	s.next = old
	s.forward(old, MemberList{Revision: 1})
	s.next = next
	s.forward(old, MemberList{Revision: 2})
	s.forward(next, MemberList{Revision: 3})
	s.forward(old, MemberList{Revision: 4})
	close(got)
	var revisions []int64
	for r := range got {
		revisions = append(revisions, r)
	}
	if fmt.Sprint(revisions) != "[1 2 3]" {
		t.Errorf("revisions %v are delivered, want [1 2 3]", revisions)
	}
}

// Guards against mixing up two backends at one address: a new one may start there before
// discovery reports the old one's removal. They share neither connections nor warm-up state.
func TestBackendAtReusedAddressIsNew(t *testing.T) {
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
	if nc := wait(t, "the end of the old backend's connection", b.Closed); nc != first.Conn {
		t.Error("a different connection was closed")
	}
	for range 2 { // the full list may still name the old backend
		r.onLoop(func(l *loop) {
			if len(l.pool.BackendIDs()) != 1 || l.pool.BackendIDs()["new"] <= 1 {
				t.Errorf("the backends are %v, want only the new one, with an id of its own", l.pool.BackendIDs())
			}
			l.updateMembers(choice.Full, MemberList{Complete: true, Members: []Member{
				{ID: "new", HostPort: b.Addr, Phase: PhaseServing, Size: 1, UpSince: time.Now().UnixMilli()}, b.member("old")}})
		})
	}
	c.send("Q.ASK", someCustomer, newID(), lookup)
	wait(t, "a request at the new backend", b.Got).Answer("w")
	c.want("$1\r\nw")
}

// The address of a test's discovery is released at the end of the test. A client that kept
// calling it would accept answers of the next test's server.
func TestDiscoveryClientEndsWithItsTest(t *testing.T) {
	var r *rig
	t.Run("a test", func(t *testing.T) { r = startRig(t, newFakeDiscovery(t), nil) })
	if r.server.sources.ctx.Err() == nil {
		t.Error("discovery is still followed after its test has ended")
	}
}
