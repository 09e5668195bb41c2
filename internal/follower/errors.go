package follower

import (
	"fmt"

	"wickarch/distribution"
)

// Faults returns one of each error type of this package.
func Faults() []distribution.Fault {
	return []distribution.Fault{&DiskFailed{}, &DiskDamaged{}, &FollowsAlready{}}
}

// DiskFailed reports that a configuration could not be stored.
type DiskFailed struct {
	Path string
	Err  error
}

func (e *DiskFailed) Error() string { return fmt.Sprintf("%s can't be written: %v", e.Path, e.Err) }

// Remedy tells operators how to resolve the error.
func (e *DiskFailed) Remedy() string {
	return "free space on the disk or repair it; until then the ingress keeps following, but requests the full state after a restart"
}

// DiskDamaged reports that the stored configuration can't be read.
type DiskDamaged struct {
	Path string
	Why  string
}

func (e *DiskDamaged) Error() string { return fmt.Sprintf("%s is damaged: %s", e.Path, e.Why) }

// Remedy tells operators how to resolve the error.
func (e *DiskDamaged) Remedy() string {
	return "nothing while a coordinator answers: the file is moved aside (.damaged), the full state is requested; check the disk if it recurs"
}

// FollowsAlready reports that another process uses the same folder.
type FollowsAlready struct{ Path string }

func (e *FollowsAlready) Error() string { return fmt.Sprintf("%s is held by another process", e.Path) }

// Remedy tells operators how to resolve the error.
func (e *FollowsAlready) Remedy() string {
	return "give each ingress a folder of its own; a process that takes over from another stores nothing until its next start"
}
