//go:build linux

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

// stalls measures for how long some process of the machine waited for a CPU, so that such delays are not
// counted against an ingress. The source is the kernel's pressure stall information; where there is none, only the
// lateness of the sampling itself counts. On a machine with idle cores the share is a few hundredths of the time.
type stalls struct {
	mu      sync.Mutex
	samples []stallSample
}

type stallSample struct {
	at    time.Time
	total time.Duration // for which some process has waited since boot
	late  time.Duration // delay of this sample after its due time
}

const (
	sampleInterval  = 20 * time.Millisecond
	cpuPressurePath = "/proc/pressure/cpu"
)

// collect takes a sample every sampleInterval until ctx ends.
func (s *stalls) collect(ctx context.Context) {
	for due := time.Now(); ctx.Err() == nil; due = due.Add(sampleInterval) {
		time.Sleep(time.Until(due))
		sample := stallSample{at: time.Now(), total: totalStall()}
		if sample.late = sample.at.Sub(due); sample.late > sampleInterval {
			due = sample.at
		}
		s.mu.Lock()
		s.samples = append(s.samples, sample)
		s.mu.Unlock()
	}
}

// totalStall returns the kernel's total of CPU stall time since boot, 0 if it is not available.
func totalStall() time.Duration {
	text, err := os.ReadFile(cpuPressurePath)
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

// upperBound returns an upper bound of the time for which some process was stalled between two times, in either order.
func (s *stalls) upperBound(from, to time.Time) time.Duration {
	if to.Before(from) {
		from, to = to, from
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) == 0 {
		return 0
	}
	first, _ := slices.BinarySearchFunc(s.samples, from, func(a stallSample, at time.Time) int { return a.at.Compare(at) })
	last, _ := slices.BinarySearchFunc(s.samples, to, func(a stallSample, at time.Time) int { return a.at.Compare(at) })
	first, last = max(0, first-1), min(last, len(s.samples)-1)
	var late time.Duration
	for _, sample := range s.samples[first : last+1] {
		late = max(late, sample.late)
	}
	return s.samples[last].total - s.samples[first].total + late
}
