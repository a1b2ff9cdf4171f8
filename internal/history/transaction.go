package history

import (
	"bytes"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
)

// transaction is one write to the file. It maintains the number of rows in each level, since counting them would mean reading the whole
// file.
type transaction struct {
	*bolt.Tx
	rowCounts []int64 // by level
}

// beginTransaction creates missing buckets and reads the row counts.
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
			t.rowCounts[i] = int64(binary.BigEndian.Uint64(b))
		}
	}
	return t, nil
}

// writeCounts stores the row counts.
func (t *transaction) writeCounts() error {
	for i, n := range t.rowCounts {
		if err := t.Bucket(metaBucket).Put(rowCountKey(i), binary.BigEndian.AppendUint64(nil, uint64(n))); err != nil {
			return err
		}
	}
	return nil
}

// recordBatch stores a batch's number as that of the last batch. It returns false if that number is already stored.
func (t *transaction) recordBatch(batch uint64) (bool, error) {
	encoded := binary.BigEndian.AppendUint64(nil, batch)
	meta := t.Bucket(metaBucket)
	if bytes.Equal(meta.Get(batchKey), encoded) {
		return false, nil
	}
	return true, meta.Put(batchKey, encoded)
}

// fillPercent is how full a page gets before it is split. It is high because rows are added in the order of their times, so that few rows
// are inserted later.
const fillPercent = 0.9

// merge adds a row's usage to the stored row with the same key, or stores the row if there is none.
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
		t.rowCounts[level]++
	}
	value, err := cbor.Marshal(r.Usage)
	if err != nil {
		return err
	}
	return bucket.Put(key, value)
}

// compact moves rows to coarser levels until no row is before the cutoffs of CompactionCutoffs.
func (t *transaction) compact(now, maxRows int64) error {
	for {
		oldest := make([]int64, len(Levels))
		for i, l := range Levels {
			if key, _ := t.Bucket([]byte(l.Name)).Cursor().First(); len(key) >= timeBytes {
				oldest[i] = keyTime(key)
			}
		}
		moved := false
		for i, cutoff := range CompactionCutoffs(now, t.rowCounts, oldest, maxRows) {
			n, err := t.moveRows(i, cutoff)
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

// moveRows merges a level's rows before the given time into the next level, or drops them from the last level, and returns their number.
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
	t.rowCounts[level] -= int64(len(keys))
	for _, id := range order {
		if err := t.merge(level+1, *sums[id]); err != nil {
			return 0, err
		}
	}
	return len(keys), nil
}
