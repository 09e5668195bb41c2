package main

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"wickarch/internal/standin"
)

// Guards against requests that are lost, refused a connection or run twice when the process is replaced under load
// on a shared listening socket. Every third replacement fails at startup.
func TestProcessIsReplacedUnderLoad(t *testing.T) {
	s := newTestEnv(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 384})
	s.shareListener()
	shared := t.TempDir()
	env := []string{"NODE_PASSED_SOCKET=3", "TMPDIR=" + shared}
	s.startProcess(nil, env...)
	stopLoad := s.startLoad(100)
	for n := range 9 {
		before := s.Process
		if n%3 == 2 {
			// It inherits the shared socket and fails after that: -config names a directory.
			if p, err := s.node.Start(t.Context(), []string{os.Args[0], "-config", shared}, s.dir, append(env, programRoleEnv+"=1")...); err == nil {
				p.Cmd.Process.Kill()
				t.Fatal("the process started, want a failure at startup")
			}
			continue
		}
		if n%3 == 1 {
			if err := before.Cmd.Process.Signal(os.Interrupt); err != nil { // signalled before the new process starts
				t.Error(err)
			}
		}
		s.startProcess(nil, env...)
		if err := before.Stop(waitTimeout); err != nil {
			t.Fatalf("the previous process exited with %v", err)
		}
	}
	stopLoad()
}

// Guards against accept calls that block the ingress: os/exec passes the shared socket on in blocking mode, and a
// process that fails at startup leaves it so. Clients must be served even when no other connects after them.
func TestFailedStartDoesNotDelayClients(t *testing.T) {
	s := newTestEnv(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 384})
	s.shareListener()
	shared := t.TempDir()
	env := []string{"NODE_PASSED_SOCKET=3", "TMPDIR=" + shared}
	s.startProcess(nil, env...)
	if p, err := s.node.Start(t.Context(), []string{os.Args[0], "-config", shared}, s.dir, append(env, programRoleEnv+"=1")...); err == nil {
		p.Cmd.Process.Kill()
		t.Fatal("the process started, want a failure at startup")
	}
	for range 3 {
		if got := s.lookup(s.dial()); got != standin.Served {
			t.Fatalf("request outcome %v, want served", got)
		}
	}
	if err := s.Stop(waitTimeout); err != nil {
		t.Error(err)
	}
}

// Guards against a killed process that keeps the right to take clients: one suspended by SIGSTOP holds it, and the
// kernel must release it at SIGKILL, so that the next process serves the clients that wait.
func TestSuspendedProcessReleasesListenerWhenKilled(t *testing.T) {
	s := newTestEnv(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 384})
	address := s.shareListener()
	env := []string{"NODE_PASSED_SOCKET=3", "TMPDIR=" + t.TempDir()}
	s.startProcess(nil, env...)
	before := s.Process
	if err := before.Cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	next, err := s.node.Start(t.Context(), []string{os.Args[0]}, s.dir, append(env, programRoleEnv+"=1")...)
	if err != nil {
		t.Fatal(err)
	}
	c, err := standin.Dial(address, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	id := standin.NewID()
	if err := c.Send(standin.Payment(1000, id, 20_000)...); err != nil {
		t.Fatal(err)
	}
	before.Cmd.Process.Kill()
	// The next process may not know a backend yet, and then refuses the request.
	got := c.Outcome(id)
	if ran := s.effects.Count(id); got != standin.Served && got != standin.Refused || (got == standin.Served) != (ran == 1) {
		t.Errorf("request outcome %v after %d runs, want served after one or refused after none", got, ran)
	}
	if err := next.Stop(waitTimeout); err != nil {
		t.Error(err)
	}
}

// shareListener opens a listening socket for processes to inherit, as a platform does, and keeps it open.
func (s *testEnv) shareListener() (address string) {
	s.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { listener.Close() })
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { _ = file.Close() })
	s.node.Listen, s.node.Files = listener.Addr().String(), []*os.File{file}
	return s.node.Listen
}

// Guards against a request that runs twice because its id comes again at the next process: once after its answer, and
// once while it is still out and its client has left.
func TestRequestIDIsKnownToTheNextProcess(t *testing.T) {
	s := newTestEnv(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 384})
	s.shareListener()
	env := []string{"NODE_PASSED_SOCKET=3", "TMPDIR=" + t.TempDir()}
	s.startProcess(nil, env...)
	before := s.Process
	ids := []string{standin.NewID(), standin.NewID(), standin.NewID()}
	c := s.dial()
	if got := c.Ask(ids[0], standin.Payment(1000, ids[0], 5000)...); got != standin.Served {
		t.Fatalf("request outcome %v, want served", got)
	}
	s.startProcess(nil, env...) // waits beside the one before
	leaving := s.dial()
	if err := leaving.Send(standin.Payment(1000, ids[1], 5000)...); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitTimeout); s.effects.Count(ids[1]) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the second request did not reach a backend")
		}
	}
	leaving.Close()
	if err := before.Stop(waitTimeout); err != nil {
		t.Fatalf("the previous process exited with %v", err)
	}
	next := s.dial()
	for n, want := range []standin.Outcome{standin.Failed, standin.Failed, standin.Served} {
		if got := next.Ask(ids[n], standin.Payment(1000, ids[n], 5000)...); got != want {
			t.Errorf("outcome of id %d at the next process is %v, want %v", n, got, want)
		}
		if ran := s.effects.Count(ids[n]); ran != 1 {
			t.Errorf("the request with id %d ran %d times, want once", n, ran)
		}
	}
}
