package follower

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"wickarch/distribution"
	"wickarch/internal/rolloutlink"
)

// testTimeout limits every wait; no test passes by reaching it.
const testTimeout = 30 * time.Second

func plan(t *testing.T, name string, rate float64) distribution.Resource {
	t.Helper()
	data, err := distribution.Encode(distribution.Plan{Rate: rate, Burst: 10, Price: 1})
	if err != nil {
		t.Fatal(err)
	}
	return distribution.Resource{Key: distribution.KeyOf(distribution.KindPlan, name), Data: data, Line: 3}
}

func sum(list ...distribution.Resource) distribution.Hash {
	set := distribution.Set{}
	for _, r := range list {
		set[r.Key] = r
	}
	return set.Sum()
}

// A stored version must be read back complete. A damaged file must be detected, reported and moved
// aside, so that a restart neither uses it nor fails to store the next version.
func TestStoreIsAtomicAndDetectsDamage(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new", "folder")
	s, kept, err := openStore(dir)
	if err != nil || kept != nil {
		t.Fatal(kept, err)
	}
	a, b, c := plan(t, "a", 1), plan(t, "b", 2), plan(t, "c", 3)
	old := []distribution.PreviousResource{{Key: a.Key, Data: b.Data}}
	for _, what := range []*distribution.StoreUpdate{
		{Version: 1, Hash: sum(a, b), Set: []distribution.Resource{a, b}, Full: true},
		{Version: 2, Hash: sum(a, c), Set: []distribution.Resource{c}, Delete: []distribution.Key{b.Key}, Settled: 1, PreviousPlans: old},
	} {
		if err = s.save(what); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err = openStore(dir); !isError[*FollowsAlready](err) {
		t.Errorf("a folder in use by another store is opened: %v", err)
	}
	s.close()
	s, kept, err = openStore(dir)
	if err != nil || kept.Version != 2 || kept.Hash != sum(kept.Resources...) || kept.Hash != sum(a, c) ||
		kept.Settled != 1 || len(kept.PreviousPlans) != 1 || kept.Resources[0].Line != 3 {
		t.Fatalf("%+v, %v", kept, err)
	}
	if err = s.save(&distribution.StoreUpdate{Version: 3, Hash: sum(b), Set: []distribution.Resource{b}, Full: true}); err != nil {
		t.Fatal(err)
	}
	s.close()
	whole, err := os.ReadFile(s.path)
	if err != nil {
		t.Fatal(err)
	}
	for name, damage := range map[string]func([]byte) []byte{
		"a bit of a value":  func(b []byte) []byte { return bytes.ReplaceAll(b, []byte(`"burst"`), []byte(`"borst"`)) },
		"a version's digit": func(b []byte) []byte { return bytes.ReplaceAll(b, []byte(`"version":3`), []byte(`"version":9`)) },
		"no database":       func(b []byte) []byte { return []byte(strings.Repeat("not one", 4096)) },
		"cut short":         func(b []byte) []byte { return b[:4096] },
	} {
		t.Run(name, func(t *testing.T) {
			spoilt := damage(bytes.Clone(whole))
			if err := os.WriteFile(s.path, spoilt, 0o600); err != nil {
				t.Fatal(err)
			}
			s, kept, err := openStore(dir)
			defer s.close()
			if kept != nil || !isError[*DiskDamaged](err) {
				t.Fatalf("%+v, %v", kept, err)
			}
			if aside, err := os.ReadFile(s.path + ".damaged"); err != nil || !bytes.HasPrefix(aside, spoilt[:100]) {
				t.Errorf("the damaged file is not moved aside: %v", err)
			}
			if err := s.save(&distribution.StoreUpdate{Version: 1, Hash: sum(a), Set: []distribution.Resource{a}, Full: true}); err != nil {
				t.Errorf("storing after the damage fails: %v", err)
			}
		})
	}
}

// isError reports whether an error is of type E.
func isError[E error](err error) bool {
	var e E
	return errors.As(err, &e)
}

// An unwritable folder must be reported when it is opened and at each save, without a panic.
func TestUnwritableFolderIsReported(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a file")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	s, kept, err := openStore(path)
	if kept != nil || !isError[*DiskFailed](err) {
		t.Fatalf("%+v, %v", kept, err)
	}
	if err := s.save(&distribution.StoreUpdate{Version: 1, Full: true}); !isError[*DiskFailed](err) {
		t.Errorf("%v", err)
	}
	s.close()
}

// scriptedCoordinator answers polls by a list, the last entry repeatedly, and passes on each poll.
type scriptedCoordinator struct {
	*httptest.Server
	polls   chan distribution.Poll
	mu      sync.Mutex
	replies []func(w http.ResponseWriter, q distribution.Poll)
}

func newScriptedCoordinator(t *testing.T, next ...func(w http.ResponseWriter, q distribution.Poll)) *scriptedCoordinator {
	s := &scriptedCoordinator{polls: make(chan distribution.Poll, 1000), replies: next}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q distribution.Poll
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil || r.URL.Path != rolloutlink.PathConfigPoll {
			t.Errorf("request to %s, %v", r.URL.Path, err)
		}
		s.mu.Lock()
		do := s.replies[0]
		if len(s.replies) > 1 {
			s.replies = s.replies[1:]
		}
		s.mu.Unlock()
		s.polls <- q
		do(w, q)
	}))
	t.Cleanup(s.Close)
	return s
}

