//go:build linux && amd64

package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// stalls measures for how long the machine has kept some process waiting for a processor: what it holds up
// is no fault of an ingress. The kernel tells it (pressure stall information); where it does not, the run's own
// lateness stands in. On a machine with cores to spare it is a few hundredths of the time.
type stalls struct {
	mu      sync.Mutex
	samples []stallSample
}

type stallSample struct {
	at    time.Time
	total time.Duration // in which some process waited, since the machine's start
	late  time.Duration // by which this sample was late itself
}

const (
	sampleEvery = 20 * time.Millisecond
	pressure    = "/proc/pressure/cpu"
)

// watch samples until ctx ends.
func (s *stalls) watch(ctx context.Context) {
	for due := time.Now(); ctx.Err() == nil; due = due.Add(sampleEvery) {
		time.Sleep(time.Until(due))
		sample := stallSample{at: time.Now(), total: waited()}
		if sample.late = sample.at.Sub(due); sample.late > sampleEvery {
			due = sample.at
		}
		s.mu.Lock()
		s.samples = append(s.samples, sample)
		s.mu.Unlock()
	}
}

// waited is the kernel's figure; 0 where there is none.
func waited() time.Duration {
	text, err := os.ReadFile(pressure)
	if err != nil {
		return 0
	}
	at := bytes.Index(text, []byte("total="))
	if at < 0 {
		return 0
	}
	var micros int64
	if _, err := fmt.Sscanf(string(text[at:]), "total=%d", &micros); err != nil {
		return 0
	}
	return time.Duration(micros) * time.Microsecond
}

// within is for how long something was held up between two times, at most.
func (s *stalls) within(from, to time.Time) time.Duration {
	if to.Before(from) {
		from, to = to, from
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) == 0 {
		return 0
	}
	before, _ := slices.BinarySearchFunc(s.samples, from, func(a stallSample, at time.Time) int { return a.at.Compare(at) })
	behind, _ := slices.BinarySearchFunc(s.samples, to, func(a stallSample, at time.Time) int { return a.at.Compare(at) })
	before, behind = max(0, before-1), min(behind, len(s.samples)-1)
	var late time.Duration
	for _, sample := range s.samples[before : behind+1] {
		late = max(late, sample.late)
	}
	return s.samples[behind].total - s.samples[before].total + late
}
