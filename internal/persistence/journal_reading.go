package persistence

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
)

// readFiles returns the entries of all files, oldest first. The error is that of listing the directory.
func (j *Journal) readFiles() (entries []Entry, warnings []string, err error) {
	var names []string
	if err := RetryTransient(j.RetryDelay, func() (err error) { names, err = j.FileSystem.List(j.dir); return err }); err != nil {
		return nil, nil, err
	}
	var earlier []frame          // of the files before
	for _, name := range names { // by name, so by number
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
		frames := file.frames[rewrittenFrames(earlier, file.frames):]
		for _, f := range frames {
			entries = append(entries, f.entries...)
		}
		if !file.timesKnown {
			j.uncertain = len(entries)
		}
		earlier = append(earlier[max(0, len(earlier)-maxOutstanding):], frames...)
		j.closedFiles, j.newestAt = append(j.closedFiles, file.closedFile), max(j.newestAt, file.newestAt)
	}
	return entries, warnings, nil
}

// readFile reads a file. Only the first that fails is retried, since a start may not take long.
func (j *Journal) readFile(name string) (b []byte, err error) {
	read := func() (err error) { b, err = j.FileSystem.Read(filepath.Join(j.dir, name)); return err }
	if j.incomplete {
		return b, read()
	}
	return b, RetryTransient(j.RetryDelay, read)
}

// parsedFile is a file of an earlier incarnation, with its frames but that of the clock.
type parsedFile struct {
	closedFile
	frames     []frame
	timesKnown bool // entries are in this incarnation's time
}

// parseFile decodes a file. The warning, if any, is about damage.
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
		file.newestAt = j.Now // it may be as recent
	}
	if err != nil && len(b) > 0 {
		warning = fmt.Sprintf("%s: %v after %d entries", name, err, n)
	}
	return file, warning
}

// convertTimes converts the times of a file's entries to this incarnation's; known is false, and the entries are unchanged, where that
// can't be done.
func (j *Journal) convertTimes(earlier Clock, frames []frame) (known bool) {
	offset, known := j.Clock.aheadOf(earlier)
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

// rewrittenFrames returns how many of a file's first frames are in the files before. What was not synced in a file that was abandoned
// was written again, frame by frame, at the beginning of the next.
func rewrittenFrames(earlier []frame, frames []frame) int {
	if len(frames) == 0 {
		return 0
	}
	for i := len(earlier) - 1; i >= 0; i-- {
		if !bytes.Equal(earlier[i].bytes, frames[0].bytes) {
			continue
		}
		n := 1
		for i+n < len(earlier) && n < len(frames) && bytes.Equal(earlier[i+n].bytes, frames[n].bytes) {
			n++
		}
		return n
	}
	return 0
}

// journalNumber returns the number in a journal file's name; ok is false for other files.
func journalNumber(name string) (number int, ok bool) {
	n, err := fmt.Sscanf(name, "journal-%d", &number)
	return number, n == 1 && err == nil && strings.Count(name, "-") == 1
}
