package persistence

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
)

// Reading the journals of earlier incarnations at a start.

// read gives what all files hold, oldest first.
func (j *Journal) readFiles() (es []Entry, told []string, err error) {
	var names []string
	if err := RetryTransient(j.RetryDelay, func() (err error) { names, err = j.FileSystem.List(j.dir); return err }); err != nil {
		return nil, nil, err
	}
	var last []frame             // of the files before
	for _, name := range names { // by name, so by number
		var number int
		if n, err := fmt.Sscanf(name, "journal-%d", &number); n != 1 || err != nil || strings.Count(name, "-") != 1 {
			continue
		}
		j.lastNumber = max(j.lastNumber, number)
		b, err := j.readFile(name)
		if err != nil {
			told = append(told, fmt.Sprintf("%s: %v: it is passed over", name, err))
			j.incomplete = j.incomplete || IsTransient(err)
			continue
		}
		frames, err := readFrames(b)
		old := closedFile{name: name, size: int64(len(b))}
		var clock Clock
		if len(frames) > 0 {
			if c, is := readClockEntries(frames[0].entries); is {
				clock, frames = c, frames[1:]
			}
		}
		n, sure := 0, j.convertTimes(clock, frames)
		for _, f := range frames {
			n += len(f.entries)
			old.newestAt = max(old.newestAt, newestTime(f.entries))
		}
		old.empty = n == 0 && (err == nil || strings.HasPrefix(journalMagic, string(b[:min(len(b), len(journalMagic))])))
		if j.Now > 0 && !sure && (n > 0 || err != nil) {
			old.newestAt = j.Now // it may be as young
		}
		if err != nil && len(b) > 0 {
			told = append(told, fmt.Sprintf("%s: %v after %d entries", name, err, n))
		}
		fresh := frames[rewrittenFrames(last, frames):]
		for _, f := range fresh {
			es = append(es, f.entries...)
		}
		if !sure {
			j.uncertain = len(es)
		}
		last = append(last[max(0, len(last)-maxOutstanding):], fresh...)
		j.closedFiles, j.newestAt = append(j.closedFiles, old), max(j.newestAt, old.newestAt)
	}
	return es, told, nil
}

// meet brings a file's entries into the time of this life; sure is false where that can't be done.
func (j *Journal) convertTimes(earlier Clock, frames []frame) (sure bool) {
	by, sure := j.Clock.aheadOf(earlier)
	for _, f := range frames {
		sure = sure && newestTime(f.entries)+by <= j.Now
	}
	for _, f := range frames {
		for i := range f.entries {
			if sure {
				f.entries[i].At = max(0, f.entries[i].At+by)
			}
		}
	}
	return sure
}

// readFile reads a file, with patience for the first that fails only: a start may not take long.
func (j *Journal) readFile(name string) (b []byte, err error) {
	read := func() (err error) { b, err = j.FileSystem.Read(filepath.Join(j.dir, name)); return err }
	if j.incomplete {
		return b, read()
	}
	return b, RetryTransient(j.RetryDelay, read)
}

// Unread tells that a file could not be read at the start: what stands in it is still owed, and not known.
func (j *Journal) Incomplete() bool { return j.incomplete }

// again tells how many of a file's first frames stand in the files before: what was not synced in a file that was abandoned was
// written again, frame by frame, at the beginning of the next.
func rewrittenFrames(before, frames []frame) int {
	if len(frames) == 0 {
		return 0
	}
	for i := len(before) - 1; i >= 0; i-- {
		if !bytes.Equal(before[i].bytes, frames[0].bytes) {
			continue
		}
		n := 1
		for i+n < len(before) && n < len(frames) && bytes.Equal(before[i+n].bytes, frames[n].bytes) {
			n++
		}
		return n
	}
	return 0
}
