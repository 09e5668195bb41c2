package main

import (
	"os"
	"syscall"
	"testing"

	"wickarch/internal/standin"
)

// Guards against an ingress that is killed by a signal after it has answered all requests, and so seems to have
// crashed. Signals keep arriving until the process exits, from an operator who repeats them or from a platform that
// signals a process again once its replacement has started.
func TestRepeatedSignalsDuringShutdownExitCleanly(t *testing.T) {
	s := newTestEnv(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 384})
	for range 5 {
		s.startProcess(nil)
		p := s.Process
		if err := p.Cmd.Process.Signal(os.Interrupt); err != nil {
			t.Error(err)
		}
		go func() {
			for p.Cmd.Process.Signal(syscall.SIGTERM) == nil { // fails once the process has exited
			}
		}()
		if err := p.Stop(waitTimeout); err != nil {
			t.Fatal(err)
		}
	}
}
