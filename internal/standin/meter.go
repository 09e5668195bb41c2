package standin

import (
	"fmt"
	"sync"
	"time"
)

// Meter sums each customer's units per period, over all backends, and reports the usage
// of the last complete period as a percentage of the rate.
type Meter struct {
	Rate   float64 // units per second
	Period time.Duration

	mu       sync.Mutex
	period   int64
	current  map[string]float64
	previous map[string]float64
}

// Count adds units for a customer and returns the usage figure to send with the reply.
func (m *Meter) Count(customer string, units float64) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := time.Now().UnixNano() / int64(m.Period)
	if at != m.period {
		m.previous = nil
		if at == m.period+1 {
			m.previous = m.current
		}
		m.period, m.current = at, map[string]float64{}
	}
	m.current[customer] += units
	return fmt.Sprintf("used=%.0f", 100*m.previous[customer]/(m.Rate*m.Period.Seconds()))
}
