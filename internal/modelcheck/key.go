package modelcheck

import (
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
)

// digestSize is the length of a digest: half of a SHA-256. Collisions are not handled: with a billion states, the
// probability that any two share a digest is below 1 in 10^20.
const digestSize = sha256.Size / 2

func digest(b []byte) [digestSize]byte {
	sum := sha256.Sum256(b)
	return [digestSize]byte(sum[:digestSize])
}

// Key identifies a state: states with equal keys are considered equal. It is a digest of the complete state.
type Key [digestSize]byte

// Key returns the key of s.
func (s *State) Key() Key {
	b, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // cannot happen: a State holds only plain values
	}
	for _, r := range s.Routers {
		b = append(b, r.digest[:]...)
	}
	return digest(b)
}
