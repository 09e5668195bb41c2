package coordinator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"wickarch/internal/checksum"
	"wickarch/internal/retry"
	"wickarch/rollout/replica"
)

// Disk keeps a coordinator's log in one bbolt file. Each value stands behind its
// checksum (CRC-32C), and each write is synced before it returns.
//
// Where the newer of bbolt's two head pages is damaged, it takes the older one and is
// a write behind, in silence. So writes are counted in the file, and the count stands
// in a second file as well, which is written after the first: a log that is behind it
// has forgotten something.
type Disk struct {
	path  string
	db    *bbolt.DB
	count uint64   // writes
	lock  *os.File // held while it is open
}

var (
	bucketMeta    = []byte("meta")
	bucketEntries = []byte("entries")
	keyID         = []byte("id")
	keyState      = []byte("state")
	keySnapshot   = []byte("snapshot")
	keyCount      = []byte("count")
)

// The names of the log and of the count of its writes, in a coordinator's folder.
const (
	file      = "rollout.db"
	countFile = "rollout.count"
)

// Create makes the disk of a coordinator that has none. A zero stored is that of one
// which waits until the others take it in.
func Create(dir string, id uint64, stored replica.Stored) error {
	path := filepath.Join(dir, file)
	if _, err := os.Stat(path); err == nil {
		return &DiskInUse{path, os.ErrExist}
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return &DiskFailed{dir, err}
	}
	return fill(dir, id, 0, stored)
}

// fill makes a file that holds what is stored, as a whole or not at all.
func fill(dir string, id, count uint64, stored replica.Stored) error {
	path := filepath.Join(dir, file)
	half := path + ".new"
	_ = os.Remove(half) // mostly there is none; opening it tells what is wrong
	db, err := bbolt.Open(half, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return &DiskFailed{half, err}
	}
	d := &Disk{path: path, db: db, count: count}
	err = db.Update(func(tx *bbolt.Tx) error { return createBuckets(tx, id) })
	if err == nil {
		err = d.commit(func(meta, log *bbolt.Bucket) error {
			return d.keep(meta, log, stored.State, stored.Entries, stored.Snapshot)
		})
	}
	if closed := db.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(half, path)
	}
	if err == nil && count == 0 {
		err = writeCount(d.countPath(), d.count)
	}
	if err == nil {
		err = syncFolder(dir)
	}
	if err != nil {
		return &DiskFailed{path, err}
	}
	return nil
}

// createBuckets makes the buckets of a new file, and writes whose it is.
func createBuckets(tx *bbolt.Tx, id uint64) error {
	for _, name := range [][]byte{bucketMeta, bucketEntries} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return put(tx.Bucket(bucketMeta), keyID, binary.BigEndian.AppendUint64(nil, id))
}

// syncFolder keeps a rename through a loss of power.
func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // nothing was written through it
	return f.Sync()
}

// Open opens a coordinator's disk and reads all of it.
//
// What is read is written anew into a file of its own: bbolt's list of free pages is
// nothing that could be checked, and a wrong one would have it write over what is
// still needed. It also gives back the room that is not needed any more.
func Open(dir string, id uint64) (*Disk, replica.Stored, error) {
	var stored replica.Stored
	path := filepath.Join(dir, file)
	if _, err := os.Stat(path); err != nil {
		if errors.Is(err, os.ErrNotExist) {
			return nil, stored, &EmptyDisk{id, dir}
		}
		return nil, stored, &DiskFailed{path, err}
	}
	lock, err := os.OpenFile(filepath.Join(dir, "rollout.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, stored, &DiskFailed{dir, err}
	}
	if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, stored, &DiskInUse{path, errors.New("another process has it open")}
	}
	d := &Disk{path: path, lock: lock}
	if stored, err = d.read(id); err == nil {
		if err = fill(dir, id, d.count, stored); err == nil {
			if d.db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second}); err != nil {
				err = &DiskFailed{path, err}
			}
			d.count++
		}
	}
	if err != nil {
		_ = lock.Close()
		return nil, replica.Stored{}, err
	}
	return d, stored, nil
}

// read reads the file, which may be damaged anywhere. bbolt reads through mapped
// memory, and a wrong number in it may send it anywhere: on this goroutine a fault is
// a panic.
func (d *Disk) read(id uint64) (s replica.Stored, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &DamagedDisk{d.path, fmt.Sprint(p)}
		}
	}()
	d.db, err = bbolt.Open(d.path, 0o600, &bbolt.Options{Timeout: time.Second, ReadOnly: true})
	if err != nil {
		return s, &DamagedDisk{d.path, err.Error()}
	}
	s, err = d.load(id)
	_ = d.db.Close()
	return s, err
}

