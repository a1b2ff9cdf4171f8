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
	// flushInterval is how often queued steps are written: how much a killed router loses of a recording.
	flushInterval = 100 * time.Millisecond
	// maxFrameSteps is the number of steps in a frame: enough for zstd to find what repeats.
	maxFrameSteps = 512
)

// segment is the segment that is being written.
type segment struct {
	file     file
	name     string
	hasSteps bool // steps are written to it
	size     int64
	begunAt  time.Time
	batch    stepBatch // not written yet
}

// segmentWriter is the state of the writer goroutine.
type segmentWriter struct {
	*Writer
	current  *segment // nil: none was begun, or the last one failed
	number   int      // of the next segment
	failing  bool     // a failure is logged, and not its end
	failedAt time.Time
	buffer   []item
}

// run is the writer goroutine. It ends when the queue is closed and all that was queued is written.
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
			w.segmentWanted.Store(true)
		}
	}
}

// writeQueued writes what is queued but for an incomplete frame, and reports whether the queue is closed.
func (s *segmentWriter) writeQueued() (closed bool) {
	items, closed := s.queue.drain(s.buffer)
	for _, it := range items {
		if it.header != nil {
			s.nextSegment(it)
		} else {
			s.addStep(it)
		}
	}
	clear(items)
	s.buffer = items
	return closed
}

func (s *segmentWriter) nextSegment(it item) {
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

func (s *segmentWriter) addStep(it item) {
	if s.current == nil { // its segment failed
		s.lost.Add(1)
		return
	}
	batch := &s.current.batch
	if len(batch.Steps) == 0 {
		batch.First = it.number
	}
	batch.Steps = append(batch.Steps, it.step)
	if len(batch.Steps) >= maxFrameSteps {
		s.handleError(s.flush(s.current))
		runtime.Gosched() // a burst of frames would keep a processor from the event loop for milliseconds
	}
}

// flushCurrent writes an incomplete frame, and asks for the next segment where this one is full or old.
func (s *segmentWriter) flushCurrent() {
	s.handleError(s.flush(s.current))
	if s.current == nil {
		return
	}
	if s.failing && s.current.hasSteps {
		s.log.Info().Msg("recording resumed")
		s.failing = false
	}
	if s.current.size > s.limits.SegmentBytes || time.Since(s.current.begunAt) > s.limits.SegmentAge {
		s.current.begunAt = time.Now()
		s.segmentWanted.Store(true)
	}
}

// handleError gives the current segment up. A failure is logged once until it is over.
func (s *segmentWriter) handleError(err error) {
	if err == nil {
		return
	}
	if !s.failing {
		s.log.Error().Err(err).Msg("recording failed: steps are lost until a new segment can be begun")
	}
	s.failing = true
	if s.current != nil {
		s.current.file.Close() // a write failed already
		if !s.current.hasSteps {
			s.removeSegment(s.current.name)
			s.number-- // the next one takes its name
		}
	}
	s.current, s.failedAt = nil, time.Now()
}

// finishSegment writes an incomplete frame and closes the file.
func (w *Writer) finishSegment(s *segment) error {
	if err := w.flush(s); err != nil {
		return err
	}
	return s.file.Close()
}

// createSegment creates a segment's file and writes its header and checkpoint.
func (w *Writer) createSegment(it item) (*segment, error) {
	w.pruneSegments()
	if w.dirMissing {
		if err := w.disk.MakeDir(w.dir); err != nil {
			return nil, err
		}
		w.dirMissing = false // a directory that vanishes later is not made again: what is mounted there may be missing
	}
	name := filepath.Join(w.dir, fmt.Sprintf("%s-%06d%s", w.header.Incarnation, it.header.Segment, segmentSuffix))
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

// removeSegment removes a segment without steps. One that can't be removed is overwritten by the next one. It guards against a directory
// that fails for long filling with files.
func (w *Writer) removeSegment(name string) {
	if err := os.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		w.leftover = name
	}
}

// flush writes an incomplete frame.
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
	w.written.Add(int64(n))
	return err
}

// segmentStart encodes the magic, the header and the checkpoint of a segment.
func segmentStart(header *Header, checkpoint *core.Snapshot) (b []byte, err error) {
	b = []byte(magic)
	for _, v := range []any{header, checkpoint} {
		if b, err = appendFrame(b, v); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// EncodeSnapshot encodes a segment without steps: a core's state at one moment.
func EncodeSnapshot(header Header, now control.Micros, checkpoint *core.Snapshot) ([]byte, error) {
	header.Version, header.Clock = Version, now
	return segmentStart(&header, checkpoint)
}
