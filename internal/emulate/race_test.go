//go:build race

package emulate

// Under the race detector a play takes eight times as long, and shows nothing more of
// decisions.
const playsPart = 6
