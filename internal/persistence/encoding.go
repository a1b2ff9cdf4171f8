package persistence

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// A state file is the magic, a header of three big-endian words (version, length of the payload, checksum), and the payload.
const (
	magic       = "hollymast memory\n"
	headerBytes = 12
)

// Version is the state file's format. A newer file is left alone, an older one is read. Format 1 has more fields, which are ignored.
const Version = 2

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum is the CRC-32C of the header's version and length, and of the payload.
func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:8], castagnoli), castagnoli, payload)
}

// Encode returns the bytes of a state file. The payload is CBOR.
func Encode(state *State) ([]byte, error) {
	payload, err := cbor.Marshal(state)
	if err != nil {
		return nil, err
	}
	b := append([]byte(magic), make([]byte, headerBytes)...)
	header := b[len(magic):]
	binary.BigEndian.PutUint32(header, Version)
	binary.BigEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(header[8:], checksum(header, payload))
	return append(b, payload...), nil
}

// decodeMode limits what a file can make a reader allocate: to many times the largest fleet and number of names that a gateway keeps.
var decodeMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 10, MaxNestedLevels: 8}.DecMode()

// Decode reads a state file's bytes. The state returned is complete and its values are within their ranges; else the error is
// ErrNewer or ErrDamaged.
func Decode(b []byte) (*State, error) {
	if len(b) < len(magic)+headerBytes || string(b[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: not a state file", ErrCorrupt)
	}
	header, payload := b[len(magic):len(magic)+headerBytes], b[len(magic)+headerBytes:]
	if uint64(binary.BigEndian.Uint32(header[4:])) != uint64(len(payload)) ||
		binary.BigEndian.Uint32(header[8:]) != checksum(header, payload) {
		return nil, ErrCorrupt
	}
	if v := binary.BigEndian.Uint32(header); v > Version { // the header is the same in all versions
		return nil, fmt.Errorf("%w: format %d, known up to %d", ErrNewerVersion, v, Version)
	}
	state := &State{}
	if err := decodeMode.Unmarshal(payload, state); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	if err := validate(state.Learned); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	return state, nil
}
