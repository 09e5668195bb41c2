//go:build race

package emulate

// Under the race detector a run takes eight times as long and tests nothing more of the
// decisions, so fewer seeds are run.
const seedDivisor = 6