func replyWith(r distribution.Reply) func(http.ResponseWriter, distribution.Poll) {
	return func(w http.ResponseWriter, _ distribution.Poll) { _ = json.NewEncoder(w).Encode(r) }
}

// emptyReply sends a reply without a body, which is an error to the follower.
func emptyReply(w http.ResponseWriter, _ distribution.Poll) { time.Sleep(20 * time.Millisecond) }

// fakeIngress refuses one resource or fails, and passes on each configuration that it is given.
type fakeIngress struct {
	refusedKey     string
	configureFails bool
	configured     chan distribution.ActiveConfig
}

func (f *fakeIngress) CheckConfig(changed []distribution.Resource) error {
	for _, r := range changed {
		if string(r.Key) == f.refusedKey {
			return &distribution.Refused{Key: r.Key, Why: "no"}
		}
	}
	return nil
}

func (f *fakeIngress) Configure(u *distribution.ActiveConfig) error {
	if f.configureFails {
		return errors.New("configure fails")
	}
	f.configured <- *u
	return nil
}

func startFollower(t *testing.T, dir string, in *fakeIngress, at ...string) (stop func()) {
	t.Helper()
	for i, a := range at {
		at[i] = strings.TrimPrefix(a, "http://")
	}
	return startFollowerWithLog(t, dir, in, slog.DiscardHandler, at...)
}

func startFollowerWithLog(t *testing.T, dir string, in *fakeIngress, log slog.Handler, at ...string) (stop func()) {
	t.Helper()
	f := New(Config{Name: "n1", Region: "west", Coordinators: at, Dir: dir}, in, slog.New(log))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { f.Run(ctx, in); close(ended) }()
	stop = func() { cancel(); <-ended }
	t.Cleanup(stop)
	return stop
}

func receive[T any](t *testing.T, what string, from chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
	return v
}

func waitForPoll(t *testing.T, s *scriptedCoordinator, what string, is func(distribution.Poll) bool) distribution.Poll {
	t.Helper()
	for {
		if q := receive(t, what, s.polls); is(q) {
			return q
		}
	}
}

// A version must be stored, activated, and reported by the next poll. Malformed, older and damaged
// replies between must be rejected, and a new process must start from the stored version.
func TestFollowerActivatesAndStoresVersions(t *testing.T) {
	a, b := plan(t, "a", 1), plan(t, "b", 2)
	first := distribution.Reply{State: &distribution.State{Version: 5, Hash: sum(a), Resources: []distribution.Resource{a}}, Settled: 4}
	second := distribution.Reply{Difference: &distribution.Difference{Base: 5, BaseHash: sum(a), Version: 6, Hash: sum(a, b),
		Set: []distribution.Resource{b}}, Settled: 5}
	wrong := distribution.Reply{Difference: &distribution.Difference{Base: 5, BaseHash: sum(a), Version: 6, Hash: sum(b),
		Set: []distribution.Resource{b}}}
	old := distribution.Reply{State: &distribution.State{Version: 3, Hash: sum(b), Resources: []distribution.Resource{b}}}
	s := newScriptedCoordinator(t, replyWith(first),
		func(w http.ResponseWriter, _ distribution.Poll) { _, _ = fmt.Fprint(w, "{") },
		replyWith(old), replyWith(wrong), replyWith(second), emptyReply)
	dir := t.TempDir()
	in := &fakeIngress{configured: make(chan distribution.ActiveConfig, 100)}
	stop := startFollower(t, dir, in, s.URL)
	if u := receive(t, "version 5", in.configured); u.Version != 5 || u.Hash != sum(a) || u.Settled != 4 {
		t.Errorf("%+v", u)
	}
	if u := receive(t, "version 6", in.configured); u.Version != 6 || len(u.Set) != 2 {
		t.Errorf("%+v", u)
	}
	q := waitForPoll(t, s, "a poll with version 6", func(q distribution.Poll) bool { return q.Version == 6 })
	if q.Hash != sum(a, b) || q.Follower != "n1" || q.Region != "west" || q.StorageError != "" {
		t.Errorf("%+v", q)
	}
	stop()

	s = newScriptedCoordinator(t, emptyReply)
	startFollower(t, dir, in, s.URL)
	if u := receive(t, "the stored version", in.configured); u.Version != 6 || u.Hash != sum(a, b) {
		t.Errorf("%+v", u)
	}
	if q := receive(t, "a poll", s.polls); q.Version != 6 || q.Number != 1 {
		t.Errorf("%+v", q)
	}
}

