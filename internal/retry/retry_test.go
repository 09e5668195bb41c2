package retry

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against operations that are given up on a transient error, and against retries after a permanent one.
func TestTransientErrorsAreRetriedAndOthersReturned(t *testing.T) {
	for _, c := range []struct {
		err       error
		transient bool
	}{
		{fmt.Errorf("open: %w", syscall.EIO), true}, {&os.PathError{Err: syscall.ENFILE}, true}, {syscall.ENOLCK, true}, {os.ErrNoDeadline, true},
		{syscall.ENOENT, false}, {&os.PathError{Err: syscall.EACCES}, false}, {errors.New("no system call"), false},
	} {
		calls, reported := 0, 0
		got, err := For(time.Minute, func(error) { reported++ }, func() (int, error) {
			if calls++; calls < 3 {
				return 0, c.err
			}
			return 7, nil
		})
		if c.transient && (err != nil || got != 7 || reported != 1) {
			t.Errorf("%v: For returns %d, %v and reports %d failures; want 7 after two failures, and one report", c.err, got, err, reported)
		}
		if !c.transient && (!errors.Is(err, c.err) || calls != 1) {
			t.Errorf("%v: For returns %v after %d calls, want this error after the first call", c.err, err, calls)
		}
	}
	if _, err := For(0, nil, func() (int, error) { return 0, syscall.EIO }); !errors.Is(err, syscall.EIO) {
		t.Errorf("with a zero timeout For returns %v, want EIO", err)
	}
}
