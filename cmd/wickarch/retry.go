package main

import (
	"errors"
	"log/slog"
	"os"
	"syscall"
	"time"
)

const (
	startPatience = 10 * time.Second // with system calls that fail at the start
	firstPause    = 20 * time.Millisecond
	longestPause  = time.Second
)

// passing tells whether an error may be gone a moment later: that of a system call which says
// nothing of what it was called on.
func passing(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return errors.Is(err, os.ErrNoDeadline) // of a poller that the runtime could not watch
	}
	switch errno {
	case syscall.ENOENT, syscall.EACCES, syscall.EPERM, syscall.EISDIR, syscall.ENOTDIR, syscall.ELOOP, syscall.ENAMETOOLONG, syscall.EINVAL, syscall.EBADF:
		return false
	}
	return true
}

// atStart repeats a step of the start while it fails by a passing error.
func atStart[T any](step func() (T, error)) (v T, err error) {
	end := time.Now().Add(startPatience)
	told := false
	for {
		if v, err = step(); err == nil || !passing(err) || time.Now().After(end) {
			return v, err
		}
		if !told {
			slog.Warn("the start waits for a system call that fails", "error", err)
			told = true
		}
		time.Sleep(firstPause)
	}
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
