//go:build linux

package main

import (
	"os"
	"testing"

	"wickarch/internal/soak"
)

// soakSeeds are the seeds that CI runs; cmd/bench/soak runs others.
var soakSeeds = []uint64{1, 2, 3, 4, 5}

// Guards against violations of the ingress's invariants under overlapping faults: two dozen real processes, failing
// system calls, series of signals, failing backends and discovery, and in one run a crowd of clients.
func TestSoakFindsNoViolations(t *testing.T) {
	for _, seed := range soakSeeds {
		cfg := soak.DefaultConfig(seed)
		// By default a binary built with the race detector sleeps for a second at exit.
		cfg.Env = []string{programRoleEnv + "=1", "GORACE=atexit_sleep_ms=0"}
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
