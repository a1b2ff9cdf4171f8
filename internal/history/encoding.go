package history

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
)

// Version is the version of the file format. Newer files are rejected.
const Version = 1

// A file has a bucket for each level, with the level's name, and a bucket for the following metadata.
var (
	metaBucket = []byte("meta")
	versionKey = []byte("version")
	batchKey   = []byte("batch") // number of the last batch added with a number
)

// rowCountKey is the key in metaBucket of the number of rows in a level.
func rowCountKey(level int) []byte { return []byte("rows " + Levels[level].Name) }

func checkVersion(tx *bolt.Tx) error {
	meta := tx.Bucket(metaBucket)
	if meta == nil {
		return fmt.Errorf("%w: not a history file", ErrCorrupt)
	}
	if v := meta.Get(versionKey); len(v) != 4 || binary.BigEndian.Uint32(v) > Version {
		return ErrNewerVersion
	}
	return nil
}

// timeBytes is the length of the time at the beginning of a row's key.
const timeBytes = 8

// timeKey is the prefix of the keys of all rows with the given time.
func timeKey(at int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(at)) }

// keyTime returns the time in a row's key.
func keyTime(key []byte) int64 { return int64(binary.BigEndian.Uint64(key)) }

// rowKey is a row's key: its time, function and tenant, with a zero byte between the last two.
func rowKey(at int64, s Subject) []byte {
	b := append(timeKey(at), s.Function...)
	b = append(b, 0)
	return append(b, s.Tenant...)
}

// readRow decodes a row from its key and its CBOR value. The error is ErrCorrupt or wraps it.
func readRow(key, value []byte) (r Row, err error) {
	if len(key) <= timeBytes {
		return r, ErrCorrupt
	}
	names := key[timeBytes:]
	i := bytes.LastIndexByte(names, 0) // a function's name may contain a zero byte; a tenant's, which comes from the settings, doesn't
	if i < 0 {
		return r, ErrCorrupt
	}
	r.At, r.Subject = keyTime(key), Subject{string(names[:i]), string(names[i+1:])}
	if err := cbor.Unmarshal(value, &r.Usage); err != nil {
		return r, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	return r, nil
}
