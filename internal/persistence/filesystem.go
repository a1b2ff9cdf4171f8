package persistence

import (
	"os"
	"path/filepath"
)

// FileSystem is the file system interface of this package. Tests use an implementation in which any call can fail or be the last one
// before a crash.
type FileSystem interface {
	List(dir string) ([]string, error) // file names in a directory, ascending
	Read(path string) ([]byte, error)
	Create(path string) (File, error) // opens for writing; an existing file is truncated
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error // makes creations, renames and removals in a directory durable
}

// File is a file opened for writing.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// OSFileSystem is the FileSystem of the operating system.
type OSFileSystem struct{}

// List returns the file names in a directory, ascending.
func (OSFileSystem) List(dir string) ([]string, error) {
	files, err := os.ReadDir(dir)
	names := make([]string, len(files))
	for i, f := range files {
		names[i] = f.Name()
	}
	return names, err
}

// Read returns a file's content.
func (OSFileSystem) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Create opens a file for writing and truncates it.
func (OSFileSystem) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err // a nil *os.File returned as a File would not compare equal to nil
	}
	return f, nil
}

// Rename renames a file, replacing any file of the new name.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncDir makes creations, renames and removals in a directory durable.
func (OSFileSystem) SyncDir(dir string) error {
	f, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	defer f.Close() // the error doesn't matter: nothing was written through f
	return f.Sync()
}
