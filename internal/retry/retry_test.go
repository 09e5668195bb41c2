package retry

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against steps that are given up for an error of one moment, and against waits for what never changes.
func TestPassingErrorsAreOutlivedAndOthersTold(t *testing.T) {
	for _, c := range []struct {
		err     error
		passing bool
	}{
		{fmt.Errorf("open: %w", syscall.EIO), true}, {&os.PathError{Err: syscall.ENFILE}, true}, {syscall.ENOLCK, true}, {os.ErrNoDeadline, true},
		{syscall.ENOENT, false}, {&os.PathError{Err: syscall.EACCES}, false}, {errors.New("no system call"), false},
	} {
		tries, told := 0, 0
		got, err := For(time.Minute, func(error) { told++ }, func() (int, error) {
			if tries++; tries < 3 {
				return 0, c.err
			}
			return 7, nil
		})
		if c.passing && (err != nil || got != 7 || told != 1) {
			t.Errorf("%v: %d, %v, told %d times; want 7 behind two failures, told once", c.err, got, err, told)
		}
		if !c.passing && (!errors.Is(err, c.err) || tries != 1) {
			t.Errorf("%v: %v after %d tries, want it told at once", c.err, err, tries)
		}
	}
	if _, err := For(0, nil, func() (int, error) { return 0, syscall.EIO }); !errors.Is(err, syscall.EIO) {
		t.Errorf("with no patience left: %v", err)
	}
}
