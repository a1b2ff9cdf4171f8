package program

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"os"
)

// Build identifies the program by its own bytes, so that two builds of one version can be told apart; empty where they
// can't be read.
func BuildID() string {
	name, err := os.Executable()
	if err != nil {
		return ""
	}
	return BuildIDOf(name)
}

// BuildOf is the same of another program.
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
	return hex.EncodeToString(h.Sum(nil)[:8])
}
