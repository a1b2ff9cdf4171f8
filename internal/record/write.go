package record

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
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

// item is a segment's beginning, or a turn.
type item struct {
	header     *Header
	checkpoint *core.Snapshot
	number     uint64
	step       Step
}

// depth is how many turns may wait for the disk: a second of a busy router.
const queueDepth = 8192

// queue hands items from the turn to the goroutine that writes. It wakes that one seldom: a wake-up for each turn cost
// more than all else of the recording.
type queue struct {
	mu     sync.Mutex
	items  []item
	closed bool
	wake   chan struct{}
}

// push gives false where the queue is full.
func (q *queue) push(it item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= queueDepth {
		return false
	}
	if q.items = append(q.items, it); len(q.items) == queueDepth/2 {
		q.signal()
	}
	return true
}

func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// take gives all items and whether more may come.
func (q *queue) drain(room []item) (items []item, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	items, q.items = q.items, room[:0]
	return items, q.closed
}

func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.signal()
}

// Open begins a recording in a folder. State is asked, within turns, for the core's snapshot. Errors are those of the
// folder.
func Open(dir string, bounds Limits, head Header, state func() (*core.Snapshot, error), log zerolog.Logger) (*Writer, error) {
	return open(dir, bounds, head, state, log, osDisk{})
}

// file is a segment's.
type file interface {
	Write(b []byte) (int, error)
	Close() error
}

// disk is what a recording needs of a file system; tests have one that fails.
type disk interface {
	MakeDir(dir string) error
	Create(name string, flags int) (file, error)
}

type osDisk struct{}

func (osDisk) MakeDir(dir string) error { return os.MkdirAll(dir, 0o700) }

func (osDisk) Create(name string, flags int) (file, error) {
	f, err := os.OpenFile(name, flags|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err // not f: a nil *os.File would be a file
	}
	return f, nil
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

// makeRoom removes the oldest segments beyond the bound of all.
func (w *Writer) pruneSegments() {
	files, err := ListSegments(w.dir)
	if err != nil {
		return
	}
	total := int64(0)
	sizes := make([]int64, len(files))
	for i, f := range files {
		if info, err := os.Stat(f); err == nil {
			sizes[i] = info.Size()
			total += sizes[i]
		}
	}
	for i, f := range files {
		if total+w.limits.SegmentBytes <= w.limits.TotalBytes {
			break
		}
		if os.Remove(f) == nil {
			total -= sizes[i]
		}
	}
}

// Segments lists a folder's segments, oldest first: lives by the time of their first file, then by number.
func ListSegments(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	type found struct {
		name, life string
	}
	var fs []found
	begun := map[string]time.Time{}
	for _, e := range entries {
		name, ok := strings.CutSuffix(e.Name(), ".rec")
		if !ok || e.IsDir() {
			continue
		}
		life := name[:max(0, strings.LastIndexByte(name, '-'))]
		info, err := e.Info()
		if err != nil {
			continue
		}
		if at, known := begun[life]; !known || info.ModTime().Before(at) {
			begun[life] = info.ModTime()
		}
		fs = append(fs, found{e.Name(), life})
	}
	slices.SortFunc(fs, func(a, b found) int {
		return cmp.Or(begun[a.life].Compare(begun[b.life]), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(fs))
	for i, f := range fs {
		names[i] = filepath.Join(dir, f.name)
	}
	return names, nil
}
