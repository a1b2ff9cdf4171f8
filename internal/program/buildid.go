package program

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"os"
)

// buildIDSize is the number of bytes of the hash that identify a build.
const buildIDSize = 8

// BuildID returns an identifier of the running program. It is a hash of the executable, so that two builds of one version differ. It
// is empty if the executable can't be read.
func BuildID() string {
	name, err := os.Executable()
	if err != nil {
		return ""
	}
	return BuildIDOf(name)
}

// BuildIDOf returns the identifier of the program in a file, or an empty string if the file can't be read.
func BuildIDOf(name string) string {
	f, err := os.Open(name)
	if err != nil {
		return ""
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return ""
	}
	return hex.EncodeToString(h.Sum(nil)[:buildIDSize])
}
