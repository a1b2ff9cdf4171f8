package persistence

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
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

// passing are the errors of a folder that may be over in a moment. What others tell is how it was set up.
var transientErrors = []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE, syscall.EINTR,
	syscall.ETIMEDOUT, syscall.ESTALE}

// Passing tells whether an error may be over in a moment.
func IsTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(e syscall.Errno) bool { return errors.Is(err, e) })
}

// startTries is how often a start tries what fails for a moment: with a pause that doubles from 5 ms, 0.6 s in all, a small part of
// what a router may take to be ready.
const startAttempts = 8

// Patiently calls f until it gives no error that may be over in a moment, and so often at most.
func RetryTransient(pause time.Duration, f func() error) (err error) {
	for i := range startAttempts {
		if err = f(); !IsTransient(err) || i+1 == startAttempts {
			break
		}
		time.Sleep(pause)
		pause *= 2
	}
	return err
}
