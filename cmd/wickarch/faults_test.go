//go:build linux && amd64

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

// The tests here run the real program while chosen system calls of it fail, as Linux
// documents that they may (issue 51). They judge by what clients and backends see.

// faultyDeadline is that of requests under faults; what has no answer by then is lost.
const faultyDeadline = 3 * time.Second

// configName is how the file of the configuration is called.
const configName = "n.json"

// faulty is the program under a tracer.
type faulty struct {
	*site
	control *faultinject.Control
	admin   string             // its second address
	first   []faultinject.Rule // in force from its first moment
}

// startFaulty starts the program, changed before.
func startFaulty(t *testing.T, change ...func(*faulty)) *faulty {
	t.Helper()
	f := &faulty{site: around(t, limits)}
	f.node.Settings = json.RawMessage(strings.ReplaceAll(string(f.node.Settings), `"give_up_ms":20000`,
		fmt.Sprintf(`"give_up_ms":%d`, faultyDeadline.Milliseconds())))
	f.node.Prepare = func(cmd *exec.Cmd) (err error) {
		f.control, err = faultinject.NewControl(cmd)
		return err
	}
	for _, c := range change {
		c(f)
	}
	env, err := faultinject.TracerEnv("", 1, f.first...)
	if err != nil {
		t.Fatal(err)
	}
	if f.admin, err = standin.Reserve(); err != nil {
		t.Fatal(err)
	}
	f.begin(nil, append(env, "NODE_MGMT="+f.admin)...)
	return f
}

// set puts rules in force.
func (f *faulty) set(rules ...faultinject.Rule) {
	f.Helper()
	if _, err := f.control.Set(rules...); err != nil {
		f.Error(err)
	}
}

// words are those of a lookup, or of a payment.
func words(id string) []string {
	if standin.PaymentID(id) {
		return standin.Payment(1, id, int(faultyDeadline.Milliseconds()))
	}
	return standin.Lookup(1, id, int(faultyDeadline.Milliseconds()))
}

// newIDs are those of lookups and payments in turn.
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

// sendAll writes requests behind each other on one connection, and tells what they end with.
func (f *faulty) sendAll(c *standin.Client, ids []string) (outcomes []standin.Outcome) {
	c.SetDeadline(time.Now().Add(faultyDeadline + time.Second))
	var all []byte
	for _, id := range ids {
		all = append(all, standin.Encode(words(id)...)...)
	}
	if _, err := c.Write(all); err != nil {
		f.Error(err)
	}
	for _, id := range ids {
		outcomes = append(outcomes, c.Outcome(id))
	}
	return outcomes
}

// judge wants each outcome to be served.
func (f *faulty) judge(ids []string, outcomes []standin.Outcome) {
	f.Helper()
	bad := map[standin.Outcome]int{}
	for i := range ids {
		if outcomes[i] != standin.Served {
			bad[outcomes[i]]++
		}
	}
	if len(bad) > 0 {
		f.Errorf("of %d requests these were not served: %v (2 failed, 3 unsent, 4 lost, 5 wrong)", len(ids), bad)
	}
	f.once()
	f.keepsTheRule()
}

// keepsTheRule wants the ingress to have counted no step that the rule on requests forbids.
func (f *faulty) keepsTheRule() {
	f.Helper()
	if f.Exited() {
		return
	}
	for v := lifecycle.None + 1; v < lifecycle.NumViolations; v++ {
		if n := f.events(v.String()); n > 0 {
			f.Errorf("violations of the rule on requests: %s, %d times", v, n)
		}
	}
}

