package persistence

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// Disk is a folder of small files.
type FileStore interface {
	Read(name string) ([]byte, error) // fs.ErrNotExist where there is none
	// Replace writes a file so that after a break it is the old or the new one, or, where the disk is worse than that,
	// anything: the other generation is then whole.
	Replace(name string, b []byte) error
}

// Folder is a folder of the file system.
type Dir string

// Read gives a file's bytes. Longer ones than any that we write are refused.
func (f Dir) Read(name string) ([]byte, error) {
	const most = 1 << 30
	path := filepath.Join(string(f), name)
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > most || !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s is no file of ours", path)
	}
	return os.ReadFile(path)
}

// Replace writes a file, syncs it, renames it into place and syncs the folder.
func (f Dir) Replace(name string, b []byte) error {
	return f.withFileSystem(OSFileSystem{}).Replace(name, b)
}

func (f Dir) withFileSystem(files FileSystem) dirStore { return dirStore{files, string(f)} }

// folder is a Folder on any file system.
type dirStore struct {
	fileSystem FileSystem
	dir        string
}

func (f dirStore) Read(name string) ([]byte, error) {
	return f.fileSystem.Read(filepath.Join(f.dir, name))
}

// newFile is what a file is called until it is whole. The name is always the same, so that kills and failing writes leave one at most.
const temporaryFile = "memory-new"

func (f dirStore) Replace(name string, b []byte) error {
	fresh := filepath.Join(f.dir, temporaryFile)
	err := f.write(fresh, b)
	if err == nil {
		err = f.fileSystem.Rename(fresh, filepath.Join(f.dir, name))
	}
	if err != nil {
		f.fileSystem.Remove(fresh) // or the next writing begins it anew
		return err
	}
	return f.fileSystem.SyncDir(f.dir)
}

func (f dirStore) write(path string, b []byte) error {
	file, err := f.fileSystem.Create(path)
	if err != nil {
		return err
	}
	if _, err = file.Write(b); err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// Lock takes a folder for this process until it ends, however it ends, making the folder where there is none. The error
// tells that another has it, or that it can't be written to.
func Lock(dir string) (unlock func(), err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = fmt.Errorf("%s is another router's", dir)
		}
		return nil, err
	}
	return func() { f.Close() }, nil
}
