package gateway

import (
	"slices"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/persistence"
	"hollymast/internal/record"
	"hollymast/kserve"
)

// journalRefusal returns why a request with a journal key can't be accepted, or the empty string: a retry of it could
// not be told from a new request.
func (g *Gateway) journalRefusal(now control.Micros, key persistence.IdempotencyKey) string {
	switch {
	case key == 0:
	case g.state != nil && g.state.Failing():
		return "the journal can't be written, and what is sent must be known after a restart"
	case now < g.keysUnknownUntil:
		return "the journal could not be read, and what was sent before the restart is not known"
	}
	return ""
}

// journalKey returns the journal's key for a client's request; 0 if a retry of it is harmless, or could not be told for
// one.
func (c *Config) journalKey(function string, params kserve.InferRequest, class control.ClassID) persistence.IdempotencyKey {
	if params.IdempotencyKey == "" || c.Deployment.Classes[class].Idempotency == control.Idempotent {
		return 0
	}
	return persistence.IdempotencyKey(record.KeyedHash(c.NameKey, function+"\n"+params.IdempotencyKey) | 1)
}

// unknownPlace is the zone and cell of an earlier attempt whose server is not known any more: those of no server.
const unknownPlace = 1<<16 - 1

// earlierAttempts returns the attempts of a request that may have run, as far as the journal knows.
func (g *Gateway) earlierAttempts(now control.Micros, key persistence.IdempotencyKey) []control.Attempt {
	if g.state == nil || key == 0 {
		return nil
	}
	var attempts []control.Attempt
	for _, sent := range g.state.keys.MayHaveRun(now, key) {
		earlier := control.Attempt{
			Server: sent.Server, Zone: unknownPlace, Cell: unknownPlace, SentAt: sent.At, Done: true, MayHaveRun: true,
		}
		if server := g.fleet.Get(sent.Server); server != nil {
			earlier.Zone, earlier.Cell = server.Zone, server.Cell
		}
		attempts = append(attempts, earlier)
	}
	return slices.Clip(attempts)
}

// admittedInterval is for how long admitted requests are counted together before the journal learns of them, in
// microseconds: a small part of the load rate's window.
const admittedInterval = 200_000

// countAdmitted counts an admitted request for the limit on load commands, which must outlast a restart.
func (g *Gateway) countAdmitted(now control.Micros) {
	keeper := g.state
	if keeper == nil || g.config.Deployment.LoadRateWindow == 0 {
		return
	}
	if keeper.admitted > 0 && now > keeper.admittedSince+admittedInterval {
		keeper.Append(persistence.Entry{
			Kind: persistence.EntryAdmitted, At: keeper.admittedSince, Key: persistence.IdempotencyKey(keeper.admitted),
		})
		keeper.admitted = 0
	}
	if keeper.admitted == 0 {
		keeper.admittedSince = now
	}
	keeper.admitted++
}

// journalAttempt writes an attempt to the journal if a restarted router must know of it, and returns the batch that its
// first byte must wait for, or nil.
func (g *Gateway) journalAttempt(key persistence.IdempotencyKey, to control.ServerID) *persistence.Batch {
	if g.state == nil {
		return nil
	}
	var entries []persistence.Entry
	if key != 0 {
		g.state.keys.Add(key, persistence.SentAttempt{Server: to, At: g.loop.StepTime})
		entries = append(entries, persistence.Entry{Kind: persistence.EntryAttempt, At: g.loop.StepTime, Key: key, Server: to})
	}
	if s := g.fleet.Get(to); s != nil && s.InSlowStart(g.loop.StepTime, g.config.Deployment.SlowStartDuration) {
		entries = append(entries, persistence.Entry{Kind: persistence.EntrySlowStartSend, At: g.loop.StepTime, Server: to})
	}
	if len(entries) == 0 {
		return nil
	}
	return g.state.Append(entries...)
}

// journalNotRun writes to the journal that an attempt did not run.
func (g *Gateway) journalNotRun(key persistence.IdempotencyKey, to control.ServerID) {
	if g.state != nil && key != 0 {
		g.state.keys.RemoveNotRun(key, to)
		g.state.Append(persistence.Entry{Kind: persistence.EntryNotRun, At: g.loop.StepTime, Key: key, Server: to})
	}
}

// awaitJournal waits until the journal holds a call: an attempt with a key on the disk itself, what counts for seconds
// only with the kernel. It waits also while the journal fails, since what is sent without it is not known after a kill.
// It returns false if the call was withdrawn meanwhile, if the disk stalled or failed for too long, or if too much waits
// for it.
func (call *serverCall) awaitJournal(now control.Micros) bool {
	batch := call.journalBatch
	if batch == nil {
		return true
	}
	// A disk that stalls for longer: then the endpoint list is too old as well, or the deadline has passed.
	wait := attempt.MaxJournalWait(now, call.writeBefore, micros(time.Until(call.deadline)))
	timer := time.NewTimer(duration(wait))
	defer timer.Stop()
	stored, ok := batch.Written(), func() bool { return !batch.Lost() }
	if call.request != nil && call.request.journalKey != 0 {
		stored, ok = batch.Done(), func() bool { return batch.Err() == nil }
	}
	select {
	case <-stored:
		return ok()
	case <-timer.C:
	case <-call.ctx.Done():
	}
	return false
}
