//go:build !race

package emulate

// playsPart: one in so many of the seeds is played.
const playsPart = 1
