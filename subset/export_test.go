package subset

// Work is how many draws a set has made for all gateways and places in their rows it has looked at, ever.
func Work(s *Set) int { return s.fit.work }

// Busy tells that a fit is under way.
func Busy(s *Set) bool { return s.fit.busy }

// Kept is how many bytes a set holds for fits.
func Kept(s *Set) (n int) {
	f := &s.fit
	for _, r := range f.rows {
		n += 24 + 4*cap(r)
	}
	return n + 16*(cap(f.factors)+cap(f.list)+cap(f.heap)) + 4*(cap(f.moved)+cap(f.came)) + 8*(cap(f.want)+cap(f.got)+cap(f.factor))
}
