//go:build linux && amd64

package main

import (
	"os"
	"testing"

	"wickarch/internal/soak"
)

// soakSeeds are those that CI plays; cmd/bench/soak plays others.
var soakSeeds = []uint64{1, 2, 3, 4, 5}

// Guards against any break of the rules under faults that overlap: two dozen real processes, system calls
// that fail, signals in series, backends and discovery that fail, and in one run a crowd.
func TestSoakKeepsTheRules(t *testing.T) {
	for _, seed := range soakSeeds {
		cfg := soak.DefaultConfig(seed)
		// A binary with the race detector sleeps for a second at its end, unless told not to.
		cfg.Env = []string{asProgram + "=1", "GORACE=atexit_sleep_ms=0"}
		cfg.Tracer, cfg.ConfigDir = []string{os.Args[0]}, t.TempDir()
		report, err := soak.Run(t.Context(), cfg)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		t.Logf("seed %d: %v", seed, report)
		for _, v := range report.Violations {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
}
