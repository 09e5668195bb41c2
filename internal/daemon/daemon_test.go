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

// Guards against a daemon that serves without its configuration: a failed load is returned, and serve is not called.
func TestRunReturnsTheErrorOfLoad(t *testing.T) {
	err := Run("missing", func(path string) (int, error) { return 0, fmt.Errorf("%s: %w", path, errMissing) },
		func(context.Context, int, *slog.Logger) error {
			t.Error("serve was called without a configuration")
			return nil
		})
	if !errors.Is(err, errMissing) || !strings.HasPrefix(err.Error(), "missing: ") {
		t.Errorf("got error %v, want the error of load with its prefix", err)
	}
}

// Guards against a daemon that SIGTERM or SIGINT does not stop, and against a lost error of serve.
func TestRunStopsOnASignal(t *testing.T) {
	errServed := errors.New("served")
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		err := Run("file", func(path string) (string, error) { return "loaded " + path, nil },
			func(ctx context.Context, config string, log *slog.Logger) error {
				if config != "loaded file" || log == nil {
					t.Errorf("serve got configuration %q and logger %v", config, log)
				}
				if err := syscall.Kill(syscall.Getpid(), sig); err != nil {
					return err
				}
				select {
				case <-ctx.Done():
				case <-time.After(10 * time.Second):
					t.Errorf("%v did not cancel the context within 10 s", sig)
				}
				return errServed
			})
		if err != errServed {
			t.Errorf("%v: got error %v, want the error of serve", sig, err)
		}
	}
}

// Guards against an error that is reported without the command's name or without its remedy.
func TestReportWritesTheErrorAndItsRemedy(t *testing.T) {
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
			t.Errorf("report of %v wrote %q, want %q", test.err, out.String(), test.want)
		}
	}
}
