package gateway

import (
	"errors"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/history"
)

// historyWriter writes the history, and queues batches while they can't be written.
type historyWriter struct {
	store        *history.Store
	log          zerolog.Logger
	batches      []historyBatch
	damagedCount int  // consecutive writes that failed because the file is damaged
	failed       bool // the last write failed
}

// historyBatch is a group of rows that must be added exactly once.
type historyBatch struct {
	id   uint64 // lets the store recognize a batch that it already has
	rows []history.Row
}

const (
	// maxQueuedRows is the number of rows from about 16 minutes with the maximum number of functions that have their
	// own rows, about 8 MB.
	maxQueuedRows = 1 << 14
	// maxDamagedWrites is how many consecutive writes, historyInterval apart, must find the file damaged before it is
	// set aside: a disk that can't be read for a moment looks the same.
	maxDamagedWrites = 3
)

// write adds rows to the history after the queued ones.
func (w *historyWriter) write(rows []history.Row, now int64) {
	w.batches = append(w.batches, historyBatch{uint64(now), rows})
	err := w.drain(now)
	if w.damagedCount++; !errors.Is(err, history.ErrCorrupt) {
		w.damagedCount = 0
	}
	if w.damagedCount >= maxDamagedWrites {
		w.log.Error().Err(err).Msg("history file is damaged: set aside, starting a new one")
		if err = w.store.Quarantine(now); err == nil {
			err = w.drain(now)
		}
	}
	switch {
	case err != nil && !w.failed:
		w.log.Error().Err(err).Msg("history can't be written: retrying, further failures are not logged")
	case err == nil && w.failed:
		w.log.Info().Msg("history is written again")
	}
	w.failed = err != nil
	w.dropOldest()
}

// drain writes the queued batches, oldest first, until a write fails.
func (w *historyWriter) drain(now int64) error {
	for len(w.batches) > 0 {
		if err := w.store.AddOnce(w.batches[0].rows, now, w.batches[0].id); err != nil {
			return err
		}
		w.batches = w.batches[1:]
	}
	return nil
}

// dropOldest drops the oldest batches beyond maxQueuedRows.
func (w *historyWriter) dropOldest() {
	rows := 0
	for i := len(w.batches) - 1; i >= 0; i-- {
		if rows += len(w.batches[i].rows); rows > maxQueuedRows {
			w.batches = w.batches[i+1:]
			return
		}
	}
}

// runHistory writes the history periodically until the last step, and then once more.
func (keeper *stateKeeper) runHistory(g *Gateway) {
	defer close(keeper.historyClosed)
	ticker := time.NewTicker(historyInterval)
	defer ticker.Stop()
	batches := make(chan *history.Batch, 1)
	writer := historyWriter{store: keeper.history, log: keeper.log}
	write := func(batch *history.Batch) { writer.write(batch.Rows(), int64(g.loop.Now())) }
	for {
		select {
		case <-ticker.C:
			g.afterStep(func(control.Micros) {
				if len(batches) == 0 { // otherwise the disk is slow, and the counts stay in the collector
					batches <- keeper.historyCollector.Drain()
				}
			})
		case batch := <-batches:
			write(batch)
		case <-g.loopEnded:
			select {
			case batch := <-batches:
				write(batch)
			default:
			}
			write(keeper.finalHistory)
			return
		}
	}
}
