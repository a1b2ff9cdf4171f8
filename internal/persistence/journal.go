package persistence

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hollymast/control"
)

// Sync says when what is written is brought to the disk itself.
type SyncPolicy int

// Never: what a killed process wrote is there, what a power cut meets may not be. Grouped: each write is synced, with all
// entries that came meanwhile. Each: each entry is written and synced by itself.
const (
	SyncNever SyncPolicy = iota
	SyncGrouped
	SyncEach
)

// Round is a group of entries on its way to the disk.
type Batch struct {
	written chan struct{}
	done    chan struct{}
	err     error // before done is closed
	lost    bool  // before written is closed

	// The writer's own.
	entries  []Entry
	released bool // written is closed
}

// Written is closed once a killed process would leave the group behind, or it can't be kept: see Lost. What matters for
// seconds only need not wait for more: a machine that lost its power is away for longer.
func (r *Batch) Written() <-chan struct{} { return r.written }

// Done is closed once the group is kept as the journal promises, or can't be: see Err.
func (r *Batch) Done() <-chan struct{} { return r.done }

// Err tells, once Done is closed, why the group is not kept.
func (r *Batch) Err() error { return r.err }

// Lost tells, once Written is closed, that the group was not even written.
func (r *Batch) Lost() bool { return r.lost }

func newBatch() *Batch { return &Batch{written: make(chan struct{}), done: make(chan struct{})} }

func (r *Batch) release() {
	if !r.released {
		r.released = true
		close(r.written)
	}
}

func (r *Batch) fail(err error) {
	r.err = err
	if !r.released {
		r.lost = true
	}
	r.release()
	close(r.done)
}

// Journal appends entries to files. What is appended is not kept before its round is done; a goroutine of its own writes,
// so that no turn waits for a disk. While the disk fails rounds wait and are tried again; none is dropped but at the end.
type Journal struct {
	JournalOptions
	dir string

	incomplete bool // a file, at the start
	uncertain  int
	failing    atomic.Bool
	failures   atomic.Int64

	mu          sync.Mutex
	pending     []Entry
	batch       *Batch
	outstanding int // entries of rounds that are not done
	closed      bool
	wake        chan struct{}
	stopped     chan struct{}

	toSync chan File // holds one
	synced chan error

	// The writer's own. Rounds go from unwritten to unsynced to done; when a file is abandoned those unsynced go back.
	file           *journalFile // nil: none stands
	lastNumber     int          // the highest in use
	newestAt       control.Micros
	unwritten      []*Batch
	unsynced       []*Batch
	syncingBatches int          // of those unsynced, how many the sync that is under way covers
	abandoned      *journalFile // an abandoned file that alone holds rounds which were told as written
	rewriting      int          // how many of the first unwritten rounds
	leftovers      []int        // numbers of files with nothing owed in them that couldn't be removed
	closedFiles    []closedFile
	backingOff     bool // after a failure
	nextDelay      time.Duration
	retryTimer     *time.Timer
	syncCount      int
	buf            []byte
}

// JournalOptions tells how a journal is kept.
type JournalOptions struct {
	FileSystem   FileSystem
	Sync         SyncPolicy
	Retention    control.Micros // how long entries matter
	MaxBytes     int64          // bytes of all files; the oldest go
	MaxFileBytes int64          // bytes after which a next file begins; 0: the usual
	OnFailure    func(error)    // hears of writing that begins to fail, and nil when it is over
	OnWarning    func(string)   // hears what else operators should know
	RetryDelay   time.Duration  // the first after a failure; 0: the usual
	Clock        Clock          // of this life; unknown: times of earlier lives are taken as they are
	Now          control.Micros // in its time
}

const (
	// fileSize is when a next file begins: some 160 000 entries, read in a few milliseconds.
	defaultFileBytes = 4 << 20
	// mostOwed bounds the entries that wait for the disk: beyond it rounds fail at once. A file that fails for a minute would
	// else take memory without end. It is more than a router of 10 000 jobs a second gives in the seconds a sync may take.
	maxOutstanding = 1 << 18
	// A failing disk is tried again after a pause, each twice the one before up to a second, so that what fails for a moment
	// costs no job its time, and what fails for an hour costs nothing.
	initialRetryDelay   = 5 * time.Millisecond
	maxRetryDelayFactor = 200 // of the first
)

