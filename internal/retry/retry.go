// Package retry repeats a step that failed by an error which may be gone a moment later: one of a system
// call that says nothing of what the call was made on.
package retry

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// pause is the time between two tries.
const pause = 20 * time.Millisecond

// Transient tells whether an error may be gone a moment later.
func Transient(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return errors.Is(err, os.ErrNoDeadline) // of a poller that the Go runtime could not watch
	}
	switch errno {
	case syscall.ENOENT, syscall.EACCES, syscall.EPERM, syscall.EROFS, syscall.EISDIR, syscall.ENOTDIR, syscall.ELOOP,
		syscall.ENAMETOOLONG, syscall.EINVAL, syscall.EBADF, syscall.EWOULDBLOCK:
		return false
	}
	return true
}

// For repeats a step while it fails by a passing error, until patience is over. failed is told of the first
// failure; nil for nobody.
func For[T any](patience time.Duration, failed func(error), step func() (T, error)) (v T, err error) {
	end := time.Now().Add(patience)
	for told := false; ; told = true {
		if v, err = step(); err == nil || !Transient(err) || time.Now().After(end) {
			return v, err
		}
		if !told && failed != nil {
			failed(err)
		}
		time.Sleep(pause)
	}
}