// Guards against requests that nobody reads: a read that returned less than was there was taken for
// a socket that is empty, and the poller tells of each arrival once.
func TestRequestsReadInPiecesAreAnswered(t *testing.T) {
	for _, c := range []struct {
		name string
		call faultinject.Call
	}{{"from clients", faultinject.ReadClient}, {"from backends", faultinject.ReadBackend}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startFaulty(t)
			f.set(faultinject.Rule{Call: c.call, Fault: faultinject.Short, Share: 1})
			for range 5 {
				ids := newIDs(4)
				begun := time.Now()
				f.judge(ids, f.sendAll(f.dial(), ids))
				if took := time.Since(begun); took > faultyDeadline {
					t.Errorf("the answers took %v", took)
				}
			}
		})
	}
}

// Guards against payments that run twice: a refusal proves that nothing has run only if nothing stands
// behind it, which a short read does not show.
func TestRefusalWithMoreBehindItIsNotRepeated(t *testing.T) {
	f := startFaulty(t)
	f.set(faultinject.Rule{Call: faultinject.ReadBackend, Fault: faultinject.Short, Share: 1, MaxBytes: len("-BUSY\r\n")})
	for range 5 {
		id := newIDs(2)[1]
		c := f.dial()
		if err := c.Send(standin.Payment(unclear, id, int(faultyDeadline.Milliseconds()))...); err != nil {
			t.Fatal(err)
		}
		if got := c.Outcome(id); got != standin.Failed {
			t.Errorf("it ended as %d, want 2, failed", got)
		}
	}
	f.once()
}

// Guards against connections that are left in the listener's queue: each error of accept but two counted
// as a lack of descriptors, and the places for clients were taken away for seconds.
func TestConnectionsAreTakenOnceAcceptSucceeds(t *testing.T) {
	const prompt = 900 * time.Millisecond // the deadline of those that come while accept fails
	for _, fault := range []string{"ECONNABORTED", "EINTR", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPROTO", "ENETDOWN", "EHOSTUNREACH", "EPERM"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			f := startFaulty(t)
			for range 8 { // these are busy: none of them makes room
				f.open(f.dial(), 20_000)
			}
			f.set(faultinject.Rule{Call: faultinject.Accept, Fault: fault, Share: 1, MaxFaults: 5})
			begun := time.Now()
			f.takesClients(30)
			if took := time.Since(begun); took > prompt {
				t.Errorf("the answers took %v, want %v at most", took, prompt)
			}
		})
	}
}

// takesClients has so many clients connect at once, each with a request that holds its connection.
func (f *faulty) takesClients(n int) {
	f.Helper()
	ids, outcomes := newIDs(n), make([]standin.Outcome, n)
	var all sync.WaitGroup
	for i := range ids {
		c := f.dial() // all are held to the end: none makes room for another
		all.Go(func() { outcomes[i] = f.sendAll(c, ids[i:i+1])[0] })
	}
	all.Wait()
	f.judge(ids, outcomes)
}

// Guards against requests that are reset with the listener: the last look at its queue ended with the
// first error of accept.
func TestStopTakesWhatWaitsThoughAcceptFails(t *testing.T) {
	f := startFaulty(t)
	f.set(faultinject.Rule{Call: faultinject.Accept, Fault: "ENOBUFS", Share: 1})
	ids, outcomes := newIDs(10), make([]standin.Outcome, 10)
	var all sync.WaitGroup
	for i := range ids {
		c := f.dial()
		all.Go(func() { outcomes[i] = f.sendAll(c, ids[i:i+1])[0] })
	}
	if err := f.Cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(600 * time.Millisecond) // how long the fault lasts: past the listener's usual end
	f.set()
	all.Wait()
	f.judge(ids, outcomes)
	if err := f.Stop(patience); err != nil {
		t.Error(err)
	}
}

// Guards against connections that are closed over a request because the poller could not take them.
func TestConnectionsThatCannotBeWatchedAreServedLater(t *testing.T) {
	for _, fault := range []string{"ENOMEM", "ENOSPC"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			f := startFaulty(t)
			f.set(faultinject.Rule{Call: faultinject.Watch, Fault: fault, Share: 1, MaxFaults: 5})
			f.takesClients(10)
		})
	}
}

