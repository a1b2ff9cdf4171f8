package record

import (
	"os"
)

// file is a segment's.
type file interface {
	Write(b []byte) (int, error)
	Close() error
}

// disk is what a recording needs of a file system; tests have one that fails.
type disk interface {
	MakeDir(dir string) error
	Create(name string, flags int) (file, error)
}

type osDisk struct{}

func (osDisk) MakeDir(dir string) error { return os.MkdirAll(dir, 0o700) }

func (osDisk) Create(name string, flags int) (file, error) {
	f, err := os.OpenFile(name, flags|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err // not f: a nil *os.File would be a file
	}
	return f, nil
}
