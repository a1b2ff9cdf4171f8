package persistence

import (
	"cmp"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"hollymast/control"
)

// SyncPolicy says when entries are synced to the disk.
type SyncPolicy int

// With SyncNever entries survive the process, but perhaps not a power cut. With SyncGrouped each write is synced, together with all
// entries that came during the one before. With SyncEach every entry is written and synced by itself.
const (
	SyncNever SyncPolicy = iota
	SyncGrouped
	SyncEach
)

// Errors of a Batch.
var (
	// ErrClosed says that the journal was closed before the batch could be written.
	ErrClosed = errors.New("the journal was closed while it could not be written")
	// ErrOverflow says that the journal takes no entries: it is closed, or too many wait.
	ErrOverflow = errors.New("the journal is closed, or too much waits for it")
)

// Journal appends entries to files. A goroutine of its own writes, so that no step of the event loop waits for a disk: what is appended
// is durable once its batch is done. While the disk fails, batches wait and are written again; none is dropped before Close.
type Journal struct {
	JournalOptions
	dir string

	// What was found at the start.
	incomplete bool // a file could not be read
	uncertain  int  // how many of the first entries read have no known time

	failing  atomic.Bool
	failures atomic.Int64

	mu          sync.Mutex
	pending     []Entry // of batch
	batch       *Batch  // the one that Append adds to; nil: none
	outstanding int     // entries of batches that are not done
	closed      bool

	wake    chan struct{} // holds one
	stopped chan struct{} // closed when the writer goroutine has ended

	writerState
}

// JournalOptions configures a journal.
type JournalOptions struct {
	FileSystem     FileSystem
	Sync           SyncPolicy
	Retention      control.Micros // how long entries matter
	MaxBytes       int64          // size of all files; beyond it the oldest are removed
	MaxFileBytes   int64          // size at which the next file begins; 0: defaultFileBytes
	OnStatusChange func(error)    // called when writing begins to fail, and with nil when it works again
	OnWarning      func(string)   // called with what else operators should know
	RetryDelay     time.Duration  // the first after a failure; 0: initialRetryDelay
	Clock          Clock          // of this incarnation; the zero Clock: unknown, times of earlier ones are uncertain
	Now            control.Micros // in this incarnation's time; 0: unknown
}

const (
	// defaultFileBytes holds some 160 000 entries, which are read in a few milliseconds.
	defaultFileBytes = 4 << 20
	// maxOutstanding bounds the entries that wait for the disk. Beyond it batches fail at once, or a disk that fails for a minute would
	// take memory without end. It is more than a gateway of 10 000 requests a second appends in the seconds a sync may take.
	maxOutstanding = 1 << 18
	// initialRetryDelay is the first delay after a failure. It doubles with each, up to maxRetryDelayFactor times the first (a second):
	// what fails for a moment costs no request its time, and what fails for an hour costs no processor time.
	initialRetryDelay   = 5 * time.Millisecond
	maxRetryDelayFactor = 200
)

// OpenJournal opens a journal on the machine's file system. See JournalOptions.Open.
func OpenJournal(dir string, sync SyncPolicy, retention control.Micros, maxBytes int64, onFailure func(error)) (
	j *Journal, entries []Entry, warnings []string, err error) {
	return JournalOptions{FileSystem: OSFileSystem{}, Sync: sync, Retention: retention, MaxBytes: maxBytes,
		OnStatusChange: onFailure, OnWarning: func(string) {}}.Open(dir)
}

// Open reads a directory's journal files, oldest first, and begins a new one. It returns the entries that were read and warnings about
// damage, for operators. The error is that of listing the directory; a file that can't be begun is tried again later, and no batch is
// done before. The caller must Close the journal.
func (o JournalOptions) Open(dir string) (j *Journal, entries []Entry, warnings []string, err error) {
	o.MaxFileBytes, o.RetryDelay = cmp.Or(o.MaxFileBytes, defaultFileBytes), cmp.Or(o.RetryDelay, initialRetryDelay)
	j = &Journal{JournalOptions: o, dir: dir, wake: make(chan struct{}, 1), stopped: make(chan struct{}), writerState: newWriterState(o)}
	if entries, warnings, err = j.readFiles(); err != nil {
		return nil, nil, warnings, err
	}
	if err := j.beginFile(); err != nil {
		j.handleFailure(err)
	}
	go j.run()
	go j.syncFiles()
	return j, entries, warnings, nil
}

// Failing reports whether the last write failed: what is appended waits.
func (j *Journal) Failing() bool { return j.failing.Load() }

// FailureCount returns the number of writes that failed.
func (j *Journal) FailureCount() int64 { return j.failures.Load() }

// Incomplete reports that a file could not be read at the start: what it holds still counts and is not known.
func (j *Journal) Incomplete() bool { return j.incomplete }

// Append hands over entries and returns the batch in which they are written. It doesn't block.
func (j *Journal) Append(entries ...Entry) *Batch {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed || j.outstanding+len(entries) > maxOutstanding {
		b := newBatch()
		b.fail(ErrOverflow)
		return b
	}
	if j.batch == nil {
		j.batch = newBatch()
		j.wakeWriter()
	}
	j.pending = append(j.pending, entries...)
	j.outstanding += len(entries)
	return j.batch
}

// Close writes what is pending and waits for the writer's end. What can't be written then fails with ErrClosed.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	j.wakeWriter()
	<-j.stopped
}

func (j *Journal) wakeWriter() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}
