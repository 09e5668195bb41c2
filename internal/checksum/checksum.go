// Package checksum prefixes data with its CRC-32C, so that data read from a disk can be
// verified.
package checksum

import (
	"encoding/binary"
	"hash/crc32"
)

// size is the size of a checksum in bytes.
const size = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Seal returns the data prefixed with its checksum.
func Seal(data []byte) []byte {
	sealed := make([]byte, 0, size+len(data))
	sealed = binary.BigEndian.AppendUint32(sealed, crc32.Checksum(data, castagnoli))
	return append(sealed, data...)
}

// Open returns the data that Seal has prefixed with its checksum; false if the checksum does
// not match it.
func Open(sealed []byte) (data []byte, ok bool) {
	if len(sealed) < size {
		return nil, false
	}
	data = sealed[size:]
	return data, crc32.Checksum(data, castagnoli) == binary.BigEndian.Uint32(sealed)
}
