//go:build linux

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wickarch/internal/faultinject"
	"wickarch/internal/lifecycle"
	"wickarch/internal/standin"
)

// These tests run the real program while selected system calls of it fail in ways that Linux documents (issue 51).
// They check what clients and backends see.

// faultTestDeadline is the deadline of requests in these tests. A request without a response by then is lost.
const faultTestDeadline = 3 * time.Second

// configFileName is the name of the configuration file.
const configFileName = "n.json"

// tracedEnv is the program under a tracer that injects faults into its system calls.
type tracedEnv struct {
	*testEnv
	control      *faultinject.Control
	admin        string             // address of its admin server
	initialRules []faultinject.Rule // in force from the program's start
}

// startTraced starts the program under a tracer, after it has applied changes to the environment.
func startTraced(t *testing.T, change ...func(*tracedEnv)) *tracedEnv {
	t.Helper()
	f := &tracedEnv{testEnv: newTestEnv(t, defaultLimits)}
	f.node.Settings = json.RawMessage(strings.ReplaceAll(string(f.node.Settings), `"give_up_ms":20000`,
		fmt.Sprintf(`"give_up_ms":%d`, faultTestDeadline.Milliseconds())))
	f.node.Prepare = func(cmd *exec.Cmd) (err error) {
		f.control, err = faultinject.NewControl(cmd)
		return err
	}
	for _, c := range change {
		c(f)
	}
	env, err := faultinject.TracerEnv("", 1, f.initialRules...)
	if err != nil {
		t.Fatal(err)
	}
	if f.admin, err = standin.Reserve(); err != nil {
		t.Fatal(err)
	}
	f.startProcess(nil, append(env, "NODE_MGMT="+f.admin)...)
	return f
}

// setRules replaces the rules in force.
func (f *tracedEnv) setRules(rules ...faultinject.Rule) {
	f.Helper()
	if _, err := f.control.Set(rules...); err != nil {
		f.Error(err)
	}
}

// requestArgs returns the arguments of a lookup or payment, depending on the id.
func requestArgs(id string) []string {
	if standin.PaymentID(id) {
		return standin.Payment(1, id, int(faultTestDeadline.Milliseconds()))
	}
	return standin.Lookup(1, id, int(faultTestDeadline.Milliseconds()))
}

// newIDs returns n request ids, alternately of a lookup and a payment.
func newIDs(n int) (ids []string) {
	for i := range n {
		kind := "0"
		if i%2 == 1 {
			kind = "f"
		}
		ids = append(ids, kind+standin.NewID()[1:])
	}
	return ids
}

// sendAll pipelines requests on one connection and returns their outcomes.
func (f *tracedEnv) sendAll(c *standin.Client, ids []string) (outcomes []standin.Outcome) {
	c.SetDeadline(time.Now().Add(faultTestDeadline + time.Second))
	var all []byte
	for _, id := range ids {
		all = append(all, standin.Encode(requestArgs(id)...)...)
	}
	if _, err := c.Write(all); err != nil {
		f.Error(err)
	}
	for _, id := range ids {
		outcomes = append(outcomes, c.Outcome(id))
	}
	return outcomes
}

// expectServed checks that each request was served, that no payment ran twice, and that the ingress counted no
// violation.
func (f *tracedEnv) expectServed(ids []string, outcomes []standin.Outcome) {
	f.Helper()
	unserved := map[standin.Outcome]int{}
	for i := range ids {
		if outcomes[i] != standin.Served {
			unserved[outcomes[i]]++
		}
	}
	if len(unserved) > 0 {
		f.Errorf("requests not served, of %d, by outcome: %v (2 failed, 3 unsent, 4 lost, 5 wrong)", len(ids), unserved)
	}
	f.expectNoPaymentTwice()
	f.expectNoViolations()
}

