package choice

// Known tells how many backends a gateway keeps.
func Known(g *Gateway) int { return len(g.backends) }
