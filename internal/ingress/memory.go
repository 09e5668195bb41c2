package ingress

// memory counts the bytes that are held for clients: open requests, read buffers beyond their usual size, and
// unwritten replies. Requests beyond the limit are refused; accepting them would exhaust the memory of the whole
// process.
type memory struct {
	used, limit int64
}

// tryReserve reserves n bytes if they fit within the limit.
func (m *memory) tryReserve(n int) bool {
	if m.used+int64(n) > m.limit {
		return false
	}
	m.used += int64(n)
	return true
}

// reserve reserves n bytes that can't be refused any more, even beyond the limit.
func (m *memory) reserve(n int) { m.used += int64(n) }

func (m *memory) release(n int) { m.used -= int64(n) }
