package handover

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"wickarch/internal/checksum"
)

// The ids that a process leaves are taken once.
func TestIDsPassToTheNextProcess(t *testing.T) {
	dir := t.TempDir()
	first, second := openLock(t, dir), openLock(t, dir)
	for _, ids := range [][]uint64{{}, {1}, {0, 1 << 63, 7}} {
		if err := first.WriteIDs([]uint64{9}); err != nil { // an older file is replaced
			t.Fatal(err)
		}
		if err := first.WriteIDs(ids); err != nil {
			t.Fatal(err)
		}
		if got, err := second.TakeIDs(); err != nil || !slices.Equal(got, ids) {
			t.Errorf("took %v, %v, want %v", got, err, ids)
		}
		if got, err := second.TakeIDs(); err != nil || len(got) > 0 {
			t.Errorf("took %v, %v a second time, want none", got, err)
		}
	}
}

// A file that is damaged, incomplete or of another version is reported, and taken for no ids.
func TestInvalidIDsAreReported(t *testing.T) {
	dir := t.TempDir()
	lock := openLock(t, dir)
	for name, content := range map[string][]byte{
		"empty":         {},
		"no version":    checksum.Seal(nil),
		"other version": checksum.Seal([]byte{idsVersion + 1, 0, 0, 0, 0, 0, 0, 0, 1}),
		"half an id":    checksum.Seal([]byte{idsVersion, 0, 0, 0, 1}),
		"damaged":       append(checksum.Seal([]byte{idsVersion, 0, 0, 0, 0, 0, 0, 0, 1}), 1),
	} {
		if err := os.WriteFile(filepath.Join(dir, idsName), content, 0o600); err != nil {
			t.Fatal(err)
		}
		var invalid *IDsError
		if ids, err := lock.TakeIDs(); !errors.As(err, &invalid) || invalid.Remedy() == "" || len(ids) > 0 {
			t.Errorf("%s: took %v, error %v, want an IDsError", name, ids, err)
		}
	}
}
