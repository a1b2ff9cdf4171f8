package persistence

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// FileStore holds small files by name.
type FileStore interface {
	// Read returns a file's bytes; the error is fs.ErrNotExist where there is none.
	Read(name string) ([]byte, error)
	// Replace writes a file. After a crash the file is the old one or the new one. On a disk that is worse than that it may hold
	// anything, which is why Store alternates between two files.
	Replace(name string, b []byte) error
}

// Dir is a FileStore in a directory of the machine's file system.
type Dir string

// maxFileRead bounds what a foreign file of our name makes a start read: far more than any state file has.
const maxFileRead = 1 << 30

// Read returns a file's bytes. What is longer than any file that we write, or is no regular file, is refused.
func (d Dir) Read(name string) ([]byte, error) {
	path := filepath.Join(string(d), name)
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileRead || !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s is not a state file", path)
	}
	return os.ReadFile(path)
}

// Replace writes a file, syncs it, renames it into place and syncs the directory.
func (d Dir) Replace(name string, b []byte) error {
	return d.withFileSystem(OSFileSystem{}).Replace(name, b)
}

func (d Dir) withFileSystem(fileSystem FileSystem) dirStore { return dirStore{fileSystem, string(d)} }

// dirStore is a FileStore in a directory of any file system.
type dirStore struct {
	fileSystem FileSystem
	dir        string
}

func (s dirStore) Read(name string) ([]byte, error) {
	return s.fileSystem.Read(filepath.Join(s.dir, name))
}

// temporaryFile is a file's name until it is complete. It is always the same, so that crashes and failing writes leave one at most.
const temporaryFile = "memory-new"

func (s dirStore) Replace(name string, b []byte) error {
	temporary := filepath.Join(s.dir, temporaryFile)
	err := s.write(temporary, b)
	if err == nil {
		err = s.fileSystem.Rename(temporary, filepath.Join(s.dir, name))
	}
	if err != nil {
		s.fileSystem.Remove(temporary) // or the next write truncates it
		return err
	}
	return s.fileSystem.SyncDir(s.dir)
}

func (s dirStore) write(path string, b []byte) error {
	file, err := s.fileSystem.Create(path)
	if err != nil {
		return err
	}
	if _, err = file.Write(b); err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}
