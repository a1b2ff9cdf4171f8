package persistence

import (
	"slices"
	"time"

	"hollymast/control"
)

// writerState is used only by the journal's writer goroutine once the journal is open. Batches go from unwritten to unsynced to done; when
// a file is abandoned, its unsynced batches become unwritten again.
type writerState struct {
	file       *journalFile   // nil: none is open
	lastNumber int            // highest file number used
	newestAt   control.Micros // time of the newest entry in any file

	unwritten      []*Batch
	unsynced       []*Batch
	syncingBatches int // how many unsynced batches, counted from the first, the current sync covers

	abandoned    *journalFile // an abandoned file that alone holds some batches reported as written; nil: none
	rewriteCount int          // how many unwritten batches, counted from the first, are in the abandoned file
	unremoved    []int        // numbers of files that are no longer needed and could not be removed
	closedFiles  []closedFile

	backingOff bool // set by a failure until retryTimer fires
	nextDelay  time.Duration
	retryTimer *time.Timer

	toSync    chan File // buffer of one
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

// syncFiles is the goroutine that syncs files while the writer continues. It ends when the writer closes toSync.
func (j *Journal) syncFiles() {
	for f := range j.toSync {
		j.synced <- f.Sync()
	}
}

// takePending moves the batch that Append fills to the unwritten batches, and reports whether the journal is closed.
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

// flushAndStop writes and syncs the remaining batches. A write or sync that fails is retried once.
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

// flush writes all unwritten batches, and starts a sync if the policy is SyncGrouped.
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

// writeAll writes all unwritten batches. It begins a file if none is open.
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
			b.markWritten()
		}
		j.releaseAbandoned()
	}
	return nil
}

// rotate begins another file if the current one is full. A batch with no newer time than the last entry still goes into the current file,
// so that equal frames in two files are always rewrites of each other; the reader relies on this (see countRewrittenFrames).
func (j *Journal) rotate(next *Batch) error {
	if j.file.size <= j.MaxFileBytes || newestTime(next.entries) <= j.file.newestAt {
		return nil
	}
	if err := j.finishFile(); err != nil {
		return err
	}
	return j.beginFile()
}

// releaseAbandoned removes the abandoned file once all batches that only it held were written again.
func (j *Journal) releaseAbandoned() {
	if j.rewriteCount == 0 {
		return
	}
	if j.rewriteCount--; j.rewriteCount == 0 {
		abandoned := j.abandoned
		j.abandoned = nil
		j.removeFile(abandoned.number)
	}
}

// newestTime returns the latest time of any entry, or 0 if there are no entries.
func newestTime(entries []Entry) (at control.Micros) {
	for _, e := range entries {
		at = max(at, e.At)
	}
	return at
}

// writeBatch writes a batch to the open file. With SyncEach it writes and syncs each entry separately.
func (j *Journal) writeBatch(b *Batch) error {
	chunk := maxFrameEntries
	if j.Sync == SyncEach {
		chunk = 1
	}
	for entries := range slices.Chunk(b.entries, chunk) {
		j.buf = appendFrame(j.buf[:0], entries)
		n, err := j.file.Write(j.buf)
		j.file.size += int64(n)
		if err != nil { // a partial frame may be left, where reading stops: nothing more may be written to this file
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

// completeBatches marks the first n unsynced batches as done.
func (j *Journal) completeBatches(n int) {
	batches := j.unsynced[:n]
	j.unsynced = j.unsynced[n:]
	j.file.hasCompletedBatches = true
	j.reduceOutstanding(batches)
	for _, b := range batches {
		b.markWritten()
		close(b.done)
	}
}

// reduceOutstanding subtracts batches from the outstanding entries. It must be called before the batches are marked as done, so that
// whoever waits for them can append as many entries again at once.
func (j *Journal) reduceOutstanding(batches []*Batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, b := range batches {
		j.outstanding -= len(b.entries)
	}
}

// handleSyncResult completes the batches that a sync by syncFiles covered. If the sync failed, it abandons the file.
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

// handleFailure abandons the file and backs off. The file can't be used any more: after a failed sync the kernel may mark the pages as
// clean, so that a later sync succeeds without writing them, and after a failed write the file may end in a partial frame.
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

// handleRecovery resets the failure status once all batches are written and synced.
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
