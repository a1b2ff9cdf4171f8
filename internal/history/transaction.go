package history

import (
	"bytes"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
)

// transaction is one write to the file. It carries how many rows each level holds, since counting them would read the whole file.
type transaction struct {
	*bolt.Tx
	rows []int64
}

// beginTransaction creates the buckets that a file lacks and reads the counts.
func beginTransaction(tx *bolt.Tx) (*transaction, error) {
	t := &transaction{tx, make([]int64, len(Levels))}
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
		if b := meta.Get(rowCountKey(i)); len(b) == 8 {
			t.rows[i] = int64(binary.BigEndian.Uint64(b))
		}
	}
	return t, nil
}

// writeCounts writes the counts back.
func (t *transaction) writeCounts() error {
	for i, n := range t.rows {
		if err := t.Bucket(metaBucket).Put(rowCountKey(i), binary.BigEndian.AppendUint64(nil, uint64(n))); err != nil {
			return err
		}
	}
	return nil
}

// claimBatch notes a batch's number as that of the last one; it reports false if it is already.
func (t *transaction) claimBatch(batch uint64) (bool, error) {
	number := binary.BigEndian.AppendUint64(nil, batch)
	meta := t.Bucket(metaBucket)
	if bytes.Equal(meta.Get(batchKey), number) {
		return false, nil
	}
	return true, meta.Put(batchKey, number)
}

// fillPercent is how full pages are made before they are split: rows come in the order of time, so little is inserted later.
const fillPercent = 0.9

// merge adds a row to the one with its key.
func (t *transaction) merge(level int, r Row) error {
	bucket := t.Bucket([]byte(Levels[level].Name))
	bucket.FillPercent = fillPercent
	key := rowKey(r.At, r.Subject)
	if stored := bucket.Get(key); stored != nil {
		old, err := readRow(key, stored)
		if err != nil {
			return err
		}
		old.Merge(r.Usage)
		r.Usage = old.Usage
	} else {
		t.rows[level]++
	}
	value, err := cbor.Marshal(r.Usage)
	if err != nil {
		return err
	}
	return bucket.Put(key, value)
}

// compact moves rows to coarser levels as Horizons decides, until none is left to be moved.
func (t *transaction) compact(now, maxRows int64) error {
	for {
		oldest := make([]int64, len(Levels))
		for i, l := range Levels {
			if key, _ := t.Bucket([]byte(l.Name)).Cursor().First(); len(key) >= timeBytes {
				oldest[i] = keyTime(key)
			}
		}
		moved := false
		for i, horizon := range CompactionCutoffs(now, t.rows, oldest, maxRows) {
			n, err := t.moveRows(i, horizon)
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

// moveRows merges a level's rows of before a time into the next level, and returns their number. Those of the last level are dropped.
func (t *transaction) moveRows(level int, before int64) (moved int, err error) {
	bucket := t.Bucket([]byte(Levels[level].Name))
	cursor := bucket.Cursor()
	var keys [][]byte
	sums := map[rowID]*Row{}
	var order []rowID
	for key, value := cursor.First(); len(key) >= timeBytes && keyTime(key) < before; key, value = cursor.Next() {
		keys = append(keys, bytes.Clone(key))
		if level+1 == len(Levels) {
			continue
		}
		r, err := readRow(key, value)
		if err != nil {
			return 0, err
		}
		span := Levels[level+1].Span
		id := rowID{r.At / span * span, r.Subject}
		if sums[id] == nil {
			sums[id] = &Row{At: id.at, Subject: r.Subject}
			order = append(order, id)
		}
		sums[id].Merge(r.Usage)
	}
	for _, key := range keys {
		if err := bucket.Delete(key); err != nil {
			return 0, err
		}
	}
	t.rows[level] -= int64(len(keys))
	for _, id := range order {
		if err := t.merge(level+1, *sums[id]); err != nil {
			return 0, err
		}
	}
	return len(keys), nil
}
