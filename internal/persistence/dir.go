package persistence

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// FileStore holds small files by name.
type FileStore interface {
	// Read returns a file's content, or fs.ErrNotExist if there is no such file.
	Read(name string) ([]byte, error)
	// Replace writes a file atomically: after a crash it has either the old or the new content. Store alternates between two files
	// because some disks don't guarantee this and may leave any content.
	Replace(name string, b []byte) error
}

// Dir is a FileStore in a directory of the operating system's file system.
type Dir string

// maxReadBytes is far more than the size of any state file. Without it, a startup would read any large file that has the same name.
const maxReadBytes = 1 << 30

// Read returns a file's content. It refuses files over maxReadBytes and anything that isn't a regular file.
func (d Dir) Read(name string) ([]byte, error) {
	path := filepath.Join(string(d), name)
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxReadBytes || !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s is not a state file", path)
	}
	return os.ReadFile(path)
}

// Replace writes a file, syncs it, renames it into place and syncs the directory.
func (d Dir) Replace(name string, b []byte) error {
	return d.withFileSystem(OSFileSystem{}).Replace(name, b)
}

func (d Dir) withFileSystem(fileSystem FileSystem) dirStore { return dirStore{fileSystem, string(d)} }

// dirStore is a FileStore in a directory of any FileSystem.
type dirStore struct {
	fileSystem FileSystem
	dir        string
}

func (s dirStore) Read(name string) ([]byte, error) {
	return s.fileSystem.Read(filepath.Join(s.dir, name))
}

// temporaryFile is the name under which a file is written before it is renamed. It is always the same, so that crashes and failed
// writes leave at most one such file.
const temporaryFile = "memory-new"

func (s dirStore) Replace(name string, b []byte) error {
	temporary := filepath.Join(s.dir, temporaryFile)
	err := s.write(temporary, b)
	if err == nil {
		err = s.fileSystem.Rename(temporary, filepath.Join(s.dir, name))
	}
	if err != nil {
		s.fileSystem.Remove(temporary) // if this fails, the next write truncates the file
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
