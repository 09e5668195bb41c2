package main

import (
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

func TestConfigurationIsChecked(t *testing.T) {
	if _, err := parse(defaults); err != nil {
		t.Fatalf("embedded default configuration: %v", err)
	}
	for from, to := range map[string]struct{ text, want string }{
		"seconds = 15":       {"seconds = x", "line 2"},
		"cores = 1.0":        {"corse = 1.0", "ingress.corse"},
		"payments = 0.25":    {"payments = 1.5", "clients.payments"},
		"[10, 30]":           {"[30, 10]", "backend 3"},
		"sockets = 1024":     {"sockets = 0", "ingress.sockets"},
		"greedy = 0.3":       {"greedy = 1.0", "clients.greedy"},
		"quota_rate = 40":    {"quota_rate = -1", "plan.quota_rate"},
		"deadline_ms = 1000": {"deadline_ms = -1", "clients.deadline_ms"},
	} {
		text := strings.Replace(defaults, from, to.text, 1)
		if text == defaults {
			t.Fatalf("%q is not in the default configuration", from)
		}
		if _, err := parse(text); err == nil || !strings.Contains(err.Error(), to.want) {
			t.Errorf("%s: error %v, want one that names %s", to.text, err, to.want)
		}
	}
}

// Guards against Ctrl-C that ends tryout without its summary, or that leaves the ingress or files behind.
func TestInterruptStopsAllAndPrintsSummary(t *testing.T) {
	dir := t.TempDir()
	for name, pkg := range map[string]string{"tryout": "wickarch/cmd/tryout", "wickarch": "wickarch/cmd/wickarch"} {
		if out, err := exec.Command("go", "build", "-o", dir+"/"+name, pkg).CombinedOutput(); err != nil {
			t.Fatalf("build: %v: %s", err, out)
		}
	}
	cmd := exec.CommandContext(t.Context(), dir+"/tryout", "-program", dir+"/wickarch", "-seconds", "500")
	cmd.Env = append(os.Environ(), "TMPDIR="+dir)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	buf := make([]byte, 4096)
	for interrupted := false; ; {
		n, err := out.Read(buf)
		all.Write(buf[:n])
		if err != nil {
			break
		}
		if !interrupted && strings.Contains(all.String(), "\n       1 ") {
			interrupted = true // the line of the first second: requests have been sent
			if err := cmd.Process.Signal(syscall.SIGINT); err != nil {
				t.Error(err)
			}
		}
	}
	if err := cmd.Wait(); err != nil || !strings.Contains(all.String(), "the figures hold") {
		t.Errorf("ended with %v:\n%s", err, &all)
	}
	if left, _ := os.ReadDir(dir); len(left) != 2 {
		t.Errorf("files left in the temporary directory: %v", left)
	}
	// The ingress is a child process: after tryout has ended nothing may listen on its address.
	_, rest, _ := strings.Cut(all.String(), "ingress on ")
	addr, _, _ := strings.Cut(rest, ",")
	if nc, err := net.Dial("tcp", addr); err == nil || addr == "" {
		t.Errorf("something still listens on %q", addr)
		nc.Close()
	}
}
