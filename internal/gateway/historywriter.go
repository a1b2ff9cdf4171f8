package gateway

import (
	"errors"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/history"
)

// historyWriter writes the history, and queues what can't be written for a while.
type historyWriter struct {
	store        *history.Store
	log          zerolog.Logger
	batches      []historyBatch
	damagedCount int // consecutive writes that found the file damaged
	failed       bool
}

// historyBatch is rows to be added once.
type historyBatch struct {
	number uint64 // by which the store recognizes a batch that it has already
	rows   []history.Row
}

const (
	// maxQueuedRows is some 16 minutes of as many functions as have rows of their own: 8 MB.
	maxQueuedRows = 1 << 14
	// maxDamagedWrites is how often a file must be found damaged, historyInterval apart, before it is set aside: a disk
	// that can't be read for a moment looks the same.
	maxDamagedWrites = 3
)

// write adds rows, after those that are queued.
func (w *historyWriter) write(rows []history.Row, now int64) {
	w.batches = append(w.batches, historyBatch{uint64(now), rows})
	err := w.drain(now)
	if w.damagedCount++; !errors.Is(err, history.ErrCorrupt) {
		w.damagedCount = 0
	}
	if w.damagedCount >= maxDamagedWrites {
		w.log.Error().Err(err).Msg("history file is damaged: set aside, a new one is begun")
		if err = w.store.Quarantine(now); err == nil {
			err = w.drain(now)
		}
	}
	switch {
	case err != nil && !w.failed:
		w.log.Error().Err(err).Msg("history can't be written: retried, further failures are not logged")
	case err == nil && w.failed:
		w.log.Info().Msg("history is written again")
	}
	w.failed = err != nil
	w.dropOldest()
}

// drain writes the queued batches, oldest first, until one fails.
func (w *historyWriter) drain(now int64) error {
	for len(w.batches) > 0 {
		if err := w.store.AddOnce(w.batches[0].rows, now, w.batches[0].number); err != nil {
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

// runHistory writes the history at an interval until the last step, and then once more.
func (keeper *stateKeeper) runHistory(g *Gateway) {
	defer close(keeper.historyClosed)
	ticker := time.NewTicker(historyInterval)
	defer ticker.Stop()
	taken := make(chan *history.Batch, 1)
	writer := historyWriter{store: keeper.history, log: keeper.log}
	write := func(batch *history.Batch) { writer.write(batch.Rows(), int64(g.loop.Now())) }
	for {
		select {
		case <-ticker.C:
			g.afterStep(func(control.Micros) {
				if len(taken) == 0 { // else the disk is behind, and the counts stay in the tally
					taken <- keeper.historyTally.Drain()
				}
			})
		case batch := <-taken:
			write(batch)
		case <-g.loopEnded:
			select {
			case batch := <-taken:
				write(batch)
			default:
			}
			write(keeper.finalHistory)
			return
		}
	}
}
