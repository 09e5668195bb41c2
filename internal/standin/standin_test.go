package standin

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// Who calls a port that was given back must not come to the stand-in that got it next.
func TestPortThatWasGivenBackLeadsNowhere(t *testing.T) {
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
		t.Errorf("who calls %v while %v is up gets %v, want a refusal", left, next.Addr(), err)
	}
}
