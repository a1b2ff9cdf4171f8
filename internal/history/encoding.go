package history

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
)

// Version is the file's format. A newer file is refused.
const Version = 1

// A file has a bucket for each level, named after it, and one for what follows.
var (
	metaBucket = []byte("meta")
	versionKey = []byte("version")
	batchKey   = []byte("batch") // number of the last batch that had one
)

// rowCountKey is the key in metaBucket of how many rows a level holds.
func rowCountKey(level int) []byte { return []byte("rows " + Levels[level].Name) }

func checkVersion(tx *bolt.Tx) error {
	meta := tx.Bucket(metaBucket)
	if meta == nil {
		return fmt.Errorf("%w: no history", ErrCorrupt)
	}
	if v := meta.Get(versionKey); len(v) != 4 || binary.BigEndian.Uint32(v) > Version {
		return ErrNewerVersion
	}
	return nil
}

// timeBytes is how many bytes of a row's key are its time.
const timeBytes = 8

// timeKey is the beginning of the keys of all rows of a time.
func timeKey(at int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(at)) }

// keyTime returns the time in a row's key.
func keyTime(key []byte) int64 { return int64(binary.BigEndian.Uint64(key)) }

// rowKey is a row's key: its time, then function and tenant with a zero between them.
func rowKey(at int64, s Subject) []byte {
	b := append(timeKey(at), s.Function...)
	b = append(b, 0)
	return append(b, s.Tenant...)
}

func readRow(key, value []byte) (r Row, err error) {
	if len(key) <= timeBytes {
		return r, ErrCorrupt
	}
	names := key[timeBytes:]
	i := bytes.LastIndexByte(names, 0) // a function's name may hold a zero, a tenant's, which is from the settings, doesn't
	if i < 0 {
		return r, ErrCorrupt
	}
	r.At, r.Subject = keyTime(key), Subject{string(names[:i]), string(names[i+1:])}
	if err := cbor.Unmarshal(value, &r.Usage); err != nil {
		return r, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	return r, nil
}
