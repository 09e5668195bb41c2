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

// Disk stores a coordinator's log in a bbolt file. Each value is prefixed with its checksum
// (CRC-32C), and each write is synced before it returns.
//
// If the newer of bbolt's two meta pages is damaged, bbolt silently uses the older one and
// loses the last write. Writes are therefore counted, and the count is stored in the log and,
// after each write to the log, in a second file: a log whose count is lower has lost a write.
type Disk struct {
	path   string
	db     *bbolt.DB
	writes uint64   // writes made so far
	lock   *os.File // flock, held while the disk is open
}

var (
	bucketMeta    = []byte("meta")
	bucketEntries = []byte("entries")
	keyID         = []byte("id")
	keyState      = []byte("state")
	keySnapshot   = []byte("snapshot")
	keyCount      = []byte("count")
)

// Names of the files in a coordinator's directory: the log, and the count of its writes.
const (
	logFile   = "rollout.db"
	countFile = "rollout.count"
)

// Create creates the disk of a new coordinator. With a zero stored, the coordinator waits until
// the others add it.
func Create(dir string, id uint64, stored replica.Stored) error {
	path := filepath.Join(dir, logFile)
	if _, err := os.Stat(path); err == nil {
		return &DiskInUse{path, os.ErrExist}
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return &DiskFailed{dir, err}
	}
	return createFile(dir, id, 0, stored)
}

// createFile writes a log file with the given content and replaces an existing one atomically.
func createFile(dir string, id, count uint64, stored replica.Stored) error {
	path := filepath.Join(dir, logFile)
	tempPath := path + ".new"
	_ = os.Remove(tempPath) // usually there is none; if it can't be removed, opening it reports why
	db, err := bbolt.Open(tempPath, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return &DiskFailed{tempPath, err}
	}
	d := &Disk{path: path, db: db, writes: count}
	err = db.Update(func(tx *bbolt.Tx) error { return createBuckets(tx, id) })
	if err == nil {
		err = d.commit(func(meta, log *bbolt.Bucket) error {
			return d.persist(meta, log, stored.State, stored.Entries, stored.Snapshot)
		})
	}
	if closeErr := db.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(tempPath, path)
	}
	if err == nil && count == 0 {
		err = writeCount(d.countPath(), d.writes)
	}
	if err == nil {
		err = syncDir(dir)
	}
	if err != nil {
		return &DiskFailed{path, err}
	}
	return nil
}

// createBuckets creates the buckets of a new file and stores the coordinator's ID.
func createBuckets(tx *bbolt.Tx, id uint64) error {
	for _, name := range [][]byte{bucketMeta, bucketEntries} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return put(tx.Bucket(bucketMeta), keyID, binary.BigEndian.AppendUint64(nil, id))
}

// syncDir syncs a directory, so that a rename in it survives a power loss.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // nothing was written through it
	return f.Sync()
}

// Open opens a coordinator's disk and reads all of it.
//
// The content is copied to a new file: bbolt's list of free pages cannot be verified, and with
// a damaged one bbolt would overwrite pages that are in use. The copy also frees unused space.
func Open(dir string, id uint64) (*Disk, replica.Stored, error) {
	var stored replica.Stored
	path := filepath.Join(dir, logFile)
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
		return nil, stored, &DiskInUse{path, errors.New("it is open in another process")}
	}
	d := &Disk{path: path, lock: lock}
	if stored, err = d.read(id); err == nil {
		if err = createFile(dir, id, d.writes, stored); err == nil {
			if d.db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second}); err != nil {
				err = &DiskFailed{path, err}
			}
			d.writes++
		}
	}
	if err != nil {
		_ = lock.Close()
		return nil, replica.Stored{}, err
	}
	return d, stored, nil
}

// read reads the file, which may be damaged anywhere. bbolt reads through mapped memory, and a
// damaged offset may make it access an invalid address: on this goroutine such a memory fault
// causes a panic, which is reported as damage.
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
			return damaged("a bucket is missing")
		}
		storedID, err := get(meta, keyID)
		if err != nil || len(storedID) != 8 {
			return damaged("coordinator ID: %v", err)
		}
		if have := binary.BigEndian.Uint64(storedID); have != id {
			return &OtherDisk{d.path, have, id}
		}
		count, err := get(meta, keyCount)
		if err != nil || len(count) != 8 {
			return damaged("write count: %v", err)
		}
		d.writes = binary.BigEndian.Uint64(count)
		fileCount, err := readCount(d.countPath())
		if err != nil {
			return damaged("%s: %v", d.countPath(), err)
		}
		if fileCount > d.writes {
			return damaged("it contains %d of the %d writes made", d.writes, fileCount)
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
		var entriesErr error
		s.Entries, entriesErr = readEntries(entries, s.Snapshot.GetMetadata().GetIndex(), damaged)
		return entriesErr
	})
	return s, err
}