// Guards against answers that are dropped with their connection, because the system could not take them
// for a moment.
func TestAnswersAreWrittenOnceTheSystemTakesThem(t *testing.T) {
	for _, fault := range []string{"ENOBUFS", "ENOMEM", "EAGAIN", "EINTR", faultinject.Short} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			f := startFaulty(t)
			for range 5 {
				ids := newIDs(4)
				c := f.dial()
				f.set(faultinject.Rule{Call: faultinject.WriteClient, Fault: fault, Share: 1, MaxFaults: 3})
				f.judge(ids, f.sendAll(c, ids))
			}
		})
	}
}

// Guards against requests that fail or run twice because the system could not send them for a moment.
func TestRequestsAreSentOnceTheSystemTakesThem(t *testing.T) {
	for _, c := range []struct {
		call  faultinject.Call
		fault string
	}{
		{faultinject.Socket, "ENFILE"}, {faultinject.Socket, "ENOBUFS"}, {faultinject.Connect, "EADDRNOTAVAIL"}, {faultinject.Connect, "ENETUNREACH"},
		{faultinject.Connect, "ENOBUFS"}, {faultinject.WriteBackend, "ENOBUFS"}, {faultinject.WriteBackend, "EAGAIN"},
		{faultinject.WriteBackend, faultinject.Short}, {faultinject.Watch, "ENOMEM"}, {faultinject.Poll, "EINTR"},
	} {
		t.Run(fmt.Sprint(c.call, " ", c.fault), func(t *testing.T) {
			t.Parallel()
			f := startFaulty(t)
			client := f.dial()
			f.judge([]string{"0" + standin.NewID()[1:]}, []standin.Outcome{standin.Served})
			f.set(faultinject.Rule{Call: c.call, Fault: c.fault, Share: 1, MaxFaults: 6})
			ids := newIDs(4)
			f.judge(ids, f.sendAll(client, ids))
		})
	}
}

// Guards against requests that use up all their attempts within one moment, because the system had no
// port, buffer or route for a connection: that is no fault of the backends'.
func TestRequestsOutliveConnectThatFailsForAMoment(t *testing.T) {
	for _, fault := range []string{"EADDRNOTAVAIL", "EAGAIN", "ENOBUFS", "ENETUNREACH"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			f := startFaulty(t)
			f.set(faultinject.Rule{Call: faultinject.Connect, Fault: fault, Share: 1, MaxFaults: 5})
			ids := newIDs(2)[1:]
			f.judge(ids, f.sendAll(f.dial(), ids))
			if n := f.events("dial-failed"); n > 0 {
				t.Errorf("%d attempts failed", n)
			}
		})
	}
}

// Guards against connections that are taken for ended because a look at them was interrupted.
func TestInterruptedCallsEndNoConnection(t *testing.T) {
	f := startFaulty(t)
	f.set(faultinject.Rule{Call: faultinject.ReadBackend, Fault: "EINTR", Share: 0.5}, faultinject.Rule{Call: faultinject.ReadClient, Fault: "EINTR", Share: 0.5},
		faultinject.Rule{Call: faultinject.Poll, Fault: "EINTR", Share: 0.5})
	c := f.dial()
	for range 20 {
		ids := newIDs(1)
		f.judge(ids, f.sendAll(c, ids))
	}
	if n := f.events("refused"); n > 0 {
		t.Errorf("%d connections to the backend were given up", n)
	}
}

