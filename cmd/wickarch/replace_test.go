package main

import (
	"net"
	"os"
	"syscall"
	"testing"

	"wickarch/internal/standin"
)

// The process is replaced again and again under load, on a listening socket that
// stays, and every third new one ends at its start. No request may be lost,
// find nobody, or run twice for it.
func TestProcessIsReplacedUnderLoad(t *testing.T) {
	s := around(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 384})
	s.hold()
	shared := t.TempDir()
	env := []string{"NODE_PASSED_SOCKET=3", "TMPDIR=" + shared}
	s.begin(nil, env...)
	judge := s.load(100)
	for n := range 9 {
		before := s.Process
		if n%3 == 2 {
			// It joins those that share the socket, and fails behind that.
			if p, err := s.node.Start(t.Context(), []string{os.Args[0], "-config", shared}, s.dir, append(env, asProgram+"=1")...); err == nil {
				p.Cmd.Process.Kill()
				t.Fatal("a start that fails was expected")
			}
			continue
		}
		if n%3 == 1 {
			if err := before.Cmd.Process.Signal(os.Interrupt); err != nil { // the old one is told before the new one is there
				t.Error(err)
			}
		}
		s.begin(nil, env...)
		if err := before.Stop(patience); err != nil {
			t.Fatalf("the process before ended with %v", err)
		}
	}
	judge()
}

// A start that fails leaves the shared socket blocking (os/exec hands it over so), and
// nobody sets that right. Clients that come then, and no other behind them, are served.
func TestStartThatFailsHoldsUpNobody(t *testing.T) {
	s := around(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 384})
	s.hold()
	shared := t.TempDir()
	env := []string{"NODE_PASSED_SOCKET=3", "TMPDIR=" + shared}
	s.begin(nil, env...)
	if p, err := s.node.Start(t.Context(), []string{os.Args[0], "-config", shared}, s.dir, append(env, asProgram+"=1")...); err == nil {
		p.Cmd.Process.Kill()
		t.Fatal("a start that fails was expected")
	}
	for range 3 {
		if got := s.asked(s.dial()); got != standin.Served {
			t.Fatalf("a request ends as %v", got)
		}
	}
	if err := s.Stop(patience); err != nil {
		t.Error(err)
	}
}

// A process that is stopped (SIGSTOP) keeps the right to take clients; killed, it
// gives it up at once, and who waited meanwhile is served by the next one.
func TestStoppedProcessGivesUpItsClientsWhenKilled(t *testing.T) {
	s := around(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 384})
	address := s.hold()
	env := []string{"NODE_PASSED_SOCKET=3", "TMPDIR=" + t.TempDir()}
	s.begin(nil, env...)
	before := s.Process
	if err := before.Cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	next, err := s.node.Start(t.Context(), []string{os.Args[0]}, s.dir, append(env, asProgram+"=1")...)
	if err != nil {
		t.Fatal(err)
	}
	c, err := standin.Dial(address, patience)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	id := standin.NewID()
	if err := c.Send(standin.Payment(1000, id, 20_000)...); err != nil {
		t.Fatal(err)
	}
	before.Cmd.Process.Kill()
	// It may not have heard of a backend yet, and then says so.
	got := c.Outcome(id)
	if ran := s.effects.Count(id); got != standin.Served && got != standin.Refused || (got == standin.Served) != (ran == 1) {
		t.Errorf("the outcome is %v, and it ran %d times", got, ran)
	}
	if err := next.Stop(patience); err != nil {
		t.Error(err)
	}
}

// hold opens a listening socket that stays, as a platform does, for processes to inherit.
func (s *site) hold() (address string) {
	s.Helper()
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { held.Close() })
	file, err := held.(*net.TCPListener).File()
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { _ = file.Close() })
	s.node.Listen, s.node.Files = held.Addr().String(), []*os.File{file}
	return s.node.Listen
}
