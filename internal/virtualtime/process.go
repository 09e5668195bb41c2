package virtualtime

import "time"

// mostHeld bounds how many calls wait for a paused process; what comes beyond is lost.
const mostHeld = 5000

// Process is a simulated process that starts, ends and can be paused. Calls that reach it
// while it is paused wait until the pause is over.
type Process struct {
	scheduler *Scheduler
	life      int
	resumes   time.Duration // paused until then
	held      []func()      // calls that came since
}

// NewProcess makes a process that has not started.
func NewProcess(s *Scheduler) Process { return Process{scheduler: s} }

// Begin starts a new life of the process, not paused and with no calls waiting.
func (p *Process) Start() {
	p.life++
	p.resumes, p.held = 0, nil
}

// End ends a life; the calls that wait are lost.
func (p *Process) Stop() {
	p.life++
	p.held = nil
}

// Life is a number that changes with each start and end: what was scheduled in one life is
// not to happen in the next.
func (p *Process) Incarnation() int { return p.life }

// Paused tells whether the process is paused.
func (p *Process) Paused() bool { return p.scheduler.Now() < p.resumes }

// Resumes is when the pause is over.
func (p *Process) ResumesAt() time.Duration { return p.resumes }

// Hold keeps a call for later if the process is paused, and tells whether it is.
func (p *Process) HoldIfPaused(call func()) bool {
	if !p.Paused() {
		return false
	}
	if len(p.held) < mostHeld {
		p.held = append(p.held, call)
	}
	return true
}

// Pause pauses the process for so long, from now. Then do is called with each call that was
// held, in their order, unless the process has ended.
func (p *Process) Pause(d time.Duration, do func(call func())) {
	p.resumes = p.scheduler.Now() + d
	life := p.life
	p.scheduler.At(p.resumes, func() {
		if p.life != life {
			return
		}
		held := p.held
		p.held = nil
		for _, call := range held {
			do(call)
		}
	})
}
