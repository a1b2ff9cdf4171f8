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

func newRound() *Batch { return &Batch{written: make(chan struct{}), done: make(chan struct{})} }

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

	unread   bool // a file, at the start
	unsure   int
	failing  atomic.Bool
	failures atomic.Int64

	mu      sync.Mutex
	pending []Entry
	round   *Batch
	owed    int // entries of rounds that are not done
	closed  bool
	wake    chan struct{}
	ended   chan struct{}

	toSync chan File // holds one
	synced chan error

	// The writer's own. Rounds go from unwritten to unsynced to done; when a file is abandoned those unsynced go back.
	file      *journalFile // nil: none stands
	number    int          // the highest in use
	newest    control.Micros
	unwritten []*Batch
	unsynced  []*Batch
	syncing   int          // of those unsynced, how many the sync that is under way covers
	shadow    *journalFile // an abandoned file that alone holds rounds which were told as written
	carried   int          // how many of the first unwritten rounds
	strays    []int        // numbers of files with nothing owed in them that couldn't be removed
	old       []oldFile
	pausing   bool // after a failure
	pause     time.Duration
	retry     *time.Timer
	syncs     int
	buf       []byte
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
	fileSize = 4 << 20
	// mostOwed bounds the entries that wait for the disk: beyond it rounds fail at once. A file that fails for a minute would
	// else take memory without end. It is more than a router of 10 000 jobs a second gives in the seconds a sync may take.
	mostOwed = 1 << 18
	// A failing disk is tried again after a pause, each twice the one before up to a second, so that what fails for a moment
	// costs no job its time, and what fails for an hour costs nothing.
	firstPause = 5 * time.Millisecond
	mostPauses = 200 // of the first
)

// OpenJournal reads a folder's journals, oldest first, and begins a new one. What was told of damage is for operators.
// Entries are kept for a time. Failed hears of writing that begins to fail, and nil when that is over.
func OpenJournal(dir string, sync SyncPolicy, keep control.Micros, most int64, failed func(error)) (j *Journal, es []Entry, told []string, err error) {
	return JournalOptions{FileSystem: OSFileSystem{}, Sync: sync, Retention: keep, MaxBytes: most, OnFailure: failed, OnWarning: func(string) {}}.Open(dir)
}

