package agent

import (
	"fmt"

	"wickarch/rollout"
)

// Faults returns a value of each error type of this package.
func Faults() []rollout.Fault {
	return []rollout.Fault{&NoVersion{}, &StateFailed{}, &StateDamaged{}, &AlreadyRuns{}, &HookFailed{}}
}

// NoVersion reports that the agent's file has no command for the version to start.
type NoVersion struct{ Version, Path string }

func (e *NoVersion) Error() string {
	return fmt.Sprintf("there is no command for version %q in %s", e.Version, e.Path)
}

// Remedy implements rollout.Fault.
func (e *NoVersion) Remedy() string {
	return "add the version's command under [versions] in the agent's file, which is read again at each start of the program"
}

// StateFailed reports that the agent's state could not be stored.
type StateFailed struct {
	Path string
	Err  error
}

func (e *StateFailed) Error() string { return fmt.Sprintf("%s can't be written: %v", e.Path, e.Err) }

// Remedy implements rollout.Fault.
func (e *StateFailed) Remedy() string {
	return "free space on the disk or repair it; until then the member continues to serve and does not go out of service"
}

// StateDamaged reports that the agent's state could not be decoded.
type StateDamaged struct {
	Path string
	Err  error
}

func (e *StateDamaged) Error() string { return fmt.Sprintf("%s can't be read: %v", e.Path, e.Err) }

// Remedy implements rollout.Fault.
func (e *StateDamaged) Remedy() string {
	return "set version in the agent's file to the one that is running, move the damaged file away and restart the agent: if it held a grant, the coordinators send that again"
}

// AlreadyRuns reports that another agent uses the same directory.
type AlreadyRuns struct{ Path string }

func (e *AlreadyRuns) Error() string { return fmt.Sprintf("another agent uses %s", e.Path) }

// Remedy implements rollout.Fault.
func (e *AlreadyRuns) Remedy() string {
	return "stop the other agent, or give this one its own directory and name"
}

// HookFailed reports that a hook command failed.
type HookFailed struct {
	Hook   string
	Err    error
	Output string
}

func (e *HookFailed) Error() string { return fmt.Sprintf("hook %s: %v: %s", e.Hook, e.Err, e.Output) }

// Remedy implements rollout.Fault.
func (e *HookFailed) Remedy() string {
	return "run the command manually as it stands in the agent's file, and fix it; the agent retries it"
}
