package modelcheck

import (
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
)

// digestSize is the length of half of a SHA-256: even in a billion states the chance that two have the same by accident is under 1
// in 10^20, and nothing else is done about it.
const digestSize = sha256.Size / 2

func digest(b []byte) [digestSize]byte {
	sum := sha256.Sum256(b)
	return [digestSize]byte(sum[:digestSize])
}

// Key identifies a state: two states of one key are taken for the same. It is a digest of all that the state holds.
type Key [digestSize]byte

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
