package virtualtime

import (
	"fmt"
	"time"
)

// MaxFaults is the maximum number of faults that a Recorder keeps.
const MaxFaults = 20

// Recorder reports the events of a simulation and keeps the first faults that it finds.
type Recorder struct {
	scheduler *Scheduler
	report    func(time.Duration, string)
	faults    []string
}

// NewRecorder returns a recorder that passes each note and its time to report, which may
// be nil.
func NewRecorder(s *Scheduler, report func(time.Duration, string)) Recorder {
	return Recorder{scheduler: s, report: report}
}

// Note reports an event.
func (r *Recorder) Note(format string, args ...any) {
	if r.report != nil {
		r.report(r.scheduler.Now(), fmt.Sprintf(format, args...))
	}
}

// Fault reports a fault, and keeps it if it is one of the first MaxFaults.
func (r *Recorder) Fault(format string, args ...any) {
	fault := fmt.Sprintf("%9.3f s: ", r.scheduler.Now().Seconds()) + fmt.Sprintf(format, args...)
	if len(r.faults) < MaxFaults {
		r.faults = append(r.faults, fault)
	}
	r.Note("FAULT %s", fault)
}

// Faults returns the first faults, each prefixed with its time.
func (r *Recorder) Faults() []string { return r.faults }
