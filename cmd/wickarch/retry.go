package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"wickarch/internal/retry"
)

const (
	startPatience = 10 * time.Second // with system calls that fail at the start
	firstPause    = 20 * time.Millisecond
	longestPause  = time.Second
)

// atStart repeats a step of the start while it fails by a passing error, until ctx ends.
func atStart[T any](ctx context.Context, step func() (T, error)) (T, error) {
	failed := func(err error) { slog.Warn("the start waits for a system call that fails", "error", err) }
	return retry.For(startPatience, failed, func() (v T, err error) {
		if err = ctx.Err(); err != nil {
			return v, err
		}
		return step()
	})
}

// followSignals takes over the configuration at each signal. One that can't be read is read again until it
// can, at growing pauses: it may be half written, or the system short of something.
func followSignals(signals <-chan os.Signal, read func() error) {
	for range signals {
		pause := firstPause
		for told := false; ; told = true {
			err := read()
			if err == nil {
				break
			}
			if !told {
				slog.Error("the configuration stays as it was until it can be read", "error", err)
			}
			select {
			case <-signals:
				pause = firstPause
			case <-time.After(pause):
				pause = min(2*pause, longestPause)
			}
		}
	}
}
