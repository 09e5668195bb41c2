// Package handover ensures that only one of several processes of the same
// ingress takes clients: the new process begins as soon as the old one stops or
// dies.
//
// The right to take clients is a lock on a file in a directory that the processes
// share. The kernel releases it however its holder ends, so files that are left
// in the directory are never stale. The process that waits for the lock holds a
// second one, by which the holder knows that another process waits.
package handover

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"wickarch/internal/retry"
)

// Lock is the right to take clients, held or waited for by one process.
type Lock struct {
	dir        string
	held, next *os.File // locked by the process that takes clients, and by the one that waits
}

// How long calls are retried after transient errors.
const (
	waitTimeout = 10 * time.Second       // in a process that waits to take clients
	stopTimeout = 100 * time.Millisecond // in a process that is about to exit
)

// Open opens the lock's files in dir. It fails if dir is not writable.
func Open(dir string) (*Lock, error) {
	return retry.For(waitTimeout, nil, func() (*Lock, error) { return open(dir) })
}

func open(dir string) (*Lock, error) {
	c := Lock{dir: dir}
	for name, file := range map[string]**os.File{"wickarch.held": &c.held, "wickarch.next": &c.next} {
		f, err := os.OpenFile(filepath.Join(dir, name), os.O_RDWR|os.O_CREATE, 0o600)
		if err != nil {
			c.Close()
			return nil, fmt.Errorf("handover: %w", err)
		}
		*file = f
	}
	return &c, nil
}

// Acquire waits until this process may take clients. It blocks an operating system thread.
func (c *Lock) Acquire() error {
	if err := flock(c.next, syscall.LOCK_EX, waitTimeout); err != nil {
		return err
	}
	if err := flock(c.held, syscall.LOCK_EX, waitTimeout); err != nil {
		return err
	}
	return flock(c.next, syscall.LOCK_UN, waitTimeout)
}

// Contended reports whether another process waits for this one to stop.
func (c *Lock) Contended() bool {
	err := flock(c.next, syscall.LOCK_EX|syscall.LOCK_NB, stopTimeout)
	if err == nil {
		_ = flock(c.next, syscall.LOCK_UN, stopTimeout)
	}
	return errors.Is(err, syscall.EWOULDBLOCK)
}

// Release lets the next process begin. The caller must not take clients any more.
func (c *Lock) Release() error { return flock(c.held, syscall.LOCK_UN, stopTimeout) }

// Close releases the lock and closes its files.
func (c *Lock) Close() {
	for _, f := range []*os.File{c.held, c.next} {
		if f != nil {
			_ = f.Close()
		}
	}
}

func flock(f *os.File, operation int, timeout time.Duration) error {
	_, err := retry.For(timeout, nil, func() (struct{}, error) { return struct{}{}, syscall.Flock(int(f.Fd()), operation) })
	if err != nil {
		return fmt.Errorf("handover: lock %s: %w", f.Name(), err)
	}
	return nil
}
