package persistence

import (
	"cmp"
	"errors"
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
