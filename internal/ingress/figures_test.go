package ingress

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"wickarch/internal/reactor"
	"wickarch/internal/standin"
)

// adminCall makes a call at the second address.
func (r *rig) adminCall(method, path string) (int, string) {
	r.Helper()
	req, err := http.NewRequest(method, "http://"+r.server.admin.Addr()+path, nil)
	if err != nil {
		r.Fatal(err)
	}
	answer, err := (&http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		r.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		r.Fatal(err)
	}
	return answer.StatusCode, string(body)
}

// metrics fetches the metrics, without their prefix.
func (r *rig) metrics() map[string]int {
	r.Helper()
	all := map[string]int{}
	_, text := r.adminCall("GET", "/status/metrics")
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			r.Fatalf("%q: %v", line, err)
		}
		all[strings.TrimPrefix(name, "edge_node.")] = n
	}
	return all
}

func withAdmin(cfg *Config) { cfg.Admin = "127.0.0.1:0" }

// The second address tells which backends are used.
func TestBackendsAreTold(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, withAdmin, b.member("s-1"), Member{ID: "s-2", HostPort: "127.0.0.1:1", Phase: PhaseDraining})
	status, text := r.adminCall("GET", "/status/backends")
	if want := "s-1 state=used part=1.00 warmth=1.00 latency=1.00 failures=0.00 out=0\n" +
		"limit room=14.5 prior=7.2 out=0 latency=0.00\n" +
		"refused pressure=0 ceiling=0 open=0 doubt=0 chance=0 backends=0\n" +
		"readings misread=0\n"; status != 200 || text != want {
		t.Errorf("%d, %q, want %q", status, text, want)
	}
}

// Guards against ends that nobody can explain: each end of a connection and of an attempt is
// counted by its reason.
func TestEndsAreCountedByReason(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, withAdmin, b.member("s-1"))
	c := r.dial()
	c.send("Q.ASK", someCustomer, newID(), lookup)
	wait(t, "the first", b.Got).Answer("one")
	c.want("$3\r\none")
	c.send("Q.DO", someCustomer, newID(), payment, "BODY")
	wait(t, "the second", b.Got).Reset()
	c.want("-ERR failed")
	c.write("nonsense\r\n")
	c.line()
	c.wantEnd()
	_, text := r.adminCall("GET", "/status/events")
	for _, want := range []string{" malformed=1 ", " read-failed=1 ", "ended none=1 ", "retries=0 "} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in %q", want, text)
		}
	}
}

// Guards against attempts for requests that have ended, whoever asks for them: the rule is asked last, and tells.
func TestNoAttemptBeginsForARequestThatHasEnded(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, withAdmin, b.member("s-1"))
	c := r.dial()
	c.send("Q.DO", someCustomer, newID(), payment, "BODY")
	first := wait(t, "the attempt", b.Got)
	r.onLoop(func(l *loop) {
		for id, open := range l.requests {
			backend := open.attempts[0].Backend
			l.Fail(id)
			l.Send(id, backend, time.Second)
			l.deliverAnswers()
		}
	})
	c.want("-ERR failed")
	first.Answer("late")
	c.send("Q.ASK", someCustomer, newID(), lookup)
	second := wait(t, "the next request", b.Got)
	if second.Args[0] != "Q.ASK" {
		t.Errorf("an attempt began behind the end: %q", second.Args)
	}
	second.Answer("one")
	c.want("$3\r\none")
	if _, text := r.adminCall("GET", "/status/events"); !strings.Contains(text, " begin-after-end=1 ") {
		t.Errorf("it is not counted: %q", text)
	}
}

// Guards against attempts for clients that have left, where the event that tells of it is late.
func TestNothingIsWrittenForAClientThatHasLeftUnheard(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, nil, b.member("s-1"))
	c := r.dial()
	c.send("Q.ASK", someCustomer, newID(), lookup)
	wait(t, "the attempt", b.Got)
	r.onLoop(func(l *loop) { // no event is told meanwhile
		for _, open := range l.requests {
			if a := open.attempts[0]; !l.MayWrite(a) {
				t.Error("an attempt is forbidden though its client waits")
			}
			c.nc.Close()
			for end := time.Now().Add(testTimeout); (!open.replyTo.Disconnected() || l.Now()-open.takenAt < recentRead) && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if a := open.attempts[0]; l.MayWrite(a) {
				t.Error("an attempt may be written though its client has left")
			}
		}
	})
}