// expectNoViolations checks that the ingress has counted no violation of the request lifecycle.
func (f *tracedEnv) expectNoViolations() {
	f.Helper()
	if f.Exited() {
		return
	}
	for v := lifecycle.None + 1; v < lifecycle.NumViolations; v++ {
		if n := f.events(v.String()); n > 0 {
			f.Errorf("violation of the request lifecycle: %s, %d times", v, n)
		}
	}
}

// Guards against requests that are never read: a short read was taken to mean that the socket was empty, and the
// edge-triggered poller reports each arrival once.
func TestRequestsAreAnsweredAfterShortReads(t *testing.T) {
	for _, c := range []struct {
		name string
		call faultinject.Call
	}{{"from clients", faultinject.ReadClient}, {"from backends", faultinject.ReadBackend}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startTraced(t)
			f.setRules(faultinject.Rule{Call: c.call, Fault: faultinject.Short, Share: 1})
			for range 5 {
				ids := newIDs(4)
				started := time.Now()
				f.expectServed(ids, f.sendAll(f.dial(), ids))
				if took := time.Since(started); took > faultTestDeadline {
					t.Errorf("the responses took %v", took)
				}
			}
		})
	}
}

// Guards against payments that run twice: a refusal proves that nothing has run only if no data follows it, which a
// short read does not show.
func TestRefusalFollowedByMoreDataIsNotRetried(t *testing.T) {
	f := startTraced(t)
	f.setRules(faultinject.Rule{Call: faultinject.ReadBackend, Fault: faultinject.Short, Share: 1, MaxBytes: len("-BUSY\r\n")})
	for range 5 {
		id := newIDs(2)[1]
		c := f.dial()
		if err := c.Send(standin.Payment(ambiguousRefusalCustomer, id, int(faultTestDeadline.Milliseconds()))...); err != nil {
			t.Fatal(err)
		}
		if got := c.Outcome(id); got != standin.Failed {
			t.Errorf("request outcome %d, want 2 (failed)", got)
		}
	}
	f.expectNoPaymentTwice()
}

// Guards against payments that run twice: a refusal counted as one that nothing follows if the read behind it failed.
func TestRefusalBehindWhichNothingCanBeReadIsNotRetried(t *testing.T) {
	for _, fault := range []string{"ENOMEM", "EINTR"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			share := 0.5
			if fault == "EINTR" {
				share = 0.97 // the read is repeated until it has been interrupted maxInterrupts times
			}
			f := startTraced(t)
			f.setRules(faultinject.Rule{Call: faultinject.ReadBackend, Fault: fault, Share: share},
				faultinject.Rule{Call: faultinject.ReadBackend, Fault: faultinject.Short, Share: 1, MaxBytes: len("-BUSY\r\n")})
			sent := 0
			for range 20 {
				id := newIDs(2)[1]
				c := f.dial()
				if err := c.Send(standin.Payment(ambiguousRefusalCustomer, id, int(faultTestDeadline.Milliseconds()))...); err != nil {
					t.Fatal(err)
				}
				got, runs := c.Outcome(id), f.effects.Count(id)
				sent += runs
				// With failing looks at its connections a payment may never be sent; then it may be refused.
				if got != standin.Failed && (got != standin.Refused || runs > 0) {
					t.Errorf("payment that ran %d times: outcome %d, want 2 (failed)", runs, got)
				}
			}
			if sent == 0 {
				t.Error("no payment was sent, the test is inconclusive")
			}
			f.expectNoPaymentTwice()
			f.expectNoViolations()
		})
	}
}

// Guards against connections that are left in the listen queue: all accept errors but two were treated as a lack of
// descriptors, which reduced the connection slots for seconds.
func TestConnectionsAreAcceptedAfterAcceptErrors(t *testing.T) {
	const maxLatency = 900 * time.Millisecond // for requests that arrive while accept fails
	for _, fault := range []string{"ECONNABORTED", "EINTR", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPROTO", "ENETDOWN",
		"EHOSTUNREACH", "EPERM"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			f := startTraced(t)
			for range 8 { // busy connections, none of which can be closed to make room
				f.sendHangingPayment(f.dial(), 20_000)
			}
			f.setRules(faultinject.Rule{Call: faultinject.Accept, Fault: fault, Share: 1, MaxFaults: 5})
			begun := time.Now()
			f.expectClientsServed(30)
			if took := time.Since(begun); took > maxLatency {
				t.Errorf("the responses took %v, want %v at most", took, maxLatency)
			}
		})
	}
}

