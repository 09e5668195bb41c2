package replica

import (
	"fmt"

	"wickarch/rollout"
)

// Faults returns a value of each error type of this package.
func Faults() []rollout.Fault { return []rollout.Fault{&LogBehind{}, &LogSplit{}} }

// LogBehind reports that a coordinator's log holds less than it has acknowledged.
type LogBehind struct {
	ID   uint64
	What string
}

func (e *LogBehind) Error() string {
	return fmt.Sprintf("coordinator %d: its log is behind what it acknowledged: %s", e.ID, e.What)
}

// Remedy implements rollout.Fault.
func (e *LogBehind) Remedy() string {
	return "its disk is an older one: leave it stopped, start a new coordinator with a new number on an empty folder, and replace this one by it (coordinator replace)"
}

// LogSplit reports that two coordinators have different entries committed: a majority
// has lost what it acknowledged.
type LogSplit struct{ ID, Leader, Index uint64 }

func (e *LogSplit) Error() string {
	return fmt.Sprintf("coordinator %d: committed entry %d differs from that of coordinator %d, which leads", e.ID, e.Index, e.Leader)
}

// Remedy implements rollout.Fault.
func (e *LogSplit) Remedy() string {
	return "a coordinator was given an older disk while another was down: replace that one and this one by new coordinators, check in status what is missing, and order it again"
}
