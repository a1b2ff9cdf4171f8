package gateway

import (
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/history"
	"hollymast/internal/overload"
	"hollymast/internal/persistence"
	"hollymast/internal/record"
	"hollymast/kserve"
)

// keeper writes what the module has learned to a folder: copied between two turns, encoded and written outside them.
type stateKeeper struct {
	store *persistence.Store
	*persistence.Journal
	keys          *persistence.Marks // the turn's own
	historyTally  *history.Tally     // the turn's own; nil: no history
	admitted      int                // jobs since first, not yet in the journal; the turn's own
	admittedSince control.Micros
	history       *history.Store
	unlock        func()
	interval      time.Duration
	historyClosed chan struct{} // closed once the history is written for the last time
	log           zerolog.Logger
	usualLoad     *overload.Usual   // of calls, in the last run; nil: not known
	usualLoadAge  control.Micros    // of that
	clock         persistence.Clock // of this life
	finalState    *persistence.Kept // set before the gateway's end is told
	finalHistory  *history.Taken    // so too
	failed        bool
}

// journalMost bounds a journal's files: with the usual marks_for and marks_most the bound of marks comes first.
const maxJournalBytes = 256 << 20

// forever is a time that no router sees.
const forever = control.Micros(1) << 60

// openKeeper looks at the folder and has the module recall what is found. Nothing in it, and nothing about it, keeps a
// router from starting: it then runs without and says so; nil where nothing may be written. Unknown is until when what an earlier
// life sent may be owed and is not known, since the folder failed.
func openStateKeeper(told *Config, now control.Micros, module *control.Balancer, log zerolog.Logger) (k *stateKeeper, unknown control.Micros) {
	files := told.fileSystem
	if files == nil {
		files = persistence.System{}
	}
	clock := persistence.ReadClock(now)
	var unlock func()
	err := persistence.Patiently(openRetryPause, func() (err error) { unlock, err = persistence.Lock(told.StateDir); return err })
	if err != nil {
		log.Error().Err(err).Msg("no memory: the folder can't be used; nothing is kept")
		return nil, unknownUntil(err)
	}
	store, found := persistence.Look(persistence.Folder(told.StateDir), told.owner())
	for _, line := range found.Told {
		log.Warn().Msg("memory: " + line)
	}
	learned := &control.LearnedState{}
	var usual *overload.Usual
	var age control.Micros
	if k := found.Kept; k != nil {
		learned, usual, age = k.Module, k.Storm, max(0, now-k.Module.SavedAt)
		if k.Meets(clock, now); k.Module.SavedAt > 0 {
			age = now - k.Module.SavedAt // exactly
		}
		log.Info().Uint64("generation", k.Generation).Int64("age_us", int64(age)).Int("functions", len(k.Module.Functions)).
			Int("servers", len(k.Module.Servers)).Msg("memory of an earlier run recalled")
	}
	if !found.Write {
		unlock()
		return nil, 0
	}
	k = &stateKeeper{usualLoad: usual, usualLoadAge: age, clock: clock, store: store, unlock: unlock, interval: told.StateInterval, log: log}
	journal, entries, lines, err := persistence.JournalOptions{Files: files, Sync: told.JournalSync, Keep: micros(told.KeyRetention), Most: maxJournalBytes, Clock: clock, Now: now,
		Failed: func(err error) {
			if err != nil {
				log.Error().Err(err).Msg("the journal can't be written: what must be known after a restart is not sent until it can")
			} else {
				log.Info().Msg("the journal is written again")
			}
		},
		Said: func(line string) { log.Warn().Msg("journal: " + line) }}.Open(told.StateDir)
	for _, line := range lines {
		log.Warn().Msg("memory: " + line)
	}
	if err == nil {
		k.keys = journal.Past(entries).Recalled(learned, micros(told.KeyRetention), told.MaxKeys)
	}
	module.ApplyLearned(now, learned)
	if err != nil {
		log.Error().Err(err).Msg("no memory: no journal can be read; nothing is kept")
		unlock()
		return nil, unknownUntil(err)
	}
	if journal.Unread() {
		unknown = now + micros(told.KeyRetention)
	}
	log.Info().Int("marks", k.keys.Len()).Int("entries", len(entries)).Msg("journal read")
	k.Journal = journal
	if told.MaxHistoryRows > 0 {
		k.historyTally, k.historyClosed = history.NewTally(), make(chan struct{})
		k.history = history.NewStore(filepath.Join(told.StateDir, HistoryFile), int64(told.MaxHistoryRows))
	}
	return k, unknown
}

// startPause is the first between tries to open a folder.
const openRetryPause = 5 * time.Millisecond

// unknownAfter tells until when what is owed is not known, after a folder could not be opened: one that failed holds it still, and
// one that is no folder of ours never did.
func unknownUntil(err error) control.Micros {
	if persistence.Passing(err) {
		return forever
	}
	return 0
}

// unrecorded tells why a marked job can't be taken: nobody could tell its repeat from a new one. Empty if it can.
func (g *Gateway) journalRefusal(now control.Micros, mark persistence.Mark) string {
	switch {
	case mark == 0:
	case g.state != nil && g.state.Failing():
		return "the journal can't be written, and what is sent must be known after a restart"
	case now < g.keysUnknownUntil:
		return "the journal could not be read, and what was sent before the restart is not known"
	}
	return ""
}

// owner names this router and what the ids in its memory hang on.
func (t *Config) owner() persistence.Owner {
	names := slices.Concat([]string{"workloads"}, t.ClassNames, []string{"tenants"}, t.TenantNames)
	return persistence.Owner{Router: t.Deployment.Number, Deployment: record.Tag(t.NameKey, strings.Join(names, "\n"))}
}