// readEntries returns the log entries that follow the snapshot, given the snapshot's index.
func readEntries(bucket *bbolt.Bucket, snapshotIndex uint64, damaged func(string, ...any) error) ([]*pb.Entry, error) {
	var list []*pb.Entry
	lastIndex := snapshotIndex
	err := bucket.ForEach(func(k, v []byte) error {
		b, unsealErr := unseal(v)
		if unsealErr != nil || len(k) != 8 {
			return damaged("log entry: %v", unsealErr)
		}
		e := &pb.Entry{}
		if err := proto.Unmarshal(b, e); err != nil {
			return damaged("log entry: %v", err)
		}
		if e.GetIndex() != binary.BigEndian.Uint64(k) {
			return damaged("log entry %d is stored under the key of another entry", e.GetIndex())
		}
		if e.GetIndex() <= snapshotIndex {
			return nil
		}
		if e.GetIndex() != lastIndex+1 {
			return damaged("log entry %d follows entry %d", e.GetIndex(), lastIndex)
		}
		lastIndex = e.GetIndex()
		list = append(list, e)
		return nil
	})
	return list, err
}

// Save implements replica.Disk.
func (d *Disk) Save(state *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	return d.update(func(meta, log *bbolt.Bucket) error { return d.persist(meta, log, state, entries, snapshot) })
}

func (d *Disk) persist(meta, log *bbolt.Bucket, state *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	if snapshot != nil {
		if err := d.put(meta, keySnapshot, snapshot); err != nil {
			return err
		}
		if err := deleteRange(log, 0, ^uint64(0)); err != nil {
			return err
		}
	}
	if state != nil {
		if err := d.put(meta, keyState, state); err != nil {
			return err
		}
	}
	if len(entries) > 0 {
		if err := deleteRange(log, entries[0].GetIndex(), ^uint64(0)); err != nil {
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

// Compact implements replica.Disk.
func (d *Disk) Compact(snapshot *pb.Snapshot) error {
	return d.update(func(meta, log *bbolt.Bucket) error {
		if err := d.put(meta, keySnapshot, snapshot); err != nil {
			return err
		}
		return deleteRange(log, 0, snapshot.GetMetadata().GetIndex())
	})
}

// Close closes the log and releases its lock.
func (d *Disk) Close() error {
	defer func() { _ = d.lock.Close() }()
	return d.db.Close()
}

func (d *Disk) countPath() string { return filepath.Join(filepath.Dir(d.path), countFile) }

// update makes one write and counts it in both files. Transient errors are retried: nothing that depends
// on the write has been sent yet.
func (d *Disk) update(write func(meta, log *bbolt.Bucket) error) error {
	err := retryWrite(func() error { return d.commit(write) })
	if err == nil {
		err = retryWrite(func() error { return writeCount(d.countPath(), d.writes) })
	}
	if err != nil {
		return &DiskFailed{d.path, err}
	}
	return nil
}

// diskRetryTimeout is how long a failed write is retried before the coordinator stops.
const diskRetryTimeout = 10 * time.Second

// retryWrite repeats a write while it fails with a transient error.
func retryWrite(write func() error) error {
	_, err := retry.For(diskRetryTimeout, nil, func() (struct{}, error) { return struct{}{}, write() })
	return err
}

func (d *Disk) commit(write func(meta, log *bbolt.Bucket) error) error {
	err := d.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if err := put(meta, keyCount, binary.BigEndian.AppendUint64(nil, d.writes+1)); err != nil {
			return err
		}
		return write(meta, tx.Bucket(bucketEntries))
	})
	if err == nil {
		d.writes++
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

// deleteRange deletes the entries from one index to another, both included.
func deleteRange(log *bbolt.Bucket, from, to uint64) error {
	var keys [][]byte // collected first: a cursor must not be used while its pages change
	cursor := log.Cursor()
	for k, _ := cursor.Seek(binary.BigEndian.AppendUint64(nil, from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = cursor.Next() {
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
	return unseal(v)
}

// unseal verifies a value's checksum and returns a copy of its data: bbolt's memory is valid only within a transaction.
func unseal(v []byte) ([]byte, error) {
	data, ok := checksum.Open(v)
	if !ok {
		return nil, errors.New("checksum mismatch")
	}
	return append([]byte{}, data...), nil
}
