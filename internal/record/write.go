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
	dir    string
	bounds Limits
	head   Header
	log    zerolog.Logger
	state  func() (*core.Snapshot, error)
	queue  queue
	done   sync.WaitGroup
	fresh  atomic.Bool // the goroutine wants a new segment
	disk   disk
	unmade bool          // the folder could not be made yet
	pause  time.Duration // between tries of a folder that fails
	stray  string        // the goroutine's own: a segment of nothing that couldn't be removed

	// The turn's own.
	turns uint64
	gap   uint64 // turns dropped since the last that was handed over
	on    bool   // a segment was begun and nothing was dropped since

	written atomic.Int64
	lost    atomic.Int64
}

// item is a segment's beginning, or a turn.
type item struct {
	header     *Header
	checkpoint *core.Snapshot
	number     uint64
	turn       Step
}

// depth is how many turns may wait for the disk: a second of a busy router.
const depth = 8192

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
	if len(q.items) >= depth {
		return false
	}
	if q.items = append(q.items, it); len(q.items) == depth/2 {
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
func (q *queue) take(room []item) (items []item, closed bool) {
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
	return open(dir, bounds, head, state, log, machine{})
}

// file is a segment's.
type file interface {
	Write(b []byte) (int, error)
	Close() error
}

// disk is what a recording needs of a file system; tests have one that fails.
type disk interface {
	Make(dir string) error
	Create(name string, flags int) (file, error)
}

type machine struct{}

func (machine) Make(dir string) error { return os.MkdirAll(dir, 0o700) }

func (machine) Create(name string, flags int) (file, error) {
	f, err := os.OpenFile(name, flags|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err // not f: a nil *os.File would be a file
	}
	return f, nil
}

func open(dir string, bounds Limits, head Header, state func() (*core.Snapshot, error), log zerolog.Logger,
	disk disk) (*Writer, error) {
	// An error that may be over in a moment keeps no router from starting: the folder is made with the first segment that can be.
	unmade := disk.Make(dir)
	if unmade != nil && !persistence.IsTransient(unmade) {
		return nil, unmade
	}
	w := &Writer{unmade: unmade != nil, disk: disk, pause: time.Second, dir: dir, bounds: bounds, head: head, state: state, log: log, queue: queue{wake: make(chan struct{}, 1)}}
	w.head.Version = Version
	w.done.Add(1)
	go func() {
		defer w.done.Done()
		w.write()
	}()
	return w, nil
}

// Tape gives what the core is to record to. Call Begin before the first turn.
func (w *Writer) Recorder() *Recorder { return &Recorder{OnStep: w.end} }

// Begin begins a segment with a checkpoint of the core as it stands between two turns.
func (w *Writer) BeginSegment(now control.Micros) {
	s, err := w.state()
	if err != nil {
		w.log.Error().Err(err).Msg("no checkpoint for the recording")
		return
	}
	h := w.head
	h.Segment, h.FirstStep, h.LostSteps = -1, w.turns, w.gap
	h.Clock = now
	if w.on = w.queue.push(item{header: &h, checkpoint: s}); w.on {
		w.gap = 0
	}
}

// end takes a finished turn. The checkpoint of a new segment is taken at the end of the turn before its first.
func (w *Writer) end(t Step) {
	number := w.turns
	w.turns++
	for w.on && !w.queue.push(item{number: number, turn: t}) {
		if w.on = w.bounds.WaitForDisk; w.on {
			w.queue.signal()
			time.Sleep(time.Millisecond)
		}
	}
	if !w.on {
		w.gap++
		w.lost.Add(1)
	}
	if w.fresh.CompareAndSwap(true, false) || !w.on && w.queue.length() < depth/2 {
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
		w.done.Wait()
	}()
	if w.bounds.WaitForDisk {
		<-ended
		return
	}
	timer := time.NewTimer(closeTime)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		w.log.Warn().Msg("the recording's disk stands still: its last turns are lost")
	}
}

