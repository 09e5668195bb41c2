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

// adminCall makes a call to the admin address.
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

// The admin address reports the state of each backend that accepts new requests.
func TestAdminReportsBackends(t *testing.T) {
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

// Guards against connections and attempts that end without a counted reason.
func TestEndsAreCountedByReason(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, withAdmin, b.member("s-1"))
	c := r.dial()
	c.send("Q.ASK", someCustomer, newID(), lookup)
	wait(t, "the first request", b.Got).Answer("one")
	c.want("$3\r\none")
	c.send("Q.DO", someCustomer, newID(), payment, "BODY")
	wait(t, "the second request", b.Got).Reset()
	c.want("-ERR failed")
	c.write("nonsense\r\n")
	c.line()
	c.wantEnd()
	_, text := r.adminCall("GET", "/status/events")
	for _, want := range []string{" malformed=1 ", " read-failed=1 ", "ended none=1 ", "retries=0 ", "longest-round-ms=", "memory clients=", " request-ids=2 customers=1 heap-live="} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing from the events %q", want, text)
		}
	}
}

// Guards against attempts for requests that have ended, whichever code path starts them: the lifecycle rules are
// checked last, refuse the attempt and count the violation.
func TestNoAttemptStartsForEndedRequest(t *testing.T) {
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
		t.Errorf("an attempt started after the request had ended: %q", second.Args)
	}
	second.Answer("one")
	c.want("$3\r\none")
	if _, text := r.adminCall("GET", "/status/events"); !strings.Contains(text, " begin-after-end=1 ") {
		t.Errorf("the violation is not counted: %q", text)
	}
}

// Guards against attempts for disconnected clients whose disconnect event has not been processed yet.
func TestNothingIsWrittenForUnnoticedDisconnect(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, nil, b.member("s-1"))
	c := r.dial()
	c.send("Q.ASK", someCustomer, newID(), lookup)
	wait(t, "the attempt", b.Got)
	r.onLoop(func(l *loop) { // no event is processed meanwhile
		for _, open := range l.requests {
			if a := open.attempts[0]; !l.MayWrite(a) {
				t.Error("an attempt may not be written though its client waits")
			}
			c.nc.Close()
			for end := time.Now().Add(testTimeout); (!open.replyTo.MayHaveLeft() || l.Now()-open.arrivedAt < recentRead) && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if a := open.attempts[0]; l.MayWrite(a) {
				t.Error("an attempt may be written though its client has disconnected")
			}
		}
	})
}

// The metrics must match what the backend received and the clients were answered.
func TestMetricsMatchWhatPeersSaw(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, withAdmin, b.member("s-1"), Member{ID: "s-2", HostPort: "127.0.0.1:1", Phase: PhaseDraining})
	answers, calls := map[string]int{}, 0
	c := r.dial()
	countAnswer := func(class string) {
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
				got.Reply("-ERR failed")
				break
			}
			fallthrough
		default:
			got.Answer("yes")
		}
		countAnswer(class)
	}
	// A request whose client disconnects is no longer open.
	leaving := r.dial()
	leaving.send("Q.ASK", someCustomer, newID(), lookup)
	wait(t, "a command", b.Got)
	calls++
	leaving.nc.Close()
	r.eventually("the end of the request", func(l *loop) bool { return l.metrics.open == 0 })

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

// In standby the ingress reports that it is unavailable, keeps no connection, and still
// serves requests that arrive. One call ends it.
func TestStandbyDrainsUntilActive(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, withAdmin, b.member("s-1"))
	if status, _ := r.adminCall("GET", "/status"); status != 200 {
		t.Fatalf("status %d before standby", status)
	}
	idle, busy := r.dial(), r.dial()
	idle.send("Q.ASK", someCustomer, newID(), lookup)
	wait(t, "a command", b.Got).Answer("first")
	idle.want("$5\r\nfirst")
	busy.send("Q.ASK", someCustomer, newID(), lookup)
	open := wait(t, "a command", b.Got)

	if status, _ := r.adminCall("PUT", "/standby"); status != 200 {
		t.Fatalf("status %d for /standby", status)
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
	silent := r.dial() // a connection without a command is not kept either
	silent.wantEnd()

	if status, _ := r.adminCall("PUT", "/active"); status != 200 {
		t.Fatalf("status %d for /active", status)
	}
	again := r.dial()
	again.send("PING")
	again.want("+PONG")
	again.send("Q.ASK", someCustomer, newID(), lookup)
	wait(t, "a command", b.Got).Answer("again")
	again.want("$5\r\nagain")
	again.send("PING") // the connection is kept
	again.want("+PONG")
}

