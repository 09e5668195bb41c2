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

// writeConfig writes a configuration file whose plan "gold" has a ceiling, followed by the
// lines in more.
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

func follower(s distribution.Status, name string) distribution.FollowerStatus {
	for _, x := range s.Followers {
		if x.Name == name {
			return x
		}
	}
	return distribution.FollowerStatus{}
}

// inForceEverywhere returns a condition: the version is settled and in force at all ingresses.
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

// waitLeader waits for a leader and returns the index of its coordinator, from 0.
func (f *Fleet) waitLeader(t *testing.T) int {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if l := f.Leader(); l >= 0 {
			return l
		}
	}
	t.Fatal("no coordinator became leader")
	return 0
}

// Guards against partly applied versions, exceeded ceilings, and lost or repeated requests
// when links, coordinators and ingresses fail during the distribution of configuration to
// twelve ingresses under load. A version must come into force at all reachable ingresses.
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
	load := &CustomerLoad{Plan: "gold", PerSecond: 15}
	f.StartCustomerLoad(load)
	defer load.End()
	began := time.Now()

	t.Run("lower a ceiling while links fail and the leader is killed", func(t *testing.T) {
		// n0 can't reach any coordinator; n1's links are delayed; n2's connections are reset; the
		// leader is killed right after it accepts the push.
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
		f.waitConfig(t, "all ingresses but n0 have version 2 in force", func(s distribution.Status) bool {
			n := 0
			for _, x := range s.Followers {
				if x.Sync == distribution.SyncInForce && x.Version == 2 {
					n++
				}
			}
			return n == f.Ingresses-1 && s.Settled == 2 && follower(s, "n0").Version < 2 && follower(s, "n0").Sync != distribution.SyncInForce
		})
		if err := f.Coordinators[lead].Start(); err != nil {
			t.Fatal(err)
		}
		for i := range 2 {
			for _, l := range f.Links[i] {
				l.Heal()
			}
		}
		f.waitConfig(t, "version 2 is in force everywhere", f.inForceEverywhere(2))
	})
	lowered := time.Now()

	t.Run("a ceiling is raised only when all connected ingresses have it", func(t *testing.T) {
		f.Programs[3].Signal(syscall.SIGSTOP) // it keeps its lease until that expires
		f.mustRun(t, 0, "config", "push", f.writeConfig(t, 120, ""), "--wait", "0s")
		f.waitConfig(t, "the other ingresses have version 3", func(s distribution.Status) bool {
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
		if over := load.MaxExcess(lowered, raised, 12, 12); !settled && over > 12*slackSeconds {
			t.Errorf("exceeded the ceiling of 12 by %v units before the raise settled", over)
		}
		f.Programs[3].Signal(syscall.SIGCONT)
		f.waitConfig(t, "version 3 is in force everywhere", f.inForceEverywhere(3))
		from := time.Now()
		for end := from.Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
			if n, _ := load.Count(from); float64(n) > 3*12 {
				break // more than the previous ceiling admits in so short a time
			} else if time.Now().After(end) {
				t.Fatalf("%d units admitted in %v at a ceiling of 120, want more than 36", n, waitTimeout)
			}
		}
	})

	t.Run("an invalid version is halted, with resource and line", func(t *testing.T) {
		bad := f.writeConfig(t, 120, "[service.accounts]\naim_ms = 200\n\n[route.accounts]\nservice = \"accounts\"\nprefix = \"0\"\nclass = \"nonesuch\"\n")
		out := f.mustRun(t, 3, "config", "push", bad, "--wait", "60s")
		if !strings.Contains(out, "HALTED") || !strings.Contains(out, "route/accounts (line 14)") || !strings.Contains(out, "nonesuch") {
			t.Errorf("push of an invalid version printed %s, want HALTED, route/accounts (line 14) and nonesuch", out)
		}
		if s, err := f.ConfigStatus(waitTimeout); err != nil || s.Settled != 3 {
			t.Errorf("settled version is %d, want 3 (error: %v)", s.Settled, err)
		}
		if out := f.mustRun(t, 7, "config", "push", f.writeConfig(t, 60, ""), "--base", "3"); !strings.Contains(out, "Conflict") {
			t.Errorf("push based on an older version printed %s, want Conflict", out)
		}
		f.mustRun(t, 0, "config", "back", "--to", "3", "--wait", "60s")
		f.waitConfig(t, "the version of the rollback is in force everywhere", f.inForceEverywhere(5))
	})

	t.Run("without coordinators, an ingress starts with its stored configuration and the fleet keeps serving", func(t *testing.T) {
		for _, p := range f.Coordinators {
			p.Kill()
		}
		f.KillIngress(4)
		f.KillIngress(5)
		// Corrupt the stored configuration of n5: it must report the damage and start with the
		// platform's configuration. n4 starts with its stored configuration.
		path := filepath.Join(f.ConfigDir(5), "config.db")
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		at := strings.LastIndex(string(b), "ceiling_rate")
		if at < 0 {
			t.Fatal("config.db holds no ceiling_rate")
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
		// Wait for their log lines, as the front may not have noticed that they were down.
		for i, want := range map[int]string{4: `configured by what was kept follower=n4 in_force="version 5`, 5: "damaged"} {
			for end := time.Now().Add(waitTimeout); !strings.Contains(f.Programs[i].Log(), want); time.Sleep(20 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("timed out waiting for log line %q: %s", want, f.Programs[i].Log())
				}
			}
		}
		before := f.Front.Seen().Served
		for end := time.Now().Add(waitTimeout); f.Front.Unavailable() > 0 ||
			f.Front.Seen().Served < before+100; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the ingresses do not serve without coordinators")
			}
		}
		for _, p := range f.Coordinators {
			if err := p.Start(); err != nil {
				t.Fatal(err)
			}
		}
		f.waitConfig(t, "all ingresses follow again", f.inForceEverywhere(5))
		f.mustRun(t, 0, "config", "push", f.writeConfig(t, 12, ""), "--wait", "60s")
	})
	ended := time.Now()
	if over := load.MaxExcess(began, ended, 120, 120); over > 120*slackSeconds {
		t.Errorf("exceeded the highest ceiling by %v units", over)
	}
	_, answers := load.Count(began)
	t.Logf("outcomes of the customer load: %v", answers)
}

// slackSeconds is the assumed maximum difference between the transit times of requests to
// backends: this many seconds' worth of a ceiling's rate may arrive at once.
const slackSeconds = 1.0
