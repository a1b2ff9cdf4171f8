package record

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/persistence"
)

// Limits limits the disk space of a recording.
type Limits struct {
	SegmentBytes  int64         // size after which the next segment begins
	SegmentAge    time.Duration // age after which the next segment begins
	TotalBytes    int64         // maximum size of all segments; the oldest beyond it are removed
	BlockWhenFull bool          // wait for the disk while the queue is full, so that no step is lost; for simulated time
}

const (
	// closeTimeout limits how long a stalled disk delays the shutdown of a router. Writing a second of steps takes far less.
	closeTimeout = 2 * time.Second
	// segmentRetryDelay is the delay between attempts to start a segment: short compared to an outage, and long enough for the cost not to
	// matter.
	segmentRetryDelay = time.Second
	// diskWaitInterval is the delay between attempts to queue a step if BlockWhenFull is set.
	diskWaitInterval = time.Millisecond
)

// Writer records a core. A disk that fails, is full or stalls must not affect requests; it only makes the recording lose steps. The
// Recorder only queues steps on the event loop, and a separate goroutine writes them. If the goroutine can't keep up or the disk fails,
// whole steps are dropped, and the header of the next segment says how many.
type Writer struct {
	dir      string
	limits   Limits
	header   Header // of each segment
	log      zerolog.Logger
	snapshot func() (*core.Snapshot, error)
	disk     disk

	queue            queue
	wg               sync.WaitGroup // waits for the writer goroutine
	segmentRequested atomic.Bool    // set by the writer goroutine when a new segment should begin
	writtenBytes     atomic.Int64
	lostSteps        atomic.Int64

	// Used only by the event loop.
	steps            uint64
	lostSinceSegment uint64 // steps dropped since the last segment was queued
	recording        bool   // no step was dropped since the last segment was queued

	// Used only by the writer goroutine.
	dirMissing bool          // the directory could not be created yet
	retryDelay time.Duration // delay between attempts to start a segment
	unremoved  string        // file name of a segment without steps that couldn't be removed
}

// Open starts a recording in a directory and creates the directory if needed. The Writer calls snapshot on the event loop to get the core's
// state. Open fails if the directory can't be created because of an error that isn't transient. The caller must call BeginSegment before
// the first step, and Close at the end.
func Open(dir string, limits Limits, header Header, snapshot func() (*core.Snapshot, error), log zerolog.Logger) (*Writer, error) {
	return open(dir, limits, header, snapshot, log, osDisk{})
}

func open(dir string, limits Limits, header Header, snapshot func() (*core.Snapshot, error), log zerolog.Logger,
	disk disk) (*Writer, error) {
	// A transient error doesn't prevent the router from starting: creating the directory is retried with each segment.
	dirErr := disk.MakeDir(dir)
	if dirErr != nil && !persistence.IsTransient(dirErr) {
		return nil, dirErr
	}
	w := &Writer{dir: dir, limits: limits, header: header, log: log, snapshot: snapshot, disk: disk,
		queue:      queue{wake: make(chan struct{}, 1)},
		dirMissing: dirErr != nil, retryDelay: segmentRetryDelay}
	w.header.Version = Version
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		w.run()
	}()
	return w, nil
}

// Recorder returns the recorder that the core must use.
func (w *Writer) Recorder() *Recorder { return &Recorder{OnStep: w.endStep} }

// BeginSegment queues the start of a segment with a checkpoint of the core. It must be called between two steps.
func (w *Writer) BeginSegment(now control.Micros) {
	checkpoint, err := w.snapshot()
	if err != nil {
		w.log.Error().Err(err).Msg("recording: can't take a checkpoint of the core")
		return
	}
	header := w.header
	header.Segment, header.FirstStep, header.LostSteps = -1, w.steps, w.lostSinceSegment // the writer goroutine sets the segment's number
	header.Clock = now
	if w.recording = w.queue.push(queueItem{header: &header, checkpoint: checkpoint}); w.recording {
		w.lostSinceSegment = 0
	}
}

// endStep queues a step. If a new segment should begin, its checkpoint is taken at the end of this step.
func (w *Writer) endStep(step Step) {
	number := w.steps
	w.steps++
	for w.recording && !w.queue.push(queueItem{number: number, step: step}) {
		if w.recording = w.limits.BlockWhenFull; w.recording {
			w.queue.wakeWriter()
			time.Sleep(diskWaitInterval)
		}
	}
	if !w.recording {
		w.lostSinceSegment++
		w.lostSteps.Add(1)
	}
	if w.segmentRequested.CompareAndSwap(true, false) || !w.recording && w.queue.length() < queueDepth/2 {
		w.BeginSegment(step.Clock)
	}
}

// LostSteps returns the number of steps that were not recorded.
func (w *Writer) LostSteps() int64 { return w.lostSteps.Load() }

// WrittenBytes returns the number of bytes written.
func (w *Writer) WrittenBytes() int64 { return w.writtenBytes.Load() }

// Close ends the recording and waits until all queued steps are written, for closeTimeout at most unless BlockWhenFull is set. The
// Recorder must no longer be in use.
func (w *Writer) Close() {
	w.queue.close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.wg.Wait()
	}()
	if w.limits.BlockWhenFull {
		<-done
		return
	}
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		w.log.Warn().Msg("recording: the disk stalled, the last steps are lost")
	}
}
