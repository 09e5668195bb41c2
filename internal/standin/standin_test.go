package standin

import (
	"errors"
	"net"
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
