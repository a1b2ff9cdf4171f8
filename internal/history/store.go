package history

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"runtime/debug"
	"time"

	bolt "go.etcd.io/bbolt"
	errs "go.etcd.io/bbolt/errors"
)

// Store is a file of rows. It is open only while something is written or read, so that hmhistory can read beside a router. Each write is
// one transaction, so that a crash leaves the rows of before or after it.
type Store struct {
	path    string
	maxRows int64
}

// NewStore returns a store in a file that holds no more than a number of rows.
func NewStore(path string, maxRows int64) *Store { return &Store{path, maxRows} }

// Errors of a store.
var (
	ErrNewerVersion = errors.New("written by a newer version")
	ErrCorrupt      = errors.New("damaged")
)

// lockTimeout is how long a store waits while another process has the file open: reading a full file takes a second or two.
const lockTimeout = 5 * time.Second

// access is what a file is opened for.
type access int

const (
	readWrite access = iota
	readOnly
)

// withDB calls f with the file open. A damaged file is ErrDamaged, whatever its pages hold.
func (s *Store) withDB(a access, f func(*bolt.DB) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a truncated file faults where it is mapped
	var db *bolt.DB
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%s: %w: %v", s.path, ErrCorrupt, r)
		}
		if db != nil {
			func() {
				defer func() { recover() }() // the file is damaged: there is nothing to be saved
				db.Close()
			}()
		}
	}()
	db, err = bolt.Open(s.path, 0o600, &bolt.Options{Timeout: lockTimeout, ReadOnly: a == readOnly, FreelistType: bolt.FreelistMapType})
	var path *fs.PathError
	switch {
	case err == nil:
	case errors.As(err, &path), errors.Is(err, errs.ErrTimeout): // it is the directory's fault, or another process has the file open
		return fmt.Errorf("%s: %w", s.path, err)
	default:
		return fmt.Errorf("%s: %w: %v", s.path, ErrCorrupt, err)
	}
	return f(db)
}

// noBatch is the number of a batch that is not known to be added twice.
const noBatch = 0

// Add merges rows of minutes into the file and compacts it, all or nothing.
func (s *Store) Add(rows []Row, now int64) error { return s.AddOnce(rows, now, noBatch) }

// AddOnce is Add for a batch that may be in the file already, since a write that failed at its end may have been made. It does nothing
// if the last batch had the same number. So a batch that failed is to be added again before another. With number 0 it is Add.
func (s *Store) AddOnce(rows []Row, now int64, batch uint64) error {
	return s.withDB(readWrite, func(db *bolt.DB) error {
		return db.Update(func(tx *bolt.Tx) error {
			t, err := beginTransaction(tx)
			if err != nil {
				return err
			}
			if batch != noBatch {
				if isNew, err := t.claimBatch(batch); err != nil || !isNew {
					return err
				}
			}
			for _, r := range rows {
				if err := t.merge(0, r); err != nil {
					return err
				}
			}
			if err := t.compact(now, s.maxRows); err != nil {
				return err
			}
			return t.writeCounts()
		})
	})
}

// Read calls a function with every row from a time until before another (microseconds since 1970), level by level from the coarsest,
// which is the oldest, and within a level by time, then name. An error of the function ends it and is returned.
func (s *Store) Read(from, until int64, each func(Level, Row) error) error {
	if _, err := os.Stat(s.path); err != nil {
		return err
	}
	return s.withDB(readOnly, func(db *bolt.DB) error {
		return db.View(func(tx *bolt.Tx) error {
			if err := checkVersion(tx); err != nil {
				return err
			}
			for i := len(Levels) - 1; i >= 0; i-- {
				if err := readLevel(tx, Levels[i], from, until, each); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

func readLevel(tx *bolt.Tx, l Level, from, until int64, each func(Level, Row) error) error {
	bucket := tx.Bucket([]byte(l.Name))
	if bucket == nil {
		return nil
	}
	cursor := bucket.Cursor()
	for key, value := cursor.Seek(timeKey(max(0, from))); key != nil && keyTime(key) < until; key, value = cursor.Next() {
		r, err := readRow(key, value)
		if err != nil {
			return err
		}
		if err := each(l, r); err != nil {
			return err
		}
	}
	return nil
}
