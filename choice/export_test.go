package choice

// KnownBackends returns the number of backends that a gateway knows.
func KnownBackends(g *Gateway) int { return len(g.backends) }

// KnownCustomers returns the number of customer records.
func KnownCustomers(g *Gateway) int { return len(g.customers) }

// RetainedCustomers returns the number of records that the slice's array references, also beyond its length.
func RetainedCustomers(g *Gateway) (n int) {
	for _, c := range g.records[:cap(g.records)] {
		if c != nil {
			n++
		}
	}
	return n
}
