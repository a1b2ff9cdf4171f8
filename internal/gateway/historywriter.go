package gateway

import (
	"errors"
	"hollymast/control"
	"hollymast/internal/history"
	"time"

	"github.com/rs/zerolog"
)

// useOwed is what the history lacks, while it can't be written.
type historyWriter struct {
	store        *history.Store
	log          zerolog.Logger
	batches      []historyBatch
	damagedCount int // tries in a row that found it so
	failed       bool
}

type historyBatch struct {
	number uint64
	rows   []history.Row
}

const (
	// mostOwedRows is some 16 minutes of as many functions as have rows of their own: 8 MB.
	maxQueuedRows = 1 << 14
	// damagedTries is how often a file has to be found damaged, ten seconds apart, before it is set aside: a disk that can't read
	// for a moment looks the same.
	damagedTries = 3
)

// write adds rows, those first that could not be written before.
func (w *historyWriter) write(rows []history.Row, now int64) {
	w.batches = append(w.batches, historyBatch{uint64(now), rows})
	err := w.drain(now)
	if w.damagedCount++; !errors.Is(err, history.ErrDamaged) {
		w.damagedCount = 0
	}
	if w.damagedCount >= damagedTries {
		w.log.Error().Err(err).Msg("the history is damaged: it is set aside and a new one begun")
		if err = w.store.Quarantine(now); err == nil {
			err = w.drain(now)
		}
	}
	switch {
	case err != nil && !w.failed:
		w.log.Error().Err(err).Msg("the history can't be written; each further try is made in silence")
	case err == nil && w.failed:
		w.log.Info().Msg("the history is written again")
	}
	w.failed = err != nil
	w.dropOldest()
}

func (w *historyWriter) drain(now int64) error {
	for len(w.batches) > 0 {
		if err := w.store.AddOnce(w.batches[0].rows, now, w.batches[0].number); err != nil {
			return err
		}
		w.batches = w.batches[1:]
	}
	return nil
}

// bound drops the oldest beyond what may wait: the history owes nobody an answer.
func (w *historyWriter) dropOldest() {
	n := 0
	for i := len(w.batches) - 1; i >= 0; i-- {
		if n += len(w.batches[i].rows); n > maxQueuedRows {
			w.batches = w.batches[i+1:]
			return
		}
	}
}

// keepUse writes the history now and again until the gateway has ended, and then once more.
func (keeper *stateKeeper) runHistory(g *Gateway) {
	defer close(keeper.historyClosed)
	ticker := time.NewTicker(historyInterval)
	defer ticker.Stop()
	taken := make(chan *history.Batch, 1)
	owed := historyWriter{store: keeper.history, log: keeper.log}
	write := func(t *history.Batch) { owed.write(t.Rows(), int64(g.now())) }
	for {
		select {
		case <-ticker.C:
			g.afterStep(func(control.Micros) {
				if len(taken) == 0 { // else the disk is behind: it stays in the tally
					taken <- keeper.historyTally.Drain()
				}
			})
		case t := <-taken:
			write(t)
		case <-g.loopEnded:
			select {
			case t := <-taken:
				write(t)
			default:
			}
			write(keeper.finalHistory)
			return
		}
	}
}
