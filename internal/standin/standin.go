// Package standin holds what stands in for the world round an ingress: clients,
// backends, discovery, and the counts that are kept of them independently of
// the program. Tests and long measurements share it. Everything listens on
// loopback, on ports that the system chooses.
package standin

import (
	"fmt"
	"math/rand/v2"

	"github.com/tidwall/redcon"
)

// NewID is the id of a new try, 16 hex digits.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Encode is a command as a client sends it.
func Encode(words ...string) []byte {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return b
}
