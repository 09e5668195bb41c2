//go:build !race

package emulate

// seedDivisor divides the number of seeds that tests run.
const seedDivisor = 1
