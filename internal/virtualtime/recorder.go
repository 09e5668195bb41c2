package virtualtime

import (
	"fmt"
	"time"
)

// MostFaults is how many faults a Recorder keeps.
const MaxFaults = 20

// Recorder notes what happens in a simulation, and keeps the faults that it shows.
type Recorder struct {
	scheduler *Scheduler
	tell      func(time.Duration, string)
	faults    []string
}

// NewRecorder makes a recorder that hands each note to tell, with its time; nil for none.
func NewRecorder(s *Scheduler, tell func(time.Duration, string)) Recorder {
	return Recorder{scheduler: s, tell: tell}
}

// Note notes something that happens.
func (r *Recorder) Note(format string, args ...any) {
	if r.tell != nil {
		r.tell(r.scheduler.Now(), fmt.Sprintf(format, args...))
	}
}

// Fault notes a fault, and keeps it if it is one of the first.
func (r *Recorder) Fault(format string, args ...any) {
	fault := fmt.Sprintf("%9.3f s: ", r.scheduler.Now().Seconds()) + fmt.Sprintf(format, args...)
	if len(r.faults) < MaxFaults {
		r.faults = append(r.faults, fault)
	}
	r.Note("FAULT %s", fault)
}

// Faults are the first faults, each behind its time.
func (r *Recorder) Faults() []string { return r.faults }
