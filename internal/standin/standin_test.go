package standin

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// Guards against a client of a closed stand-in reaching another one that was given the same
// port: each stand-in has an address of its own.
func TestReusedPortDoesNotReachAnotherStandin(t *testing.T) {
	before, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	left := before.Addr().(*net.TCPAddr)
	before.Close()
	next, err := listen(&net.ListenConfig{}, left.Port)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	if nc, err := net.Dial("tcp", left.String()); !errors.Is(err, syscall.ECONNREFUSED) {
		if err == nil {
			nc.Close()
		}
		t.Errorf("dial to the closed %v while %v listens: got %v, want connection refused", left, next.Addr(), err)
	}
}

// Guards against a change that is lost with a watch that its reader has given up: the next watch begins with it.
func TestWatchBeginsWithWhatHasChanged(t *testing.T) {
	d := NewDiscovery()
	defer d.Stop()
	const change = `{"revision":8,"complete":false,"members":[{"id":"a"}]}`
	for _, step := range []struct{ index, first string }{
		{"7", `{"revision":7,"complete":false,"members":[]}`},
		{"7", change},
		{"8", `{"revision":8,"complete":false,"members":[]}`},
	} {
		watch, err := http.Get(d.URL + "/api/targets?stream=1&index=" + step.index)
		if err != nil {
			t.Fatal(err)
		}
		defer watch.Body.Close()
		lines := bufio.NewReader(watch.Body)
		if got, err := lines.ReadString('\n'); err != nil || strings.TrimSpace(got) != step.first {
			t.Errorf("a watch from %s begins with %q, want %s (%v)", step.index, got, step.first, err)
		}
		if step.first != change {
			d.Lines <- change
			if got, err := lines.ReadString('\n'); err != nil || strings.TrimSpace(got) != change {
				t.Errorf("the watch went on with %q, want the change (%v)", got, err)
			}
		}
		d.Lines <- "end"
	}
}
