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
	return &pb.Snapshot{Data: []byte("state"),
		Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(index), Term: proto.Uint64(term), ConfState: &pb.ConfState{Voters: []uint64{1}}}}
}

// createAndOpen creates the disk of a coordinator and opens it.
func createAndOpen(t interface {
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

// Guards against a log that loses entries or brings back deleted ones when it is reopened, after any sequence
// of appended, overwritten and compacted entries and installed snapshots.
func TestOpenReturnsWhatWasSaved(t *testing.T) {
	root := t.TempDir()
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		n++
		dir := filepath.Join(root, string(rune('a'+n%26)), filepath.Base(root)+string(rune('a'+n/26%26))+string(rune('a'+n/676)))
		d := createAndOpen(t, dir)
		defer func() { _ = d.Close(); os.RemoveAll(dir) }()
		var terms []uint64 // of the expected entries, the first of which has index first
		first, term := uint64(2), uint64(1)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			last := first + uint64(len(terms)) - 1
			var err error
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				term++
				from := rapid.Uint64Range(first, last+1).Draw(t, "from")
				terms = terms[:from-first]
				var add []*pb.Entry
				for range rapid.IntRange(1, 4).Draw(t, "count") {
					add = append(add, entry(term, first+uint64(len(terms))))
					terms = append(terms, term)
				}
				err = d.Save(&pb.HardState{Term: proto.Uint64(term)}, add, nil)
			case 2:
				if last >= first {
					to := rapid.Uint64Range(first, last).Draw(t, "to")
					err = d.Compact(snapshot(terms[to-first], to))
					terms, first = terms[to+1-first:], to+1
				}
			case 3:
				first, terms = last+10, nil
				err = d.Save(nil, nil, snapshot(term, first-1))
			case 4:
				if err = d.Close(); err != nil {
					t.Error(err)
				}
				var s replica.Stored
				if d, s, err = Open(dir, 1); err != nil {
					t.Fatal(err)
				}
				if len(s.Entries) != len(terms) {
					t.Fatalf("got %d entries, want %d", len(s.Entries), len(terms))
				}
				for i, e := range s.Entries {
					if e.GetIndex() != first+uint64(i) || e.GetTerm() != terms[i] {
						t.Fatalf("got entry %d of term %d, want entry %d of term %d", e.GetIndex(), e.GetTerm(), first+uint64(i), terms[i])
					}
				}
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against a coordinator that starts on an unusable disk: one that is empty, belongs to another coordinator,
// is in use, or is damaged in any byte that holds data. Each is reported by its own error.
func TestOpenRefusesUnusableDisks(t *testing.T) {
	dir := t.TempDir()
	var empty *EmptyDisk
	if _, _, err := Open(dir, 1); !errors.As(err, &empty) {
		t.Errorf("open of an empty directory: %v", err)
	}
	d := createAndOpen(t, dir)
	var inUse *DiskInUse
	if _, _, err := Open(dir, 1); !errors.As(err, &inUse) {
		t.Errorf("open of a disk that is open: %v", err)
	}
	if err := Create(dir, 1, replica.Stored{}); !errors.As(err, &inUse) {
		t.Errorf("creation of a disk that exists: %v", err)
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
		t.Errorf("open of another coordinator's disk: %v", err)
	}
	path := filepath.Join(dir, logFile)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	detected := 0
	for offset := 0; offset < len(intact); offset += 97 {
		corrupted := append([]byte{}, intact...)
		corrupted[offset] ^= 0x55
		if err := os.WriteFile(path, corrupted, 0o600); err != nil {
			t.Fatal(err)
		}
		d, s, err := Open(dir, 1)
		if err == nil {
			if err = d.Close(); err != nil {
				t.Error(err)
			}
			if len(s.Entries) != 50 || s.Snapshot == nil { // the byte held no data, so all must be there
				t.Fatalf("damaged byte %d: opened without an error and with %d of 50 entries, or without its snapshot", offset, len(s.Entries))
			}
			continue
		}
		detected++
		var damaged *DamagedDisk
		if !errors.As(err, &damaged) {
			t.Errorf("damaged byte %d: %v", offset, err)
		}
	}
	if detected == 0 {
		t.Error("no damaged byte was detected")
	}
}

// Guards against a failed write that is taken for a stored one, or that changes what was stored before.
func TestFailedSaveIsAnErrorAndChangesNothing(t *testing.T) {
	dir := t.TempDir()
	d := createAndOpen(t, dir)
	if err := d.Close(); err != nil {
		t.Error(err)
	}
	var failed *DiskFailed
	if err := d.Save(nil, []*pb.Entry{entry(2, 2)}, nil); !errors.As(err, &failed) {
		t.Errorf("save to a closed disk: %v", err)
	}
	if _, s, err := Open(dir, 1); err != nil || len(s.Entries) != 0 {
		t.Errorf("reopened after the failed save: error %v, %d entries, want none", err, len(s.Entries))
	}
}