// closeTime bounds what a disk that stands still costs a router that ends. A second of turns is written in far less.
const closeTime = 2 * time.Second

// segment is the file being written.
type segment struct {
	file  file
	name  string
	some  bool // turns are in it
	size  int64
	begun time.Time
	turns batch
}

// write is the goroutine that writes.
func (w *Writer) write() {
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
				if !s.some {
					w.discard(s.name)
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
		items, closed := w.queue.take(room)
		for _, it := range items {
			if it.header != nil {
				if s != nil {
					check(w.finish(s))
				}
				it.header.Segment = number
				var err error
				if s, err = w.begin(it); err == nil {
					number++
				}
				check(err)
				continue
			}
			if s == nil { // what comes for a segment that failed is lost
				w.lost.Add(1)
				continue
			}
			if len(s.turns.Turns) == 0 {
				s.turns.First = it.number
			}
			s.turns.Turns = append(s.turns.Turns, it.turn)
			const full = 512 // turns in a frame: enough for zstd to find what repeats
			if len(s.turns.Turns) >= full {
				check(w.flush(s))
				runtime.Gosched() // a burst of frames would keep a processor from turns for milliseconds
			}
		}
		clear(items)
		room = items
		switch {
		case closed && s != nil:
			check(w.finish(s))
			return
		case closed:
			return
		case s != nil:
			check(w.flush(s))
			if said && s != nil && s.some {
				w.log.Info().Msg("recording goes on")
				said = false
			}
			if s != nil && (s.size > w.bounds.SegmentBytes || time.Since(s.begun) > w.bounds.SegmentAge) {
				s.begun = time.Now()
				w.fresh.Store(true)
			}
		case !failed.IsZero() && time.Since(failed) > w.pause:
			failed = time.Now()
			w.fresh.Store(true)
		}
	}
}

// finish ends a segment.
func (w *Writer) finish(s *segment) error {
	if err := w.flush(s); err != nil {
		return err
	}
	return s.file.Close()
}

// begin opens a segment's file and writes its head.
func (w *Writer) begin(it item) (*segment, error) {
	w.makeRoom()
	if w.unmade {
		if err := w.disk.Make(w.dir); err != nil {
			return nil, err
		}
		w.unmade = false // one that goes later is not made again: what is mounted there may be missing
	}
	name := filepath.Join(w.dir, fmt.Sprintf("%s-%06d.rec", w.head.Incarnation, it.header.Segment))
	flags := os.O_EXCL
	if name == w.stray {
		flags = os.O_TRUNC
	}
	file, err := w.disk.Create(name, flags)
	if err != nil {
		return nil, err
	}
	s := &segment{file: file, name: name, begun: time.Now()}
	b, err := opening(it.header, it.checkpoint)
	if err == nil {
		err = w.put(s, b)
	}
	if err != nil {
		file.Close()
		w.discard(name)
		return nil, err
	}
	return s, nil
}

// discard removes a segment in which nothing stands. One that can't be removed is written over by the next try: a folder that fails
// for long fills with none.
func (w *Writer) discard(name string) {
	if err := os.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		w.stray = name
	}
}

// opening is a segment's beginning.
func opening(h *Header, s *core.Snapshot) (b []byte, err error) {
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
	return opening(&h, s)
}

func (w *Writer) put(s *segment, b []byte) error {
	n, err := s.file.Write(b)
	s.size += int64(n)
	w.written.Add(int64(n))
	return err
}

func (w *Writer) flush(s *segment) error {
	if len(s.turns.Turns) == 0 {
		return nil
	}
	b, err := appendFrame(nil, s.turns)
	if err != nil {
		return err
	}
	clear(s.turns.Turns)
	s.turns.Turns = s.turns.Turns[:0]
	if err := w.put(s, b); err != nil {
		return err
	}
	s.some = true
	return nil
}

// makeRoom removes the oldest segments beyond the bound of all.
func (w *Writer) makeRoom() {
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
		if total+w.bounds.SegmentBytes <= w.bounds.TotalBytes {
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
