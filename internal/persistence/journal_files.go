package persistence

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"

	"hollymast/control"
)

// The files that a journal writes: begun, ended, abandoned and removed.

// journalFile is a file that is being written.
type journalFile struct {
	File
	number    int
	size      int64
	newestAt  control.Micros
	holdsDone bool // it holds rounds that are done
}

// oldFile is one that is not written any more.
type closedFile struct {
	name            string
	size            int64
	newestAt        control.Micros
	empty           bool // nothing in it is owed
	removalReported bool // that it can't be removed
}

func journalName(number int) string { return fmt.Sprintf("journal-%08d", number) }

// abandon gives the file up. What was not synced in it is written to the next one.
func (j *Journal) abandonFile() {
	f := j.file
	if f == nil {
		return
	}
	if j.syncingBatches > 0 {
		n := j.syncingBatches
		if j.syncingBatches = 0; <-j.synced == nil {
			j.completeBatches(n)
		}
	}
	j.file = nil
	f.Close() // whatever it says: the file counts for nothing that was not synced
	back := len(j.unsynced)
	j.unwritten, j.unsynced = slices.Concat(j.unsynced, j.unwritten), nil
	switch {
	case j.abandoned != nil:
		if j.rewriting += back; f.holdsDone {
			j.closedFiles = append(j.closedFiles, closedFile{name: journalName(f.number), size: f.size, newestAt: f.newestAt})
		} else {
			j.removeFile(f.number)
		}
	case f.holdsDone:
		j.closedFiles = append(j.closedFiles, closedFile{name: journalName(f.number), size: f.size, newestAt: f.newestAt})
	case back > 0:
		j.abandoned, j.rewriting = f, back
	default:
		j.removeFile(f.number)
	}
}

// discard removes a file in which nothing is owed, or notes that it couldn't be.
func (j *Journal) removeFile(number int) {
	if err := j.FileSystem.Remove(j.path(number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		j.leftovers = append(j.leftovers, number)
	}
}

func (j *Journal) path(number int) string { return filepath.Join(j.dir, journalName(number)) }

// finish ends a full file.
func (j *Journal) finishFile() error {
	if j.syncingBatches > 0 {
		n := j.syncingBatches
		j.syncingBatches = 0
		if err := <-j.synced; err != nil {
			return err
		}
		j.completeBatches(n)
	}
	if len(j.unsynced) > 0 {
		j.syncCount++
		if err := j.file.Sync(); err != nil {
			return err
		}
		j.completeBatches(len(j.unsynced))
	}
	j.closeFile(j.file)
	j.closedFiles = append(j.closedFiles, closedFile{name: journalName(j.file.number), size: j.file.size, newestAt: j.file.newestAt})
	j.file = nil
	return nil
}

// close closes a file of which all that is promised was synced. An error then takes nothing from that.
func (j *Journal) closeFile(f *journalFile) {
	if err := f.Close(); err != nil {
		j.OnWarning(fmt.Sprintf("%s: %v when it was closed", journalName(f.number), err))
	}
}

// begin begins a file. One that can't be begun is removed.
func (j *Journal) beginFile() error {
	j.pruneFiles()
	number := j.lastNumber + 1
	if err := j.reuseLeftover(number); err != nil {
		return err
	}
	file, err := j.FileSystem.Create(j.path(number))
	if err != nil {
		return err // if it is there all the same, the next try takes its name
	}
	if err := j.writeHeader(file); err != nil {
		file.Close()
		if j.removeFile(number); slices.Contains(j.leftovers, number) {
			j.lastNumber = number // its name may be lost to the failed sync for good: never used again
		}
		return err
	}
	j.lastNumber = number
	j.file = &journalFile{File: file, number: number, size: int64(len(journalMagic))}
	return nil
}

// reuse gives a stray the name of the file that is to begin. Guards against a folder that fails for long: in it no more than
// two strays stand, and one of them only while neither can be renamed.
func (j *Journal) reuseLeftover(number int) error {
	n := len(j.leftovers)
	if n == 0 {
		return nil
	}
	err := j.FileSystem.Rename(j.path(j.leftovers[n-1]), j.path(number))
	if err == nil {
		j.leftovers = j.leftovers[:n-1]
	} else if n == 1 {
		return nil
	}
	return err
}

// head writes what a file begins with, and syncs the folder.
func (j *Journal) writeHeader(f File) error {
	head := []byte(journalMagic)
	if j.Clock.BootID != 0 {
		head = appendFrame(head, j.Clock.entries())
	}
	if _, err := f.Write(head); err != nil {
		return err
	}
	if j.Sync != SyncNever { // so that a disk which fails is not taken for well
		if err := f.Sync(); err != nil {
			return err
		}
	}
	return j.FileSystem.SyncDir(j.dir)
}

// prune removes files whose entries are all too old, and the oldest beyond the bound. One that can't be removed stays for the
// next time, and keeps nothing from going on.
func (j *Journal) pruneFiles() {
	strays := j.leftovers
	j.leftovers = nil
	for _, number := range strays {
		j.removeFile(number)
	}
	total := int64(0)
	for _, o := range j.closedFiles {
		total += o.size
	}
	kept := j.closedFiles[:0]
	for _, o := range j.closedFiles {
		if !o.empty && o.newestAt+j.Retention >= j.newestAt && total <= j.MaxBytes {
			kept = append(kept, o)
			continue
		}
		if err := j.FileSystem.Remove(filepath.Join(j.dir, o.name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			if !o.removalReported {
				o.removalReported = true
				j.OnWarning(fmt.Sprintf("%s: %v: it stays, and is tried again", o.name, err))
			}
			kept = append(kept, o)
			continue
		}
		total -= o.size
	}
	j.closedFiles = kept
}