// expectClientsServed has n clients connect concurrently and keep their connections, and checks that the request of
// each is served.
func (f *tracedEnv) expectClientsServed(n int) {
	f.Helper()
	ids, outcomes := newIDs(n), make([]standin.Outcome, n)
	var all sync.WaitGroup
	for i := range ids {
		c := f.dial() // all stay open until the end, so none makes room for another
		all.Go(func() { outcomes[i] = f.sendAll(c, ids[i:i+1])[0] })
	}
	all.Wait()
	f.expectServed(ids, outcomes)
}

// Guards against requests that are reset when the listener closes at shutdown: the last pass over its queue stopped
// at the first accept error.
func TestShutdownServesQueuedConnectionsDespiteAcceptErrors(t *testing.T) {
	f := startTraced(t)
	f.setRules(faultinject.Rule{Call: faultinject.Accept, Fault: "ENOBUFS", Share: 1})
	ids, outcomes := newIDs(10), make([]standin.Outcome, 10)
	var all sync.WaitGroup
	for i := range ids {
		c := f.dial()
		all.Go(func() { outcomes[i] = f.sendAll(c, ids[i:i+1])[0] })
	}
	if err := f.Cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(600 * time.Millisecond) // how long the fault lasts: longer than the listener usually stays open
	f.setRules()
	all.Wait()
	f.expectServed(ids, outcomes)
	if err := f.Stop(waitTimeout); err != nil {
		t.Error(err)
	}
}

// Guards against connections that are closed with a request pending because registering them with the poller failed.
func TestConnectionsAreServedAfterPollerRegistrationErrors(t *testing.T) {
	for _, fault := range []string{"ENOMEM", "ENOSPC"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			f := startTraced(t)
			f.setRules(faultinject.Rule{Call: faultinject.Watch, Fault: fault, Share: 1, MaxFaults: 5})
			f.expectClientsServed(10)
		})
	}
}

// Guards against responses that are dropped with their connection because of a transient write error.
func TestResponsesAreWrittenAfterTransientWriteErrors(t *testing.T) {
	for _, fault := range []string{"ENOBUFS", "ENOMEM", "EAGAIN", "EINTR", faultinject.Short} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			f := startTraced(t)
			for range 5 {
				ids := newIDs(4)
				c := f.dial()
				f.setRules(faultinject.Rule{Call: faultinject.WriteClient, Fault: fault, Share: 1, MaxFaults: 3})
				f.expectServed(ids, f.sendAll(c, ids))
			}
		})
	}
}

// Guards against requests that fail or run twice because of transient errors when they are sent to a backend.
func TestRequestsAreSentAfterTransientErrors(t *testing.T) {
	for _, c := range []struct {
		call  faultinject.Call
		fault string
	}{
		{faultinject.Socket, "ENFILE"}, {faultinject.Socket, "ENOBUFS"}, {faultinject.Connect, "EADDRNOTAVAIL"},
		{faultinject.Connect, "ENETUNREACH"},
		{faultinject.Connect, "ENOBUFS"}, {faultinject.WriteBackend, "ENOBUFS"}, {faultinject.WriteBackend, "EAGAIN"},
		{faultinject.WriteBackend, faultinject.Short}, {faultinject.Watch, "ENOMEM"}, {faultinject.Poll, "EINTR"},
	} {
		t.Run(fmt.Sprint(c.call, " ", c.fault), func(t *testing.T) {
			t.Parallel()
			f := startTraced(t)
			client := f.dial()
			f.expectServed([]string{"0" + standin.NewID()[1:]}, []standin.Outcome{standin.Served})
			f.setRules(faultinject.Rule{Call: c.call, Fault: c.fault, Share: 1, MaxFaults: 6})
			ids := newIDs(4)
			f.expectServed(ids, f.sendAll(client, ids))
		})
	}
}