// The figures are held against what the backend got and the clients were told.
func TestFiguresAreWhatPeersSaw(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, withAdmin, b.member("s-1"), Member{ID: "s-2", HostPort: "127.0.0.1:1", Phase: PhaseDraining})
	answers, calls := map[string]int{}, 0
	c := r.dial()
	see := func(class string) {
		t.Helper()
		if line := c.line(); strings.HasPrefix(line, "$") {
			answers["success."+class]++
		} else if strings.HasPrefix(line, "-BUSY") {
			answers["busy."+class]++
		} else {
			answers["failure."+class]++
		}
	}
	for n := range 12 {
		command, class, options := "Q.ASK", "lookup", lookup
		if n%3 == 2 {
			command, class, options = "Q.DO", "payment", payment
		}
		words := []string{command, someCustomer, newID(), options}
		if class == "payment" {
			words = append(words, "BODY")
		}
		c.send(words...)
		got := wait(t, "a command", b.Got)
		calls++
		if f := r.metrics(); f["inflight"] != 1 {
			t.Fatalf("inflight=%d with one request open", f["inflight"])
		}
		switch n % 4 {
		case 3:
			if class == "payment" {
				got.Line("-ERR failed")
				break
			}
			fallthrough
		default:
			got.Answer("yes")
		}
		see(class)
	}
	// One whose client leaves is open no more.
	gone := r.dial()
	gone.send("Q.ASK", someCustomer, newID(), lookup)
	wait(t, "a command", b.Got)
	calls++
	gone.nc.Close()
	r.eventually("the request is over", func(l *loop) bool { return l.figures.open == 0 })

	f := r.metrics()
	for _, class := range []string{"lookup", "payment"} {
		for _, kind := range []string{"success", "busy", "failure"} {
			if name := kind + "." + class; f[name] != answers[name] {
				t.Errorf("%s=%d, the client saw %d", name, f[name], answers[name])
			}
		}
	}
	if got := f["backend_calls.lookup"] + f["backend_calls.payment"]; got != calls {
		t.Errorf("backend_calls=%d, the backend saw %d", got, calls)
	}
	if f["inflight"] != 0 || f["hosts_listed"] != 2 || f["hosts_down"] != 1 {
		t.Errorf("inflight=%d hosts_listed=%d hosts_down=%d, want 0, 2 and 1", f["inflight"], f["hosts_listed"], f["hosts_down"])
	}
}

// A standby answers no, keeps no connection, serves what comes all the same,
// and is over with one call.
func TestStandbyEmptiesTheIngressAndIsOver(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, withAdmin, b.member("s-1"))
	if status, _ := r.adminCall("GET", "/status"); status != 200 {
		t.Fatalf("status %d before", status)
	}
	idle, busy := r.dial(), r.dial()
	idle.send("Q.ASK", someCustomer, newID(), lookup)
	wait(t, "a command", b.Got).Answer("first")
	idle.want("$5\r\nfirst")
	busy.send("Q.ASK", someCustomer, newID(), lookup)
	open := wait(t, "a command", b.Got)

	if status, _ := r.adminCall("PUT", "/standby"); status != 200 {
		t.Fatalf("status %d", status)
	}
	idle.wantEnd()
	if status, _ := r.adminCall("GET", "/status"); status != 503 {
		t.Fatalf("status %d in standby", status)
	}
	late := r.dial()
	late.send("PING")
	late.want("-ERR draining")
	late.send("Q.ASK", someCustomer, newID(), lookup)
	wait(t, "a command", b.Got).Answer("late")
	late.want("$4\r\nlate")
	late.wantEnd()
	open.Answer("open")
	busy.want("$4\r\nopen")
	busy.wantEnd()
	silent := r.dial() // one that says nothing is not kept either
	silent.wantEnd()

	if status, _ := r.adminCall("PUT", "/active"); status != 200 {
		t.Fatalf("status %d", status)
	}
	again := r.dial()
	again.send("PING")
	again.want("+PONG")
	again.send("Q.ASK", someCustomer, newID(), lookup)
	wait(t, "a command", b.Got).Answer("again")
	again.want("$5\r\nagain")
	again.send("PING") // it is kept
	again.want("+PONG")
}

// withInheritedSocket gives a server a descriptor of a listening socket, as a start by the platform does.
func withInheritedSocket(t *testing.T, held net.Listener) func(*Config) {
	t.Helper()
	file, err := held.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	fd, err := syscall.Dup(int(file.Fd())) // the server closes the one that it is given
	if err != nil {
		t.Fatal(err)
	}
	return func(cfg *Config) { cfg.Listen, cfg.InheritedListener = held.Addr().String(), reactor.Inherited(fd) }
}