// A version that the ingress can't use must not become active, whether the check or the activation
// fails. The next poll must report the refusal, with resource and line if the check failed.
func TestRefusalIsReported(t *testing.T) {
	a, b := plan(t, "a", 1), plan(t, "b", 2)
	for _, in := range []*fakeIngress{{refusedKey: "plan/b"}, {configureFails: true}} {
		in.configured = make(chan distribution.ActiveConfig, 100)
		s := newScriptedCoordinator(t, replyWith(distribution.Reply{State: &distribution.State{Version: 1, Hash: sum(a, b),
			Resources: []distribution.Resource{a, b}}}), emptyReply)
		startFollower(t, t.TempDir(), in, s.URL)
		q := waitForPoll(t, s, "a refusal", func(q distribution.Poll) bool { return q.Refused != nil })
		if q.Version != 0 || q.Refused.Version != 1 || !in.configureFails && (q.Refused.Refused.Key != b.Key || q.Refused.Refused.Line != 3) {
			t.Errorf("%+v", q)
		}
		if len(in.configured) > 0 {
			t.Error("the refused version is active")
		}
	}
}

// A poll must reach the leader past a coordinator that hangs, one that is down, and one that
// redirects to the leader.
func TestPollFindsTheLeader(t *testing.T) {
	a := plan(t, "a", 1)
	leader := newScriptedCoordinator(t, replyWith(distribution.Reply{State: &distribution.State{Version: 1, Hash: sum(a),
		Resources: []distribution.Resource{a}}}), emptyReply)
	release := make(chan struct{})
	hangs := newScriptedCoordinator(t, func(http.ResponseWriter, distribution.Poll) { <-release })
	t.Cleanup(func() { close(release) }) // before hangs is closed, which waits for the handler
	gone := httptest.NewServer(nil)
	gone.Close()
	sends := newScriptedCoordinator(t, func(w http.ResponseWriter, _ distribution.Poll) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		_, _ = fmt.Fprintf(w, `{"error":{"kind":"NotLeader","text":"no","remedy":"ask the leader"},"leader":%q}`,
			strings.TrimPrefix(leader.URL, "http://"))
	})
	in := &fakeIngress{configured: make(chan distribution.ActiveConfig, 100)}
	startFollower(t, t.TempDir(), in, hangs.URL, gone.URL, sends.URL, leader.URL)
	if u := receive(t, "version 1", in.configured); u.Version != 1 {
		t.Errorf("%+v", u)
	}
}

// A rejection that repeats with each poll must be logged once only, or it floods the log.
func TestSameWarningIsLoggedOnce(t *testing.T) {
	s := newScriptedCoordinator(t, func(w http.ResponseWriter, _ distribution.Poll) {
		w.WriteHeader(http.StatusConflict)
		_, _ = fmt.Fprint(w, `{"error":{"kind":"BadPoll","text":"a later one has come under this name","remedy":"give each a name of its own"}}`)
	})
	var log bytes.Buffer
	stop := startFollowerWithLog(t, t.TempDir(), &fakeIngress{configured: make(chan distribution.ActiveConfig, 100)},
		slog.NewTextHandler(&log, nil), strings.TrimPrefix(s.URL, "http://"))
	for range 5 {
		receive(t, "a poll", s.polls)
	}
	stop()
	if n := strings.Count(log.String(), "a later one has come"); n != 1 {
		t.Errorf("logged %d times, want once: %s", n, log.String())
	}
}

func TestConfigErrorsHaveLines(t *testing.T) {
	if c, err := LoadConfig("../../deploy/follower.toml"); err != nil || c.Name == "" || len(c.Coordinators) != 3 {
		t.Errorf("the shipped file: %+v, %v", c, err)
	}
	for text, want := range map[string]string{
		"name = \"\"\ndir = \"d\"\ncoordinators = [\"a:1\"]\n":                     "1: name",
		"name = \"n\"\ndir = \"\"\ncoordinators = [\"a:1\"]\n":                     "2: dir",
		"name = \"n\"\ndir = \"d\"\ncoordinators = [\"a\"]\n":                      "3: coordinators",
		"name = \"n\"\ndir = \"d\"\ncoordinators = [\"a:1\"]\npatience_ms = 900\n": "4: patience_ms",
		"name = \"n\"\ndir = \"d\"\ncoordinators = [\"a:1\"]\nnane = 1\n":          "4: nane",
		"name = 3\n": "1: ",
	} {
		if _, faults := ParseConfig(text); len(faults) != 1 || !strings.HasPrefix(faults[0].Error(), want) {
			t.Errorf("%q: %v, want %s", text, faults, want)
		}
	}
}
