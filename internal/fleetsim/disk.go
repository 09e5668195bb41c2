package fleetsim

import (
	"errors"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"wickarch/rollout/replica"
)

// disk is a coordinator's. What Save has returned for is kept through a crash.
type disk struct {
	w       *World
	saved   replica.Stored
	older   *replica.Stored // as it was at some time
	full    time.Duration   // until then nothing can be kept
	damaged bool
	writes  int
	crashAt int // the number of the write in which the process ends, with nothing kept; 0 for none
}

var (
	errFull    = errors.New("no space left on the disk")
	errEnded   = errors.New("the process has ended")
	errDamaged = errors.New("a checksum does not fit")
)

func (d *disk) load() (replica.Stored, error) {
	if d.damaged {
		return replica.Stored{}, errDamaged
	}
	s := d.saved
	s.Entries = slices.Clone(s.Entries)
	return s, nil
}

// keep notes what the disk holds now, to be put back later.
func (d *disk) keep() {
	s := d.saved
	s.Entries = slices.Clone(s.Entries)
	d.older = &s
}

// Save keeps what a coordinator must not forget.
func (d *disk) Save(state *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error {
	if d.w.Now() < d.full {
		return errFull
	}
	d.writes++
	if d.writes == d.crashAt {
		return errEnded
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

// Compact keeps a snapshot in the place of entries.
func (d *disk) Compact(snap *pb.Snapshot) error {
	if d.w.Now() < d.full {
		return errFull
	}
	d.writes++
	if d.writes == d.crashAt {
		return errEnded
	}
	index := snap.GetMetadata().GetIndex()
	d.saved.Snapshot = snap
	d.saved.Entries = slices.DeleteFunc(slices.Clone(d.saved.Entries), func(e *pb.Entry) bool { return e.GetIndex() <= index })
	return nil
}
