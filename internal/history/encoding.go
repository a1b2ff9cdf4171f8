package history

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
)

// Version is the format's.
const Version = 1

var (
	metaBucket = []byte("meta")
	versionKey = []byte("version")
	batchKey   = []byte("batch") // the last writing's, where it had one
)

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
