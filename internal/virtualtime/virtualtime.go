// Package virtualtime schedules the events of a simulation in virtual time: a clock that
// jumps from one event to the next, so that a run takes no longer than its events do, and
// the same events give the same run again.
package virtualtime

import (
	"container/heap"
	"time"
)

// Event is something that happens at a time.
type Event struct {
	At time.Duration // since the start of the simulation
	Do func()

	sequence uint64 // events of one time happen in the order in which they were scheduled
}

// before tells whether an event happens before another.
func (e Event) before(other Event) bool {
	if e.At != other.At {
		return e.At < other.At
	}
	return e.sequence < other.sequence
}

// Scheduler holds the clock of a simulation and the events to come. Its zero value stands
// at time 0 with no events. It is for one goroutine.
type Scheduler struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

// Now is the time of the simulation.
func (s *Scheduler) Now() time.Duration { return s.now }

// At schedules an event; one in the past happens now, after those that are due now.
func (s *Scheduler) At(at time.Duration, do func()) {
	heap.Push(&s.events, Event{At: max(at, s.now), Do: do, sequence: s.Sequence()})
}

// After schedules an event in so long from now.
func (s *Scheduler) After(delay time.Duration, do func()) { s.At(s.now+delay, do) }

// Sequence draws a number that no event and no other call has: the same in each run of the
// same simulation, and so fit for the names of requests and processes.
func (s *Scheduler) Sequence() uint64 {
	s.sequence++
	return s.sequence
}

// Next moves the clock to the earliest event and takes it out, for the caller to do; false
// where none is left by the end, which leaves the clock as it is.
func (s *Scheduler) Next(end time.Duration) (Event, bool) {
	if len(s.events) == 0 || s.events[0].At > end {
		return Event{}, false
	}
	next := heap.Pop(&s.events).(Event)
	s.now = next.At
	return next, true
}

// eventHeap is a heap.Interface with the earliest event first.
type eventHeap []Event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an Event, for package heap.
func (h *eventHeap) Push(event any) { *h = append(*h, event.(Event)) }

// Pop removes the last Event, for package heap.
func (h *eventHeap) Pop() any {
	events := *h
	last := len(events) - 1
	event := events[last]
	events[last] = Event{} // so that what Do refers to can be collected
	*h = events[:last]
	return event
}