// get asks the second address.
func (f *faulty) get(path string) string {
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

// events is a count of /status/events.
func (f *faulty) events(name string) (n int) {
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
	f.Fatalf("%q is not told: %s", name, text)
	return 0
}

// Guards against backends that are told more time than their clients have: the message was made when the
// attempt began and went out when the system took it, or the request was read long after it had come.
func TestBackendsAreToldTheTimeThatIsLeft(t *testing.T) {
	const (
		lasts = 300 * time.Millisecond // the fault
		slack = 150 * time.Millisecond
	)
	for _, fault := range []faultinject.Rule{
		{Call: faultinject.WriteBackend, Fault: "ENOBUFS", Share: 1}, {Call: faultinject.WriteBackend, Fault: "EAGAIN", Share: 1},
		{Call: faultinject.ReadClient, Fault: "EINTR", Share: 1}, {Call: faultinject.ReadClient, Fault: "ENOMEM", Share: 1},
		{Call: faultinject.Poll, Fault: "EINTR", Share: 1}, {Call: faultinject.Accept, Fault: "ENFILE", Share: 1},
	} {
		t.Run(fmt.Sprint(fault.Call, " ", fault.Fault), func(t *testing.T) {
			t.Parallel()
			f := startFaulty(t)
			kept := f.dial()
			warm := newIDs(2)
			f.judge(warm, f.sendAll(kept, warm))
			f.set(fault)
			ids := newIDs(6)
			sent := time.Now()
			var all sync.WaitGroup
			for i, id := range ids {
				c := kept
				if i > 0 {
					c = f.dial()
				}
				all.Go(func() { f.judge([]string{id}, f.sendAll(c, []string{id})) })
			}
			time.Sleep(lasts)
			f.set()
			all.Wait()
			for _, id := range ids {
				told, any := f.told.Load(id)
				if !any {
					continue // not served, which has been told
				}
				at := told.(toldTime)
				if left := sent.Add(faultyDeadline).Sub(at.at); at.limit > left+slack {
					t.Errorf("a backend was told %v with %v left", at.limit, left)
				}
			}
		})
	}
}

// Guards against places that are taken away from clients for a shortage that is none of this process: what
// is idle was closed then, so that it never held more than at the failure, and the places stayed away.
func TestPlacesOutliveAShortageThatIsNotOurs(t *testing.T) {
	const prompt = 900 * time.Millisecond
	for _, fault := range []faultinject.Rule{
		{Call: faultinject.Accept, Fault: "ENFILE", Share: 1, MaxFaults: 20}, {Call: faultinject.Watch, Fault: "ENOMEM", Share: 1, MaxFaults: 20},
	} {
		t.Run(fmt.Sprint(fault.Call, " ", fault.Fault), func(t *testing.T) {
			t.Parallel()
			f := startFaulty(t)
			for range 12 {
				c := f.dial()
				ids := newIDs(1)
				f.judge(ids, f.sendAll(c, ids)) // and stays, idle
			}
			f.set(fault)
			for range 40 {
				f.dial() // says nothing, and holds its place
			}
			begun := time.Now()
			f.takesClients(10)
			if took := time.Since(begun); took > prompt {
				t.Errorf("the answers took %v, want %v at most", took, prompt)
			}
		})
	}
}

// Guards against requests that hang or run twice when connections to backends break: each error of the
// system ends the connection, and each request gets its final answer.
func TestBrokenConnectionsToBackendsLoseNothing(t *testing.T) {
	for _, fault := range []string{"ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			f := startFaulty(t)
			for _, call := range []faultinject.Call{faultinject.ReadBackend, faultinject.WriteBackend} {
				f.set(faultinject.Rule{Call: call, Fault: fault, Share: 0.5, Broken: true})
				ids := newIDs(20)
				for i, got := range f.sendAll(f.dial(), ids) {
					if got > standin.Failed {
						t.Errorf("%s under %s ended as %d (3 unsent, 4 lost, 5 wrong)", ids[i], call, got)
					}
				}
			}
			f.once()
		})
	}
}

