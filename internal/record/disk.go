package record

import (
	"os"
)

// file is the file of a segment, open for writing.
type file interface {
	Write(b []byte) (int, error)
	Close() error
}

// disk is the file system interface that a recording needs. Tests use one that fails.
type disk interface {
	MakeDir(dir string) error
	Create(name string, flags int) (file, error) // opens for writing; flags is os.O_EXCL or os.O_TRUNC
}

// osDisk is the operating system's file system.
type osDisk struct{}

func (osDisk) MakeDir(dir string) error { return os.MkdirAll(dir, 0o700) }

func (osDisk) Create(name string, flags int) (file, error) {
	f, err := os.OpenFile(name, flags|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err // a nil *os.File returned as a file would not compare equal to nil
	}
	return f, nil
}