// keep writes now and again until the gateway has ended, and then once more.
func (k *stateKeeper) run(g *Gateway) {
	defer k.close()
	ticker := time.NewTicker(k.interval)
	defer ticker.Stop()
	copies := make(chan *persistence.Kept, 1)
	for {
		select {
		case <-ticker.C:
			g.afterStep(func(now control.Micros) {
				k.keys.Tidy(now)
				select {
				case copies <- g.learnedState(now):
				default: // the disk is behind: a later copy will do
				}
			})
		case m := <-copies:
			k.write(m)
		case <-g.loopEnded:
			k.write(k.finalState)
			if k.historyTally != nil {
				<-k.historyClosed // in the same folder, which is still ours
			}
			return
		}
	}
}

// kept gives what is to outlast this run.
func (g *Gateway) learnedState(now control.Micros) *persistence.Kept {
	k := &persistence.Kept{Module: g.core.LearnedState(now)}
	if g.state.clock.Boot != 0 {
		k.Clock = &g.state.clock
	}
	if g.overload != nil {
		usual := g.overload.Remember()
		k.Storm = &usual
	}
	return k
}

// write writes one generation. A disk that fails is told once, and again when it is well.
func (k *stateKeeper) write(m *persistence.Kept) {
	err := k.store.Write(m)
	switch {
	case err != nil && !k.failed:
		k.log.Error().Err(err).Msg("memory can't be written: the last one stands; each further try is made in silence")
	case err == nil && k.failed:
		k.log.Info().Msg("memory is written again")
	}
	k.failed = err != nil
}

// close ends the journal and lets the folder go; of no keeper it does nothing.
func (k *stateKeeper) close() {
	if k != nil {
		k.Journal.Close()
		k.unlock()
	}
}

// mark names a client's job for the journal; 0 where a repeat of it does no harm, or could not be told for one.
func (t *Config) journalKey(function string, ask kserve.Ask, w control.ClassID) persistence.Mark {
	if ask.Mark == "" || t.Deployment.Classes[w].Effect == control.Idempotent {
		return 0
	}
	return persistence.Mark(record.Tag(t.NameKey, function+"\n"+ask.Mark) | 1)
}

// earlier gives the executions that may have run of a client's job, in the module's words. Where a server is no longer
// known its zone and cell are none that any server has.
func (g *Gateway) earlierAttempts(now control.Micros, mark persistence.Mark) []control.Attempt {
	if g.state == nil || mark == 0 {
		return nil
	}
	var es []control.Attempt
	for _, s := range g.state.keys.MayHaveRun(now, mark) {
		e := control.Attempt{Server: s.Server, Zone: 1<<16 - 1, Cell: 1<<16 - 1, SentAt: s.At, Done: true, MayHaveRun: true}
		if to := g.fleet.Get(s.Server); to != nil {
			e.Zone, e.Cell = to.Zone, to.Cell
		}
		es = append(es, e)
	}
	return slices.Clip(es)
}

// took counts a job taken, for the ration of orders. The journal learns of them some at a time.
func (g *Gateway) countAdmitted(now control.Micros) {
	const some = 200_000 // a small part of a ration's window
	k := g.state
	if k == nil || g.config.Deployment.LoadRateWindow == 0 {
		return
	}
	if k.admitted > 0 && now > k.admittedSince+some {
		k.Append(persistence.Entry{Kind: persistence.Taken, At: k.admittedSince, Mark: persistence.Mark(k.admitted)})
		k.admitted = 0
	}
	if k.admitted == 0 {
		k.admittedSince = now
	}
	k.admitted++
}

// enter puts an execution in the journal where a later life must know of it, and gives what its writing must wait for.
func (g *Gateway) journalAttempt(mark persistence.Mark, to control.ServerID) *persistence.Round {
	if g.state == nil {
		return nil
	}
	var es []persistence.Entry
	if mark != 0 {
		g.state.keys.Sent(mark, persistence.Sent{Server: to, At: g.stepTime})
		es = append(es, persistence.Entry{Kind: persistence.Execution, At: g.stepTime, Mark: mark, Server: to})
	}
	if s := g.fleet.Get(to); s != nil && s.InSlowStart(g.stepTime, g.config.Deployment.SlowStartDuration) {
		es = append(es, persistence.Entry{Kind: persistence.ToCold, At: g.stepTime, Server: to})
	}
	if len(es) == 0 {
		return nil
	}
	return g.state.Append(es...)
}

// proved notes that an execution did not run.
func (g *Gateway) journalNotRun(mark persistence.Mark, to control.ServerID) {
	if g.state != nil && mark != 0 {
		g.state.keys.Unrun(mark, to)
		g.state.Append(persistence.Entry{Kind: persistence.Unrun, At: g.stepTime, Mark: mark, Server: to})
	}
}

// kept waits until a sending is in the journal: a marked job on the disk itself, what counts for seconds with the kernel. While the
// journal fails it waits too, since what goes out unrecorded is not known after a kill. False tells that it was withdrawn
// meanwhile, that the disk stood still or failed for too long, or that too much waits for it.
func (s *serverCall) awaitJournal(now control.Micros) bool {
	if s.journalRound == nil {
		return true
	}
	// A disk that stands still: then the list is too old too, or the job's time is up.
	wait := attempt.JournalWait(now, s.writeBefore, micros(time.Until(s.deadline)))
	timer := time.NewTimer(duration(wait))
	defer timer.Stop()
	if s.request != nil && s.request.journalKey != 0 {
		select {
		case <-s.journalRound.Done():
			return s.journalRound.Err() == nil
		case <-timer.C:
		case <-s.ctx.Done():
		}
		return false
	}
	select {
	case <-s.journalRound.Written():
		return !s.journalRound.Lost()
	case <-timer.C:
	case <-s.ctx.Done():
	}
	return false
}