// Guards against requests that use up all attempts at once because the system has no port, buffer or route for a
// connection. Such errors are not the backends' and must not count as failed attempts.
func TestTransientConnectErrorsUseNoAttempts(t *testing.T) {
	for _, fault := range []string{"EADDRNOTAVAIL", "EAGAIN", "ENOBUFS", "ENETUNREACH"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			f := startTraced(t)
			f.setRules(faultinject.Rule{Call: faultinject.Connect, Fault: fault, Share: 1, MaxFaults: 5})
			ids := newIDs(2)[1:]
			f.expectServed(ids, f.sendAll(f.dial(), ids))
			if n := f.events("dial-failed"); n > 0 {
				t.Errorf("dial-failed counts %d attempts, want 0", n)
			}
		})
	}
}

// Guards against connections that are treated as closed because a call on them was interrupted (EINTR).
func TestInterruptedCallsCloseNoConnection(t *testing.T) {
	f := startTraced(t)
	f.setRules(faultinject.Rule{Call: faultinject.ReadBackend, Fault: "EINTR", Share: 0.5},
		faultinject.Rule{Call: faultinject.ReadClient, Fault: "EINTR", Share: 0.5},
		faultinject.Rule{Call: faultinject.Poll, Fault: "EINTR", Share: 0.5})
	c := f.dial()
	for range 20 {
		ids := newIDs(1)
		f.expectServed(ids, f.sendAll(c, ids))
	}
	if n := f.events("refused"); n > 0 {
		t.Errorf("%d connections to the backend were abandoned", n)
	}
}

