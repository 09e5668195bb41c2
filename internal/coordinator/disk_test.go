package coordinator

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"wickarch/rollout/replica"
)

func entry(term, index uint64) *pb.Entry {
	return &pb.Entry{Term: proto.Uint64(term), Index: proto.Uint64(index), Data: []byte{byte(term), byte(index)}}
}

func snapshot(term, index uint64) *pb.Snapshot {
	return &pb.Snapshot{Data: []byte("state"), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(index), Term: proto.Uint64(term), ConfState: &pb.ConfState{Voters: []uint64{1}}}}
}

func fresh(t interface {
	Fatal(...any)
}, dir string) *Disk {
	stored, err := replica.Bootstrap(map[uint64]string{1: "a:1"})
	if err != nil {
		t.Fatal(err)
	}
	if err = Create(dir, 1, stored); err != nil {
		t.Fatal(err)
	}
	d, _, err := Open(dir, 1)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// What was saved is there after each reopening, whatever was appended, overwritten,
// compacted or replaced by another's snapshot; nothing else is.
func TestDiskHoldsWhatWasSaved(t *testing.T) {
	root := t.TempDir()
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		n++
		dir := filepath.Join(root, string(rune('a'+n%26)), filepath.Base(root)+string(rune('a'+n/26%26))+string(rune('a'+n/676)))
		d := fresh(t, dir)
		defer func() { _ = d.Close(); os.RemoveAll(dir) }()
		var log []uint64 // terms from first on
		first, term := uint64(2), uint64(1)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			last := first + uint64(len(log)) - 1
			var err error
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				term++
				from := rapid.Uint64Range(first, last+1).Draw(t, "from")
				log = log[:from-first]
				var add []*pb.Entry
				for range rapid.IntRange(1, 4).Draw(t, "count") {
					add = append(add, entry(term, first+uint64(len(log))))
					log = append(log, term)
				}
				err = d.Save(&pb.HardState{Term: proto.Uint64(term)}, add, nil)
			case 2:
				if last >= first {
					to := rapid.Uint64Range(first, last).Draw(t, "to")
					err = d.Compact(snapshot(log[to-first], to))
					log, first = log[to+1-first:], to+1
				}
			case 3:
				first, log = last+10, nil
				err = d.Save(nil, nil, snapshot(term, first-1))
			case 4:
				if err = d.Close(); err != nil {
					t.Error(err)
				}
				var s replica.Stored
				if d, s, err = Open(dir, 1); err != nil {
					t.Fatal(err)
				}
				if len(s.Entries) != len(log) {
					t.Fatalf("%d entries, want %d", len(s.Entries), len(log))
				}
				for i, e := range s.Entries {
					if e.GetIndex() != first+uint64(i) || e.GetTerm() != log[i] {
						t.Fatalf("entry %d of term %d, want %d of %d", e.GetIndex(), e.GetTerm(), first+uint64(i), log[i])
					}
				}
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	})
}

// A disk that is empty, of another, in use or damaged in any byte that holds something
// is told as such, and nothing starts on it.
func TestDiskIsTold(t *testing.T) {
	dir := t.TempDir()
	var empty *EmptyDisk
	if _, _, err := Open(dir, 1); !errors.As(err, &empty) {
		t.Errorf("an empty one: %v", err)
	}
	d := fresh(t, dir)
	var inUse *DiskInUse
	if _, _, err := Open(dir, 1); !errors.As(err, &inUse) {
		t.Errorf("one that is open: %v", err)
	}
	if err := Create(dir, 1, replica.Stored{}); !errors.As(err, &inUse) {
		t.Errorf("made twice: %v", err)
	}
	for i := range uint64(50) {
		if err := d.Save(nil, []*pb.Entry{entry(2, 2+i)}, nil); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.Close(); err != nil {
		t.Error(err)
	}
	var other *OtherDisk
	if _, _, err := Open(dir, 2); !errors.As(err, &other) {
		t.Errorf("another's: %v", err)
	}
	path := filepath.Join(dir, file)
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for at := 0; at < len(good); at += 97 {
		bad := append([]byte{}, good...)
		bad[at] ^= 0x55
		if err := os.WriteFile(path, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		d, s, err := Open(dir, 1)
		if err == nil {
			if err = d.Close(); err != nil {
				t.Error(err)
			}
			if len(s.Entries) != 50 || s.Snapshot == nil { // what is read is whole, as the byte held nothing
				t.Fatalf("byte %d: %d entries are taken for all", at, len(s.Entries))
			}
			continue
		}
		found++
		var damaged *DamagedDisk
		if !errors.As(err, &damaged) {
			t.Errorf("byte %d: %v", at, err)
		}
	}
	if found == 0 {
		t.Error("no damage was found")
	}
}

// What can't be kept is an error, and what was there stays.
func TestDiskThatFails(t *testing.T) {
	dir := t.TempDir()
	d := fresh(t, dir)
	if err := d.Close(); err != nil {
		t.Error(err)
	}
	var failed *DiskFailed
	if err := d.Save(nil, []*pb.Entry{entry(2, 2)}, nil); !errors.As(err, &failed) {
		t.Errorf("a disk that is gone: %v", err)
	}
	if _, s, err := Open(dir, 1); err != nil || len(s.Entries) != 0 {
		t.Errorf("%v, %d entries", err, len(s.Entries))
	}
}
