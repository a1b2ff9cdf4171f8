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

// journalRejectionReason returns why a request with a journal key can't be accepted, or "" if it can. Without a working
// journal, a retry could not be distinguished from a new request.
func (g *Gateway) journalRejectionReason(now control.Micros, key persistence.IdempotencyKey) string {
	switch {
	case key == 0:
	case g.state != nil && g.state.Failing():
		return "the journal can't be written, and what is sent must be known after a restart"
	case now < g.keysUnknownUntil:
		return "the journal could not be read, and what was sent before the restart is not known"
	}
	return ""
}

// journalKey returns the journal's key for a client's request. It is 0 if the request is idempotent, so that a retry
// does no harm, or has no idempotency key, so that a retry can't be recognized.
func (c *Config) journalKey(function string, params kserve.InferRequest, class control.ClassID) persistence.IdempotencyKey {
	if params.IdempotencyKey == "" || c.Deployment.Classes[class].Idempotency == control.Idempotent {
		return 0
	}
	return persistence.IdempotencyKey(record.KeyedHash(c.NameKey, function+"\n"+params.IdempotencyKey) | 1)
}

// unknownLocality is the zone and cell of an earlier attempt whose server is not known any more, or may have been another process
// at the same address. No server has it.
const unknownLocality = 1<<16 - 1

// earlierAttempts returns the attempts of a request that may have run according to the index of keys.
func (g *Gateway) earlierAttempts(now control.Micros, key persistence.IdempotencyKey) []control.Attempt {
	if key == 0 {
		return nil
	}
	var attempts []control.Attempt
	for _, sent := range g.keys.MayHaveRun(now, key) {
		earlier := control.Attempt{
			Server: sent.Server, Zone: unknownLocality, Cell: unknownLocality, SentAt: sent.At, Done: true, MayHaveRun: true,
		}
		if server := g.fleet.Get(sent.Server); server != nil && server.SameSince() <= sent.At {
			earlier.Zone, earlier.Cell = server.Zone, server.Cell
		}
		attempts = append(attempts, earlier)
	}
	return slices.Clip(attempts)
}

// admissionJournalInterval is how long admitted requests are counted before the count is written to the journal, in
// microseconds. It is a small part of the load rate's window.
const admissionJournalInterval = 200_000

// countAdmitted counts an admitted request for the rate limit on load commands, whose state must survive a restart.
func (g *Gateway) countAdmitted(now control.Micros) {
	keeper := g.state
	if keeper == nil || g.config.Deployment.LoadRateWindow == 0 {
		return
	}
	if keeper.unjournaledAdmissions > 0 && now > keeper.unjournaledSince+admissionJournalInterval {
		keeper.Append(persistence.Entry{
			Kind: persistence.EntryAdmitted, At: keeper.unjournaledSince, Key: persistence.IdempotencyKey(keeper.unjournaledAdmissions),
		})
		keeper.unjournaledAdmissions = 0
	}
	if keeper.unjournaledAdmissions == 0 {
		keeper.unjournaledSince = now
	}
	keeper.unjournaledAdmissions++
}

// journalAttempt appends an attempt to the journal if a restarted router must know of it. It returns the batch that
// must be written before the attempt's first byte, or nil.
func (g *Gateway) journalAttempt(key persistence.IdempotencyKey, to control.ServerID) *persistence.Batch {
	if key != 0 {
		g.keys.Add(key, persistence.SentAttempt{Server: to, At: g.loop.StepTime})
	}
	if g.state == nil {
		return nil
	}
	var entries []persistence.Entry
	if key != 0 {
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

// journalNotRun appends to the journal that an attempt did not run.
func (g *Gateway) journalNotRun(key persistence.IdempotencyKey, to control.ServerID) {
	if key == 0 {
		return
	}
	g.keys.RemoveNotRun(key, to)
	if g.state != nil {
		g.state.Append(persistence.Entry{Kind: persistence.EntryNotRun, At: g.loop.StepTime, Key: key, Server: to})
	}
}

// awaitJournal waits until a call is in the journal. An attempt with a journal key must be as durable as the sync
// policy promises. For other entries, which matter for seconds only, it is enough that they were handed to the kernel.
// It also waits while the journal fails, since a router that is killed would not know of what it sent unjournaled. It
// returns false if the call is withdrawn meanwhile, if the disk stalls or fails for too long, or if the journal has too
// much pending.
func (call *serverCall) awaitJournal(now control.Micros) bool {
	batch := call.journalBatch
	if batch == nil {
		return true
	}
	// A longer wait is useless: by then the endpoint list is too old or the deadline has passed.
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
