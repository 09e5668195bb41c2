package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"wickarch/internal/fleetsim/search"
)

type exhaustive struct {
	Seconds int      `help:"Of time, in each path." default:"12"`
	Faults  int      `help:"In each path, at most." default:"2"`
	Kinds   []string `help:"Of faults; all if left out."`
	Count   int      `hidden:""` // for cmd/bench/mutants
}

// Run searches.
func (s *exhaustive) Run() error {
	began := time.Now()
	for i, kind := range s.Kinds {
		s.Kinds[i] = strings.ReplaceAll(kind, "-", " ")
		if !slices.Contains(search.Kinds, s.Kinds[i]) {
			return fmt.Errorf("there is no fault %q, but %q", s.Kinds[i], search.Kinds)
		}
	}
	r := search.Case{Seconds: s.Seconds, Faults: s.Faults, Kinds: s.Kinds}.Run()
	fmt.Printf("%d states, %d steps, %d actions deep, in %v\n", r.States, r.Paths, r.Depth, time.Since(began).Round(time.Second))
	if r.Fault == "" {
		return nil
	}
	fmt.Printf("trace of %d actions: %s\n%s", len(r.Trace), r.Fault, search.FormatTrace(r.Trace))
	os.Exit(1)
	return nil
}
