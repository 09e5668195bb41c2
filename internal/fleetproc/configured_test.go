package fleetproc

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wickarch/distribution"
)

// file writes a configuration whose plan "gold" has a ceiling, with more lines behind.
func (f *Fleet) writeConfig(t *testing.T, ceiling float64, more string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "configuration.toml")
	text := fmt.Sprintf("[plan.basic]\nrate = 1e6\nburst = 1e6\nprice = 1.0\n\n[plan.gold]\nprice = 1.0\nceiling_rate = %g\nceiling_burst = %g\n\n%s", ceiling, ceiling, more)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (f *Fleet) waitConfig(t *testing.T, what string, is func(distribution.Status) bool) {
	t.Helper()
	if err := f.WaitConfig(waitTimeout, what, is); err != nil {
		t.Fatal(err)
	}
}

func followerStatus(s distribution.Status, name string) distribution.FollowerStatus {
	for _, x := range s.Followers {
		if x.Name == name {
			return x
		}
	}
	return distribution.FollowerStatus{}
}

// everywhere tells whether a version is in force at all ingresses.
func (f *Fleet) inForceEverywhere(version uint64) func(distribution.Status) bool {
	return func(s distribution.Status) bool {
		n := 0
		for _, x := range s.Followers {
			if x.Sync == distribution.SyncInForce && x.Version == version {
				n++
			}
		}
		return s.Version == version && s.Settled == version && n == f.Ingresses
	}
}

// lead is the number of the coordinator that leads, from 0.
func (f *Fleet) waitLeader(t *testing.T) int {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if l := f.Leader(); l >= 0 {
			return l
		}
	}
	t.Fatal("nobody leads")
	return 0
}

