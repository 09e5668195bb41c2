// Package daemon starts the long-running commands of a fleet, the agent and the
// coordinator: their command line, their configuration file, their logger, the signals
// that stop them and what they tell of an error before they exit.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"wickarch/rollout"
)

// exitFailure is the exit code of a command that returned an error.
const exitFailure = 1

// ConfigFile is the argument of a command that reads a configuration file.
type ConfigFile struct {
	Config string `arg:"" help:"The configuration." type:"path"`
}

// Main parses the command line into commands, a pointer to a struct as kong takes it, runs
// the command that was named, and exits with a failure if that returns an error.
func Main(name, description string, commands any) {
	parsed := kong.Parse(commands, kong.Name(name), kong.Description(description), kong.UsageOnError())
	if err := parsed.Run(); err != nil {
		report(os.Stderr, name, err)
		os.Exit(exitFailure)
	}
}

// report writes an error, with the remedy of one that has any. The exit code tells of a
// failure even where this can't be written.
func report(w io.Writer, name string, err error) {
	_, _ = fmt.Fprintf(w, "%s: %v\n", name, err)
	var fault rollout.Fault
	if errors.As(err, &fault) {
		_, _ = fmt.Fprintln(w, "what to do:", fault.Remedy())
	}
}

// Run loads the configuration file at path and calls serve with it, a logger that writes to
// standard error, and a context that is cancelled by SIGTERM or SIGINT.
func Run[C any](path string, load func(path string) (C, error), serve func(context.Context, C, *slog.Logger) error) error {
	config, err := load(path)
	if err != nil {
		return err
	}
	// The signals are held until the process has exited: were they let go when serve returns, a
	// second SIGTERM would end a process that has done all its work as if it had crashed.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return serve(ctx, config, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}
