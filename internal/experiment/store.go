package experiment

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
)

// Store keeps rows in a file, so that runs add up and resume. Rows of another build, or of a day whose script differs, are other rows.
type Store struct{ db *bolt.DB }

var bucket = []byte("rows 1") // with the format's version

// Open opens or makes a store. An error tells that the file is none, or that another experiment has it open.
func Open(path string) (*Store, error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
	if err == nil {
		err = db.Update(func(tx *bolt.Tx) error { _, err := tx.CreateBucketIfNotExists(bucket); return err })
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Store{db}, nil
}

// Close closes it.
func (s *Store) Close() error { return s.db.Close() }

// key names a row: origin stands for what played it and on which day.
func key(origin string, c Trial) []byte {
	return fmt.Appendf(nil, "%s\x00%s\x00%s\x00%020d", origin, c.Size, c.Arm, c.Seed)
}

// Put keeps a row; it is on disk when this returns.
func (s *Store) Put(origin string, r Result) error {
	b, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucket).Put(key(origin, r.Trial), b) })
}

// Get gives a row. One that can't be read counts as none: its day is played again.
func (s *Store) Get(origin string, c Trial) (r Result, ok bool) {
	s.db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(bucket).Get(key(origin, c))
		ok = b != nil && cbor.Unmarshal(b, &r) == nil && r.Trial == c
		return nil
	})
	return r, ok
}
