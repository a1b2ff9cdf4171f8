package record

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"hollymast/internal/core"
)

// Segment is a segment opened for reading. The caller must Close it.
type Segment struct {
	Header
	File       string
	Checkpoint *core.Snapshot
	file       *os.File
	reader     *bufio.Reader
}

// OpenSegment opens a segment and reads its header and checkpoint. The error names the file; it may wrap ErrNewerVersion or ErrCorrupt.
func OpenSegment(name string) (s *Segment, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	s = &Segment{File: name, file: file, reader: bufio.NewReaderSize(file, 1<<16), Checkpoint: &core.Snapshot{}}
	defer func() {
		if err != nil {
			file.Close()
			s = nil
		}
	}()
	gotMagic := make([]byte, len(magic))
	if _, err := io.ReadFull(s.reader, gotMagic); err != nil || string(gotMagic) != magic {
		return s, fmt.Errorf("%s: not a recording", name)
	}
	if err := readFrame(s.reader, &s.Header); err != nil {
		return s, fmt.Errorf("%s: header: %w", name, err)
	}
	if s.Version > Version {
		return s, fmt.Errorf("%s: %w: format %d, known up to %d", name, ErrNewerVersion, s.Version, Version)
	}
	if err := readFrame(s.reader, s.Checkpoint); err != nil {
		return s, fmt.Errorf("%s: checkpoint: %w", name, err)
	}
	return s, nil
}

// ForEachStep calls fn with the number of each step and the step. It stops at the first error that fn returns. If a frame is corrupt, it
// calls fn with all steps before that frame and returns ErrCorrupt.
func (s *Segment) ForEachStep(fn func(number uint64, step Step) error) error {
	for {
		var batch stepBatch
		if err := readFrame(s.reader, &batch); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("%s: %w", s.File, err)
		}
		for i, step := range batch.Steps {
			if err := fn(batch.First+uint64(i), step); err != nil {
				return err
			}
		}
	}
}

// Close closes the file.
func (s *Segment) Close() error { return s.file.Close() }