// OpenJournal reads a folder's journals, oldest first, and begins a new one. What was told of damage is for operators.
// Entries are kept for a time. Failed hears of writing that begins to fail, and nil when that is over.
func OpenJournal(dir string, sync SyncPolicy, keep control.Micros, most int64, failed func(error)) (j *Journal, es []Entry, told []string, err error) {
	return JournalOptions{FileSystem: OSFileSystem{}, Sync: sync, Retention: keep, MaxBytes: most, OnFailure: failed, OnWarning: func(string) {}}.Open(dir)
}

// Open is OpenJournal.
func (o JournalOptions) Open(dir string) (j *Journal, es []Entry, told []string, err error) {
	o.MaxFileBytes, o.RetryDelay = cmp.Or(o.MaxFileBytes, defaultFileBytes), cmp.Or(o.RetryDelay, initialRetryDelay)
	j = &Journal{JournalOptions: o, dir: dir, wake: make(chan struct{}, 1), stopped: make(chan struct{}),
		newestAt: o.Now, toSync: make(chan File, 1), synced: make(chan error, 1), nextDelay: o.RetryDelay, retryTimer: time.NewTimer(0)}
	<-j.retryTimer.C
	if es, told, err = j.readFiles(); err != nil {
		return nil, nil, told, err
	}
	if err := j.beginFile(); err != nil {
		j.handleFailure(err) // it is tried again, and nothing is done before it stands
	}
	go j.run()
	go j.syncFiles()
	return j, es, told, nil
}

// Failing tells whether the last writing failed: what is handed over waits.
func (j *Journal) Failing() bool { return j.failing.Load() }

// Failures counts the writings that failed.
func (j *Journal) Failures() int64 { return j.failures.Load() }

// Append hands over entries and gives the round in which they are written.
func (j *Journal) Append(es ...Entry) *Batch {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed || j.outstanding+len(es) > maxOutstanding {
		r := newBatch()
		r.fail(errors.New("the journal is closed, or too much waits for it"))
		return r
	}
	if j.batch == nil {
		j.batch = newBatch()
		select {
		case j.wake <- struct{}{}:
		default:
		}
	}
	j.pending = append(j.pending, es...)
	j.outstanding += len(es)
	return j.batch
}

// Close writes what is pending and ends. What can't be written then fails.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
	<-j.stopped
}

func (j *Journal) run() {
	defer close(j.stopped)
	defer close(j.toSync)
	for {
		select {
		case <-j.wake:
		case err := <-j.synced:
			j.handleSyncResult(err)
		case <-j.retryTimer.C:
			j.backingOff = false
		}
		closed := j.takePending()
		if closed {
			j.flushAndStop()
			return
		}
		if !j.backingOff {
			j.flush()
		}
	}
}

func (j *Journal) takePending() (closed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.batch; r != nil {
		r.entries = j.pending
		j.unwritten = append(j.unwritten, r)
		j.pending, j.batch = nil, nil
	}
	return j.closed
}

// last brings what is left to the disk, trying each step that fails once more.
func (j *Journal) flushAndStop() {
	for range 2 {
		j.flush()
		if j.syncingBatches > 0 {
			j.handleSyncResult(<-j.synced)
		}
	}
	for _, r := range slices.Concat(j.unsynced, j.unwritten) {
		r.fail(errors.New("the journal was closed while it could not be written"))
	}
	if j.file != nil {
		j.closeFile(j.file)
	}
	j.retryTimer.Stop()
}

// syncFiles syncs files beside what goes on being written.
func (j *Journal) syncFiles() {
	for f := range j.toSync {
		j.synced <- f.Sync()
	}
}

