package history

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"runtime/debug"
	"time"

	bolt "go.etcd.io/bbolt"
	errs "go.etcd.io/bbolt/errors"
)

// Store is a file of rows. It is open only while something is written or read, so that hmhistory can read beside a
// router; each writing is one transaction, so a break leaves the rows before or after it.
type Store struct {
	path    string
	maxRows int64 // rows
}

// NewStore gives a store in a file, bounded to a number of rows.
func NewStore(path string, most int64) *Store { return &Store{path, most} }

// Errors of a store.
var (
	ErrNewer   = errors.New("written by a newer version")
	ErrDamaged = errors.New("damaged")
)

// lockTime is how long another's writing or reading is awaited: a reader of a full file takes a second or two.
const lockTimeout = 5 * time.Second

// opened calls f with the file open. A damaged file gives ErrDamaged, whatever its pages hold.
func (s *Store) withDB(readOnly bool, f func(*bolt.DB) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a truncated file faults where it is mapped
	var db *bolt.DB
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%s: %w: %v", s.path, ErrDamaged, r)
		}
		if db != nil {
			func() {
				defer func() { recover() }() // it is damaged: there is nothing to be saved
				db.Close()
			}()
		}
	}()
	db, err = bolt.Open(s.path, 0o600, &bolt.Options{Timeout: lockTimeout, ReadOnly: readOnly, FreelistType: bolt.FreelistMapType})
	var path *fs.PathError
	switch {
	case err == nil:
	case errors.As(err, &path), errors.Is(err, errs.ErrTimeout): // the folder's fault, or another has it
		return fmt.Errorf("%s: %w", s.path, err)
	default:
		return fmt.Errorf("%s: %w: %v", s.path, ErrDamaged, err)
	}
	return f(db)
}

// Add merges rows of minutes into the file and compacts it, all or nothing.
func (s *Store) Add(rows []Row, now int64) error { return s.AddOnce(rows, now, 0) }

// AddOnce adds rows that were perhaps added before: a writing that failed at its end may stand in the file. The batch's number
// tells, unless it is 0; it is to be tried again before another batch.
func (s *Store) AddOnce(rows []Row, now int64, batch uint64) error {
	return s.withDB(false, func(db *bolt.DB) error {
		return db.Update(func(tx *bolt.Tx) error {
			w, err := beginTransaction(tx)
			if err != nil {
				return err
			}
			if batch != 0 {
				number := binary.BigEndian.AppendUint64(nil, batch)
				meta := w.Bucket(metaBucket)
				if bytes.Equal(meta.Get(batchKey), number) {
					return nil
				}
				if err := meta.Put(batchKey, number); err != nil {
					return err
				}
			}
			for _, r := range rows {
				if err := w.merge(0, r); err != nil {
					return err
				}
			}
			if err := w.compact(now, s.maxRows); err != nil {
				return err
			}
			return w.writeCounts()
		})
	})
}

// Read hands every row of a span of time to a function, level by level from the coarsest, which is oldest, each by time,
// then name. From is in time's beginning, until the first time that is no longer meant.
func (s *Store) Read(from, until int64, each func(level Level, r Row) error) error {
	if _, err := os.Stat(s.path); err != nil {
		return err
	}
	return s.withDB(true, func(db *bolt.DB) error {
		return db.View(func(tx *bolt.Tx) error {
			if err := checkVersion(tx); err != nil {
				return err
			}
			for i := len(Levels) - 1; i >= 0; i-- {
				b := tx.Bucket([]byte(Levels[i].Name))
				if b == nil {
					continue
				}
				c := b.Cursor()
				for k, v := c.Seek(rowKey(max(0, from), Subject{})[:8]); k != nil && int64(binary.BigEndian.Uint64(k)) < until; k, v = c.Next() {
					r, err := readRow(k, v)
					if err != nil {
						return err
					}
					if err := each(Levels[i], r); err != nil {
						return err
					}
				}
			}
			return nil
		})
	})
}
