package persistence

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// A state file consists of the magic, a header of three big-endian 32-bit words (version, payload length, checksum) and the payload.
const (
	magic       = "hollymast memory\n"
	headerBytes = 12
)

// Version is the version of the state file's format. Newer files are left unchanged, older ones are read. Format 1 has additional
// fields, which are ignored.
const Version = 2

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum is the CRC-32C of the version and length in the header, followed by the payload.
func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:8], castagnoli), castagnoli, payload)
}

// Encode returns the content of a state file. The payload is CBOR.
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

// decodeMode limits how much memory a corrupt file can make a reader allocate. The limits are many times the largest fleet and the
// number of names that a gateway stores.
var decodeMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 10, MaxNestedLevels: 8}.DecMode()

// Decode decodes the content of a state file and checks that all values are in range. The error is ErrNewerVersion or ErrCorrupt.
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
