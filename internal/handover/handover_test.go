package handover

import (
	"testing"
	"time"
)

const testTimeout = 30 * time.Second

func openLock(t *testing.T, dir string) *Lock {
	t.Helper()
	c, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func acquire(t *testing.T, c *Lock) chan error {
	t.Helper()
	acquired := make(chan error, 1)
	go func() { acquired <- c.Acquire() }()
	return acquired
}

func waitAcquired(t *testing.T, acquired chan error) {
	t.Helper()
	select {
	case err := <-acquired:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the lock was not acquired in time")
	}
}

// Three processes take turns in the order in which they came: each begins when the
// one before it has released the lock or has died.
func TestLockPassesToTheNextProcess(t *testing.T) {
	dir := t.TempDir()
	first := openLock(t, dir)
	waitAcquired(t, acquire(t, first))
	if first.Contended() {
		t.Error("Contended is true though no other process waits")
	}
	second := openLock(t, dir)
	secondAcquired := acquire(t, second)
	for !first.Contended() {
		time.Sleep(time.Millisecond)
	}
	select {
	case err := <-secondAcquired:
		t.Fatalf("the second process took the lock while the first held it: %v", err)
	default:
	}
	if err := first.Release(); err != nil {
		t.Fatal(err)
	}
	waitAcquired(t, secondAcquired)
	third := openLock(t, dir)
	thirdAcquired := acquire(t, third)
	second.Close() // as when the process dies
	waitAcquired(t, thirdAcquired)
	if third.Contended() {
		t.Error("Contended is true though the waiting process has acquired the lock")
	}
}

func TestOpenFailsWithoutADirectory(t *testing.T) {
	if _, err := Open(t.TempDir() + "/none"); err == nil {
		t.Fatal("Open succeeds in a directory that does not exist")
	}
}
