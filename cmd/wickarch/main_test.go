package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wickarch/internal/faultinject"
	"wickarch/internal/standin"
)

// programRoleEnv names the environment variable that makes the test binary run the program instead of the tests.
const programRoleEnv = "WICKARCH_TEST_AS_PROGRAM"

// roles holds what the test binary can run instead of the tests, by the environment variable that selects it.
// cleanups run after all tests.
var (
	roles    = map[string]func(value string){programRoleEnv: func(string) { main() }}
	cleanups []func()
)

func TestMain(m *testing.M) {
	faultinject.RunRole()
	for name, role := range roles {
		if value := os.Getenv(name); value != "" {
			role(value)
			return
		}
	}
	code := m.Run()
	for _, f := range cleanups {
		f()
	}
	os.Exit(code)
}

const nodeConfigFormat = `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "settings":{"balancers":1,"bounds":{"try_limit":4},
  "request_classes":[{"name":"lookup","aim_ms":600,"give_up_ms":1000,"effect":"free","worth":2}],
  "tiers_of_service":[{"name":"basic","quota_rate":10,"burst":10,"price":1}]}}`

// startDiscovery starts a discovery server with an empty list. It sends on requested for each request for the list
// that does not open a stream.
func startDiscovery(t *testing.T) (addr string, requested chan struct{}) {
	requested = make(chan struct{}, 100)
	s := standin.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintln(w, `{"revision":1,"complete":true,"members":[]}`)
		if r.URL.Query().Get("stream") == "" {
			requested <- struct{}{}
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), requested
}

// replaceConfig replaces the configuration file atomically.
func replaceConfig(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// Guards against a SIGHUP that terminates the program, as its default action does, or that does not switch to the
// new discovery address.
func TestProgramReloadsOnSIGHUPAndExitsOnSIGTERM(t *testing.T) {
	first, firstRequested := startDiscovery(t)
	second, secondRequested := startDiscovery(t)
	path := filepath.Join(t.TempDir(), "config.json")
	replaceConfig(t, path, fmt.Sprintf(nodeConfigFormat, first))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0])
	cmd.Env = append(os.Environ(), programRoleEnv+"=1", "NODE_CONFIG="+path)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(log)
	signal := func(s os.Signal) {
		t.Helper()
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	waitForRequest := func(what string, requested chan struct{}) {
		t.Helper()
		select {
		case <-requested:
		case <-ctx.Done():
			t.Fatalf("timed out waiting for discovery to be asked: %s", what)
		}
	}
	waitForLog := func(text string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				return
			}
		}
		t.Fatalf("no log line contains %q", text)
	}
	waitForRequest("startup", firstRequested)
	replaceConfig(t, path, "{")
	signal(syscall.SIGHUP)
	waitForLog("cannot read the configuration; keeping the previous one")
	for range 3 {
		replaceConfig(t, path, fmt.Sprintf(nodeConfigFormat, second))
		signal(syscall.SIGHUP)
		waitForRequest("move to the second address", secondRequested)
		replaceConfig(t, path, fmt.Sprintf(nodeConfigFormat, first))
		signal(syscall.SIGHUP)
		waitForRequest("move back to the first address", firstRequested)
	}
	go func() { _, _ = io.Copy(io.Discard, log) }()
	signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v", err)
	}
}

func TestProgramFailsWithoutConfiguration(t *testing.T) {
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), programRoleEnv+"=1", "NODE_CONFIG=")
	var exit *exec.ExitError
	if err := cmd.Run(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("the program exited with %v, want exit code 1", err)
	}
}
