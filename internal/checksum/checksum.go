// Package checksum puts data behind its CRC-32C, so that what a disk gives back can be held
// against what was written.
package checksum

import (
	"encoding/binary"
	"hash/crc32"
)

// size is that of a checksum, in bytes.
const size = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Seal returns the data behind its checksum.
func Seal(data []byte) []byte {
	sealed := make([]byte, 0, size+len(data))
	sealed = binary.BigEndian.AppendUint32(sealed, crc32.Checksum(data, castagnoli))
	return append(sealed, data...)
}

// Open returns the part of what was sealed that is the data; false where the checksum does
// not fit it.
func Open(sealed []byte) (data []byte, ok bool) {
	if len(sealed) < size {
		return nil, false
	}
	data = sealed[size:]
	return data, crc32.Checksum(data, castagnoli) == binary.BigEndian.Uint32(sealed)
}
