package main

import (
	"os"
	"syscall"
	"testing"

	"wickarch/internal/standin"
)

// Signals go on coming until the process has ended: from an operator who asks twice, or from a platform
// that asks after the process before. An ingress that has answered all it took has not crashed.
func TestSignalsToTheLastMomentEndItInOrder(t *testing.T) {
	s := around(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 384})
	for range 5 {
		s.begin(nil)
		p := s.Process
		if err := p.Cmd.Process.Signal(os.Interrupt); err != nil {
			t.Error(err)
		}
		go func() {
			for p.Cmd.Process.Signal(syscall.SIGTERM) == nil { // it fails once the process has ended
			}
		}()
		if err := p.Stop(patience); err != nil {
			t.Fatal(err)
		}
	}
}
