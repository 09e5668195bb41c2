package ingress

// memory counts the bytes that are held for clients: open requests, read
// buffers beyond their usual size, and answers not written yet. Past the bound
// requests are refused; held, they would end the whole process.
type memory struct {
	used, limit int64
}

// tryReserve holds n bytes more, if there is room for them.
func (m *memory) tryReserve(n int) bool {
	if m.used+int64(n) > m.limit {
		return false
	}
	m.used += int64(n)
	return true
}

// reserve holds n bytes that can't be refused any more.
func (m *memory) reserve(n int) { m.used += int64(n) }

func (m *memory) release(n int) { m.used -= int64(n) }
