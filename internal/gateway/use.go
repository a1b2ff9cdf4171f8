package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/history"
	"hollymast/internal/record"
)

// HistoryFile is the history's name in the folder of a router's memory.
const HistoryFile = "history.db"

// useEvery is how often the history is written: what a killed router loses of it.
const useEvery = 10 * time.Second

// tenantName gives a tenant's name; empty of one that no share is told for.
func (t *Config) tenantName(id control.TenantID) string {
	if int(id) < len(t.TenantNames) {
		return t.TenantNames[id]
	}
	return ""
}

// who names a job's function and tenant for the history; with a name_key the function only by its id.
func (g *Gateway) who(j *job) history.Subject {
	if g.told.NameKey != "" {
		return history.Subject{Function: fmt.Sprintf("#%016x", record.Tag(g.told.NameKey, j.name)), Tenant: j.tenant}
	}
	return history.Subject{Function: j.name, Tenant: j.tenant}
}

func (g *Gateway) counts() bool { return g.keeper != nil && g.keeper.tally != nil }

func (g *Gateway) useAnswered(j *job, word string) {
	if !g.counts() {
		return
	}
	verb := control.NoAction
	switch word {
	case "finished":
	case "pushed back":
		verb = control.Reject
	default:
		verb = control.Fail
	}
	g.keeper.tally.RequestDone(g.clock, g.who(j), verb, g.clock > j.due)
}

func (g *Gateway) useExecuted(now control.Micros, j *job, o control.Outcome) {
	if g.counts() {
		g.keeper.tally.AttemptEnded(now, g.who(j), o)
	}
}

func (g *Gateway) useOrdered(j *job) {
	if g.counts() {
		g.keeper.tally.LoadCommanded(g.clock, g.who(j))
	}
}

// useOwed is what the history lacks, while it can't be written.
type useOwed struct {
	uses    *history.Store
	log     zerolog.Logger
	batches []useBatch
	damaged int // tries in a row that found it so
	failed  bool
}

type useBatch struct {
	number uint64
	rows   []history.Row
}

const (
	// mostOwedRows is some 16 minutes of as many functions as have rows of their own: 8 MB.
	mostOwedRows = 1 << 14
	// damagedTries is how often a file has to be found damaged, ten seconds apart, before it is set aside: a disk that can't read
	// for a moment looks the same.
	damagedTries = 3
)

// write adds rows, those first that could not be written before.
func (o *useOwed) write(rows []history.Row, now int64) {
	o.batches = append(o.batches, useBatch{uint64(now), rows})
	err := o.drain(now)
	if o.damaged++; !errors.Is(err, history.ErrDamaged) {
		o.damaged = 0
	}
	if o.damaged >= damagedTries {
		o.log.Error().Err(err).Msg("the history is damaged: it is set aside and a new one begun")
		if err = o.uses.Quarantine(now); err == nil {
			err = o.drain(now)
		}
	}
	switch {
	case err != nil && !o.failed:
		o.log.Error().Err(err).Msg("the history can't be written; each further try is made in silence")
	case err == nil && o.failed:
		o.log.Info().Msg("the history is written again")
	}
	o.failed = err != nil
	o.bound()
}

func (o *useOwed) drain(now int64) error {
	for len(o.batches) > 0 {
		if err := o.uses.AddOnce(o.batches[0].rows, now, o.batches[0].number); err != nil {
			return err
		}
		o.batches = o.batches[1:]
	}
	return nil
}

// bound drops the oldest beyond what may wait: the history owes nobody an answer.
func (o *useOwed) bound() {
	n := 0
	for i := len(o.batches) - 1; i >= 0; i-- {
		if n += len(o.batches[i].rows); n > mostOwedRows {
			o.batches = o.batches[i+1:]
			return
		}
	}
}

// keepUse writes the history now and again until the gateway has ended, and then once more.
func (k *keeper) keepUse(g *Gateway) {
	defer close(k.useKept)
	ticker := time.NewTicker(useEvery)
	defer ticker.Stop()
	taken := make(chan *history.Batch, 1)
	owed := useOwed{uses: k.uses, log: k.log}
	write := func(t *history.Batch) { owed.write(t.Rows(), int64(g.now())) }
	for {
		select {
		case <-ticker.C:
			g.afterTurn(func(control.Micros) {
				if len(taken) == 0 { // else the disk is behind: it stays in the tally
					taken <- k.tally.Drain()
				}
			})
		case t := <-taken:
			write(t)
		case <-g.ended:
			select {
			case t := <-taken:
				write(t)
			default:
			}
			write(k.lastUse)
			return
		}
	}
}