// Three coordinators give configuration out to twelve ingresses under load, while every part
// fails in turn: a version is in force at all that can be reached, whole or not at all, the
// ceiling holds over old and new, and of what clients ask nothing is lost or runs twice.
func TestConfigurationReachesAllIngresses(t *testing.T) {
	bin := t.TempDir()
	if err := Build(bin); err != nil {
		t.Fatal(err)
	}
	f, err := StartConfigured(Config{Dir: t.TempDir(), Bin: bin, Coordinators: 3, Ingresses: 12, Backends: 4, Zones: 2, Budgets: budgets, PerSecond: 200,
		Payments: 0.1, Report: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		seen := f.Stop()
		t.Logf("%+v", seen)
		if err := f.Check(); err != nil {
			t.Error(err)
		}
		if t.Failed() {
			for _, p := range append(f.Coordinators, f.Programs...) {
				log := p.Log()
				t.Logf("%s: %s", p.Name, log[max(0, len(log)-3000):])
			}
		}
	})
	f.mustRun(t, 0, "config", "push", f.writeConfig(t, 24, ""), "--wait", "60s")
	siege := &CustomerLoad{Plan: "gold", PerSecond: 15}
	f.StartCustomerLoad(siege)
	defer siege.End()
	began := time.Now()

	t.Run("a lower ceiling, while links fail and the leader dies", func(t *testing.T) {
		// n0 hears no coordinator; n1 only what it is sent late; n2's connections are reset; the
		// leader dies with the push just taken.
		for _, l := range f.Links[0] {
			l.Silence()
		}
		for _, l := range f.Links[1] {
			l.Delay(150 * time.Millisecond)
		}
		lead := f.waitLeader(t)
		f.mustRun(t, 0, "config", "push", f.writeConfig(t, 12, ""), "--wait", "0s")
		f.Coordinators[lead].Kill()
		for _, l := range f.Links[2] {
			l.Reset()
		}
		f.waitConfig(t, "all but the one cut off have it", func(s distribution.Status) bool {
			n := 0
			for _, x := range s.Followers {
				if x.Sync == distribution.SyncInForce && x.Version == 2 {
					n++
				}
			}
			return n == f.Ingresses-1 && s.Settled == 2 && followerStatus(s, "n0").Version < 2 && followerStatus(s, "n0").Sync != distribution.SyncInForce
		})
		if err := f.Coordinators[lead].Start(); err != nil {
			t.Fatal(err)
		}
		for i := range 2 {
			for _, l := range f.Links[i] {
				l.Heal()
			}
		}
		f.waitConfig(t, "the one that was cut off has it", f.inForceEverywhere(2))
	})
	lowered := time.Now()

	t.Run("a ceiling is raised only when all that are heard have it", func(t *testing.T) {
		f.Programs[3].Signal(syscall.SIGSTOP) // it keeps its lease for a while
		f.mustRun(t, 0, "config", "push", f.writeConfig(t, 120, ""), "--wait", "0s")
		f.waitConfig(t, "the others have it", func(s distribution.Status) bool {
			n := 0
			for _, x := range s.Followers {
				if x.Version == 3 {
					n++
				}
			}
			return n >= f.Ingresses-1
		})
		s, err := f.ConfigStatus(waitTimeout)
		if err != nil {
			t.Fatal(err)
		}
		settled := s.Settled == 3
		raised := time.Now()
		if over := siege.MaxExcess(lowered, raised, 12, 12); !settled && over > 12*slackSeconds {
			t.Errorf("%v units beyond the ceiling of 12 while it was being raised", over)
		}
		f.Programs[3].Signal(syscall.SIGCONT)
		f.waitConfig(t, "all have it", f.inForceEverywhere(3))
		from := time.Now()
		for end := from.Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
			if n, _ := siege.Count(from); float64(n) > 3*12 {
				break // more than the one before would have let through in so short a time
			} else if time.Now().After(end) {
				t.Fatalf("%d units in %v at a ceiling of 120", n, waitTimeout)
			}
		}
	})

	t.Run("a version that can't be used is halted, with resource and line", func(t *testing.T) {
		bad := f.writeConfig(t, 120, "[service.accounts]\naim_ms = 200\n\n[route.accounts]\nservice = \"accounts\"\nprefix = \"0\"\nclass = \"nonesuch\"\n")
		out := f.mustRun(t, 3, "config", "push", bad, "--wait", "60s")
		if !strings.Contains(out, "HALTED") || !strings.Contains(out, "route/accounts (line 14)") || !strings.Contains(out, "nonesuch") {
			t.Errorf("it is told as %s", out)
		}
		if s, err := f.ConfigStatus(waitTimeout); err != nil || s.Settled != 3 {
			t.Errorf("settled is version %d, %v", s.Settled, err)
		}
		if out := f.mustRun(t, 7, "config", "push", f.writeConfig(t, 60, ""), "--base", "3"); !strings.Contains(out, "Conflict") {
			t.Errorf("a push on an older version is told as %s", out)
		}
		f.mustRun(t, 0, "config", "back", "--to", "3", "--wait", "60s")
		f.waitConfig(t, "the way back is in force", f.inForceEverywhere(5))
	})

	t.Run("an ingress starts by what it kept, and the fleet serves on, with no coordinator", func(t *testing.T) {
		for _, p := range f.Coordinators {
			p.Kill()
		}
		f.KillIngress(4)
		f.KillIngress(5)
		// The one has a bit turned, the other's folder is gone: they take what the platform states.
		path := filepath.Join(f.ConfigDir(5), "config.db")
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		at := strings.LastIndex(string(b), "ceiling_rate")
		if at < 0 {
			t.Fatal("nothing is kept")
		}
		for i := range b {
			if strings.HasPrefix(string(b[i:min(len(b), i+12)]), "ceiling_rate") {
				b[i] ^= 1
			}
		}
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		for _, i := range []int{4, 5} {
			if err := f.Programs[i].Start(); err != nil {
				t.Fatal(err)
			}
		}
		// Their logs tell before they serve; the front may not have seen that they were gone.
		for i, want := range map[int]string{4: `configured by what was kept follower=n4 in_force="version 5`, 5: "damaged"} {
			for end := time.Now().Add(waitTimeout); !strings.Contains(f.Programs[i].Log(), want); time.Sleep(20 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("waited in vain for %q: %s", want, f.Programs[i].Log())
				}
			}
		}
		before := f.Front.Seen().Served
		for end := time.Now().Add(waitTimeout); f.Front.Unavailable() > 0 || f.Front.Seen().Served < before+100; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the ingresses do not serve without a coordinator")
			}
		}
		for _, p := range f.Coordinators {
			if err := p.Start(); err != nil {
				t.Fatal(err)
			}
		}
		f.waitConfig(t, "all follow again", f.inForceEverywhere(5))
		f.mustRun(t, 0, "config", "push", f.writeConfig(t, 12, ""), "--wait", "60s")
	})
	ended := time.Now()
	if over := siege.MaxExcess(began, ended, 120, 120); over > 120*slackSeconds {
		t.Errorf("%v units beyond the highest ceiling", over)
	}
	_, answers := siege.Count(began)
	t.Logf("the siege: %v", answers)
}

// slack is how long a request may be on its way to a backend beside others that are not, in
// seconds: so much of a ceiling's rate may seem to come at once.
const slackSeconds = 1.0
