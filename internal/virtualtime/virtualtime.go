// Package virtualtime is a discrete-event scheduler for simulations. Its virtual clock
// jumps from one event to the next, so a run takes only the time that its events compute,
// and the same events always give the same run.
package virtualtime

import (
	"container/heap"
	"time"
)

// Event is a function scheduled for a time.
type Event struct {
	At time.Duration // since the start of the simulation
	Do func()

	sequence uint64 // events of one time run in the order in which they were scheduled
}

// before reports whether an event runs before another.
func (e Event) before(other Event) bool {
	if e.At != other.At {
		return e.At < other.At
	}
	return e.sequence < other.sequence
}

// Scheduler holds the clock of a simulation and its pending events. The zero value is at
// time 0 and has no events. It is not safe for concurrent use.
type Scheduler struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

// Now is the current virtual time.
func (s *Scheduler) Now() time.Duration { return s.now }

// At schedules an event. One in the past is scheduled for now, after those already due.
func (s *Scheduler) At(at time.Duration, do func()) {
	heap.Push(&s.events, Event{At: max(at, s.now), Do: do, sequence: s.Sequence()})
}

// After schedules an event after a delay from now.
func (s *Scheduler) After(delay time.Duration, do func()) { s.At(s.now+delay, do) }

// Sequence returns a number that no event and no other call gets. It is the same in each
// run of a simulation, so it can name requests and processes.
func (s *Scheduler) Sequence() uint64 {
	s.sequence++
	return s.sequence
}

// Next moves the clock to the earliest event and removes it, for the caller to run. It
// returns false, and leaves the clock as it is, if no event is due by the end.
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
	events[last] = Event{} // lets the garbage collector free what Do refers to
	*h = events[:last]
	return event
}