// get returns the body of a page of the admin server.
func (f *tracedEnv) get(path string) string {
	f.Helper()
	answer, err := http.Get("http://" + f.admin + path)
	if err != nil {
		f.Fatal(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		f.Fatal(err)
	}
	return string(text)
}

// events returns an event's count in /status/events.
func (f *tracedEnv) events(name string) (n int) {
	f.Helper()
	text := f.get("/status/events")
	for _, field := range strings.Fields(text) {
		if value, ok := strings.CutPrefix(field, name+"="); ok {
			n, err := strconv.Atoi(value)
			if err != nil {
				f.Fatal(err)
			}
			return n
		}
	}
	f.Fatalf("/status/events has no count of %q: %s", name, text)
	return 0
}

// Guards against backends that get a longer deadline than their client has left: the message was encoded when the
// attempt began and sent when the system accepted it, or the request was read long after it had arrived.
func TestBackendsGetTheRemainingDeadline(t *testing.T) {
	const (
		faultDuration = 300 * time.Millisecond // how long the fault lasts
		slack         = 150 * time.Millisecond
	)
	for _, fault := range []faultinject.Rule{
		{Call: faultinject.WriteBackend, Fault: "ENOBUFS", Share: 1}, {Call: faultinject.WriteBackend, Fault: "EAGAIN", Share: 1},
		{Call: faultinject.ReadClient, Fault: "EINTR", Share: 1}, {Call: faultinject.ReadClient, Fault: "ENOMEM", Share: 1},
		{Call: faultinject.Poll, Fault: "EINTR", Share: 1}, {Call: faultinject.Accept, Fault: "ENFILE", Share: 1},
	} {
		t.Run(fmt.Sprint(fault.Call, " ", fault.Fault), func(t *testing.T) {
			t.Parallel()
			f := startTraced(t)
			kept := f.dial()
			warm := newIDs(2)
			f.expectServed(warm, f.sendAll(kept, warm))
			f.setRules(fault)
			ids := newIDs(6)
			sent := time.Now()
			var all sync.WaitGroup
			for i, id := range ids {
				c := kept
				if i > 0 {
					c = f.dial()
				}
				all.Go(func() { f.expectServed([]string{id}, f.sendAll(c, []string{id})) })
			}
			time.Sleep(faultDuration)
			f.setRules()
			all.Wait()
			for _, id := range ids {
				value, recorded := f.sentDeadlines.Load(id)
				if !recorded {
					continue // not served, which expectServed has reported
				}
				deadline := value.(sentDeadline)
				if left := sent.Add(faultTestDeadline).Sub(deadline.at); deadline.limit > left+slack {
					t.Errorf("a backend got a deadline of %v with %v left", deadline.limit, left)
				}
			}
		})
	}
}

// Guards against connection slots that are taken away for a shortage that this process did not cause: idle
// connections were closed then, so the process never held more connections than at the failure, and the slots were
// not restored.
func TestSystemWideShortageKeepsConnectionSlots(t *testing.T) {
	const prompt = 900 * time.Millisecond
	for _, fault := range []faultinject.Rule{
		{Call: faultinject.Accept, Fault: "ENFILE", Share: 1, MaxFaults: 20}, {Call: faultinject.Watch, Fault: "ENOMEM", Share: 1, MaxFaults: 20},
	} {
		t.Run(fmt.Sprint(fault.Call, " ", fault.Fault), func(t *testing.T) {
			t.Parallel()
			f := startTraced(t)
			for range 12 {
				c := f.dial()
				ids := newIDs(1)
				f.expectServed(ids, f.sendAll(c, ids)) // leaves an idle connection
			}
			f.setRules(fault)
			for range 40 {
				f.dial() // sends nothing and occupies a slot
			}
			begun := time.Now()
			f.expectClientsServed(10)
			if took := time.Since(begun); took > prompt {
				t.Errorf("the responses took %v, want %v at most", took, prompt)
			}
		})
	}
}

// Guards against requests that hang or run twice when connections to backends break: each such error closes the
// connection, and each request gets a final response.
func TestBrokenBackendConnectionsLoseNoRequest(t *testing.T) {
	for _, fault := range []string{"ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			f := startTraced(t)
			for _, call := range []faultinject.Call{faultinject.ReadBackend, faultinject.WriteBackend} {
				f.setRules(faultinject.Rule{Call: call, Fault: fault, Share: 0.5, Broken: true})
				ids := newIDs(20)
				for i, got := range f.sendAll(f.dial(), ids) {
					if got > standin.Failed {
						t.Errorf("request %s under faults of %s: outcome %d (3 unsent, 4 lost, 5 wrong)", ids[i], call, got)
					}
				}
			}
			f.expectNoPaymentTwice()
		})
	}
}

// Guards against a new configuration that is ignored because its file could not be read at the time of SIGHUP.
func TestReloadIsRetriedUntilFileIsReadable(t *testing.T) {
	for _, fault := range []faultinject.Rule{
		{Call: faultinject.Open, Path: configFileName, Fault: "EIO", Share: 1},
		{Call: faultinject.Open, Path: configFileName, Fault: "ENFILE", Share: 1},
		{Call: faultinject.Open, Path: configFileName, Fault: "ENOMEM", Share: 1},
		{Call: faultinject.ReadFile, Path: configFileName, Fault: "EIO", Share: 1},
	} {
		t.Run(fmt.Sprint(fault.Call, " ", fault.Fault), func(t *testing.T) {
			t.Parallel()
			f := startTraced(t)
			second := standin.NewDiscovery(f.member)
			t.Cleanup(second.Stop)
			second.Open()
			f.node.Discovery = second.Addr()
			if _, err := f.node.Write(f.dir); err != nil {
				t.Fatal(err)
			}
			f.setRules(fault)
			if err := f.Cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			time.Sleep(500 * time.Millisecond) // how long the fault lasts
			f.setRules()
			select {
			case <-second.Watched:
			case <-time.After(4 * time.Second): // from SIGHUP on the ingress must follow the new address's list
				t.Error("the new discovery address is not watched")
			}
		})
	}
}

