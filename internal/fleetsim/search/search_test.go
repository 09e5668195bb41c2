package search

import "testing"

// TestOneFault explores all executions of ten seconds with at most one fault or order, of any kind
// and at any time. cmd/bench/rollouts search explores longer ones with more faults.
func TestOneFault(t *testing.T) {
	r := Case{Seconds: 10, Faults: 1}.Run()
	if r.Fault != "" {
		t.Fatalf("%s:\n%s", r.Fault, FormatTrace(r.Trace))
	}
	if r.States < 1500 {
		t.Fatalf("%d states are too few for a meaningful search", r.States)
	}
	t.Logf("%d states, %d steps", r.States, r.Paths)
}
