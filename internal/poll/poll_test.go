//go:build linux

package poll

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

// testTimeout bounds every wait of the tests; no test passes by reaching it.
const testTimeout = 30 * time.Second

func socketPair(t *testing.T) (local, remote int) {
	t.Helper()
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fds[0]); _ = syscall.Close(fds[1]) })
	return fds[0], fds[1]
}

func newPoller(t *testing.T) *Poller {
	t.Helper()
	p, err := New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// waitFor waits for an event that matches.
func waitFor(t *testing.T, p *Poller, matches func(fd int, tag int32, e Event) bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		found := false
		if err := p.Wait(end, func(fd int, tag int32, e Event) { found = found || matches(fd, tag, e) }); err != nil {
			t.Fatal(err)
		}
		if found {
			return
		}
	}
	t.Fatal("timed out waiting for an event")
}

// Each event carries its descriptor and tag, and is edge-triggered.
func TestEventsCarryTags(t *testing.T) {
	p := newPoller(t)
	local, remote := socketPair(t)
	if err := p.Add(local, 7); err != nil {
		t.Fatal(err)
	}
	waitFor(t, p, func(fd int, tag int32, e Event) bool { return fd == local && tag == 7 && e&Writable != 0 })
	if _, err := syscall.Write(remote, []byte("x")); err != nil {
		t.Error(err)
	}
	waitFor(t, p, func(fd int, tag int32, e Event) bool { return fd == local && tag == 7 && e&Readable != 0 })
	// The unread byte is reported only once.
	if err := p.Wait(time.Now().Add(5*time.Millisecond), func(int, int32, Event) { t.Error("an event was reported twice") }); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Shutdown(remote, syscall.SHUT_RDWR); err != nil {
		t.Error(err)
	}
	waitFor(t, p, func(fd int, tag int32, e Event) bool { return e&Disconnected != 0 })
}

// Guards against a lost wake-up: a byte that arrives between the poll and the parking of the goroutine.
func TestNoEventIsLostBetweenPollAndPark(t *testing.T) {
	p := newPoller(t)
	local, remote := socketPair(t)
	if err := p.Add(local, 1); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 16)
	echoed := make(chan struct{})
	go func() {
		for range 5000 {
			if _, err := syscall.Write(remote, []byte("x")); err != nil {
				t.Error(err)
			}
			<-echoed
		}
	}()
	for range 5000 {
		waitFor(t, p, func(fd int, _ int32, e Event) bool {
			n, _ := syscall.Read(local, buf)
			return n > 0
		})
		echoed <- struct{}{}
	}
}

// Wake from any goroutine, before or during a Wait, ends it each time.
func TestWakeEndsWait(t *testing.T) {
	p := newPoller(t)
	p.Wake()
	wait := func() {
		start := time.Now()
		if err := p.Wait(start.Add(testTimeout), func(int, int32, Event) {}); err != nil {
			t.Fatal(err)
		}
		if time.Since(start) >= testTimeout {
			t.Fatal("Wake did not end the Wait")
		}
	}
	wait()
	var waker sync.WaitGroup
	for n := range 2000 {
		waker.Add(1)
		go func() {
			defer waker.Done()
			p.Wake()
			if n%3 == 0 {
				p.Wake()
			}
		}()
		wait()
		waker.Wait()
		if err := p.Wait(time.Now(), func(int, int32, Event) {}); err != nil { // consumes a second Wake
			t.Error(err)
		}
	}
}

func TestWaitEndsAtDeadline(t *testing.T) {
	p := newPoller(t)
	for range 20 {
		at := time.Now().Add(3 * time.Millisecond)
		for time.Now().Before(at) {
			if err := p.Wait(at, func(int, int32, Event) {}); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestCloseEndsWait(t *testing.T) {
	p, err := New()
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error)
	go func() {
		for {
			if err := p.Wait(time.Time{}, func(int, int32, Event) {}); err != nil {
				ended <- err
				return
			}
		}
	}()
	p.Close()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("Wait on a closed poller returned no error")
		}
	case <-time.After(testTimeout):
		t.Fatal("Wait did not return after Close")
	}
}