// Guards against a new configuration that is lost because its file could not be read when SIGHUP came.
func TestReloadOutlivesAFileThatCannotBeRead(t *testing.T) {
	for _, fault := range []faultinject.Rule{
		{Call: faultinject.Open, Path: configName, Fault: "EIO", Share: 1}, {Call: faultinject.Open, Path: configName, Fault: "ENFILE", Share: 1},
		{Call: faultinject.Open, Path: configName, Fault: "ENOMEM", Share: 1}, {Call: faultinject.ReadFile, Path: configName, Fault: "EIO", Share: 1},
	} {
		t.Run(fmt.Sprint(fault.Call, " ", fault.Fault), func(t *testing.T) {
			t.Parallel()
			f := startFaulty(t)
			second := standin.NewDiscovery(f.member)
			t.Cleanup(second.Stop)
			second.Open()
			f.node.Discovery = second.Addr()
			if _, err := f.node.Write(f.dir); err != nil {
				t.Fatal(err)
			}
			f.set(fault)
			if err := f.Cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			time.Sleep(500 * time.Millisecond) // how long the fault lasts
			f.set()
			select {
			case <-second.Watched:
			case <-time.After(4 * time.Second): // from SIGHUP on, what the new address tells counts as told
				t.Error("discovery has not moved")
			}
		})
	}
}

// Guards against a process that ends by a signal while its start waits for a call that fails: it has taken
// nothing and ends in order.
func TestStartThatWaitsEndsBySigterm(t *testing.T) {
	s := around(t, limits)
	s.node.Name = "waits"
	if _, err := s.node.Write(s.dir); err != nil {
		t.Fatal(err)
	}
	cmd, err := faultinject.Command(t.Context(), 1, []string{asProgram + "=1", "NODE_CONFIG=" + s.dir + "/waits.json"},
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
		t.Errorf("the program says %q", lines.Text())
	}
	if err = cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() { // to its end
	}
	if err = cmd.Wait(); err != nil {
		t.Errorf("it ended with %v", err)
	}
}

// Guards against an ingress that ends with its log: whoever reads that has gone.
func TestLogThatNobodyReadsEndsNothing(t *testing.T) {
	s := around(t, limits)
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
	cmd.Env = append(os.Environ(), asProgram+"=1", "NODE_CONFIG="+path)
	cmd.Stderr = write
	if err = cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = write.Close()
	if err = standin.WaitReady(s.node.Listen, patience); err != nil {
		t.Fatal(err)
	}
	_ = read.Close()
	for range 3 { // each is logged
		if err = cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		select {
		case <-s.discovery.Watched:
		case <-time.After(patience):
			t.Fatal("it does not watch discovery any more")
		}
	}
	c, err := standin.Dial(s.node.Listen, patience)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	id := standin.NewID()
	if got := c.Ask(id, standin.Lookup(1, id, int(deadline.Milliseconds()))...); got != standin.Served {
		t.Errorf("a request ended as %d", got)
	}
	if err = cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err = cmd.Wait(); err != nil {
		t.Errorf("it ended with %v", err)
	}
}

