// Package daemon holds what the commands agent and coordinator share: parsing the command
// line, loading the configuration file, the logger, the signals that stop them, and the
// report of an error before they exit.
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
	Config string `arg:"" help:"The configuration file." type:"path"`
}

// Main parses the command line into commands, a pointer to a struct with kong's tags, runs the
// selected command, and exits with exitFailure if it returns an error.
func Main(name, description string, commands any) {
	parsed := kong.Parse(commands, kong.Name(name), kong.Description(description), kong.UsageOnError())
	if err := parsed.Run(); err != nil {
		report(os.Stderr, name, err)
		os.Exit(exitFailure)
	}
}

// report writes an error, and its remedy if it has one. A failed write is ignored: the exit
// code reports the failure as well.
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
	// The signal handler stays installed until the process exits. If it were removed when serve
	// returns, a second SIGTERM would kill a process that has finished its work, and it would look
	// like a crash.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return serve(ctx, config, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}