// Guards against a process that is killed by SIGTERM while startup retries a failed call: it has accepted nothing
// and must exit with code 0.
func TestStartupThatRetriesExitsOnSIGTERM(t *testing.T) {
	s := newTestEnv(t, defaultLimits)
	s.node.Name = "waits"
	if _, err := s.node.Write(s.dir); err != nil {
		t.Fatal(err)
	}
	cmd, err := faultinject.Command(t.Context(), 1, []string{programRoleEnv + "=1", "NODE_CONFIG=" + s.dir + "/waits.json"},
		faultinject.Rule{Call: faultinject.Open, Path: "waits.json", Fault: "EIO", Share: 1})
	if err != nil {
		t.Fatal(err)
	}
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err = cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(log)
	if !lines.Scan() || !strings.Contains(lines.Text(), "waits for a system call") {
		t.Errorf("the program logged %q, want a report of the retry", lines.Text())
	}
	if err = cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() { // until the program exits
	}
	if err = cmd.Wait(); err != nil {
		t.Errorf("the program exited with %v", err)
	}
}

// Guards against an ingress that exits because the reader of its log has exited (SIGPIPE).
func TestClosedLogPipeDoesNotStopProgram(t *testing.T) {
	s := newTestEnv(t, defaultLimits)
	var err error
	if s.node.Listen, err = standin.Reserve(); err != nil {
		t.Fatal(err)
	}
	path, err := s.node.Write(s.dir)
	if err != nil {
		t.Fatal(err)
	}
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), programRoleEnv+"=1", "NODE_CONFIG="+path)
	cmd.Stderr = write
	if err = cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = write.Close()
	if err = standin.WaitReady(s.node.Listen, waitTimeout); err != nil {
		t.Fatal(err)
	}
	_ = read.Close()
	for range 3 { // each reload is logged
		if err = cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		select {
		case <-s.discovery.Watched:
		case <-time.After(waitTimeout):
			t.Fatal("the program no longer watches discovery")
		}
	}
	c, err := standin.Dial(s.node.Listen, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	id := standin.NewID()
	if got := c.Ask(id, standin.Lookup(1, id, int(clientDeadline.Milliseconds()))...); got != standin.Served {
		t.Errorf("request outcome %d, want served", got)
	}
	if err = cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err = cmd.Wait(); err != nil {
		t.Errorf("the program exited with %v", err)
	}
}

