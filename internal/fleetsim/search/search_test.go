package search

import "testing"

// All that can happen in twelve seconds with one fault, whatever it is and whenever
// it comes. cmd/bench/rollouts search plays more of them.
func TestOneFault(t *testing.T) {
	r := Case{Seconds: 10, Faults: 1}.Run()
	if r.Fault != "" {
		t.Fatalf("%s:\n%s", r.Fault, FormatTrace(r.Trace))
	}
	if r.States < 1500 {
		t.Fatalf("%d states: too few to show anything", r.States)
	}
	t.Logf("%d states, %d steps", r.States, r.Paths)
}
