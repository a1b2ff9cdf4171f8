package history

import (
	"bytes"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
)

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
