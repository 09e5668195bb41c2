package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"wickarch/internal/retry"
)

const (
	startTimeout   = 10 * time.Second // how long startup retries failed system calls
	minReloadDelay = 20 * time.Millisecond
	maxReloadDelay = time.Second
)

// retryAtStart retries a startup step after transient errors, until it succeeds, startTimeout has passed or ctx is
// cancelled.
func retryAtStart[T any](ctx context.Context, step func() (T, error)) (T, error) {
	onFirstFailure := func(err error) { slog.Warn("startup waits for a system call that failed and is retried", "error", err) }
	return retry.For(startTimeout, onFirstFailure, func() (v T, err error) {
		if err = ctx.Err(); err != nil {
			return v, err
		}
		return step()
	})
}

// reloadOnSignals reloads the configuration on each signal. A reload that fails is retried with exponential
// backoff until it succeeds: the file may be partly written, or the system short of a resource. A further signal
// retries at once and resets the backoff.
func reloadOnSignals(signals <-chan os.Signal, reload func() error) {
	for range signals {
		delay := minReloadDelay
		for reported := false; ; reported = true {
			err := reload()
			if err == nil {
				break
			}
			if !reported {
				slog.Error("cannot read the configuration; keeping the previous one and retrying", "error", err)
			}
			select {
			case <-signals:
				delay = minReloadDelay
			case <-time.After(delay):
				delay = min(2*delay, maxReloadDelay)
			}
		}
	}
}
