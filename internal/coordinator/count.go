package coordinator

import (
	"encoding/binary"
	"errors"
	"os"

	"wickarch/internal/checksum"
)

// The number of writes to the log is stored in a file of two slots, which are written alternately: if the
// process is killed while it writes one, the other still holds the count of the previous write.
const (
	countSlots = 2
	countSize  = 8
	slotSize   = 4 + countSize // preceded by its checksum
)

var errNoValidSlot = errors.New("no slot of the write count has a valid checksum")

// writeCount writes a count to its slot and syncs the file.
func writeCount(path string, count uint64) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	slot := checksum.Seal(binary.BigEndian.AppendUint64(nil, count))
	_, err = f.WriteAt(slot, int64(count%countSlots)*slotSize)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// readCount returns the highest count whose checksum is valid.
func readCount(path string) (count uint64, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	found := false
	for offset := 0; offset+slotSize <= len(content) && offset < countSlots*slotSize; offset += slotSize {
		if data, ok := checksum.Open(content[offset : offset+slotSize]); ok {
			count, found = max(count, binary.BigEndian.Uint64(data)), true
		}
	}
	if !found {
		return 0, errNoValidSlot
	}
	return count, nil
}