// Of two processes with one socket and one folder the second takes no client,
// though it says that it could, until the first has stopped.
func TestOneProcessAtATimeTakesClients(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	b, dir := newBackend(t), t.TempDir()
	begin := func() *rig {
		inherited := withInheritedSocket(t, held)
		d := newFakeDiscovery(t, b.member("s-1"))
		d.Open()
		return startRig(t, d, func(cfg *Config) { inherited(cfg); withAdmin(cfg); cfg.HandoverDir = dir })
	}
	takes := func(r *rig) {
		r.eventually("it says yes", func(*loop) bool { return r.server.TakesClients() })
	}
	first := begin()
	takes(first)
	ping := func() *fakeClient {
		c := first.dial()
		c.send("PING")
		c.want("+PONG")
		return c
	}
	ping()
	second := begin()
	takes(second)
	for range 50 {
		ping()
	}
	if n := second.countClients(nil); n != 0 {
		t.Fatalf("the second one has taken %d clients beside the first", n)
	}
	open := ping()
	open.send("Q.ASK", someCustomer, newID(), lookup)
	got := wait(t, "a command", b.Got)
	first.stop()
	second.eventually("it takes clients", func(*loop) bool { return !second.server.front.onHold })
	ping() // by the second, while the first still owes an answer
	if n := second.countClients(nil); n != 1 {
		t.Errorf("the second one has %d clients, want 1", n)
	}
	got.Answer("yes")
	open.want("$3\r\nyes")
	open.wantEnd()
	if err := wait(t, "the end", first.ended); err != nil {
		t.Fatal(err)
	}
}

// A listening socket that the platform holds outlives the process that took it.
func TestInheritedSocketIsServedAndLeftOpen(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	b := newBackend(t)
	for range 2 {
		r := newRig(t, withInheritedSocket(t, held), b.member("s-1"))
		if r.server.Addr() != held.Addr().String() {
			t.Fatalf("serves at %s, want %s", r.server.Addr(), held.Addr())
		}
		c := r.dial()
		c.send("Q.ASK", someCustomer, newID(), lookup)
		wait(t, "a command", b.Got).Answer("yes")
		c.want("$3\r\nyes")
		r.stop()
		if err = wait(t, "the end", r.ended); err != nil {
			t.Fatal(err)
		}
	}
	if err = held.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Error(err)
	}
	c, err := standin.Dial(held.Addr().String(), testTimeout)
	if err != nil {
		t.Fatal("the socket is closed: ", err)
	}
	c.Close()
	if _, err := held.Accept(); err != nil {
		t.Fatal("the socket takes nothing more: ", err)
	}
}

// Whoever shares an inherited socket shares its O_NONBLOCK: os/exec takes it off for
// each process that it hands the socket to. Nobody may wait for the next connection then.
func TestInheritedSocketThatAnotherMakesBlockingHoldsUpNobody(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { held.Close() })
	b := newBackend(t)
	r := newRig(t, withInheritedSocket(t, held), b.member("s-1"))
	raw, err := held.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { // whoever waits for a connection gets one, and waits for no other
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
		if c, refused := standin.Dial(r.server.Addr(), testTimeout); refused == nil {
			c.Close()
		}
	})
	for range 3 { // again and again
		if failed := raw.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), false) }); errors.Join(failed, err) != nil {
			t.Fatal(failed, err)
		}
		c := r.dial()
		c.send("Q.ASK", someCustomer, newID(), lookup)
		wait(t, "a command", b.Got).Answer("yes")
		c.want("$3\r\nyes")
	}
}

func TestConfigurationNamesTheSecondAddressAndTheSocket(t *testing.T) {
	path := t.TempDir() + "/config.json"
	text := fmt.Sprintf(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","mgmt":"127.0.0.1:3","settings":%s}`, fmt.Sprintf(settings, 15_000))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"NODE_CONFIG": path, "NODE_PASSED_SOCKET": "5", "NODE_MGMT": "127.0.0.1:4"}
	cfg, err := LoadConfig(func(name string) string { return env[name] })
	if err != nil || cfg.Admin != "127.0.0.1:3" || cfg.InheritedListener != "fd:5" {
		t.Fatalf("%q %q %v", cfg.Admin, cfg.InheritedListener, err)
	}
	for _, bad := range []string{"0", "2", "x", "-1"} {
		env["NODE_PASSED_SOCKET"] = bad
		if _, err := LoadConfig(func(name string) string { return env[name] }); err == nil {
			t.Errorf("NODE_PASSED_SOCKET=%s is taken", bad)
		}
	}
}