func (d *Disk) load(id uint64) (replica.Stored, error) {
	var s replica.Stored
	damaged := func(format string, args ...any) error { return &DamagedDisk{d.path, fmt.Sprintf(format, args...)} }
	err := d.db.View(func(tx *bbolt.Tx) error {
		meta, entries := tx.Bucket(bucketMeta), tx.Bucket(bucketEntries)
		if meta == nil || entries == nil {
			return damaged("a part is missing")
		}
		own, err := get(meta, keyID)
		if err != nil || len(own) != 8 {
			return damaged("its number: %v", err)
		}
		if have := binary.BigEndian.Uint64(own); have != id {
			return &OtherDisk{d.path, have, id}
		}
		count, err := get(meta, keyCount)
		if err != nil || len(count) != 8 {
			return damaged("the count of its writes: %v", err)
		}
		d.count = binary.BigEndian.Uint64(count)
		beside, err := readCount(d.countPath())
		if err != nil {
			return damaged("%s: %v", d.countPath(), err)
		}
		if beside > d.count {
			return damaged("it holds %d writes, and %d were made", d.count, beside)
		}
		read := func(key []byte, m proto.Message) (bool, error) {
			b, err := get(meta, key)
			if err != nil {
				return false, damaged("%s: %v", key, err)
			}
			if b == nil {
				return false, nil
			}
			if err := proto.Unmarshal(b, m); err != nil {
				return false, damaged("%s: %v", key, err)
			}
			return true, nil
		}
		state, snap := &pb.HardState{}, &pb.Snapshot{}
		if ok, err := read(keyState, state); err != nil {
			return err
		} else if ok {
			s.State = state
		}
		if ok, err := read(keySnapshot, snap); err != nil {
			return err
		} else if ok {
			s.Snapshot = snap
		}
		var unreadable error
		s.Entries, unreadable = readEntries(entries, s.Snapshot.GetMetadata().GetIndex(), damaged)
		return unreadable
	})
	return s, err
}

// readEntries reads the log behind the snapshot, which ends at an index.
func readEntries(bucket *bbolt.Bucket, snapshot uint64, damaged func(string, ...any) error) ([]*pb.Entry, error) {
	var read []*pb.Entry
	last := snapshot
	err := bucket.ForEach(func(k, v []byte) error {
		b, wrong := check(v)
		if wrong != nil || len(k) != 8 {
			return damaged("an entry: %v", wrong)
		}
		e := &pb.Entry{}
		if err := proto.Unmarshal(b, e); err != nil {
			return damaged("an entry: %v", err)
		}
		if e.GetIndex() != binary.BigEndian.Uint64(k) {
			return damaged("entry %d stands in the place of another", e.GetIndex())
		}
		if e.GetIndex() <= snapshot {
			return nil
		}
		if e.GetIndex() != last+1 {
			return damaged("entry %d follows %d", e.GetIndex(), last)
		}
		last = e.GetIndex()
		read = append(read, e)
		return nil
	})
	return read, err
}

// Save is that of replica.Disk.
func (d *Disk) Save(state *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	return d.update(func(meta, log *bbolt.Bucket) error { return d.keep(meta, log, state, entries, snapshot) })
}

func (d *Disk) keep(meta, log *bbolt.Bucket, state *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	if snapshot != nil {
		if err := d.put(meta, keySnapshot, snapshot); err != nil {
			return err
		}
		if err := drop(log, 0, ^uint64(0)); err != nil {
			return err
		}
	}
	if state != nil {
		if err := d.put(meta, keyState, state); err != nil {
			return err
		}
	}
	if len(entries) > 0 {
		if err := drop(log, entries[0].GetIndex(), ^uint64(0)); err != nil {
			return err
		}
	}
	for _, e := range entries {
		if err := d.put(log, binary.BigEndian.AppendUint64(nil, e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}

// Compact is that of replica.Disk.
func (d *Disk) Compact(snapshot *pb.Snapshot) error {
	return d.update(func(meta, log *bbolt.Bucket) error {
		if err := d.put(meta, keySnapshot, snapshot); err != nil {
			return err
		}
		return drop(log, 0, snapshot.GetMetadata().GetIndex())
	})
}

// Close closes the file.
func (d *Disk) Close() error {
	defer func() { _ = d.lock.Close() }()
	return d.db.Close()
}

func (d *Disk) countPath() string { return filepath.Join(filepath.Dir(d.path), countFile) }

// update makes one write, and counts it in both files. While the disk fails by errors that pass, it is
// tried again: nobody has been told of it yet.
func (d *Disk) update(f func(meta, log *bbolt.Bucket) error) error {
	err := untilKept(func() error { return d.commit(f) })
	if err == nil {
		err = untilKept(func() error { return writeCount(d.countPath(), d.count) })
	}
	if err != nil {
		return &DiskFailed{d.path, err}
	}
	return nil
}

// diskPatience is how long a coordinator waits for a disk that fails.
const diskPatience = 10 * time.Second

// untilKept repeats a write while it fails by an error that passes.
func untilKept(write func() error) error {
	_, err := retry.For(diskPatience, nil, func() (struct{}, error) { return struct{}{}, write() })
	return err
}

func (d *Disk) commit(f func(meta, log *bbolt.Bucket) error) error {
	err := d.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if err := put(meta, keyCount, binary.BigEndian.AppendUint64(nil, d.count+1)); err != nil {
			return err
		}
		return f(meta, tx.Bucket(bucketEntries))
	})
	if err == nil {
		d.count++
	}
	return err
}

func (d *Disk) put(b *bbolt.Bucket, key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return put(b, key, data)
}

// drop deletes the entries of a range, its ends among them.
func drop(log *bbolt.Bucket, from, to uint64) error {
	var keys [][]byte // first all, as a cursor does not like its pages to change
	c := log.Cursor()
	for k, _ := c.Seek(binary.BigEndian.AppendUint64(nil, from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Next() {
		keys = append(keys, append([]byte{}, k...))
	}
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

func put(b *bbolt.Bucket, key, data []byte) error { return b.Put(key, checksum.Seal(data)) }

func get(b *bbolt.Bucket, key []byte) ([]byte, error) {
	v := b.Get(key)
	if v == nil {
		return nil, nil
	}
	return check(v)
}

// check takes the checksum off a value, and copies it: bbolt's memory is valid within a transaction alone.
func check(v []byte) ([]byte, error) {
	data, ok := checksum.Open(v)
	if !ok {
		return nil, errors.New("the checksum does not fit")
	}
	return append([]byte{}, data...), nil
}
