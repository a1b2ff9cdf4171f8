package persistence

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"

	"hollymast/control"
)

// journalFile is the file that the journal is writing to.
type journalFile struct {
	File
	number              int
	size                int64
	newestAt            control.Micros // time of its newest entry
	hasCompletedBatches bool           // it holds batches that are done
}

// closedFile is a file that is no longer written to.
type closedFile struct {
	name            string
	size            int64
	newestAt        control.Micros // time of its newest entry
	empty           bool           // it holds no entries and may be removed
	removalReported bool           // a warning about its failed removal was issued
}

func (f *journalFile) closed() closedFile {
	return closedFile{name: journalName(f.number), size: f.size, newestAt: f.newestAt}
}

func journalName(number int) string { return fmt.Sprintf("journal-%08d", number) }

func (j *Journal) path(number int) string { return filepath.Join(j.dir, journalName(number)) }

// abandonFile closes the open file after a failure. Batches in it that were not synced are written again to the next file.
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
	f.Close() // the error doesn't matter: batches that were not synced are written again
	unsyncedCount := len(j.unsynced)
	j.unwritten, j.unsynced = slices.Concat(j.unsynced, j.unwritten), nil
	if j.abandoned != nil {
		j.rewriteCount += unsyncedCount
	}
	switch {
	case f.hasCompletedBatches:
		j.closedFiles = append(j.closedFiles, f.closed())
	case j.abandoned == nil && unsyncedCount > 0:
		j.abandoned, j.rewriteCount = f, unsyncedCount
	default:
		j.removeFile(f.number)
	}
}

// removeFile removes a file that is no longer needed. If that fails, its number is kept for another attempt.
func (j *Journal) removeFile(number int) {
	if err := j.FileSystem.Remove(j.path(number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		j.unremoved = append(j.unremoved, number)
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

// closeFile closes a file whose batches are all done or failed. An error is only reported, since it can't affect batches that are synced.
func (j *Journal) closeFile(f *journalFile) {
	if err := f.Close(); err != nil {
		j.OnWarning(fmt.Sprintf("%s: close: %v", journalName(f.number), err))
	}
}

// beginFile creates the next file. If its header can't be written, the file is removed.
func (j *Journal) beginFile() error {
	j.pruneFiles()
	number := j.lastNumber + 1
	if err := j.reuseUnremovedFile(number); err != nil {
		return err
	}
	file, err := j.FileSystem.Create(j.path(number))
	if err != nil {
		return err // if the file was created nevertheless, the next call truncates it
	}
	if err := j.writeHeader(file); err != nil {
		file.Close()
		if j.removeFile(number); slices.Contains(j.unremoved, number) {
			j.lastNumber = number // after a failed directory sync the name may never become durable, so it must not be used again
		}
		return err
	}
	j.lastNumber = number
	j.file = &journalFile{File: file, number: number, size: int64(len(journalMagic))}
	return nil
}

// reuseUnremovedFile renames a file that couldn't be removed to the name of the next file. It keeps files from accumulating in a
// directory that fails for a long time: at most two are left, and the second only while neither can be renamed.
func (j *Journal) reuseUnremovedFile(number int) error {
	n := len(j.unremoved)
	if n == 0 {
		return nil
	}
	err := j.FileSystem.Rename(j.path(j.unremoved[n-1]), j.path(number))
	if err == nil {
		j.unremoved = j.unremoved[:n-1]
	} else if n == 1 {
		return nil
	}
	return err
}

// writeHeader writes the magic and the clock to a new file and syncs the directory.
func (j *Journal) writeHeader(f File) error {
	header := []byte(journalMagic)
	if j.Clock.BootID != 0 {
		header = appendFrame(header, j.Clock.asEntries())
	}
	if _, err := f.Write(header); err != nil {
		return err
	}
	if j.Sync != SyncNever { // otherwise a disk whose syncs fail would seem to have recovered
		if err := f.Sync(); err != nil {
			return err
		}
	}
	return j.FileSystem.SyncDir(j.dir)
}

// pruneFiles removes files whose entries are all older than the retention, and the oldest files beyond MaxBytes. Removals that fail are
// retried the next time.
func (j *Journal) pruneFiles() {
	unremoved := j.unremoved
	j.unremoved = nil
	for _, number := range unremoved {
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
				j.OnWarning(fmt.Sprintf("%s: %v: not removed, will be retried", f.name, err))
			}
			remaining = append(remaining, f)
			continue
		}
		total -= f.size
	}
	j.closedFiles = remaining
}
