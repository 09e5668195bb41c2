package handover

import (
	"testing"
	"time"
)

const patience = 30 * time.Second

func join(t *testing.T, dir string) *Lock {
	t.Helper()
	c, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func wait(t *testing.T, c *Lock) chan error {
	t.Helper()
	got := make(chan error, 1)
	go func() { got <- c.Acquire() }()
	return got
}

func has(t *testing.T, got chan error) {
	t.Helper()
	select {
	case err := <-got:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(patience):
		t.Fatal("waited in vain")
	}
}

// Three processes in turn: each begins when the one before has stopped, in the
// order in which they came, and one that dies holds up nobody.
func TestRightPassesOn(t *testing.T) {
	dir := t.TempDir()
	first := join(t, dir)
	has(t, wait(t, first))
	if first.Contended() {
		t.Error("awaited with nobody there")
	}
	second := join(t, dir)
	second2 := wait(t, second)
	for !first.Contended() {
		time.Sleep(time.Millisecond)
	}
	select {
	case err := <-second2:
		t.Fatalf("two take clients: %v", err)
	default:
	}
	if err := first.Release(); err != nil {
		t.Fatal(err)
	}
	has(t, second2)
	third := join(t, dir)
	third2 := wait(t, third)
	second.Close() // it dies
	has(t, third2)
	if third.Contended() {
		t.Error("awaited, though the one that had waited has begun")
	}
}

func TestFolderThatIsNotThere(t *testing.T) {
	if _, err := Open(t.TempDir() + "/none"); err == nil {
		t.Fatal("no error")
	}
}
