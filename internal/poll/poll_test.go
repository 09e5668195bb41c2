//go:build linux

package poll

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

const patience = 30 * time.Second

func pair(t *testing.T) (near, far int) {
	t.Helper()
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fds[0]); _ = syscall.Close(fds[1]) })
	return fds[0], fds[1]
}

func poller(t *testing.T) *Poller {
	t.Helper()
	p, err := New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// until waits for an event of which ok holds.
func until(t *testing.T, p *Poller, ok func(fd int, tag int32, e Event) bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		found := false
		if err := p.Wait(end, func(fd int, tag int32, e Event) { found = found || ok(fd, tag, e) }); err != nil {
			t.Fatal(err)
		}
		if found {
			return
		}
	}
	t.Fatal("waited in vain for an event")
}

func TestEventsComeWithTheirTags(t *testing.T) {
	p := poller(t)
	near, far := pair(t)
	if err := p.Add(near, 7); err != nil {
		t.Fatal(err)
	}
	until(t, p, func(fd int, tag int32, e Event) bool { return fd == near && tag == 7 && e&Writable != 0 })
	if _, err := syscall.Write(far, []byte("x")); err != nil {
		t.Error(err)
	}
	until(t, p, func(fd int, tag int32, e Event) bool { return fd == near && tag == 7 && e&Readable != 0 })
	// An event that nobody reads off is told once.
	if err := p.Wait(time.Now().Add(5*time.Millisecond), func(int, int32, Event) { t.Error("told twice") }); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Shutdown(far, syscall.SHUT_RDWR); err != nil {
		t.Error(err)
	}
	until(t, p, func(fd int, tag int32, e Event) bool { return e&Disconnected != 0 })
}

// A byte that comes while the goroutine is on its way to park must wake it.
func TestNoEventIsLostBetweenLookAndPark(t *testing.T) {
	p := poller(t)
	near, far := pair(t)
	if err := p.Add(near, 1); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 16)
	echoed := make(chan struct{})
	go func() {
		for range 5000 {
			if _, err := syscall.Write(far, []byte("x")); err != nil {
				t.Error(err)
			}
			<-echoed
		}
	}()
	for range 5000 {
		until(t, p, func(fd int, _ int32, e Event) bool {
			n, _ := syscall.Read(near, buf)
			return n > 0
		})
		echoed <- struct{}{}
	}
}

// Wake ends a wait from any goroutine, each time, and before the wait too.
func TestWakeEndsAWait(t *testing.T) {
	p := poller(t)
	p.Wake()
	wait := func() {
		start := time.Now()
		if err := p.Wait(start.Add(patience), func(int, int32, Event) {}); err != nil {
			t.Fatal(err)
		}
		if time.Since(start) >= patience {
			t.Fatal("the wait was not ended")
		}
	}
	wait()
	var turn sync.WaitGroup
	for n := range 2000 {
		turn.Add(1)
		go func() {
			defer turn.Done()
			p.Wake()
			if n%3 == 0 {
				p.Wake()
			}
		}()
		wait()
		turn.Wait()
		if err := p.Wait(time.Now(), func(int, int32, Event) {}); err != nil { // take a second one off
			t.Error(err)
		}
	}
}

func TestWaitEndsAtItsTime(t *testing.T) {
	p := poller(t)
	for range 20 {
		at := time.Now().Add(3 * time.Millisecond)
		for time.Now().Before(at) {
			if err := p.Wait(at, func(int, int32, Event) {}); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestClosedPollerEndsTheWait(t *testing.T) {
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
			t.Error("the wait ends with no error")
		}
	case <-time.After(patience):
		t.Fatal("the wait goes on")
	}
}
