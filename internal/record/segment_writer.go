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

const (
	// flushInterval is how often queued steps are written. It is also how much of its recording a killed router loses.
	flushInterval = 100 * time.Millisecond
	// maxFrameSteps is the maximum number of steps in a frame: enough for zstd to compress well.
	maxFrameSteps = 512
)

// segment is the segment being written.
type segment struct {
	file      file
	name      string
	hasSteps  bool // steps were written to the file
	size      int64
	startedAt time.Time
	batch     stepBatch // steps not yet written
}

// segmentWriter is the state of the writer goroutine.
type segmentWriter struct {
	*Writer
	current  *segment // nil: none was started, or the last one failed
	number   int      // number of the next segment
	failing  bool     // a failure was logged and is not over
	failedAt time.Time
	buffer   []queueItem
}

// run is the writer goroutine. It ends when the queue is closed and all queued items are written.
func (w *Writer) run() {
	s := &segmentWriter{Writer: w}
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	for {
		select {
		case <-w.queue.wake:
		case <-flush.C:
		}
		closed := s.writeQueued()
		switch {
		case closed && s.current != nil:
			s.handleError(w.finishSegment(s.current))
			return
		case closed:
			return
		case s.current != nil:
			s.flushCurrent()
		case !s.failedAt.IsZero() && time.Since(s.failedAt) > w.retryDelay:
			s.failedAt = time.Now()
			w.segmentRequested.Store(true)
		}
	}
}

// writeQueued writes the queued items, except for an incomplete last frame, and reports whether the queue is closed.
func (s *segmentWriter) writeQueued() (closed bool) {
	items, closed := s.queue.drain(s.buffer)
	for _, it := range items {
		if it.header != nil {
			s.startSegment(it)
		} else {
			s.addStep(it)
		}
	}
	clear(items)
	s.buffer = items
	return closed
}

// startSegment finishes the current segment and creates the next one.
func (s *segmentWriter) startSegment(it queueItem) {
	if s.current != nil {
		s.handleError(s.finishSegment(s.current))
	}
	it.header.Segment = s.number
	var err error
	if s.current, err = s.createSegment(it); err == nil {
		s.number++
	}
	s.handleError(err)
}

// addStep adds a step to the frame being collected, and writes the frame once it has maxFrameSteps steps.
func (s *segmentWriter) addStep(it queueItem) {
	if s.current == nil { // the segment of this step failed
		s.lostSteps.Add(1)
		return
	}
	batch := &s.current.batch
	if len(batch.Steps) == 0 {
		batch.First = it.number
	}
	batch.Steps = append(batch.Steps, it.step)
	if len(batch.Steps) >= maxFrameSteps {
		s.handleError(s.flush(s.current))
		runtime.Gosched() // otherwise a burst of frames would keep a processor from the event loop for milliseconds
	}
}

// flushCurrent writes the incomplete frame of the current segment, and requests the next segment if this one is too large or too old.
func (s *segmentWriter) flushCurrent() {
	s.handleError(s.flush(s.current))
	if s.current == nil {
		return
	}
	if s.failing && s.current.hasSteps {
		s.log.Info().Msg("recording resumed")
		s.failing = false
	}
	if s.current.size > s.limits.SegmentBytes || time.Since(s.current.startedAt) > s.limits.SegmentAge {
		s.current.startedAt = time.Now()
		s.segmentRequested.Store(true)
	}
}

// handleError abandons the current segment after an error. A failure is logged only once until it is over.
func (s *segmentWriter) handleError(err error) {
	if err == nil {
		return
	}
	if !s.failing {
		s.log.Error().Err(err).Msg("recording failed: steps are lost until a new segment can be started")
	}
	s.failing = true
	if s.current != nil {
		s.current.file.Close() // the error doesn't matter after a failed write
		if !s.current.hasSteps {
			s.removeSegment(s.current.name)
			s.number-- // the next segment reuses the name
		}
	}
	s.current, s.failedAt = nil, time.Now()
}

// finishSegment writes the incomplete frame and closes the file.
func (w *Writer) finishSegment(s *segment) error {
	if err := w.flush(s); err != nil {
		return err
	}
	return s.file.Close()
}

// createSegment creates a segment's file and writes its header and checkpoint.
func (w *Writer) createSegment(it queueItem) (*segment, error) {
	w.pruneSegments()
	if w.dirMissing {
		if err := w.disk.MakeDir(w.dir); err != nil {
			return nil, err
		}
		w.dirMissing = false // the directory is not created again if it disappears later, since it may be on an unmounted file system
	}
	name := filepath.Join(w.dir, fmt.Sprintf("%s-%06d%s", w.header.Incarnation, it.header.Segment, segmentSuffix))
	flags := os.O_EXCL
	if name == w.unremoved {
		flags = os.O_TRUNC
	}
	file, err := w.disk.Create(name, flags)
	if err != nil {
		return nil, err
	}
	s := &segment{file: file, name: name, startedAt: time.Now()}
	b, err := encodeSegmentStart(it.header, it.checkpoint)
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

// removeSegment removes a segment without steps. If that fails, the next segment overwrites the file, so that files don't accumulate in a
// directory that fails for a long time.
func (w *Writer) removeSegment(name string) {
	if err := os.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		w.unremoved = name
	}
}

// flush writes the incomplete frame.
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

func (w *Writer) writeBytes(s *segment, b []byte) error {
	n, err := s.file.Write(b)
	s.size += int64(n)
	w.writtenBytes.Add(int64(n))
	return err
}

// encodeSegmentStart encodes the magic, the header and the checkpoint of a segment.
func encodeSegmentStart(header *Header, checkpoint *core.Snapshot) (b []byte, err error) {
	b = []byte(magic)
	for _, v := range []any{header, checkpoint} {
		if b, err = appendFrame(b, v); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// EncodeSnapshot encodes a core's state as a segment without steps.
func EncodeSnapshot(header Header, now control.Micros, checkpoint *core.Snapshot) ([]byte, error) {
	header.Version, header.Clock = Version, now
	return encodeSegmentStart(&header, checkpoint)
}
