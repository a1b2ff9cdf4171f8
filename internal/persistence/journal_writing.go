package persistence

import (
	"slices"
	"time"

	"hollymast/control"
)

// writerState belongs to the journal's writer goroutine, after Open. Batches go from unwritten to unsynced to done; when a file is
// abandoned those unsynced go back.
type writerState struct {
	file       *journalFile   // nil: none is open
	lastNumber int            // the highest file number in use
	newestAt   control.Micros // time of the newest entry in any file

	unwritten      []*Batch
	unsynced       []*Batch
	syncingBatches int // how many of the first unsynced batches the sync under way covers

	abandoned   *journalFile // a file given up that alone holds batches reported as written; nil: none
	rewriting   int          // how many of the first unwritten batches those are
	leftovers   []int        // numbers of files that hold nothing of use and could not be removed
	closedFiles []closedFile

	backingOff bool // after a failure, until retryTimer fires
	nextDelay  time.Duration
	retryTimer *time.Timer

	toSync    chan File // holds one
	synced    chan error
	syncCount int
	buf       []byte
}

func newWriterState(o JournalOptions) writerState {
	s := writerState{newestAt: o.Now, nextDelay: o.RetryDelay, retryTimer: time.NewTimer(0), toSync: make(chan File, 1),
		synced: make(chan error, 1)}
	<-s.retryTimer.C
	return s
}

// run is the writer goroutine.
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

// syncFiles is the goroutine that syncs files while the writer goes on. It ends with the writer, which closes toSync.
func (j *Journal) syncFiles() {
	for f := range j.toSync {
		j.synced <- f.Sync()
	}
}

func (j *Journal) takePending() (closed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if b := j.batch; b != nil {
		b.entries = j.pending
		j.unwritten = append(j.unwritten, b)
		j.pending, j.batch = nil, nil
	}
	return j.closed
}

// flushAndStop writes what is left. Each step that fails is tried once more.
func (j *Journal) flushAndStop() {
	for range 2 {
		j.flush()
		if j.syncingBatches > 0 {
			j.handleSyncResult(<-j.synced)
		}
	}
	for _, b := range slices.Concat(j.unsynced, j.unwritten) {
		b.fail(ErrClosed)
	}
	if j.file != nil {
		j.closeFile(j.file)
	}
	j.retryTimer.Stop()
}

// flush writes what is unwritten, and has it synced where the policy says so.
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
		b := j.unwritten[0]
		if err := j.rotate(b); err != nil {
			return err
		}
		if err := j.writeBatch(b); err != nil {
			return err
		}
		j.unwritten = j.unwritten[1:]
		if j.unsynced = append(j.unsynced, b); j.Sync != SyncGrouped {
			j.completeBatches(1)
		} else {
			b.release()
		}
		j.releaseAbandoned()
	}
	return nil
}

// rotate begins another file before a batch if this one is full. A batch as old as the last one goes into the same file: two files hold
// an equal frame only if it was written again, which the reader relies on.
func (j *Journal) rotate(next *Batch) error {
	if j.file.size <= j.MaxFileBytes || newestTime(next.entries) <= j.file.newestAt {
		return nil
	}
	if err := j.finishFile(); err != nil {
		return err
	}
	return j.beginFile()
}

// releaseAbandoned removes the abandoned file once the present one holds all that it alone held.
func (j *Journal) releaseAbandoned() {
	if j.rewriting == 0 {
		return
	}
	if j.rewriting--; j.rewriting == 0 {
		abandoned := j.abandoned
		j.abandoned = nil
		j.removeFile(abandoned.number)
	}
}

func newestTime(entries []Entry) (at control.Micros) {
	for _, e := range entries {
		at = max(at, e.At)
	}
	return at
}

func (j *Journal) writeBatch(b *Batch) error {
	chunk := maxFrameEntries
	if j.Sync == SyncEach {
		chunk = 1
	}
	for entries := range slices.Chunk(b.entries, chunk) {
		j.buf = appendFrame(j.buf[:0], entries)
		n, err := j.file.Write(j.buf)
		j.file.size += int64(n)
		if err != nil { // it may have left half a frame, at which reading ends: nothing may follow in this file
			return err
		}
		if j.Sync == SyncEach {
			j.syncCount++
			if err := j.file.Sync(); err != nil {
				return err
			}
		}
	}
	j.file.newestAt = max(j.file.newestAt, newestTime(b.entries))
	j.newestAt = max(j.newestAt, j.file.newestAt)
	return nil
}

// completeBatches ends the first n unsynced batches as done.
func (j *Journal) completeBatches(n int) {
	batches := j.unsynced[:n]
	j.unsynced = j.unsynced[n:]
	j.file.holdsDone = true
	j.reduceOutstanding(batches)
	for _, b := range batches {
		b.release()
		close(b.done)
	}
}

// reduceOutstanding subtracts batches from what is outstanding. It comes before they are done: who waited for that may append as much
// again.
func (j *Journal) reduceOutstanding(batches []*Batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, b := range batches {
		j.outstanding -= len(b.entries)
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

// handleFailure abandons the file and backs off. After a failed sync the kernel may count the pages as clean, so that a later success
// proves nothing; after a failed write the file may end in half a frame.
func (j *Journal) handleFailure(err error) {
	j.failures.Add(1)
	if !j.failing.Swap(true) {
		j.OnStatusChange(err)
	}
	j.abandonFile()
	j.backingOff = true
	j.retryTimer.Reset(j.nextDelay)
	j.nextDelay = min(2*j.nextDelay, maxRetryDelayFactor*j.RetryDelay)
}

// handleRecovery ends a failure once nothing is left to be written or synced.
func (j *Journal) handleRecovery() {
	if j.file == nil || len(j.unwritten)+len(j.unsynced) > 0 {
		return
	}
	j.nextDelay = j.RetryDelay
	if !j.failing.Swap(false) {
		return
	}
	j.pruneFiles()
	j.OnStatusChange(nil)
}
