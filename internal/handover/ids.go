package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"wickarch/internal/checksum"
	"wickarch/internal/retry"
)

const (
	idsName     = "wickarch.ids"
	idsVersion  = 1 // the first byte of the file's content
	idSize      = 8
	maxIDsBytes = 64 << 20
)

// IDsError reports that a file of request ids can't be used.
type IDsError struct {
	Path    string
	Problem string
}

func (e *IDsError) Error() string { return fmt.Sprintf("handover: %s: %s", e.Path, e.Problem) }

// Remedy says what an operator can do.
func (e *IDsError) Remedy() string {
	return "start the next process with a build that writes this version, or delete the file: it is written again at the next handover"
}

// WriteIDs leaves the ids of the requests that this process has accepted to the next one. It is called before Release,
// when no further request is accepted.
func (c *Lock) WriteIDs(ids []uint64) error {
	content := make([]byte, 1, 1+idSize*len(ids))
	content[0] = idsVersion
	for _, id := range ids {
		content = binary.BigEndian.AppendUint64(content, id)
	}
	path := c.idsPath()
	_, err := retry.For(stopTimeout, nil, func() (struct{}, error) { return struct{}{}, replaceFile(path, checksum.Seal(content)) })
	if err != nil {
		return fmt.Errorf("handover: ids: %w", err)
	}
	return nil
}

// replaceFile writes a file that is either complete or not there.
func replaceFile(path string, content []byte) error {
	next := path + ".tmp"
	if err := os.WriteFile(next, content, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// TakeIDs returns the ids that the process before has left, and removes them. There are none if it left none: it was
// killed, or there was none. It is called after Acquire. An error is an *IDsError, or one of the system's.
func (c *Lock) TakeIDs() ([]uint64, error) {
	path := c.idsPath()
	sealed, err := retry.For(stopTimeout, nil, func() ([]byte, error) { return readFile(path) })
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, nil
	case err != nil:
		return nil, fmt.Errorf("handover: ids: %w", err)
	}
	_ = os.Remove(path) // one that stays does no harm: its ids are known for some seconds
	content, ok := checksum.Open(sealed)
	switch {
	case !ok || len(content) == 0:
		return nil, &IDsError{path, "the checksum does not match"}
	case content[0] != idsVersion:
		return nil, &IDsError{path, fmt.Sprintf("version %d, want %d", content[0], idsVersion)}
	case len(content)%idSize != 1:
		return nil, &IDsError{path, "incomplete"}
	}
	ids := make([]uint64, 0, len(content)/idSize)
	for rest := content[1:]; len(rest) > 0; rest = rest[idSize:] {
		ids = append(ids, binary.BigEndian.Uint64(rest))
	}
	return ids, nil
}

// readFile reads a file of at most maxIDsBytes.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxIDsBytes {
		return nil, &IDsError{path, "too long"}
	}
	return os.ReadFile(path)
}

func (c *Lock) idsPath() string { return filepath.Join(c.dir, idsName) }
