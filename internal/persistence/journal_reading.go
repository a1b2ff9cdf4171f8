package persistence

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
)

// readFiles returns the entries of all files, oldest first. It fails only if the directory can't be listed.
func (j *Journal) readFiles() (entries []Entry, warnings []string, err error) {
	var names []string
	if err := RetryTransient(j.RetryDelay, func() (err error) { names, err = j.FileSystem.List(j.dir); return err }); err != nil {
		return nil, nil, err
	}
	var previous []frame         // frames of the preceding files
	for _, name := range names { // sorted by name, and so by number
		number, ok := journalNumber(name)
		if !ok {
			continue
		}
		j.lastNumber = max(j.lastNumber, number)
		b, err := j.readFile(name)
		if err != nil {
			warnings = append(warnings, fmt.Sprintf("%s: %v: ignored", name, err))
			j.incomplete = j.incomplete || IsTransient(err)
			continue
		}
		file, warning := j.parseFile(name, b)
		if warning != "" {
			warnings = append(warnings, warning)
		}
		frames := file.frames[countRewrittenFrames(previous, file.frames):]
		for _, f := range frames {
			entries = append(entries, f.entries...)
		}
		if !file.timesKnown {
			j.untimedCount = len(entries)
		}
		previous = append(previous[max(0, len(previous)-maxOutstanding):], frames...)
		j.closedFiles, j.newestAt = append(j.closedFiles, file.closedFile), max(j.newestAt, file.newestAt)
	}
	return entries, warnings, nil
}

// readFile reads a file. Once a file could not be read, reads are no longer retried, so that startup doesn't take too long.
func (j *Journal) readFile(name string) (b []byte, err error) {
	read := func() (err error) { b, err = j.FileSystem.Read(filepath.Join(j.dir, name)); return err }
	if j.incomplete {
		return b, read()
	}
	return b, RetryTransient(j.RetryDelay, read)
}

// parsedFile is a file of an earlier incarnation, with its frames other than the clock's.
type parsedFile struct {
	closedFile
	frames     []frame
	timesKnown bool // the entries' times were converted to this incarnation's
}

// parseFile decodes a file. The warning is not empty if the file is corrupt.
func (j *Journal) parseFile(name string, b []byte) (file parsedFile, warning string) {
	frames, err := readFrames(b)
	var clock Clock
	if len(frames) > 0 {
		if c, ok := readClockEntries(frames[0].entries); ok {
			clock, frames = c, frames[1:]
		}
	}
	file = parsedFile{closedFile: closedFile{name: name, size: int64(len(b))}, frames: frames, timesKnown: j.convertTimes(clock, frames)}
	n := 0
	for _, f := range frames {
		n += len(f.entries)
		file.newestAt = max(file.newestAt, newestTime(f.entries))
	}
	file.empty = n == 0 && (err == nil || strings.HasPrefix(journalMagic, string(b[:min(len(b), len(journalMagic))])))
	if j.Now > 0 && !file.timesKnown && (n > 0 || err != nil) {
		file.newestAt = j.Now // its entries may be that recent
	}
	if err != nil && len(b) > 0 {
		warning = fmt.Sprintf("%s: %v after %d entries", name, err, n)
	}
	return file, warning
}

// convertTimes converts the times of a file's entries to this incarnation's. It returns false and changes nothing if the offset between
// the clocks is unknown or would put an entry into the future.
func (j *Journal) convertTimes(earlier Clock, frames []frame) (known bool) {
	offset, known := j.Clock.offsetFrom(earlier)
	for _, f := range frames {
		known = known && newestTime(f.entries)+offset <= j.Now
	}
	if !known {
		return false
	}
	for _, f := range frames {
		for i := range f.entries {
			f.entries[i].At = max(0, f.entries[i].At+offset)
		}
	}
	return true
}

// countRewrittenFrames returns how many of a file's first frames are also in the preceding files. Frames that were not synced in an
// abandoned file were written again at the beginning of the next file.
func countRewrittenFrames(previous []frame, frames []frame) int {
	if len(frames) == 0 {
		return 0
	}
	for i := len(previous) - 1; i >= 0; i-- {
		if !bytes.Equal(previous[i].bytes, frames[0].bytes) {
			continue
		}
		n := 1
		for i+n < len(previous) && n < len(frames) && bytes.Equal(previous[i+n].bytes, frames[n].bytes) {
			n++
		}
		return n
	}
	return 0
}

// journalNumber returns the number in the name of a journal file; ok is false for other files.
func journalNumber(name string) (number int, ok bool) {
	n, err := fmt.Sscanf(name, "journal-%d", &number)
	return number, n == 1 && err == nil && strings.Count(name, "-") == 1
}
