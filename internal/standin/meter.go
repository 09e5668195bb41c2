package standin

import (
	"fmt"
	"sync"
	"time"
)

// Meter adds up each customer's units by period, over all backends, and tells
// the use in the last finished one as a share of the rate.
type Meter struct {
	Rate   float64 // units a second
	Period time.Duration

	mu       sync.Mutex
	period   int64
	current  map[string]float64
	previous map[string]float64
}

// Count counts units of a customer and returns the figure that goes with the answer.
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
