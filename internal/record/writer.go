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

// Bounds limit what a recording takes on disk.
type Limits struct {
	SegmentBytes int64         // bytes after which a new segment begins
	SegmentAge   time.Duration // after which it does too
	TotalBytes   int64         // bytes of all segments: the oldest go
	WaitForDisk  bool          // a turn waits for the disk where time is simulated: nothing is lost
}

// Writer records a core. A recording owes nothing to clients: a folder that fails, is full or stands still costs turns of it and
// nothing else. Its Tape runs in the turn and only hands over; a goroutine of its own writes. Where that can't
// keep up, or the disk fails, turns are dropped whole, and a new segment says how many.
type Writer struct {
	dir           string
	limits        Limits
	header        Header
	log           zerolog.Logger
	snapshot      func() (*core.Snapshot, error)
	queue         queue
	wg            sync.WaitGroup
	segmentWanted atomic.Bool // the goroutine wants a new segment
	disk          disk
	dirMissing    bool          // the folder could not be made yet
	retryDelay    time.Duration // between tries of a folder that fails
	leftover      string        // the goroutine's own: a segment of nothing that couldn't be removed

	// The turn's own.
	steps            uint64
	lostSinceSegment uint64 // turns dropped since the last that was handed over
	recording        bool   // a segment was begun and nothing was dropped since

	written atomic.Int64
	lost    atomic.Int64
}

// Open begins a recording in a folder. State is asked, within turns, for the core's snapshot. Errors are those of the
// folder.
func Open(dir string, bounds Limits, head Header, state func() (*core.Snapshot, error), log zerolog.Logger) (*Writer, error) {
	return open(dir, bounds, head, state, log, osDisk{})
}

func open(dir string, bounds Limits, head Header, state func() (*core.Snapshot, error), log zerolog.Logger,
	disk disk) (*Writer, error) {
	// An error that may be over in a moment keeps no router from starting: the folder is made with the first segment that can be.
	unmade := disk.MakeDir(dir)
	if unmade != nil && !persistence.IsTransient(unmade) {
		return nil, unmade
	}
	w := &Writer{dirMissing: unmade != nil, disk: disk, retryDelay: time.Second, dir: dir, limits: bounds, header: head, snapshot: state, log: log, queue: queue{wake: make(chan struct{}, 1)}}
	w.header.Version = Version
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		w.run()
	}()
	return w, nil
}

// Tape gives what the core is to record to. Call Begin before the first turn.
func (w *Writer) Recorder() *Recorder { return &Recorder{OnStep: w.endStep} }

// Begin begins a segment with a checkpoint of the core as it stands between two turns.
func (w *Writer) BeginSegment(now control.Micros) {
	s, err := w.snapshot()
	if err != nil {
		w.log.Error().Err(err).Msg("no checkpoint for the recording")
		return
	}
	h := w.header
	h.Segment, h.FirstStep, h.LostSteps = -1, w.steps, w.lostSinceSegment
	h.Clock = now
	if w.recording = w.queue.push(item{header: &h, checkpoint: s}); w.recording {
		w.lostSinceSegment = 0
	}
}

// end takes a finished turn. The checkpoint of a new segment is taken at the end of the turn before its first.
func (w *Writer) endStep(t Step) {
	number := w.steps
	w.steps++
	for w.recording && !w.queue.push(item{number: number, step: t}) {
		if w.recording = w.limits.WaitForDisk; w.recording {
			w.queue.signal()
			time.Sleep(time.Millisecond)
		}
	}
	if !w.recording {
		w.lostSinceSegment++
		w.lost.Add(1)
	}
	if w.segmentWanted.CompareAndSwap(true, false) || !w.recording && w.queue.length() < queueDepth/2 {
		w.BeginSegment(t.Clock)
	}
}

// Lost counts turns that were not recorded, Written the bytes that were.
func (w *Writer) LostSteps() int64 { return w.lost.Load() }

// Written counts the bytes written.
func (w *Writer) WrittenBytes() int64 { return w.written.Load() }

// Close ends the recording, with all turns that were handed over. Its Tape must not be in use any more.
func (w *Writer) Close() {
	w.queue.close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.wg.Wait()
	}()
	if w.limits.WaitForDisk {
		<-ended
		return
	}
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		w.log.Warn().Msg("the recording's disk stands still: its last turns are lost")
	}
}

// closeTime bounds what a disk that stands still costs a router that ends. A second of turns is written in far less.
const closeTimeout = 2 * time.Second
