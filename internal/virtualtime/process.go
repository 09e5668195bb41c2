package virtualtime

import "time"

// maxHeld is the maximum number of calls held for a paused process; further calls are lost.
const maxHeld = 5000

// Process is a simulated process that can be started, stopped and paused. Calls that reach
// it while it is paused are held until the pause is over.
type Process struct {
	scheduler   *Scheduler
	incarnation int
	resumesAt   time.Duration // paused until then
	held        []func()      // calls that arrived during the pause
}

// NewProcess returns a process that has not started.
func NewProcess(s *Scheduler) Process { return Process{scheduler: s} }

// Start starts a new incarnation of the process, not paused and without held calls.
func (p *Process) Start() {
	p.incarnation++
	p.resumesAt, p.held = 0, nil
}

// Stop ends an incarnation; its held calls are lost.
func (p *Process) Stop() {
	p.incarnation++
	p.held = nil
}

// Incarnation is a number that changes with each start and stop. Callers compare it to drop
// events that an earlier incarnation scheduled.
func (p *Process) Incarnation() int { return p.incarnation }

// Paused reports whether the process is paused.
func (p *Process) Paused() bool { return p.scheduler.Now() < p.resumesAt }

// ResumesAt is when the pause is over.
func (p *Process) ResumesAt() time.Duration { return p.resumesAt }

// HoldIfPaused holds a call until the end of the pause if the process is paused, and
// reports whether it is.
func (p *Process) HoldIfPaused(call func()) bool {
	if !p.Paused() {
		return false
	}
	if len(p.held) < maxHeld {
		p.held = append(p.held, call)
	}
	return true
}

// Pause pauses the process for a duration from now. Then do is called with each held call,
// in order of arrival, unless the process has been stopped.
func (p *Process) Pause(duration time.Duration, do func(call func())) {
	p.resumesAt = p.scheduler.Now() + duration
	incarnation := p.incarnation
	p.scheduler.At(p.resumesAt, func() {
		if p.incarnation != incarnation {
			return
		}
		held := p.held
		p.held = nil
		for _, call := range held {
			do(call)
		}
	})
}
