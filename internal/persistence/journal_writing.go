package persistence

import (
	"errors"
	"slices"

	"hollymast/control"
)

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
