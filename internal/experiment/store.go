package experiment

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
)

// Store keeps results in a file, so that an interrupted experiment can be resumed and a completed one extended. The key of
// a result includes its origin: the build and the scenario that it was made with.
type Store struct{ db *bolt.DB }

var resultsBucket = []byte("rows 1") // ends with the version of the format

// lockTimeout is how long Open waits for another process to close the file.
const lockTimeout = time.Second

// Open opens or creates a store. It returns an error if the file is not a store or if another process has it open.
func Open(path string) (*Store, error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	err = db.Update(func(tx *bolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(resultsBucket)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, errors.Join(err, db.Close()))
	}
	return &Store{db}, nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

func trialKey(origin string, t Trial) []byte {
	return fmt.Appendf(nil, "%s\x00%s\x00%s\x00%020d", origin, t.Size, t.Arm, t.Seed)
}

// Put stores a result. When Put returns, the result is on disk.
func (s *Store) Put(origin string, r Result) error {
	b, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bolt.Tx) error { return tx.Bucket(resultsBucket).Put(trialKey(origin, r.Trial), b) })
}

// Get returns a stored result. A result that cannot be decoded counts as missing, so that its trial is run again.
func (s *Store) Get(origin string, t Trial) (r Result, ok bool) {
	s.db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(resultsBucket).Get(trialKey(origin, t))
		ok = b != nil && cbor.Unmarshal(b, &r) == nil && r.Trial == t
		return nil
	})
	return r, ok
}