// Open is OpenJournal.
func (o JournalOptions) Open(dir string) (j *Journal, es []Entry, told []string, err error) {
	o.MaxFileBytes, o.RetryDelay = cmp.Or(o.MaxFileBytes, fileSize), cmp.Or(o.RetryDelay, firstPause)
	j = &Journal{JournalOptions: o, dir: dir, wake: make(chan struct{}, 1), ended: make(chan struct{}),
		newest: o.Now, toSync: make(chan File, 1), synced: make(chan error, 1), pause: o.RetryDelay, retry: time.NewTimer(0)}
	<-j.retry.C
	if es, told, err = j.read(); err != nil {
		return nil, nil, told, err
	}
	if err := j.begin(); err != nil {
		j.trouble(err) // it is tried again, and nothing is done before it stands
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
	if j.closed || j.owed+len(es) > mostOwed {
		r := newRound()
		r.fail(errors.New("the journal is closed, or too much waits for it"))
		return r
	}
	if j.round == nil {
		j.round = newRound()
		select {
		case j.wake <- struct{}{}:
		default:
		}
	}
	j.pending = append(j.pending, es...)
	j.owed += len(es)
	return j.round
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
	<-j.ended
}

func (j *Journal) run() {
	defer close(j.ended)
	defer close(j.toSync)
	for {
		select {
		case <-j.wake:
		case err := <-j.synced:
			j.syncEnded(err)
		case <-j.retry.C:
			j.pausing = false
		}
		closed := j.takePending()
		if closed {
			j.last()
			return
		}
		if !j.pausing {
			j.bring()
		}
	}
}

func (j *Journal) takePending() (closed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.round; r != nil {
		r.entries = j.pending
		j.unwritten = append(j.unwritten, r)
		j.pending, j.round = nil, nil
	}
	return j.closed
}

// last brings what is left to the disk, trying each step that fails once more.
func (j *Journal) last() {
	for range 2 {
		j.bring()
		if j.syncing > 0 {
			j.syncEnded(<-j.synced)
		}
	}
	for _, r := range slices.Concat(j.unsynced, j.unwritten) {
		r.fail(errors.New("the journal was closed while it could not be written"))
	}
	if j.file != nil {
		j.close(j.file)
	}
	j.retry.Stop()
}

// syncFiles syncs files beside what goes on being written.
func (j *Journal) syncFiles() {
	for f := range j.toSync {
		j.synced <- f.Sync()
	}
}

// bring writes what is unwritten and has it synced where that is promised.
func (j *Journal) bring() {
	if err := j.writeAll(); err != nil {
		j.trouble(err)
		return
	}
	if j.Sync == SyncGrouped && j.syncing == 0 && len(j.unsynced) > 0 {
		j.syncs++
		j.syncing = len(j.unsynced)
		j.toSync <- j.file.File
	}
	j.well()
}

func (j *Journal) writeAll() error {
	if j.file == nil {
		if err := j.begin(); err != nil {
			return err
		}
	}
	for len(j.unwritten) > 0 {
		r := j.unwritten[0]
		// A round as old as the last stays beside it: no two files hold the same frame unless it was written again.
		if j.file.size > j.MaxFileBytes && newest(r.entries) > j.file.newest {
			if err := j.finish(); err != nil {
				return err
			}
			if err := j.begin(); err != nil {
				return err
			}
		}
		if err := j.write(r); err != nil {
			return err
		}
		j.unwritten = j.unwritten[1:]
		if j.unsynced = append(j.unsynced, r); j.Sync != SyncGrouped {
			j.done(1)
		} else {
			r.release()
		}
		if j.carried > 0 {
			if j.carried--; j.carried == 0 { // this file holds them all
				shadow := j.shadow
				j.shadow = nil
				j.discard(shadow.number)
			}
		}
	}
	return nil
}

func newest(es []Entry) (at control.Micros) {
	for _, e := range es {
		at = max(at, e.At)
	}
	return at
}

func (j *Journal) write(r *Batch) error {
	part := mostInFrame
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
			j.syncs++
			if err := j.file.Sync(); err != nil {
				return err
			}
		}
	}
	j.file.newest = max(j.file.newest, newest(r.entries))
	j.newest = max(j.newest, j.file.newest)
	return nil
}

// done ends the first rounds of those unsynced.
func (j *Journal) done(n int) {
	kept := j.unsynced[:n]
	j.unsynced = j.unsynced[n:]
	j.file.kept = true
	j.settle(kept)
	for _, r := range kept {
		r.release()
		close(r.done)
	}
}

// settle takes rounds off what is owed. It comes before they are told as done: whoever waited for that may hand over as much again.
func (j *Journal) settle(kept []*Batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range kept {
		j.owed -= len(r.entries)
	}
}

func (j *Journal) syncEnded(err error) {
	n := j.syncing
	j.syncing = 0
	if err != nil {
		j.trouble(err)
		return
	}
	j.done(n)
	j.well()
}

// trouble takes in that writing failed. After a failed sync the kernel may count the pages as clean, so that a later success
// proves nothing; after a failed write half a frame may stand there. Either way the file is abandoned.
func (j *Journal) trouble(err error) {
	j.failures.Add(1)
	if !j.failing.Swap(true) {
		j.OnFailure(err)
	}
	j.abandon()
	j.pausing = true
	j.retry.Reset(j.pause)
	j.pause = min(2*j.pause, mostPauses*j.RetryDelay)
}

// well takes in that all is kept.
func (j *Journal) well() {
	if j.file == nil || len(j.unwritten)+len(j.unsynced) > 0 {
		return
	}
	j.pause = j.RetryDelay
	if !j.failing.Swap(false) {
		return
	}
	j.prune()
	j.OnFailure(nil)
}
