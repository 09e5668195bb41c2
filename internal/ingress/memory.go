package ingress

// memory counts the bytes that are held for clients: open requests with the replies that they are expected to get, input
// beyond the shared read buffer, and replies that are due. Requests beyond the limit are refused; accepting them would
// exhaust the memory of the whole process.
type memory struct {
	used, limit int64
	input       int64 // of used: parts of commands, and commands that have not been started
}

// inputShareDivisor is the part of the memory that input may hold: clients that stop in the middle of a command leave
// the rest to the requests of others.
const inputShareDivisor = 2

const (
	requestBytes = 1 << 10 // of an open request, beyond its message
	slotBytes    = 128     // of a reply that is due to a command that is no request, beyond its data
	// spareDivisor is the part of the memory that is left when it counts as short.
	spareDivisor = 8
)

// short reports whether little memory is left.
func (m *memory) short() bool { return m.used > m.limit-m.limit/spareDivisor }

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

// replySizeWeight is the weight of one reply in the mean size of a class.
const replySizeWeight = 1.0 / 8

// replySizes is the mean size of the values of each class. A request that has been sent on can't be refused any more:
// memory for its value is reserved when it is accepted.
type replySizes []float64

func (s replySizes) add(class, size int) { s[class] += replySizeWeight * (float64(size) - s[class]) }

// expected returns the size of the value that a request of a class is expected to get.
func (s replySizes) expected(class int) int { return int(s[class]) }

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
