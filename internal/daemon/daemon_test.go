package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"syscall"
	"testing"
	"time"

	"wickarch/rollout"
)

var errMissing = errors.New("no such file")

// A configuration that does not load is the error, and nothing is served.
func TestRunReturnsTheErrorOfLoad(t *testing.T) {
	err := Run("missing", func(path string) (int, error) { return 0, fmt.Errorf("%s: %w", path, errMissing) },
		func(context.Context, int, *slog.Logger) error {
			t.Error("served without a configuration")
			return nil
		})
	if !errors.Is(err, errMissing) || !strings.HasPrefix(err.Error(), "missing: ") {
		t.Errorf("error %v", err)
	}
}

// Each of the two signals cancels the context; serve's error is returned.
func TestRunStopsOnASignal(t *testing.T) {
	errServed := errors.New("served")
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		err := Run("file", func(path string) (string, error) { return "loaded " + path, nil },
			func(ctx context.Context, config string, log *slog.Logger) error {
				if config != "loaded file" || log == nil {
					t.Errorf("configuration %q, logger %v", config, log)
				}
				if err := syscall.Kill(syscall.Getpid(), sig); err != nil {
					return err
				}
				select {
				case <-ctx.Done():
				case <-time.After(10 * time.Second):
					t.Errorf("%v does not cancel the context", sig)
				}
				return errServed
			})
		if err != errServed {
			t.Errorf("%v: error %v", sig, err)
		}
	}
}

// An error is told after the command's name, with the remedy it has, if any.
func TestReport(t *testing.T) {
	undecided := &rollout.Undecided{Why: "no answer"}
	for _, test := range []struct {
		err  error
		want string
	}{
		{errMissing, "agent: no such file\n"},
		{fmt.Errorf("start: %w", undecided), fmt.Sprintf("agent: start: %v\nwhat to do: %s\n", undecided, undecided.Remedy())},
	} {
		var out strings.Builder
		if report(&out, "agent", test.err); out.String() != test.want {
			t.Errorf("%v is told as %q, want %q", test.err, out.String(), test.want)
		}
	}
}
