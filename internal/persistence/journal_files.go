package persistence

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"

	"hollymast/control"
)

// journalFile is the file that is being written.
type journalFile struct {
	File
	number    int
	size      int64
	newestAt  control.Micros // time of its newest entry
	holdsDone bool           // batches in it are done
}

// closedFile is a file that is not written to any more.
type closedFile struct {
	name            string
	size            int64
	newestAt        control.Micros // time of its newest entry
	empty           bool           // nothing in it is of use
	removalReported bool           // operators know that it can't be removed
}

func (f *journalFile) closed() closedFile {
	return closedFile{name: journalName(f.number), size: f.size, newestAt: f.newestAt}
}

func journalName(number int) string { return fmt.Sprintf("journal-%08d", number) }

func (j *Journal) path(number int) string { return filepath.Join(j.dir, journalName(number)) }

// abandonFile gives the open file up. What was not synced in it is written again to the next one.
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
	f.Close() // its error doesn't matter: what was not synced is written again
	back := len(j.unsynced)
	j.unwritten, j.unsynced = slices.Concat(j.unsynced, j.unwritten), nil
	if j.abandoned != nil {
		j.rewriting += back
	}
	switch {
	case f.holdsDone:
		j.closedFiles = append(j.closedFiles, f.closed())
	case j.abandoned == nil && back > 0:
		j.abandoned, j.rewriting = f, back
	default:
		j.removeFile(f.number)
	}
}

// removeFile removes a file that holds nothing of use, or notes that it couldn't be removed.
func (j *Journal) removeFile(number int) {
	if err := j.FileSystem.Remove(j.path(number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		j.leftovers = append(j.leftovers, number)
	}
}

// finishFile syncs and closes a full file.
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
	j.closedFiles = append(j.closedFiles, j.file.closed())
	j.file = nil
	return nil
}

// closeFile closes a file in which all that was promised is synced. An error takes nothing from that and is only reported.
func (j *Journal) closeFile(f *journalFile) {
	if err := f.Close(); err != nil {
		j.OnWarning(fmt.Sprintf("%s: close: %v", journalName(f.number), err))
	}
}

// beginFile begins the next file. One whose beginning can't be written is removed.
func (j *Journal) beginFile() error {
	j.pruneFiles()
	number := j.lastNumber + 1
	if err := j.reuseLeftover(number); err != nil {
		return err
	}
	file, err := j.FileSystem.Create(j.path(number))
	if err != nil {
		return err // if the file is there all the same, the next call truncates it
	}
	if err := j.writeHeader(file); err != nil {
		file.Close()
		if j.removeFile(number); slices.Contains(j.leftovers, number) {
			j.lastNumber = number // the failed sync may have lost its name for good: it is never used again
		}
		return err
	}
	j.lastNumber = number
	j.file = &journalFile{File: file, number: number, size: int64(len(journalMagic))}
	return nil
}

// reuseLeftover renames a file that couldn't be removed to the one that is to begin. It guards against a directory that fails for long
// filling with files: no more than two of them are left, and the second only while neither can be renamed.
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

// writeHeader writes the beginning of a file, and syncs the directory.
func (j *Journal) writeHeader(f File) error {
	header := []byte(journalMagic)
	if j.Clock.BootID != 0 {
		header = appendFrame(header, j.Clock.entries())
	}
	if _, err := f.Write(header); err != nil {
		return err
	}
	if j.Sync != SyncNever { // so that a disk whose syncs fail is not taken for one that works
		if err := f.Sync(); err != nil {
			return err
		}
	}
	return j.FileSystem.SyncDir(j.dir)
}

// pruneFiles removes files whose entries are all too old, and the oldest beyond the bound. One that can't be removed is tried again the
// next time and stops nothing.
func (j *Journal) pruneFiles() {
	leftovers := j.leftovers
	j.leftovers = nil
	for _, number := range leftovers {
		j.removeFile(number)
	}
	total := int64(0)
	for _, f := range j.closedFiles {
		total += f.size
	}
	remaining := j.closedFiles[:0]
	for _, f := range j.closedFiles {
		if !f.empty && f.newestAt+j.Retention >= j.newestAt && total <= j.MaxBytes {
			remaining = append(remaining, f)
			continue
		}
		if err := j.FileSystem.Remove(filepath.Join(j.dir, f.name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			if !f.removalReported {
				f.removalReported = true
				j.OnWarning(fmt.Sprintf("%s: %v: not removed yet, retried", f.name, err))
			}
			remaining = append(remaining, f)
			continue
		}
		total -= f.size
	}
	j.closedFiles = remaining
}
