// Package handover lets one of several processes of the same ingress take
// clients: the new one begins when the old one has stopped, to the moment, and
// when the old one dies.
//
// The right is a lock on a file in a folder that the processes share. The kernel
// gives it back however its holder ends, so nothing that is left behind in the
// folder can mislead. A second lock is held by whoever waits for the first: the
// holder learns by it whether anybody does.
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

// Lock is the right to take clients, as one process holds it or waits for it.
type Lock struct {
	held, next *os.File
}

// How long calls may fail by errors that pass.
const (
	waitPatience = 10 * time.Second       // of a process that waits to take clients
	stopPatience = 100 * time.Millisecond // of one that is about to end
)

// Open opens the lock in a folder. It fails when the folder can't be written to.
func Open(dir string) (*Lock, error) {
	return retry.For(waitPatience, nil, func() (*Lock, error) { return open(dir) })
}

func open(dir string) (*Lock, error) {
	var c Lock
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

// Acquire waits until this process may take clients. It blocks a thread.
func (c *Lock) Acquire() error {
	if err := flock(c.next, syscall.LOCK_EX, waitPatience); err != nil {
		return err
	}
	if err := flock(c.held, syscall.LOCK_EX, waitPatience); err != nil {
		return err
	}
	return flock(c.next, syscall.LOCK_UN, waitPatience)
}

// Contended reports whether another process waits for this one to stop.
func (c *Lock) Contended() bool {
	err := flock(c.next, syscall.LOCK_EX|syscall.LOCK_NB, stopPatience)
	if err == nil {
		_ = flock(c.next, syscall.LOCK_UN, stopPatience)
	}
	return errors.Is(err, syscall.EWOULDBLOCK)
}

// Release lets the next process begin. The caller takes no client any more.
func (c *Lock) Release() error { return flock(c.held, syscall.LOCK_UN, stopPatience) }

// Close gives up the lock and its files.
func (c *Lock) Close() {
	for _, f := range []*os.File{c.held, c.next} {
		if f != nil {
			_ = f.Close()
		}
	}
}

func flock(f *os.File, how int, patience time.Duration) error {
	_, err := retry.For(patience, nil, func() (struct{}, error) { return struct{}{}, syscall.Flock(int(f.Fd()), how) })
	if err != nil {
		return fmt.Errorf("handover: lock %s: %w", f.Name(), err)
	}
	return nil
}
