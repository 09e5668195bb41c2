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

// asProgram makes the test's own binary run the program instead.
const asProgram = "WICKARCH_TEST_AS_PROGRAM"

// Further things that the test's binary can be started as, each by a variable of
// the environment, and what is left to do behind the tests.
var (
	roles = map[string]func(value string){asProgram: func(string) { main() }}
	after []func()
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
	for _, f := range after {
		f()
	}
	os.Exit(code)
}

const nodeConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "settings":{"balancers":1,"bounds":{"try_limit":4},
  "request_classes":[{"name":"lookup","aim_ms":600,"give_up_ms":1000,"effect":"free","worth":2}],
  "tiers_of_service":[{"name":"basic","quota_rate":10,"burst":10,"price":1}]}}`

// agent is a discovery that tells each time its list is asked for.
func agent(t *testing.T) (addr string, asked chan struct{}) {
	asked = make(chan struct{}, 100)
	s := standin.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintln(w, `{"revision":1,"complete":true,"members":[]}`)
		if r.URL.Query().Get("stream") == "" {
			asked <- struct{}{}
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), asked
}

// configure replaces the file of the configuration.
func configure(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// SIGHUP must move discovery and, by itself, would end the program.
func TestProgramRereadsItsConfigurationAndEndsWithSigterm(t *testing.T) {
	first, atFirst := agent(t)
	second, atSecond := agent(t)
	path := filepath.Join(t.TempDir(), "config.json")
	configure(t, path, fmt.Sprintf(nodeConfig, first))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0])
	cmd.Env = append(os.Environ(), asProgram+"=1", "NODE_CONFIG="+path)
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
	wait := func(what string, asked chan struct{}) {
		t.Helper()
		select {
		case <-asked:
		case <-ctx.Done():
			t.Fatalf("waited in vain for %s", what)
		}
	}
	logged := func(text string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				return
			}
		}
		t.Fatalf("the log never says %q", text)
	}
	wait("the start", atFirst)
	configure(t, path, "{")
	signal(syscall.SIGHUP)
	logged("the configuration stays as it was")
	for range 3 {
		configure(t, path, fmt.Sprintf(nodeConfig, second))
		signal(syscall.SIGHUP)
		wait("the move", atSecond)
		configure(t, path, fmt.Sprintf(nodeConfig, first))
		signal(syscall.SIGHUP)
		wait("the move back", atFirst)
	}
	go func() { _, _ = io.Copy(io.Discard, log) }()
	signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

func TestProgramFailsWithoutConfiguration(t *testing.T) {
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), asProgram+"=1", "NODE_CONFIG=")
	var exit *exec.ExitError
	if err := cmd.Run(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("ended with %v, want exit code 1", err)
	}
}
