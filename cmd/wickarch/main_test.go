package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// asProgram makes the test's own binary run the program instead.
const asProgram = "WICKARCH_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const config = `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "settings":{"balancers":1,"bounds":{"try_limit":4},
  "request_classes":[{"name":"lookup","aim_ms":600,"give_up_ms":1000,"effect":"free","worth":2}],
  "tiers_of_service":[{"name":"basic","quota_rate":10,"burst":10,"price":1}]}}`

func TestProgramStartsAndEndsWithSigterm(t *testing.T) {
	asked := make(chan struct{}, 10)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, `{"revision":1,"complete":true,"members":[]}`)
		asked <- struct{}{}
	}))
	defer discovery.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, config, discovery.Listener.Addr().String()), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0])
	cmd.Env = append(os.Environ(), asProgram+"=1", "NODE_CONFIG="+path)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-asked: // it serves
	case <-ctx.Done():
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
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
