package record

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"hollymast/internal/core"
)

// Segment is a segment that is being read. The caller must Close it.
type Segment struct {
	Header
	File       string
	Checkpoint *core.Snapshot
	file       *os.File
	r          *bufio.Reader
}

// OpenSegment opens a segment and reads its header and checkpoint. The error is ErrNewer, ErrDamaged or another, and names the file.
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
		return s, fmt.Errorf("%s: %w: format %d, known up to %d", name, ErrNewerVersion, s.Version, Version)
	}
	if err := readFrame(s.r, s.Checkpoint); err != nil {
		return s, fmt.Errorf("%s: checkpoint: %w", name, err)
	}
	return s, nil
}

// ForEachStep calls a function with each step and its number, until the segment ends, the function returns an error, or the segment is
// damaged. Then the error is ErrDamaged, and the function was called with all steps before the damage.
func (s *Segment) ForEachStep(each func(number uint64, t Step) error) error {
	for {
		var b stepBatch
		if err := readFrame(s.r, &b); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("%s: %w", s.File, err)
		}
		for i, t := range b.Steps {
			if err := each(b.First+uint64(i), t); err != nil {
				return err
			}
		}
	}
}

// Close closes the file.
func (s *Segment) Close() error { return s.file.Close() }
