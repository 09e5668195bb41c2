// Package retry repeats an operation that failed with a transient error: an error of a system call that is
// not about the object of the call.
package retry

import (
	"errors"
	"os"
	"syscall"
	"time"
)

const retryDelay = 20 * time.Millisecond

// Transient reports whether a retry of the call that failed with err may succeed.
func Transient(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return errors.Is(err, os.ErrNoDeadline) // the Go runtime could not register the file with its poller
	}
	switch errno {
	case syscall.ENOENT, syscall.EACCES, syscall.EPERM, syscall.EROFS, syscall.EISDIR, syscall.ENOTDIR, syscall.ELOOP,
		syscall.ENAMETOOLONG, syscall.EINVAL, syscall.EBADF, syscall.EWOULDBLOCK:
		return false
	}
	return true
}

// For calls operation until it succeeds, fails with an error that is not transient, or fails after timeout.
// onFirstFailure, unless nil, is called with the first transient error.
func For[T any](timeout time.Duration, onFirstFailure func(error), operation func() (T, error)) (v T, err error) {
	end := time.Now().Add(timeout)
	for reported := false; ; reported = true {
		if v, err = operation(); err == nil || !Transient(err) || time.Now().After(end) {
			return v, err
		}
		if !reported && onFirstFailure != nil {
			onFirstFailure(err)
		}
		time.Sleep(retryDelay)
	}
}
