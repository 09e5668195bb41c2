package main

import (
	"errors"
	"strings"
	"testing"

	"wickarch/internal/emulate"
)

// reported returns the output of report for these results.
func reported(results ...result) (string, error) {
	var out strings.Builder
	ready := make([]chan result, len(results))
	for i, r := range results {
		ready[i] = make(chan result, 1)
		ready[i] <- r
	}
	err := report(&out, ready)
	return out.String(), err
}

func TestReportPrintsWorstMargin(t *testing.T) {
	out, err := reported(
		result{seed: 4, figures: &emulate.Figures{Inside: 100, Served: 90, BeyondWorth: 12, ReferenceBeyondWorth: 3, Tries: 10}},
		result{seed: 5, figures: &emulate.Figures{Inside: 100, Served: 80, BeyondWorth: 18, ReferenceBeyondWorth: 2, Tries: 10}},
		result{seed: 6, figures: &emulate.Figures{Inside: 100, Served: 70, CeilingPassed: 1, Tries: 10}},
	)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"price 0.100  served 0.800  net 0.700",
		"worst margin -0.060 at seed 5; 2 of 3 break a bound",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("output lacks %q:\n%s", want, out)
		}
	}
}

func TestReportReturnsErrorOfRun(t *testing.T) {
	if _, err := reported(result{seed: 7, err: errors.New("no gateways")}); err == nil || !strings.Contains(err.Error(), "seed 7") {
		t.Errorf("error is %v, want one with the seed", err)
	}
	if err := playDeployments(&strings.Builder{}, "none", 1, 1, 1); err == nil {
		t.Error("no error for an unknown name of ranges")
	}
}