// withInheritedSocket configures a server with a descriptor of a listening socket, as a start by the platform does.
func withInheritedSocket(t *testing.T, listener net.Listener) func(*Config) {
	t.Helper()
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	fd, err := syscall.Dup(int(file.Fd())) // the server closes its descriptor
	if err != nil {
		t.Fatal(err)
	}
	return func(cfg *Config) {
		cfg.Listen, cfg.InheritedListener = listener.Addr().String(), reactor.InheritedAddress(fd)
	}
}

// Guards against two processes of one ingress serving clients at once, which would fill its
// shares of ceilings twice: with a shared socket and handover folder, the second process
// reports ready but accepts no client until the first has stopped.
func TestOneProcessAtATimeAcceptsClients(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	b, dir := newBackend(t), t.TempDir()
	start := func() *rig {
		inherited := withInheritedSocket(t, listener)
		d := newFakeDiscovery(t, b.member("s-1"))
		d.Open()
		return startRig(t, d, func(cfg *Config) { inherited(cfg); withAdmin(cfg); cfg.HandoverDir = dir })
	}
	awaitReady := func(r *rig) {
		r.eventually("the process to report ready", func(*loop) bool { return r.server.TakesClients() })
	}
	first := start()
	awaitReady(first)
	ping := func() *fakeClient {
		c := first.dial()
		c.send("PING")
		c.want("+PONG")
		return c
	}
	ping()
	second := start()
	awaitReady(second)
	for range 50 {
		ping()
	}
	if n := second.countClients(nil); n != 0 {
		t.Fatalf("the second process has accepted %d clients while the first was running", n)
	}
	open := ping()
	open.send("Q.ASK", someCustomer, newID(), lookup)
	got := wait(t, "a command", b.Got)
	first.stop()
	second.eventually("the second process to accept clients", func(*loop) bool { return !second.server.front.onHold })
	ping() // answered by the second process, while the first still has a request open
	if n := second.countClients(nil); n != 1 {
		t.Errorf("the second process has %d clients, want 1", n)
	}
	got.Answer("yes")
	open.want("$3\r\nyes")
	open.wantEnd()
	if err := wait(t, "the first process to end", first.ended); err != nil {
		t.Fatal(err)
	}
}

// A listening socket inherited from the platform stays open after the process ends, and can be
// used by the next one.
func TestInheritedSocketIsServedAndLeftOpen(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	b := newBackend(t)
	for range 2 {
		r := newRig(t, withInheritedSocket(t, listener), b.member("s-1"))
		if r.server.Addr() != listener.Addr().String() {
			t.Fatalf("serving at %s, want %s", r.server.Addr(), listener.Addr())
		}
		c := r.dial()
		c.send("Q.ASK", someCustomer, newID(), lookup)
		wait(t, "a command", b.Got).Answer("yes")
		c.want("$3\r\nyes")
		r.stop()
		if err = wait(t, "the ingress to end", r.ended); err != nil {
			t.Fatal(err)
		}
	}
	if err = listener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Error(err)
	}
	c, err := standin.Dial(listener.Addr().String(), testTimeout)
	if err != nil {
		t.Fatal("the socket is closed: ", err)
	}
	c.Close()
	if _, err := listener.Accept(); err != nil {
		t.Fatal("the socket no longer accepts connections: ", err)
	}
}

// Processes that share an inherited socket share its O_NONBLOCK flag, and os/exec clears it for
// each process it passes the socket to. The reactor must not block in accept then.
func TestInheritedSocketMadeBlockingDoesNotBlockReactor(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	b := newBackend(t)
	r := newRig(t, withInheritedSocket(t, listener), b.member("s-1"))
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { // releases an accept call that blocks
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
		if c, refused := standin.Dial(r.server.Addr(), testTimeout); refused == nil {
			c.Close()
		}
	})
	for range 3 {
		if failed := raw.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), false) }); errors.Join(failed, err) != nil {
			t.Fatal(failed, err)
		}
		c := r.dial()
		c.send("Q.ASK", someCustomer, newID(), lookup)
		wait(t, "a command", b.Got).Answer("yes")
		c.want("$3\r\nyes")
	}
}

func TestLoadConfigReadsAdminAddressAndInheritedSocket(t *testing.T) {
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
			t.Errorf("NODE_PASSED_SOCKET=%s is accepted", bad)
		}
	}
}
