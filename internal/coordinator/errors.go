package coordinator

import (
	"fmt"

	"wickarch/rollout"
)

// Faults returns a value of each error type of this package.
func Faults() []rollout.Fault {
	return []rollout.Fault{&EmptyDisk{}, &DiskInUse{}, &DamagedDisk{}, &DiskFailed{}, &OtherDisk{}, &Busy{}}
}

// EmptyDisk reports that a coordinator was started on a directory without a disk.
type EmptyDisk struct {
	ID   uint64
	Path string
}

func (e *EmptyDisk) Error() string {
	return fmt.Sprintf("coordinator %d: %s holds nothing of it", e.ID, e.Path)
}

// Remedy implements rollout.Fault.
func (e *EmptyDisk) Remedy() string {
	return "for a new set of coordinators run 'coordinator init' once on each; if the disk was lost, give the coordinator a new id, start it with --join and replace the old one by it (wickarch-fleet coordinator replace)"
}

// DiskInUse reports that a directory already holds a disk, or that the disk is open in another process.
type DiskInUse struct {
	Path string
	Err  error
}

func (e *DiskInUse) Error() string { return fmt.Sprintf("%s is in use: %v", e.Path, e.Err) }

// Remedy implements rollout.Fault.
func (e *DiskInUse) Remedy() string {
	return "stop the other coordinator that uses this directory, or configure another directory"
}

// DamagedDisk reports that what was read is not what was written.
type DamagedDisk struct {
	Path, What string
}

func (e *DamagedDisk) Error() string { return fmt.Sprintf("%s is damaged: %s", e.Path, e.What) }

// Remedy implements rollout.Fault.
func (e *DamagedDisk) Remedy() string {
	return "leave this coordinator stopped; start a new one with a new id on an empty directory with --join, and replace this one by it"
}

// DiskFailed reports that a write to the disk failed.
type DiskFailed struct {
	Path string
	Err  error
}

func (e *DiskFailed) Error() string { return fmt.Sprintf("%s can't be written: %v", e.Path, e.Err) }

// Remedy implements rollout.Fault.
func (e *DiskFailed) Remedy() string {
	return "free space on the disk or repair it, and restart the coordinator; it has acknowledged nothing that it did not store"
}

// OtherDisk reports that a directory belongs to a coordinator with another ID.
type OtherDisk struct {
	Path       string
	Have, Want uint64
}

func (e *OtherDisk) Error() string {
	return fmt.Sprintf("%s is the disk of coordinator %d, not of %d", e.Path, e.Have, e.Want)
}

// Remedy implements rollout.Fault.
func (e *OtherDisk) Remedy() string { return "configure the directory that belongs to this id" }

// Busy reports that the limit on pending calls is reached.
type Busy struct{ Max int }

func (e *Busy) Error() string { return fmt.Sprintf("%d calls are pending, which is the limit", e.Max) }

// Remedy implements rollout.Fault.
func (e *Busy) Remedy() string { return "retry shortly; agents do so by themselves" }
