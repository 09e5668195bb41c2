package subset

// FitWork returns how many hashes and row entries the fits of a set have processed in total.
func FitWork(s *Set) int { return s.fit.work }

// FitRunning reports whether a fit is in progress.
func FitRunning(s *Set) bool { return s.fit.running }

// FitBytes returns how many bytes a set holds for fits.
func FitBytes(s *Set) (n int) {
	f := &s.fit
	for _, r := range f.rows {
		n += 24 + 4*cap(r)
	}
	return n + 16*(cap(f.factors)+cap(f.entries)+cap(f.heap)) + 4*(cap(f.newIndex)+cap(f.added)) +
		8*(cap(f.target)+cap(f.assigned)+cap(f.factor))
}
