package persistence

import (
	"cmp"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"hollymast/control"
)

// SyncPolicy says when entries are synced to disk.
type SyncPolicy int

// With SyncNever, entries survive a crash of the process but perhaps not a power failure. With SyncGrouped, every write is synced,
// and entries that arrive during one sync share the next. With SyncEach, every entry is written and synced separately.
const (
	SyncNever SyncPolicy = iota
	SyncGrouped
	SyncEach
)

// Errors of a Batch.
var (
	// ErrClosed means that the journal was closed before the batch could be written.
	ErrClosed = errors.New("the journal was closed before the entries could be written")
	// ErrOverflow means that the journal accepts no entries because it is closed or has too many pending.
	ErrOverflow = errors.New("the journal is closed or has too many pending entries")
)

// Journal appends entries to files. A separate goroutine writes, so that no step of the event loop waits for a disk; entries are durable
// once their batch is done. While the disk fails, batches are kept and retried; none is dropped before Close.
type Journal struct {
	JournalOptions
	dir string

	// Set when the journal is opened.
	incomplete   bool // a file could not be read
	untimedCount int  // how many of the entries read, counted from the first, have unknown times

	failing  atomic.Bool
	failures atomic.Int64

	mu          sync.Mutex
	pending     []Entry // entries of batch
	batch       *Batch  // the batch that Append adds to; nil: none
	outstanding int     // number of entries in batches that are not done
	closed      bool

	wake    chan struct{} // buffer of one
	stopped chan struct{} // closed when the writer goroutine has ended

	writerState
}

// JournalOptions configures a journal.
type JournalOptions struct {
	FileSystem     FileSystem
	Sync           SyncPolicy
	Retention      control.Micros // how long entries are needed
	MaxBytes       int64          // maximum size of all files; the oldest files beyond it are removed
	MaxFileBytes   int64          // size after which the next file begins; 0: defaultFileBytes
	OnStatusChange func(error)    // called with the error when writing begins to fail, and with nil when it works again
	OnWarning      func(string)   // called with other messages for operators
	RetryDelay     time.Duration  // first delay after a failure; 0: initialRetryDelay
	Clock          Clock          // clock of this incarnation; zero: unknown, and so are the times of earlier incarnations
	Now            control.Micros // current time of this incarnation; 0: unknown
}

const (
	// defaultFileBytes is enough for about 160 000 entries, which are read in a few milliseconds.
	defaultFileBytes = 4 << 20
	// maxOutstanding limits the entries that wait for the disk. Beyond it batches fail at once; without it memory would grow for as long
	// as a disk fails. It is more than a gateway with 10 000 requests per second appends in the seconds that a sync may take.
	maxOutstanding = 1 << 18
	// initialRetryDelay is the first delay after a failure. The delay doubles with each failure, up to maxRetryDelayFactor times the first
	// (one second): a short failure doesn't make requests miss their deadlines, and a long one takes little processor time.
	initialRetryDelay   = 5 * time.Millisecond
	maxRetryDelayFactor = 200
)

// OpenJournal opens a journal on the operating system's file system. See JournalOptions.Open.
func OpenJournal(dir string, sync SyncPolicy, retention control.Micros, maxBytes int64, onStatusChange func(error)) (
	j *Journal, entries []Entry, warnings []string, err error) {
	return JournalOptions{FileSystem: OSFileSystem{}, Sync: sync, Retention: retention, MaxBytes: maxBytes,
		OnStatusChange: onStatusChange, OnWarning: func(string) {}}.Open(dir)
}

// Open reads a directory's journal files, oldest first, and begins a new one. It returns the entries that were read and, for operators,
// warnings about corrupt or unreadable files. It fails only if the directory can't be listed; if the new file can't be created, this is
// retried later, and no batch is done until then. The caller must Close the journal.
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

// Failing reports whether writes are failing, so that appended entries wait.
func (j *Journal) Failing() bool { return j.failing.Load() }

// FailureCount returns the number of writes that failed.
func (j *Journal) FailureCount() int64 { return j.failures.Load() }

// Incomplete reports whether a file could not be read when the journal was opened, so that entries that still matter are missing.
func (j *Journal) Incomplete() bool { return j.incomplete }

// Append queues entries and returns the batch in which they are written. It doesn't block.
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

// Close writes the pending entries and waits until the writer has ended. Batches that can't be written fail with ErrClosed.
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
