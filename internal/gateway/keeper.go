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
type keeper struct {
	store *persistence.Store
	*persistence.Journal
	marks   *persistence.KeyIndex // the turn's own
	tally   *history.Collector    // the turn's own; nil: no history
	taken   int                   // jobs since first, not yet in the journal; the turn's own
	first   control.Micros
	uses    *history.Store
	unlock  func()
	every   time.Duration
	useKept chan struct{} // closed once the history is written for the last time
	log     zerolog.Logger
	usual   *overload.Baseline // of calls, in the last run; nil: not known
	age     control.Micros     // of that
	clock   persistence.Clock  // of this life
	last    *persistence.State // set before the gateway's end is told
	lastUse *history.Batch     // so too
	failed  bool
}

// journalMost bounds a journal's files: with the usual marks_for and marks_most the bound of marks comes first.
const journalMost = 256 << 20

// forever is a time that no router sees.
const forever = control.Micros(1) << 60

// openKeeper looks at the folder and has the module recall what is found. Nothing in it, and nothing about it, keeps a
// router from starting: it then runs without and says so; nil where nothing may be written. Unknown is until when what an earlier
// life sent may be owed and is not known, since the folder failed.
func openKeeper(told *Config, now control.Micros, module *control.Balancer, log zerolog.Logger) (k *keeper, unknown control.Micros) {
	files := told.files
	if files == nil {
		files = persistence.OSFileSystem{}
	}
	clock := persistence.ReadClock(now)
	var unlock func()
	err := persistence.RetryTransient(startPause, func() (err error) { unlock, err = persistence.Lock(told.StateDir); return err })
	if err != nil {
		log.Error().Err(err).Msg("no memory: the folder can't be used; nothing is kept")
		return nil, unknownAfter(err)
	}
	store, found := persistence.OpenStore(persistence.Dir(told.StateDir), told.owner())
	for _, line := range found.Warnings {
		log.Warn().Msg("memory: " + line)
	}
	learned := &control.LearnedState{}
	var usual *overload.Baseline
	var age control.Micros
	if k := found.State; k != nil {
		learned, usual, age = k.Learned, k.Overload, max(0, now-k.Learned.SavedAt)
		if k.Rebase(clock, now); k.Learned.SavedAt > 0 {
			age = now - k.Learned.SavedAt // exactly
		}
		log.Info().Uint64("generation", k.Generation).Int64("age_us", int64(age)).Int("functions", len(k.Learned.Functions)).
			Int("servers", len(k.Learned.Servers)).Msg("memory of an earlier run recalled")
	}
	if !found.Writable {
		unlock()
		return nil, 0
	}
	k = &keeper{usual: usual, age: age, clock: clock, store: store, unlock: unlock, every: told.StateInterval, log: log}
	journal, entries, lines, err := persistence.JournalOptions{FileSystem: files, Sync: told.JournalSync, Retention: micros(told.KeyRetention), MaxBytes: journalMost, Clock: clock, Now: now,
		OnFailure: func(err error) {
			if err != nil {
				log.Error().Err(err).Msg("the journal can't be written: what must be known after a restart is not sent until it can")
			} else {
				log.Info().Msg("the journal is written again")
			}
		},
		OnWarning: func(line string) { log.Warn().Msg("journal: " + line) }}.Open(told.StateDir)
	for _, line := range lines {
		log.Warn().Msg("memory: " + line)
	}
	if err == nil {
		k.marks = journal.Recovered(entries).Apply(learned, micros(told.KeyRetention), told.MaxKeys)
	}
	module.ApplyLearned(now, learned)
	if err != nil {
		log.Error().Err(err).Msg("no memory: no journal can be read; nothing is kept")
		unlock()
		return nil, unknownAfter(err)
	}
	if journal.Incomplete() {
		unknown = now + micros(told.KeyRetention)
	}
	log.Info().Int("marks", k.marks.Len()).Int("entries", len(entries)).Msg("journal read")
	k.Journal = journal
	if told.MaxHistoryRows > 0 {
		k.tally, k.useKept = history.NewCollector(), make(chan struct{})
		k.uses = history.NewStore(filepath.Join(told.StateDir, HistoryFile), int64(told.MaxHistoryRows))
	}
	return k, unknown
}

// startPause is the first between tries to open a folder.
const startPause = 5 * time.Millisecond

// unknownAfter tells until when what is owed is not known, after a folder could not be opened: one that failed holds it still, and
// one that is no folder of ours never did.
func unknownAfter(err error) control.Micros {
	if persistence.IsTransient(err) {
		return forever
	}
	return 0
}

