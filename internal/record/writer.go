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

// Limits bound what a recording takes on disk.
type Limits struct {
	SegmentBytes  int64         // size after which the next segment begins
	SegmentAge    time.Duration // age after which it does too
	TotalBytes    int64         // size of all segments; beyond it the oldest are removed
	BlockWhenFull bool          // for simulated time: a step waits for the disk, so that no step is lost
}

const (
	// closeTimeout bounds what a stalled disk costs a router that shuts down. A second of steps is written in far less.
	closeTimeout = 2 * time.Second
	// segmentRetryDelay is the pause between segments that can't be begun: short beside an outage, and rare enough to cost nothing.
	segmentRetryDelay = time.Second
	// diskWaitInterval is the pause between attempts to queue a step where WaitForDisk is set.
	diskWaitInterval = time.Millisecond
)

// Writer records a core. A recording owes nothing to clients: where a disk fails, is full or stalls, steps of the recording are lost and
// nothing else happens. The Recorder runs within the step and only queues; a goroutine writes. Where that can't keep up, or the disk
// fails, whole steps are dropped, and the next segment says how many.
type Writer struct {
	dir      string
	limits   Limits
	header   Header // of each segment
	log      zerolog.Logger
	snapshot func() (*core.Snapshot, error)
	disk     disk

	queue         queue
	wg            sync.WaitGroup // the writer goroutine
	segmentWanted atomic.Bool    // by the writer goroutine
	written       atomic.Int64
	lost          atomic.Int64

	// The event loop's own.
	steps            uint64
	lostSinceSegment uint64 // steps dropped since the last one that was queued
	recording        bool   // a segment was begun and nothing was dropped since

	// The writer goroutine's own.
	dirMissing bool          // the directory could not be made yet
	retryDelay time.Duration // between segments that can't be begun
	leftover   string        // a segment without steps that couldn't be removed
}

// Open begins a recording in a directory, and makes the directory. Snapshot is called within steps for the core's state. The error is
// that of making the directory, unless it is transient. The caller must call BeginSegment before the first step, and Close.
func Open(dir string, limits Limits, header Header, snapshot func() (*core.Snapshot, error), log zerolog.Logger) (*Writer, error) {
	return open(dir, limits, header, snapshot, log, osDisk{})
}

func open(dir string, limits Limits, header Header, snapshot func() (*core.Snapshot, error), log zerolog.Logger,
	disk disk) (*Writer, error) {
	// A transient error keeps no router from starting: the directory is made with the first segment for which it can be.
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

// Recorder returns what the core is to record to.
func (w *Writer) Recorder() *Recorder { return &Recorder{OnStep: w.endStep} }

// BeginSegment begins a segment with a checkpoint of the core as it is between two steps.
func (w *Writer) BeginSegment(now control.Micros) {
	checkpoint, err := w.snapshot()
	if err != nil {
		w.log.Error().Err(err).Msg("no checkpoint for the recording")
		return
	}
	h := w.header
	h.Segment, h.FirstStep, h.LostSteps = -1, w.steps, w.lostSinceSegment // the writer goroutine sets the number
	h.Clock = now
	if w.recording = w.queue.push(item{header: &h, checkpoint: checkpoint}); w.recording {
		w.lostSinceSegment = 0
	}
}

// endStep queues a step. The checkpoint of a new segment is taken at the end of the step before its first.
func (w *Writer) endStep(step Step) {
	number := w.steps
	w.steps++
	for w.recording && !w.queue.push(item{number: number, step: step}) {
		if w.recording = w.limits.BlockWhenFull; w.recording {
			w.queue.signal()
			time.Sleep(diskWaitInterval)
		}
	}
	if !w.recording {
		w.lostSinceSegment++
		w.lost.Add(1)
	}
	if w.segmentWanted.CompareAndSwap(true, false) || !w.recording && w.queue.length() < queueDepth/2 {
		w.BeginSegment(step.Clock)
	}
}

// LostSteps returns the number of steps that were not recorded.
func (w *Writer) LostSteps() int64 { return w.lost.Load() }

// WrittenBytes returns the number of bytes written.
func (w *Writer) WrittenBytes() int64 { return w.written.Load() }

// Close ends the recording and waits until all queued steps are written; without WaitForDisk for closeTimeout at most. The Recorder
// must not be in use any more.
func (w *Writer) Close() {
	w.queue.close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.wg.Wait()
	}()
	if w.limits.BlockWhenFull {
		<-ended
		return
	}
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		w.log.Warn().Msg("recording's disk stalled: its last steps are lost")
	}
}