// Guards against deadlines, timers and backend start times that depend on the local wall clock: it is stepped while
// requests arrive, and a backend that starts after the step, by the clock of all machines, must be cold.
func TestWallClockStepsChangeNothing(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			f := startTraced(t, func(f *tracedEnv) {
				f.node.Settings = json.RawMessage(strings.ReplaceAll(string(f.node.Settings), `"cold_ms":1000`, `"cold_ms":25000`))
			})
			c := f.dial()
			hangingID := newIDs(1)[0]
			hangingClient := f.dial()
			sent := time.Now()
			if err := hangingClient.Send(standin.Lookup(unansweredCustomer, hangingID, 1000)...); err != nil {
				t.Fatal(err)
			}
			if err := f.control.StepClock(step); err != nil {
				t.Fatal(err)
			}
			ids := newIDs(10)
			f.expectServed(ids, f.sendAll(c, ids))
			if got := hangingClient.Outcome(hangingID); got > standin.Failed {
				t.Errorf("the hanging request got outcome %d", got)
			}
			if took := time.Since(sent); took < 900*time.Millisecond || took > 1500*time.Millisecond {
				t.Errorf("the hanging request with a deadline of 1s took %v", took)
			}
			cold := f.member
			cold.ID, cold.UpSince = "cold", time.Now().Add(step).UnixMilli()
			line, err := json.Marshal(map[string]any{"revision": standin.FirstRevision + 1, "complete": false, "members": []standin.Member{cold}})
			if err != nil {
				t.Fatal(err)
			}
			select {
			case f.discovery.Lines <- string(line):
			case <-time.After(waitTimeout):
				t.Fatal("discovery is not watched")
			}
			for end := time.Now().Add(waitTimeout); !strings.Contains(f.get("/status/backends"), "cold state="); {
				if time.Now().After(end) {
					t.Fatal("/status/backends does not list the new backend")
				}
				time.Sleep(time.Millisecond)
			}
			for line := range strings.Lines(f.get("/status/backends")) {
				if strings.HasPrefix(line, "cold ") && strings.Contains(line, "warmth=1.00") {
					t.Errorf("a newly started backend is warm: %s", line)
				}
			}
			if err := f.Stop(waitTimeout); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against two processes that take clients at once because the lock between them failed transiently.
func TestHandoverRetriesAfterLockErrors(t *testing.T) {
	for _, fault := range []faultinject.Rule{
		{Call: faultinject.Open, Path: "wickarch.held", Fault: "EIO", Share: 1, MaxFaults: 3},
		{Call: faultinject.Open, Path: "wickarch.next", Fault: "ENOSPC", Share: 1, MaxFaults: 3},
		{Call: faultinject.Lock, Fault: "ENOLCK", Share: 1, MaxFaults: 3},
	} {
		t.Run(fmt.Sprint(fault.Call, " ", fault.Fault), func(t *testing.T) {
			t.Parallel()
			s := newTestEnv(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 384})
			s.shareListener()
			shared := []string{"NODE_PASSED_SOCKET=3", "TMPDIR=" + t.TempDir()}
			s.startProcess(nil, shared...)
			traced, err := faultinject.TracerEnv("", 1, fault)
			if err != nil {
				t.Fatal(err)
			}
			next, err := s.node.Start(t.Context(), []string{os.Args[0]}, s.dir, append(append(traced, shared...), programRoleEnv+"=1")...)
			if err != nil {
				t.Fatal(err)
			}
			if err = s.Stop(waitTimeout); err != nil {
				t.Errorf("the previous process exited with %v", err)
			}
			if err = standin.WaitReady(s.node.Listen, waitTimeout); err != nil {
				t.Fatal(err)
			}
			if err = next.Stop(waitTimeout); err != nil {
				t.Error(err)
			}
			for _, line := range next.Log() {
				if strings.Contains(line, "beside the process before") {
					t.Errorf("the next process logged %q", line)
				}
			}
		})
	}
}

// Guards against a process that exits at startup because of a transient error.
func TestStartupRetriesFailedCalls(t *testing.T) {
	for _, fault := range []faultinject.Rule{
		{Call: faultinject.ReadFile, Path: configFileName, Fault: "EIO", Share: 1, MaxFaults: 3},
		{Call: faultinject.Open, Path: configFileName, Fault: "ENFILE", Share: 1, MaxFaults: 3},
		{Call: faultinject.Socket, Fault: "ENOBUFS", Share: 1, MaxFaults: 3}, {Call: faultinject.Socket, Fault: "ENFILE", Share: 1, MaxFaults: 3},
		// Skips the first call, by the Go runtime, which would abort the process if it failed.
		{Call: faultinject.Watch, Skip: 1, Fault: "ENOMEM", Share: 1, MaxFaults: 3},
	} {
		t.Run(fmt.Sprint(fault.Call, " ", fault.Fault), func(t *testing.T) {
			t.Parallel()
			f := startTraced(t, func(f *tracedEnv) { f.initialRules = []faultinject.Rule{fault} })
			f.setRules()
			f.expectClientsServed(5)
			if err := f.Stop(waitTimeout); err != nil {
				t.Error(err)
			}
		})
	}
}
