package persistence

import (
	"os"
	"path/filepath"
)

// FileSystem is the few calls by which this package touches a folder. Tests replace it by one that fails at any of them, or is
// killed there.
type FileSystem interface {
	List(dir string) ([]string, error) // of what is in a folder, ascending
	Read(path string) ([]byte, error)
	Create(path string) (File, error) // empty, whatever was there
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
}

// File is one that is being written.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// System is the file system of the machine.
type OSFileSystem struct{}

// Names lists a folder.
func (OSFileSystem) List(dir string) ([]string, error) {
	files, err := os.ReadDir(dir)
	names := make([]string, len(files))
	for i, f := range files {
		names[i] = f.Name()
	}
	return names, err
}

// Read gives a file's bytes.
func (OSFileSystem) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Create begins a file.
func (OSFileSystem) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err // not f: a nil *os.File would be a File
	}
	return f, nil
}

// Rename puts a file in another's place.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncFolder brings a folder's names to the disk.
func (OSFileSystem) SyncDir(dir string) error {
	f, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	defer f.Close() // it was only read
	return f.Sync()
}
