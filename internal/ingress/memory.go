package ingress

// memory counts the bytes that are held for clients: open requests, input beyond the shared read buffer, and
// unwritten replies. Requests beyond the limit are refused; accepting them would exhaust the memory of the whole
// process.
type memory struct {
	used, limit int64
	input       int64 // of used: parts of commands, and commands that have not been started
}

// inputShareDivisor is the part of the memory that input may hold: clients that stop in the middle of a command leave
// the rest to the requests of others.
const inputShareDivisor = 2

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

// freeForInput returns the bytes of input that may still be reserved.
func (m *memory) freeForInput() int64 {
	return min(m.limit-m.used, m.limit/inputShareDivisor-m.input)
}

// tryReserveInput reserves n bytes of input if they fit within the limits.
func (m *memory) tryReserveInput(n int) bool {
	if int64(n) > m.freeForInput() {
		return false
	}
	m.reserveInput(n)
	return true
}

// reserveInput reserves n bytes of input that were read, even beyond the limits. A negative n releases them.
func (m *memory) reserveInput(n int) {
	m.input += int64(n)
	m.used += int64(n)
}
