package record

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"hollymast/control"
	"hollymast/internal/core"
)

// segment is the file being written.
type segment struct {
	file     file
	name     string
	hasSteps bool // turns are in it
	size     int64
	begunAt  time.Time
	batch    stepBatch
}

// write is the goroutine that writes.
func (w *Writer) run() {
	var s *segment // nil: the last one failed, or none was begun
	var failed time.Time
	number, said := 0, false
	var room []item
	flush := time.NewTicker(100 * time.Millisecond) // how much a killed router loses
	defer flush.Stop()
	check := func(err error) {
		if err != nil {
			if !said {
				w.log.Error().Err(err).Msg("recording failed: turns are lost until a new segment can be begun")
			}
			said = true
			if s != nil {
				s.file.Close() // it failed: whatever else does
				if !s.hasSteps {
					w.removeSegment(s.name)
					number-- // the next one takes its name
				}
			}
			s, failed = nil, time.Now()
		}
	}
	for {
		select {
		case <-w.queue.wake:
		case <-flush.C:
		}
		items, closed := w.queue.drain(room)
		for _, it := range items {
			if it.header != nil {
				if s != nil {
					check(w.finishSegment(s))
				}
				it.header.Segment = number
				var err error
				if s, err = w.createSegment(it); err == nil {
					number++
				}
				check(err)
				continue
			}
			if s == nil { // what comes for a segment that failed is lost
				w.lost.Add(1)
				continue
			}
			if len(s.batch.Steps) == 0 {
				s.batch.First = it.number
			}
			s.batch.Steps = append(s.batch.Steps, it.step)
			const full = 512 // turns in a frame: enough for zstd to find what repeats
			if len(s.batch.Steps) >= full {
				check(w.flush(s))
				runtime.Gosched() // a burst of frames would keep a processor from turns for milliseconds
			}
		}
		clear(items)
		room = items
		switch {
		case closed && s != nil:
			check(w.finishSegment(s))
			return
		case closed:
			return
		case s != nil:
			check(w.flush(s))
			if said && s != nil && s.hasSteps {
				w.log.Info().Msg("recording goes on")
				said = false
			}
			if s != nil && (s.size > w.limits.SegmentBytes || time.Since(s.begunAt) > w.limits.SegmentAge) {
				s.begunAt = time.Now()
				w.segmentWanted.Store(true)
			}
		case !failed.IsZero() && time.Since(failed) > w.retryDelay:
			failed = time.Now()
			w.segmentWanted.Store(true)
		}
	}
}

// finish ends a segment.
func (w *Writer) finishSegment(s *segment) error {
	if err := w.flush(s); err != nil {
		return err
	}
	return s.file.Close()
}

// begin opens a segment's file and writes its head.
func (w *Writer) createSegment(it item) (*segment, error) {
	w.pruneSegments()
	if w.dirMissing {
		if err := w.disk.MakeDir(w.dir); err != nil {
			return nil, err
		}
		w.dirMissing = false // one that goes later is not made again: what is mounted there may be missing
	}
	name := filepath.Join(w.dir, fmt.Sprintf("%s-%06d.rec", w.header.Incarnation, it.header.Segment))
	flags := os.O_EXCL
	if name == w.leftover {
		flags = os.O_TRUNC
	}
	file, err := w.disk.Create(name, flags)
	if err != nil {
		return nil, err
	}
	s := &segment{file: file, name: name, begunAt: time.Now()}
	b, err := segmentStart(it.header, it.checkpoint)
	if err == nil {
		err = w.writeBytes(s, b)
	}
	if err != nil {
		file.Close()
		w.removeSegment(name)
		return nil, err
	}
	return s, nil
}

// discard removes a segment in which nothing stands. One that can't be removed is written over by the next try: a folder that fails
// for long fills with none.
func (w *Writer) removeSegment(name string) {
	if err := os.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		w.leftover = name
	}
}

// opening is a segment's beginning.
func segmentStart(h *Header, s *core.Snapshot) (b []byte, err error) {
	b = []byte(magic)
	for _, v := range []any{h, s} {
		if b, err = appendFrame(b, v); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// Still is a segment of no turns: a core's state at one moment.
func SnapshotSegment(h Header, now control.Micros, s *core.Snapshot) ([]byte, error) {
	h.Version, h.Clock = Version, now
	return segmentStart(&h, s)
}

func (w *Writer) writeBytes(s *segment, b []byte) error {
	n, err := s.file.Write(b)
	s.size += int64(n)
	w.written.Add(int64(n))
	return err
}

func (w *Writer) flush(s *segment) error {
	if len(s.batch.Steps) == 0 {
		return nil
	}
	b, err := appendFrame(nil, s.batch)
	if err != nil {
		return err
	}
	clear(s.batch.Steps)
	s.batch.Steps = s.batch.Steps[:0]
	if err := w.writeBytes(s, b); err != nil {
		return err
	}
	s.hasSteps = true
	return nil
}
