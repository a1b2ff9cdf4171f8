package program

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"os"
)

// buildIDSize is how many bytes of the hash identify a build.
const buildIDSize = 8

// BuildID identifies the running program by its bytes, so that two builds of one version differ. It is empty if they can't be read.
func BuildID() string {
	name, err := os.Executable()
	if err != nil {
		return ""
	}
	return BuildIDOf(name)
}

// BuildIDOf identifies a program by its file.
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
