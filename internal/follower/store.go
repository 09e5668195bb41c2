package follower

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"wickarch/distribution"
	"wickarch/internal/checksum"
)

// store keeps what is in force in one bbolt file: each write is whole or not at all, and
// synced before it returns. Each value stands behind its checksum (CRC-32C), and all
// together are held against the version's hash when they are read. bbolt takes its older
// head page where the newer one is damaged: then an older version is read, whole, and what
// is newer is asked for.
type store struct {
	path        string
	db          *bbolt.DB // nil where the folder can't be used
	unusableErr error     // then
}

var (
	bucketHeader    = []byte("head")
	bucketResources = []byte("resources")
	keyHeader       = []byte("head")
)

const (
	fileName     = "config.db"
	lockTimeout  = 200 * time.Millisecond // for another process that holds the file
	maxFileBytes = 64 << 20               // bytes: a file that is larger is none of ours
)

// head is what is kept beside the resources.
type header struct {
	Version       uint64                          `json:"version"`
	Hash          distribution.Hash               `json:"hash"`
	Settled       uint64                          `json:"settled"`
	PreviousPlans []distribution.PreviousResource `json:"before,omitempty"`
}

// openStore opens a folder and reads what it keeps, nil for nothing. With a store that can't
// be used comes the reason; it works all the same and keeps nothing.
func openStore(dir string) (s *store, kept *distribution.StoredConfig, err error) {
	s = &store{path: filepath.Join(dir, fileName)}
	if err = os.MkdirAll(dir, 0o700); err != nil {
		return s, nil, s.disable(&DiskFailed{dir, err})
	}
	kept, err = s.open()
	var damaged *DiskDamaged
	if errors.As(err, &damaged) { // put aside, in place of one that was before
		if moved := os.Rename(s.path, s.path+".damaged"); moved != nil {
			return s, nil, s.disable(&DiskFailed{s.path, moved})
		}
		if _, again := s.open(); again != nil {
			err = s.disable(again)
		}
		return s, nil, err
	}
	if err != nil {
		return s, nil, s.disable(err)
	}
	return s, kept, nil
}

func (s *store) disable(why error) error {
	s.unusableErr = why
	if s.db != nil {
		_ = s.db.Close()
		s.db = nil
	}
	return why
}

func (s *store) open() (kept *distribution.StoredConfig, err error) {
	defer func() {
		if p := recover(); p != nil { // as bbolt does on pages that make no sense
			err = &DiskDamaged{s.path, fmt.Sprint(p)}
		}
		if err != nil && s.db != nil {
			_ = s.db.Close()
			s.db = nil
		}
	}()
	// bbolt makes a file with four pages.
	if info, missing := os.Stat(s.path); missing == nil && (info.Size() > maxFileBytes || info.Size() > 0 && info.Size() < int64(4*os.Getpagesize())) {
		return nil, &DiskDamaged{s.path, fmt.Sprintf("%d bytes", info.Size())}
	}
	s.db, err = bbolt.Open(s.path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return nil, &FollowsAlready{s.path}
	case errors.Is(err, bbolterrors.ErrInvalid), errors.Is(err, bbolterrors.ErrChecksum), errors.Is(err, bbolterrors.ErrVersionMismatch):
		return nil, &DiskDamaged{s.path, err.Error()}
	case err != nil:
		return nil, &DiskFailed{s.path, err}
	}
	err = s.db.View(func(tx *bbolt.Tx) error {
		kept, err = s.read(tx)
		return err
	})
	return kept, err
}

// read reads the version that is kept, nil for none.
func (s *store) read(tx *bbolt.Tx) (*distribution.StoredConfig, error) {
	at := tx.Bucket(bucketHeader)
	if at == nil {
		return nil, nil
	}
	var h header
	if err := unseal(at.Get(keyHeader), &h); err != nil {
		return nil, &DiskDamaged{s.path, err.Error()}
	}
	kept := &distribution.StoredConfig{State: distribution.State{Version: h.Version, Hash: h.Hash}, Settled: h.Settled, PreviousPlans: h.PreviousPlans}
	resources := tx.Bucket(bucketResources)
	if resources == nil {
		return nil, &DiskDamaged{s.path, "no resources"}
	}
	err := resources.ForEach(func(k, v []byte) error {
		var r distribution.Resource
		if err := unseal(v, &r); err != nil || string(r.Key) != string(k) {
			return &DiskDamaged{s.path, fmt.Sprintf("resource %q: %v", k, err)}
		}
		kept.Resources = append(kept.Resources, r)
		return nil
	})
	return kept, err
}

// save keeps one version in the place of the one before.
func (s *store) save(what *distribution.StoreUpdate) (err error) {
	if s.db == nil {
		return s.unusableErr
	}
	defer func() {
		if p := recover(); p != nil {
			err = s.disable(&DiskDamaged{s.path, fmt.Sprint(p)})
		}
	}()
	if err = s.db.Update(func(tx *bbolt.Tx) error { return write(tx, what) }); err != nil {
		return &DiskFailed{s.path, err}
	}
	return nil
}

// write writes one version in the place of the one before.
func write(tx *bbolt.Tx, what *distribution.StoreUpdate) error {
	if what.Full && tx.Bucket(bucketResources) != nil {
		if err := tx.DeleteBucket(bucketResources); err != nil {
			return err
		}
	}
	resources, err := tx.CreateBucketIfNotExists(bucketResources)
	if err != nil {
		return err
	}
	for _, k := range what.Delete {
		if err = resources.Delete([]byte(k)); err != nil {
			return err
		}
	}
	for _, r := range what.Set {
		if err = putSealed(resources, []byte(r.Key), r); err != nil {
			return err
		}
	}
	at, err := tx.CreateBucketIfNotExists(bucketHeader)
	if err != nil {
		return err
	}
	return putSealed(at, keyHeader, header{what.Version, what.Hash, what.Settled, what.PreviousPlans})
}

// putSealed writes a value behind its checksum under a key.
func putSealed(bucket *bbolt.Bucket, key []byte, value any) error {
	v, err := seal(value)
	if err != nil {
		return err
	}
	return bucket.Put(key, v)
}

func (s *store) close() {
	if s.db != nil {
		_ = s.db.Close()
	}
}

// seal writes a value behind its checksum.
func seal(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return checksum.Seal(b), nil
}

var errChecksum = errors.New("the checksum is wrong")

func unseal(b []byte, to any) error {
	data, ok := checksum.Open(b)
	if !ok {
		return errChecksum
	}
	return json.Unmarshal(data, to)
}
