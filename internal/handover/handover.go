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
)

// Lock is the right to take clients, as one process holds it or waits for it.
type Lock struct {
	held, next *os.File
}

// Open opens the lock in a folder. It fails when the folder can't be written to.
func Open(dir string) (*Lock, error) {
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
	if err := flock(c.next, syscall.LOCK_EX); err != nil {
		return err
	}
	if err := flock(c.held, syscall.LOCK_EX); err != nil {
		return err
	}
	return flock(c.next, syscall.LOCK_UN)
}

// Contended reports whether another process waits for this one to stop.
func (c *Lock) Contended() bool {
	err := flock(c.next, syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		_ = flock(c.next, syscall.LOCK_UN)
	}
	return errors.Is(err, syscall.EWOULDBLOCK)
}

// Release lets the next process begin. The caller takes no client any more.
func (c *Lock) Release() error { return flock(c.held, syscall.LOCK_UN) }

// Close gives up the lock and its files.
func (c *Lock) Close() {
	for _, f := range []*os.File{c.held, c.next} {
		if f != nil {
			_ = f.Close()
		}
	}
}

func flock(f *os.File, how int) error {
	for {
		err := syscall.Flock(int(f.Fd()), how)
		if !errors.Is(err, syscall.EINTR) {
			if err != nil {
				return fmt.Errorf("handover: lock %s: %w", f.Name(), err)
			}
			return nil
		}
	}
}