// unrecorded tells why a marked job can't be taken: nobody could tell its repeat from a new one. Empty if it can.
func (g *Gateway) unrecorded(now control.Micros, mark persistence.IdempotencyKey) string {
	switch {
	case mark == 0:
	case g.keeper != nil && g.keeper.Failing():
		return "the journal can't be written, and what is sent must be known after a restart"
	case now < g.unknown:
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
func (k *keeper) keep(g *Gateway) {
	defer k.close()
	ticker := time.NewTicker(k.every)
	defer ticker.Stop()
	copies := make(chan *persistence.State, 1)
	for {
		select {
		case <-ticker.C:
			g.afterTurn(func(now control.Micros) {
				k.marks.Prune(now)
				select {
				case copies <- g.kept(now):
				default: // the disk is behind: a later copy will do
				}
			})
		case m := <-copies:
			k.write(m)
		case <-g.ended:
			k.write(k.last)
			if k.tally != nil {
				<-k.useKept // in the same folder, which is still ours
			}
			return
		}
	}
}

// kept gives what is to outlast this run.
func (g *Gateway) kept(now control.Micros) *persistence.State {
	k := &persistence.State{Learned: g.core.LearnedState(now)}
	if g.keeper.clock.BootID != 0 {
		k.Clock = &g.keeper.clock
	}
	if g.storm != nil {
		usual := g.storm.Baseline()
		k.Overload = &usual
	}
	return k
}

// write writes one generation. A disk that fails is told once, and again when it is well.
func (k *keeper) write(m *persistence.State) {
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
func (k *keeper) close() {
	if k != nil {
		k.Journal.Close()
		k.unlock()
	}
}

// mark names a client's job for the journal; 0 where a repeat of it does no harm, or could not be told for one.
func (t *Config) mark(function string, ask kserve.Ask, w control.ClassID) persistence.IdempotencyKey {
	if ask.Mark == "" || t.Deployment.Classes[w].Effect == control.Idempotent {
		return 0
	}
	return persistence.IdempotencyKey(record.Tag(t.NameKey, function+"\n"+ask.Mark) | 1)
}

// earlier gives the executions that may have run of a client's job, in the module's words. Where a server is no longer
// known its zone and cell are none that any server has.
func (g *Gateway) earlier(now control.Micros, mark persistence.IdempotencyKey) []control.Attempt {
	if g.keeper == nil || mark == 0 {
		return nil
	}
	var es []control.Attempt
	for _, s := range g.keeper.marks.MayHaveRun(now, mark) {
		e := control.Attempt{Server: s.Server, Zone: 1<<16 - 1, Cell: 1<<16 - 1, SentAt: s.At, Done: true, MayHaveRun: true}
		if to := g.fleet.Get(s.Server); to != nil {
			e.Zone, e.Cell = to.Zone, to.Cell
		}
		es = append(es, e)
	}
	return slices.Clip(es)
}

// took counts a job taken, for the ration of orders. The journal learns of them some at a time.
func (g *Gateway) took(now control.Micros) {
	const some = 200_000 // a small part of a ration's window
	k := g.keeper
	if k == nil || g.told.Deployment.LoadRateWindow == 0 {
		return
	}
	if k.taken > 0 && now > k.first+some {
		k.Append(persistence.Entry{Kind: persistence.EntryAdmitted, At: k.first, Key: persistence.IdempotencyKey(k.taken)})
		k.taken = 0
	}
	if k.taken == 0 {
		k.first = now
	}
	k.taken++
}

// enter puts an execution in the journal where a later life must know of it, and gives what its writing must wait for.
func (g *Gateway) enter(mark persistence.IdempotencyKey, to control.ServerID) *persistence.Batch {
	if g.keeper == nil {
		return nil
	}
	var es []persistence.Entry
	if mark != 0 {
		g.keeper.marks.Add(mark, persistence.SentAttempt{Server: to, At: g.clock})
		es = append(es, persistence.Entry{Kind: persistence.EntryAttempt, At: g.clock, Key: mark, Server: to})
	}
	if s := g.fleet.Get(to); s != nil && s.InSlowStart(g.clock, g.told.Deployment.SlowStartDuration) {
		es = append(es, persistence.Entry{Kind: persistence.EntrySlowStartSend, At: g.clock, Server: to})
	}
	if len(es) == 0 {
		return nil
	}
	return g.keeper.Append(es...)
}

// proved notes that an execution did not run.
func (g *Gateway) proved(mark persistence.IdempotencyKey, to control.ServerID) {
	if g.keeper != nil && mark != 0 {
		g.keeper.marks.RemoveNotRun(mark, to)
		g.keeper.Append(persistence.Entry{Kind: persistence.EntryNotRun, At: g.clock, Key: mark, Server: to})
	}
}

// kept waits until a sending is in the journal: a marked job on the disk itself, what counts for seconds with the kernel. While the
// journal fails it waits too, since what goes out unrecorded is not known after a kill. False tells that it was withdrawn
// meanwhile, that the disk stood still or failed for too long, or that too much waits for it.
func (s *sending) kept(now control.Micros) bool {
	if s.round == nil {
		return true
	}
	// A disk that stands still: then the list is too old too, or the job's time is up.
	wait := attempt.JournalWait(now, s.until, micros(time.Until(s.deadline)))
	timer := time.NewTimer(span(wait))
	defer timer.Stop()
	if s.job != nil && s.job.kept != 0 {
		select {
		case <-s.round.Done():
			return s.round.Err() == nil
		case <-timer.C:
		case <-s.ctx.Done():
		}
		return false
	}
	select {
	case <-s.round.Written():
		return !s.round.Lost()
	case <-timer.C:
	case <-s.ctx.Done():
	}
	return false
}
