package coordinator

import (
	"encoding/binary"
	"errors"
	"os"

	"wickarch/internal/checksum"
)

// The count of the writes of a log stands in a file of two slots, written in turn: a kill in the middle of
// one leaves the other, which tells of the write before.
const (
	countSlots = 2
	countBytes = 8
	slotBytes  = 4 + countBytes // behind the checksum
)

var errNoCount = errors.New("no slot of the count is whole")

// writeCount keeps a count in its slot, and syncs it.
func writeCount(path string, count uint64) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	slot := checksum.Seal(binary.BigEndian.AppendUint64(nil, count))
	_, err = f.WriteAt(slot, int64(count%countSlots)*slotBytes)
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	return err
}

// readCount reads the newest count that is whole.
func readCount(path string) (count uint64, err error) {
	all, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	found := false
	for at := 0; at+slotBytes <= len(all) && at < countSlots*slotBytes; at += slotBytes {
		if data, ok := checksum.Open(all[at : at+slotBytes]); ok {
			count, found = max(count, binary.BigEndian.Uint64(data)), true
		}
	}
	if !found {
		return 0, errNoCount
	}
	return count, nil
}
