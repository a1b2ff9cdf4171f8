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

// Store keeps rows in a file. The file is open only during a read or write, so that hmhistory can read it while a router is running. Each
// write is one transaction, so that a crash leaves either all or none of its rows.
type Store struct {
	path    string
	maxRows int64
}

// NewStore returns a store that keeps at most maxRows rows in a file.
func NewStore(path string, maxRows int64) *Store { return &Store{path, maxRows} }

// Errors of a store.
var (
	ErrNewerVersion = errors.New("written by a newer version")
	ErrCorrupt      = errors.New("damaged")
)

// lockTimeout is how long a store waits while another process has the file open. Reading a full file takes one to two seconds.
const lockTimeout = 5 * time.Second

// access is the mode in which a file is opened.
type access int

const (
	readWrite access = iota
	readOnly
)

// withDB opens the file and calls f. Any panic or error caused by corrupt content is returned as ErrCorrupt.
func (s *Store) withDB(mode access, f func(*bolt.DB) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // accessing the mapping of a truncated file causes a fault
	var db *bolt.DB
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%s: %w: %v", s.path, ErrCorrupt, r)
		}
		if db != nil {
			func() {
				defer func() { recover() }() // the file is corrupt, so nothing can be lost
				db.Close()
			}()
		}
	}()
	db, err = bolt.Open(s.path, 0o600, &bolt.Options{Timeout: lockTimeout, ReadOnly: mode == readOnly, FreelistType: bolt.FreelistMapType})
	var pathError *fs.PathError
	switch {
	case err == nil:
	case errors.As(err, &pathError), errors.Is(err, errs.ErrTimeout): // a file system error, or another process has the file open
		return fmt.Errorf("%s: %w", s.path, err)
	default:
		return fmt.Errorf("%s: %w: %v", s.path, ErrCorrupt, err)
	}
	return f(db)
}

// noBatch is the number of a batch that is not checked for duplicates.
const noBatch = 0

// Add merges rows of the minute level into the file and compacts it, in one transaction.
func (s *Store) Add(rows []Row, now int64) error { return s.AddOnce(rows, now, noBatch) }

// AddOnce is like Add, but does nothing if the last batch added had the same number. Use it to retry a batch: a write that returned an
// error may nevertheless have been committed. A failed batch must be retried before another batch is added. If the number is 0, the rows
// are always added.
func (s *Store) AddOnce(rows []Row, now int64, batch uint64) error {
	return s.withDB(readWrite, func(db *bolt.DB) error {
		return db.Update(func(tx *bolt.Tx) error {
			t, err := beginTransaction(tx)
			if err != nil {
				return err
			}
			if batch != noBatch {
				if isNew, err := t.recordBatch(batch); err != nil || !isNew {
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

// Read calls fn with each row whose time is at least from and before until (in microseconds since 1970). It reads the coarsest level, which
// is the oldest, first, and each level by time, function and tenant. If fn returns an error, Read stops and returns it.
func (s *Store) Read(from, until int64, fn func(Level, Row) error) error {
	if _, err := os.Stat(s.path); err != nil {
		return err
	}
	return s.withDB(readOnly, func(db *bolt.DB) error {
		return db.View(func(tx *bolt.Tx) error {
			if err := checkVersion(tx); err != nil {
				return err
			}
			for i := len(Levels) - 1; i >= 0; i-- {
				if err := readLevel(tx, Levels[i], from, until, fn); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

// readLevel calls fn with the rows of one level whose time is at least from and before until.
func readLevel(tx *bolt.Tx, l Level, from, until int64, fn func(Level, Row) error) error {
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
		if err := fn(l, r); err != nil {
			return err
		}
	}
	return nil
}
