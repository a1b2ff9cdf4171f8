package record

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"hollymast/internal/core"
)

// ErrNewer tells of a recording by a later version of this program.
var ErrNewer = errors.New("written by a newer version")

// Segment is a segment's beginning.
type Segment struct {
	Header
	File       string
	Checkpoint *core.Snapshot
	file       *os.File
	r          *bufio.Reader
}

// OpenSegment reads a segment's beginning. Errors name the file and what is wrong with it.
func OpenSegment(name string) (s *Segment, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	s = &Segment{File: name, file: file, r: bufio.NewReaderSize(file, 1<<16), Checkpoint: &core.Snapshot{}}
	defer func() {
		if err != nil {
			file.Close()
			s = nil
		}
	}()
	got := make([]byte, len(magic))
	if _, err := io.ReadFull(s.r, got); err != nil || string(got) != magic {
		return s, fmt.Errorf("%s: no recording", name)
	}
	if err := readFrame(s.r, &s.Header); err != nil {
		return s, fmt.Errorf("%s: header: %w", name, err)
	}
	if s.Version > Version {
		return s, fmt.Errorf("%s: %w: format %d, known up to %d", name, ErrNewer, s.Version, Version)
	}
	if err := readFrame(s.r, s.Checkpoint); err != nil {
		return s, fmt.Errorf("%s: checkpoint: %w", name, err)
	}
	return s, nil
}

// Turns hands each turn with its number to a function, until the segment ends, the function gives an error, or the
// segment is damaged: then all before the damage was handed over, and the error is ErrDamaged.
func (s *Segment) ForEachStep(each func(number uint64, t Step) error) error {
	for {
		var b batch
		if err := readFrame(s.r, &b); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("%s: %w", s.File, err)
		}
		for i, t := range b.Turns {
			if err := each(b.First+uint64(i), t); err != nil {
				return err
			}
		}
	}
}

// Close closes the file.
func (s *Segment) Close() error { return s.file.Close() }

// Files lists the segments that paths name: files as they are, folders with all that is in them.
func ExpandPaths(paths []string) ([]string, error) {
	var files []string
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, p)
			continue
		}
		in, err := ListSegments(p)
		if err != nil {
			return nil, err
		}
		if len(in) == 0 {
			return nil, fmt.Errorf("%s: no recordings there", p)
		}
		files = append(files, in...)
	}
	return files, nil
}
