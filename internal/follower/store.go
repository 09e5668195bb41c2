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

// store persists the active configuration in one bbolt file. Each write is atomic, and synced
// before it returns. Each value is preceded by its checksum (CRC-32C), and all of them together
// are verified against the version's hash when they are read. If bbolt's newer meta page is
// damaged, bbolt uses the older one: then an older, complete version is read, and the newer one
// is requested from the coordinators.
type store struct {
	path        string
	db          *bbolt.DB // nil if the folder can't be used
	unusableErr error     // why db is nil
}

var (
	bucketHeader    = []byte("head")
	bucketResources = []byte("resources")
	keyHeader       = []byte("head")
)

const (
	fileName     = "config.db"
	lockTimeout  = 200 * time.Millisecond // for the lock on the file, which another process may hold
	maxFileBytes = 64 << 20               // no file of this package is larger
)

// header is what is stored besides the resources.
type header struct {
	Version       uint64                          `json:"version"`
	Hash          distribution.Hash               `json:"hash"`
	Settled       uint64                          `json:"settled"`
	PreviousPlans []distribution.PreviousResource `json:"before,omitempty"`
}

// openStore opens a folder and reads the stored configuration, nil if there is none. If the folder
// can't be used, it returns the reason and a store whose save fails with that reason.
func openStore(dir string) (s *store, stored *distribution.StoredConfig, err error) {
	s = &store{path: filepath.Join(dir, fileName)}
	if err = os.MkdirAll(dir, 0o700); err != nil {
		return s, nil, s.disable(&DiskFailed{dir, err})
	}
	stored, err = s.open()
	var damaged *DiskDamaged
	if errors.As(err, &damaged) { // move the file aside, replacing an earlier damaged one
		if renameErr := os.Rename(s.path, s.path+".damaged"); renameErr != nil {
			return s, nil, s.disable(&DiskFailed{s.path, renameErr})
		}
		if _, openErr := s.open(); openErr != nil {
			err = s.disable(openErr)
		}
		return s, nil, err
	}
	if err != nil {
		return s, nil, s.disable(err)
	}
	return s, stored, nil
}

func (s *store) disable(err error) error {
	s.unusableErr = err
	if s.db != nil {
		_ = s.db.Close()
		s.db = nil
	}
	return err
}

func (s *store) open() (stored *distribution.StoredConfig, err error) {
	defer func() {
		if p := recover(); p != nil { // bbolt panics on malformed pages
			err = &DiskDamaged{s.path, fmt.Sprint(p)}
		}
		if err != nil && s.db != nil {
			_ = s.db.Close()
			s.db = nil
		}
	}()
	// bbolt creates a file of four pages.
	if info, statErr := os.Stat(s.path); statErr == nil &&
		(info.Size() > maxFileBytes || info.Size() > 0 && info.Size() < int64(4*os.Getpagesize())) {
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
		stored, err = s.read(tx)
		return err
	})
	return stored, err
}

// read reads the stored version, nil if there is none.
func (s *store) read(tx *bbolt.Tx) (*distribution.StoredConfig, error) {
	headerBucket := tx.Bucket(bucketHeader)
	if headerBucket == nil {
		return nil, nil
	}
	var h header
	if err := unseal(headerBucket.Get(keyHeader), &h); err != nil {
		return nil, &DiskDamaged{s.path, err.Error()}
	}
	stored := &distribution.StoredConfig{State: distribution.State{Version: h.Version, Hash: h.Hash},
		Settled: h.Settled, PreviousPlans: h.PreviousPlans}
	resources := tx.Bucket(bucketResources)
	if resources == nil {
		return nil, &DiskDamaged{s.path, "no resources"}
	}
	err := resources.ForEach(func(k, v []byte) error {
		var r distribution.Resource
		if err := unseal(v, &r); err != nil || string(r.Key) != string(k) {
			return &DiskDamaged{s.path, fmt.Sprintf("resource %q: %v", k, err)}
		}
		stored.Resources = append(stored.Resources, r)
		return nil
	})
	return stored, err
}

// save replaces the stored version by the update's.
func (s *store) save(update *distribution.StoreUpdate) (err error) {
	if s.db == nil {
		return s.unusableErr
	}
	defer func() {
		if p := recover(); p != nil {
			err = s.disable(&DiskDamaged{s.path, fmt.Sprint(p)})
		}
	}()
	if err = s.db.Update(func(tx *bbolt.Tx) error { return write(tx, update) }); err != nil {
		return &DiskFailed{s.path, err}
	}
	return nil
}

// write applies an update within a transaction.
func write(tx *bbolt.Tx, update *distribution.StoreUpdate) error {
	if update.Full && tx.Bucket(bucketResources) != nil {
		if err := tx.DeleteBucket(bucketResources); err != nil {
			return err
		}
	}
	resources, err := tx.CreateBucketIfNotExists(bucketResources)
	if err != nil {
		return err
	}
	for _, k := range update.Delete {
		if err = resources.Delete([]byte(k)); err != nil {
			return err
		}
	}
	for _, r := range update.Set {
		if err = putSealed(resources, []byte(r.Key), r); err != nil {
			return err
		}
	}
	headerBucket, err := tx.CreateBucketIfNotExists(bucketHeader)
	if err != nil {
		return err
	}
	return putSealed(headerBucket, keyHeader, header{update.Version, update.Hash, update.Settled, update.PreviousPlans})
}

// putSealed stores a value with its checksum under a key.
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

// seal encodes a value and puts its checksum in front.
func seal(value any) ([]byte, error) {
	b, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return checksum.Seal(b), nil
}

var errChecksum = errors.New("the checksum is wrong")

// unseal verifies the checksum of an encoded value and decodes it.
func unseal(b []byte, value any) error {
	data, ok := checksum.Open(b)
	if !ok {
		return errChecksum
	}
	return json.Unmarshal(data, value)
}
