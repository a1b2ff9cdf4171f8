package gateway

import (
	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/persistence"
	"hollymast/internal/record"
	"hollymast/kserve"
	"slices"
	"time"
)

// unrecorded tells why a marked job can't be taken: nobody could tell its repeat from a new one. Empty if it can.
func (g *Gateway) journalRefusal(now control.Micros, mark persistence.IdempotencyKey) string {
	switch {
	case mark == 0:
	case g.state != nil && g.state.Failing():
		return "the journal can't be written, and what is sent must be known after a restart"
	case now < g.keysUnknownUntil:
		return "the journal could not be read, and what was sent before the restart is not known"
	}
	return ""
}

// mark names a client's job for the journal; 0 where a repeat of it does no harm, or could not be told for one.
func (c *Config) journalKey(function string, ask kserve.Ask, class control.ClassID) persistence.IdempotencyKey {
	if ask.Mark == "" || c.Deployment.Classes[class].Effect == control.Idempotent {
		return 0
	}
	return persistence.IdempotencyKey(record.Tag(c.NameKey, function+"\n"+ask.Mark) | 1)
}

// earlier gives the executions that may have run of a client's job, in the module's words. Where a server is no longer
// known its zone and cell are none that any server has.
func (g *Gateway) earlierAttempts(now control.Micros, mark persistence.IdempotencyKey) []control.Attempt {
	if g.state == nil || mark == 0 {
		return nil
	}
	var attempts []control.Attempt
	for _, s := range g.state.keys.MayHaveRun(now, mark) {
		earlier := control.Attempt{Server: s.Server, Zone: 1<<16 - 1, Cell: 1<<16 - 1, SentAt: s.At, Done: true, MayHaveRun: true}
		if to := g.fleet.Get(s.Server); to != nil {
			earlier.Zone, earlier.Cell = to.Zone, to.Cell
		}
		attempts = append(attempts, earlier)
	}
	return slices.Clip(attempts)
}

// took counts a job taken, for the ration of orders. The journal learns of them some at a time.
func (g *Gateway) countAdmitted(now control.Micros) {
	const some = 200_000 // a small part of a ration's window
	keeper := g.state
	if keeper == nil || g.config.Deployment.LoadRateWindow == 0 {
		return
	}
	if keeper.admitted > 0 && now > keeper.admittedSince+some {
		keeper.Append(persistence.Entry{Kind: persistence.EntryAdmitted, At: keeper.admittedSince, Key: persistence.IdempotencyKey(keeper.admitted)})
		keeper.admitted = 0
	}
	if keeper.admitted == 0 {
		keeper.admittedSince = now
	}
	keeper.admitted++
}

// enter puts an execution in the journal where a later life must know of it, and gives what its writing must wait for.
func (g *Gateway) journalAttempt(mark persistence.IdempotencyKey, to control.ServerID) *persistence.Batch {
	if g.state == nil {
		return nil
	}
	var entries []persistence.Entry
	if mark != 0 {
		g.state.keys.Add(mark, persistence.SentAttempt{Server: to, At: g.stepTime})
		entries = append(entries, persistence.Entry{Kind: persistence.EntryAttempt, At: g.stepTime, Key: mark, Server: to})
	}
	if s := g.fleet.Get(to); s != nil && s.InSlowStart(g.stepTime, g.config.Deployment.SlowStartDuration) {
		entries = append(entries, persistence.Entry{Kind: persistence.EntrySlowStartSend, At: g.stepTime, Server: to})
	}
	if len(entries) == 0 {
		return nil
	}
	return g.state.Append(entries...)
}

// proved notes that an execution did not run.
func (g *Gateway) journalNotRun(mark persistence.IdempotencyKey, to control.ServerID) {
	if g.state != nil && mark != 0 {
		g.state.keys.RemoveNotRun(mark, to)
		g.state.Append(persistence.Entry{Kind: persistence.EntryNotRun, At: g.stepTime, Key: mark, Server: to})
	}
}

// kept waits until a sending is in the journal: a marked job on the disk itself, what counts for seconds with the kernel. While the
// journal fails it waits too, since what goes out unrecorded is not known after a kill. False tells that it was withdrawn
// meanwhile, that the disk stood still or failed for too long, or that too much waits for it.
func (call *serverCall) awaitJournal(now control.Micros) bool {
	if call.journalRound == nil {
		return true
	}
	// A disk that stands still: then the list is too old too, or the job's time is up.
	wait := attempt.JournalWait(now, call.writeBefore, micros(time.Until(call.deadline)))
	timer := time.NewTimer(duration(wait))
	defer timer.Stop()
	if call.request != nil && call.request.journalKey != 0 {
		select {
		case <-call.journalRound.Done():
			return call.journalRound.Err() == nil
		case <-timer.C:
		case <-call.ctx.Done():
		}
		return false
	}
	select {
	case <-call.journalRound.Written():
		return !call.journalRound.Lost()
	case <-timer.C:
	case <-call.ctx.Done():
	}
	return false
}
