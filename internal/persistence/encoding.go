package persistence

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

const magic = "hollymast memory\n"

// Version is the format's. Newer files are left alone; older ones are read. Format 1 held more, which is
// passed over.
const Version = 2

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode gives a file's bytes: magic, version, length and CRC-32C of the payload (four bytes each, big-endian), payload
// (CBOR). The checksum covers version and length too.
func Encode(k *State) ([]byte, error) {
	payload, err := cbor.Marshal(k)
	if err != nil {
		return nil, err
	}
	b := append([]byte(magic), make([]byte, 12)...)
	head := b[len(magic):]
	binary.BigEndian.PutUint32(head, Version)
	binary.BigEndian.PutUint32(head[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(head[8:], crc32.Update(crc32.Checksum(head[:8], castagnoli), castagnoli, payload))
	return append(b, payload...), nil
}

// limits of what a file may make a reader allocate: many times the largest fleet and names that a router keeps.
var decodeMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 10, MaxNestedLevels: 8}.DecMode()

// Decode reads a file's bytes. What it gives is whole and within its ranges; else the error is ErrNewer or ErrDamaged.
func Decode(b []byte) (*State, error) {
	if len(b) < len(magic)+12 || string(b[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: no memory of a router", ErrDamaged)
	}
	head, payload := b[len(magic):len(magic)+12], b[len(magic)+12:]
	if uint64(binary.BigEndian.Uint32(head[4:])) != uint64(len(payload)) ||
		binary.BigEndian.Uint32(head[8:]) != crc32.Update(crc32.Checksum(head[:8], castagnoli), castagnoli, payload) {
		return nil, ErrDamaged
	}
	if v := binary.BigEndian.Uint32(head); v > Version { // this head is the same in all versions
		return nil, fmt.Errorf("%w: format %d, known up to %d", ErrNewer, v, Version)
	}
	k := &State{}
	if err := decodeMode.Unmarshal(payload, k); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	if err := validate(k.Learned); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	return k, nil
}
