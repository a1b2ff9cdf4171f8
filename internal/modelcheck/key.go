package modelcheck

import (
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
)

// digestBytes is the length of half of a SHA-256: even in a billion states the chance that two have the same by accident is under 1
// in 10^20, and nothing else is done about it.
const digestBytes = sha256.Size / 2

func digest(b []byte) [digestBytes]byte {
	sum := sha256.Sum256(b)
	return [digestBytes]byte(sum[:digestBytes])
}

// Key identifies a state: two states of one key are taken for the same. It is a digest of all that the state holds.
type Key [digestBytes]byte

// Key returns the state's key.
func (s *State) Key() Key {
	b, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // plain values
	}
	for _, r := range s.Routers {
		b = append(b, r.digest[:]...)
	}
	return digest(b)
}
