package record

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// KeyedHash hashes a text, such as a name or a client's id. With a key it is an HMAC, so that nobody without the key can check a guess against
// it.
func KeyedHash(key, text string) uint64 {
	if key == "" {
		return xxhash.Sum64String(text)
	}
	h := hmac.New(sha256.New, []byte(key))
	h.Write([]byte(text))
	return binary.BigEndian.Uint64(h.Sum(nil))
}
