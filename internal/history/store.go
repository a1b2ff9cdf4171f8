package history

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
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

// Version is the format's.
const Version = 1

var (
	metaBucket = []byte("meta")
	versionKey = []byte("version")
	batchKey   = []byte("batch") // the last writing's, where it had one
)

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

func checkVersion(tx *bolt.Tx) error {
	b := tx.Bucket(metaBucket)
	if b == nil {
		return fmt.Errorf("%w: no history", ErrDamaged)
	}
	if v := b.Get(versionKey); len(v) != 4 || binary.BigEndian.Uint32(v) > Version {
		return ErrNewer
	}
	return nil
}

// rowKey is a row's place: time, then function and tenant.
func rowKey(at int64, w Subject) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(at))
	b = append(b, w.Function...)
	b = append(b, 0)
	return append(b, w.Tenant...)
}

func readRow(k, v []byte) (r Row, err error) {
	if len(k) < 9 {
		return r, ErrDamaged
	}
	i := bytes.LastIndexByte(k[8:], 0) // tenants' names are from settings and hold none
	if i < 0 {
		return r, ErrDamaged
	}
	r.At, r.Subject = int64(binary.BigEndian.Uint64(k)), Subject{string(k[8 : 8+i]), string(k[9+i:])}
	if err := cbor.Unmarshal(v, &r.Usage); err != nil {
		return r, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	return r, nil
}

// writing is one transaction, with how many rows each level holds: to count them would read the whole file.
type transaction struct {
	*bolt.Tx
	rows []int64
}

func countKey(level int) []byte { return []byte("rows " + Levels[level].Name) }

// begin makes what a file lacks and reads the counts.
func beginTransaction(tx *bolt.Tx) (*transaction, error) {
	w := &transaction{tx, make([]int64, len(Levels))}
	meta := tx.Bucket(metaBucket)
	if meta == nil {
		var err error
		if meta, err = tx.CreateBucket(metaBucket); err != nil {
			return nil, err
		}
		if err := meta.Put(versionKey, binary.BigEndian.AppendUint32(nil, Version)); err != nil {
			return nil, err
		}
	} else if err := checkVersion(tx); err != nil {
		return nil, err
	}
	for i, l := range Levels {
		if _, err := tx.CreateBucketIfNotExists([]byte(l.Name)); err != nil {
			return nil, err
		}
		if b := meta.Get(countKey(i)); len(b) == 8 {
			w.rows[i] = int64(binary.BigEndian.Uint64(b))
		}
	}
	return w, nil
}

// end writes the counts.
func (w *transaction) writeCounts() error {
	for i, n := range w.rows {
		if err := w.Bucket(metaBucket).Put(countKey(i), binary.BigEndian.AppendUint64(nil, uint64(n))); err != nil {
			return err
		}
	}
	return nil
}

// merge adds a row to what stands in its place.
func (w *transaction) merge(level int, r Row) error {
	b := w.Bucket([]byte(Levels[level].Name))
	b.FillPercent = 0.9 // rows come by time, so pages are filled from the front
	k := rowKey(r.At, r.Subject)
	if was := b.Get(k); was != nil {
		old, err := readRow(k, was)
		if err != nil {
			return err
		}
		old.Merge(r.Usage)
		r.Usage = old.Usage
	} else {
		w.rows[level]++
	}
	v, err := cbor.Marshal(r.Usage)
	if err != nil {
		return err
	}
	return b.Put(k, v)
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

// compact moves rows up the levels as Horizons decides, until no more need to go.
func (w *transaction) compact(now, most int64) error {
	for {
		oldest := make([]int64, len(Levels))
		for i, l := range Levels {
			if k, _ := w.Bucket([]byte(l.Name)).Cursor().First(); len(k) >= 8 {
				oldest[i] = int64(binary.BigEndian.Uint64(k))
			}
		}
		moved := false
		for i, until := range Horizons(now, w.rows, oldest, most) {
			n, err := w.moveRows(i, until)
			if err != nil {
				return err
			}
			moved = moved || n > 0
		}
		if !moved {
			return nil
		}
	}
}

// move merges a level's rows of before a time into the next level; the last one's are dropped.
func (w *transaction) moveRows(level int, until int64) (moved int, err error) {
	b := w.Bucket([]byte(Levels[level].Name))
	c := b.Cursor()
	var keys [][]byte
	sums := map[rowID]*Row{}
	var order []rowID
	for k, v := c.First(); len(k) >= 8 && int64(binary.BigEndian.Uint64(k)) < until; k, v = c.Next() {
		keys = append(keys, bytes.Clone(k))
		if level+1 == len(Levels) {
			continue
		}
		r, err := readRow(k, v)
		if err != nil {
			return 0, err
		}
		span := Levels[level+1].Span
		at := rowID{r.At / span * span, r.Subject}
		if sums[at] == nil {
			sums[at] = &Row{At: at.at, Subject: r.Subject}
			order = append(order, at)
		}
		sums[at].Merge(r.Usage)
	}
	for _, k := range keys {
		if err := b.Delete(k); err != nil {
			return 0, err
		}
	}
	w.rows[level] -= int64(len(keys))
	for _, at := range order {
		if err := w.merge(level+1, *sums[at]); err != nil {
			return 0, err
		}
	}
	return len(keys), nil
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

// half is the size under which a file never held a row: that of its four first pages, the least that a system has.
const maxEmptyFile = 4*4096 + 1

// Aside moves a file that is damaged out of the way, so that a new one can begin; it is kept for whoever may mend it, but not
// one that was only half begun, nor more than one a day: a disk that fails for long fills with none.
func (s *Store) Quarantine(now int64) error {
	others, err := filepath.Glob(s.path + ".damaged-*")
	if err != nil {
		return err
	}
	lately := slices.ContainsFunc(others, func(name string) bool {
		at, err := strconv.ParseInt(name[strings.LastIndexByte(name, '-')+1:], 10, 64)
		return err == nil && now-at < Day
	})
	if info, statErr := os.Stat(s.path); lately || statErr == nil && info.Size() < maxEmptyFile {
		err = os.Remove(s.path)
	} else {
		err = os.Rename(s.path, fmt.Sprintf("%s.damaged-%d", s.path, now))
	}
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}
