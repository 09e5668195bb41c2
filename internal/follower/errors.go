package follower

import (
	"fmt"

	"wickarch/distribution"
)

// Faults lists one of each error of this package.
func Faults() []distribution.Fault {
	return []distribution.Fault{&DiskFailed{}, &DiskDamaged{}, &FollowsAlready{}}
}

// DiskFailed tells that what is in force could not be kept.
type DiskFailed struct {
	Path string
	Err  error
}

func (e *DiskFailed) Error() string { return fmt.Sprintf("%s can't be written: %v", e.Path, e.Err) }

// Remedy says what an operator can do.
func (e *DiskFailed) Remedy() string {
	return "make room on the disk or mend it; until then the ingress follows all the same, and a restart asks for the whole again"
}

// DiskDamaged tells that what was kept can't be read.
type DiskDamaged struct {
	Path string
	Why  string
}

func (e *DiskDamaged) Error() string { return fmt.Sprintf("%s is damaged: %s", e.Path, e.Why) }

// Remedy says what an operator can do.
func (e *DiskDamaged) Remedy() string {
	return "nothing while a coordinator answers: it was put aside (.damaged) and the whole is asked for; check the disk if it comes again"
}

// FollowsAlready tells that another process follows with the same folder.
type FollowsAlready struct{ Path string }

func (e *FollowsAlready) Error() string { return fmt.Sprintf("%s is held by another process", e.Path) }

// Remedy says what an operator can do.
func (e *FollowsAlready) Remedy() string {
	return "give each ingress a folder of its own; where one takes over from another, it keeps nothing until the next start"
}
