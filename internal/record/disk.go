package record

import (
	"os"
)

// file is a segment's file.
type file interface {
	Write(b []byte) (int, error)
	Close() error
}

// disk is what a recording needs of a file system. Tests have one that fails.
type disk interface {
	MakeDir(dir string) error
	Create(name string, flags int) (file, error) // for writing; flags are os.O_EXCL or os.O_TRUNC
}

// osDisk is the machine's file system.
type osDisk struct{}

func (osDisk) MakeDir(dir string) error { return os.MkdirAll(dir, 0o700) }

func (osDisk) Create(name string, flags int) (file, error) {
	f, err := os.OpenFile(name, flags|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err // not f: a nil *os.File in an interface is not nil
	}
	return f, nil
}
