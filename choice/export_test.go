package choice

// KnownBackends tells how many backends a gateway keeps.
func KnownBackends(g *Gateway) int { return len(g.backends) }

// KnownCustomers is the number of customers' records kept.
func KnownCustomers(g *Gateway) int { return len(g.customers) }

// RetainedCustomers is the number of records that the row holds on to, those behind its end among them.
func RetainedCustomers(g *Gateway) (n int) {
	for _, c := range g.records[:cap(g.records)] {
		if c != nil {
			n++
		}
	}
	return n
}
