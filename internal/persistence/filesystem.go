package persistence

import (
	"os"
	"path/filepath"
)

// FileSystem is what this package needs of a file system. Tests replace it by one in which any call fails or is the last one before
// a crash.
type FileSystem interface {
	List(dir string) ([]string, error) // names in a directory, ascending
	Read(path string) ([]byte, error)
	Create(path string) (File, error) // for writing; a file that is there is truncated
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error // makes the names in a directory durable
}

// File is a file that is open for writing.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// OSFileSystem is the machine's FileSystem.
type OSFileSystem struct{}

// List returns the names in a directory, ascending.
func (OSFileSystem) List(dir string) ([]string, error) {
	files, err := os.ReadDir(dir)
	names := make([]string, len(files))
	for i, f := range files {
		names[i] = f.Name()
	}
	return names, err
}

// Read returns a file's bytes.
func (OSFileSystem) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Create opens a file for writing, empty.
func (OSFileSystem) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err // not f: a nil *os.File in an interface is not nil
	}
	return f, nil
}

// Rename replaces a file by another.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncDir makes the names in a directory durable.
func (OSFileSystem) SyncDir(dir string) error {
	f, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	defer f.Close() // it was only read
	return f.Sync()
}
