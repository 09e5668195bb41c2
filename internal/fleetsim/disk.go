package fleetsim

import (
	"errors"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"wickarch/rollout/replica"
)

// disk models a coordinator's disk. What a completed Save wrote survives a crash.
type disk struct {
	w            *World
	saved        replica.Stored
	oldCopy      *replica.Stored // an earlier copy, to be restored by a fault
	fullUntil    time.Duration   // writes fail until then
	damaged      bool
	writes       int
	crashAtWrite int // number of the write during which the process ends, with nothing written; 0 for none
}

var (
	errFull         = errors.New("no space left on the disk")
	errProcessEnded = errors.New("the process ended during the write")
	errDamaged      = errors.New("checksum mismatch")
)

func (d *disk) load() (replica.Stored, error) {
	if d.damaged {
		return replica.Stored{}, errDamaged
	}
	s := d.saved
	s.Entries = slices.Clone(s.Entries)
	return s, nil
}

// copyState saves a copy of the current contents, to be restored later.
func (d *disk) copyState() {
	s := d.saved
	s.Entries = slices.Clone(s.Entries)
	d.oldCopy = &s
}

// Save persists the raft state that a coordinator must not lose.
func (d *disk) Save(state *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error {
	if d.w.Now() < d.fullUntil {
		return errFull
	}
	d.writes++
	if d.writes == d.crashAtWrite {
		return errProcessEnded
	}
	if snap != nil {
		d.saved.Snapshot, d.saved.Entries = snap, nil
	}
	if state != nil {
		d.saved.State = proto.Clone(state).(*pb.HardState)
	}
	if len(entries) > 0 {
		first := entries[0].GetIndex()
		i := slices.IndexFunc(d.saved.Entries, func(e *pb.Entry) bool { return e.GetIndex() >= first })
		if i >= 0 {
			d.saved.Entries = d.saved.Entries[:i]
		}
		d.saved.Entries = append(d.saved.Entries, entries...)
	}
	return nil
}

// Compact replaces the entries up to the snapshot's index by the snapshot.
func (d *disk) Compact(snap *pb.Snapshot) error {
	if d.w.Now() < d.fullUntil {
		return errFull
	}
	d.writes++
	if d.writes == d.crashAtWrite {
		return errProcessEnded
	}
	index := snap.GetMetadata().GetIndex()
	d.saved.Snapshot = snap
	d.saved.Entries = slices.DeleteFunc(slices.Clone(d.saved.Entries), func(e *pb.Entry) bool { return e.GetIndex() <= index })
	return nil
}