// bring writes what is unwritten and has it synced where that is promised.
func (j *Journal) flush() {
	if err := j.writeAll(); err != nil {
		j.handleFailure(err)
		return
	}
	if j.Sync == SyncGrouped && j.syncingBatches == 0 && len(j.unsynced) > 0 {
		j.syncCount++
		j.syncingBatches = len(j.unsynced)
		j.toSync <- j.file.File
	}
	j.handleRecovery()
}

func (j *Journal) writeAll() error {
	if j.file == nil {
		if err := j.beginFile(); err != nil {
			return err
		}
	}
	for len(j.unwritten) > 0 {
		r := j.unwritten[0]
		// A round as old as the last stays beside it: no two files hold the same frame unless it was written again.
		if j.file.size > j.MaxFileBytes && newestTime(r.entries) > j.file.newestAt {
			if err := j.finishFile(); err != nil {
				return err
			}
			if err := j.beginFile(); err != nil {
				return err
			}
		}
		if err := j.writeBatch(r); err != nil {
			return err
		}
		j.unwritten = j.unwritten[1:]
		if j.unsynced = append(j.unsynced, r); j.Sync != SyncGrouped {
			j.completeBatches(1)
		} else {
			r.release()
		}
		if j.rewriting > 0 {
			if j.rewriting--; j.rewriting == 0 { // this file holds them all
				shadow := j.abandoned
				j.abandoned = nil
				j.removeFile(shadow.number)
			}
		}
	}
	return nil
}

func newestTime(es []Entry) (at control.Micros) {
	for _, e := range es {
		at = max(at, e.At)
	}
	return at
}

func (j *Journal) writeBatch(r *Batch) error {
	part := maxFrameEntries
	if j.Sync == SyncEach {
		part = 1
	}
	for in := range slices.Chunk(r.entries, part) {
		j.buf = appendFrame(j.buf[:0], in)
		n, err := j.file.Write(j.buf)
		j.file.size += int64(n)
		if err != nil { // it may have left half a frame, which ends the reading: nothing may follow in this file
			return err
		}
		if j.Sync == SyncEach {
			j.syncCount++
			if err := j.file.Sync(); err != nil {
				return err
			}
		}
	}
	j.file.newestAt = max(j.file.newestAt, newestTime(r.entries))
	j.newestAt = max(j.newestAt, j.file.newestAt)
	return nil
}

// done ends the first rounds of those unsynced.
func (j *Journal) completeBatches(n int) {
	kept := j.unsynced[:n]
	j.unsynced = j.unsynced[n:]
	j.file.holdsDone = true
	j.reduceOutstanding(kept)
	for _, r := range kept {
		r.release()
		close(r.done)
	}
}

// settle takes rounds off what is owed. It comes before they are told as done: whoever waited for that may hand over as much again.
func (j *Journal) reduceOutstanding(kept []*Batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range kept {
		j.outstanding -= len(r.entries)
	}
}

func (j *Journal) handleSyncResult(err error) {
	n := j.syncingBatches
	j.syncingBatches = 0
	if err != nil {
		j.handleFailure(err)
		return
	}
	j.completeBatches(n)
	j.handleRecovery()
}

// trouble takes in that writing failed. After a failed sync the kernel may count the pages as clean, so that a later success
// proves nothing; after a failed write half a frame may stand there. Either way the file is abandoned.
func (j *Journal) handleFailure(err error) {
	j.failures.Add(1)
	if !j.failing.Swap(true) {
		j.OnFailure(err)
	}
	j.abandonFile()
	j.backingOff = true
	j.retryTimer.Reset(j.nextDelay)
	j.nextDelay = min(2*j.nextDelay, maxRetryDelayFactor*j.RetryDelay)
}

// well takes in that all is kept.
func (j *Journal) handleRecovery() {
	if j.file == nil || len(j.unwritten)+len(j.unsynced) > 0 {
		return
	}
	j.nextDelay = j.RetryDelay
	if !j.failing.Swap(false) {
		return
	}
	j.pruneFiles()
	j.OnFailure(nil)
}