// Guards against deadlines, waits and starts of backends that go by the wall clock: it is stepped while requests
// come, and a backend that starts behind the step, by all machines' clock, is cold.
func TestStepsOfTheWallClockChangeNothing(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		t.Run(off.String(), func(t *testing.T) {
			t.Parallel()
			f := startFaulty(t, func(f *faulty) {
				f.node.Settings = json.RawMessage(strings.ReplaceAll(string(f.node.Settings), `"cold_ms":1000`, `"cold_ms":25000`))
			})
			c := f.dial()
			held := newIDs(1)[0]
			h := f.dial()
			sent := time.Now()
			if err := h.Send(standin.Lookup(hole, held, 1000)...); err != nil {
				t.Fatal(err)
			}
			if err := f.control.StepClock(off); err != nil {
				t.Fatal(err)
			}
			ids := newIDs(10)
			f.judge(ids, f.sendAll(c, ids))
			if got := h.Outcome(held); got > standin.Failed {
				t.Errorf("the request that hung ended as %d", got)
			}
			if took := time.Since(sent); took < 900*time.Millisecond || took > 1500*time.Millisecond {
				t.Errorf("its second took %v", took)
			}
			cold := f.member
			cold.ID, cold.UpSince = "cold", time.Now().Add(off).UnixMilli()
			line, err := json.Marshal(map[string]any{"revision": standin.FirstRevision + 1, "complete": false, "members": []standin.Member{cold}})
			if err != nil {
				t.Fatal(err)
			}
			select {
			case f.discovery.Lines <- string(line):
			case <-time.After(patience):
				t.Fatal("discovery is not watched")
			}
			for end := time.Now().Add(patience); !strings.Contains(f.get("/status/backends"), "cold state="); {
				if time.Now().After(end) {
					t.Fatal("the backend is not listed")
				}
				time.Sleep(time.Millisecond)
			}
			for line := range strings.Lines(f.get("/status/backends")) {
				if strings.HasPrefix(line, "cold ") && strings.Contains(line, "warmth=1.00") {
					t.Errorf("a backend that has just started is warm: %s", line)
				}
			}
			if err := f.Stop(patience); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against two processes that take clients at once, because the lock between them failed for a moment.
func TestHandoverOutlivesLocksThatFail(t *testing.T) {
	for _, fault := range []faultinject.Rule{
		{Call: faultinject.Open, Path: "wickarch.held", Fault: "EIO", Share: 1, MaxFaults: 3},
		{Call: faultinject.Open, Path: "wickarch.next", Fault: "ENOSPC", Share: 1, MaxFaults: 3},
		{Call: faultinject.Lock, Fault: "ENOLCK", Share: 1, MaxFaults: 3},
	} {
		t.Run(fmt.Sprint(fault.Call, " ", fault.Fault), func(t *testing.T) {
			t.Parallel()
			s := around(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 384})
			s.hold()
			shared := []string{"NODE_PASSED_SOCKET=3", "TMPDIR=" + t.TempDir()}
			s.begin(nil, shared...)
			traced, err := faultinject.TracerEnv("", 1, fault)
			if err != nil {
				t.Fatal(err)
			}
			next, err := s.node.Start(t.Context(), []string{os.Args[0]}, s.dir, append(append(traced, shared...), asProgram+"=1")...)
			if err != nil {
				t.Fatal(err)
			}
			if err = s.Stop(patience); err != nil {
				t.Errorf("the process before ended with %v", err)
			}
			if err = standin.WaitReady(s.node.Listen, patience); err != nil {
				t.Fatal(err)
			}
			if err = next.Stop(patience); err != nil {
				t.Error(err)
			}
			for _, line := range next.Log() {
				if strings.Contains(line, "beside the process before") {
					t.Errorf("the next process says %q", line)
				}
			}
		})
	}
}

// Guards against a start that ends the process because a call failed for a moment.
func TestStartOutlivesCallsThatFail(t *testing.T) {
	for _, fault := range []faultinject.Rule{
		{Call: faultinject.ReadFile, Path: configName, Fault: "EIO", Share: 1, MaxFaults: 3},
		{Call: faultinject.Open, Path: configName, Fault: "ENFILE", Share: 1, MaxFaults: 3},
		{Call: faultinject.Socket, Fault: "ENOBUFS", Share: 1, MaxFaults: 3}, {Call: faultinject.Socket, Fault: "ENFILE", Share: 1, MaxFaults: 3},
		// The Go runtime's own first call can't fail: it ends the process.
		{Call: faultinject.Watch, Skip: 1, Fault: "ENOMEM", Share: 1, MaxFaults: 3},
	} {
		t.Run(fmt.Sprint(fault.Call, " ", fault.Fault), func(t *testing.T) {
			t.Parallel()
			f := startFaulty(t, func(f *faulty) { f.first = []faultinject.Rule{fault} })
			f.set()
			f.takesClients(5)
			if err := f.Stop(patience); err != nil {
				t.Error(err)
			}
		})
	}
}
