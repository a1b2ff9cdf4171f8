package gateway

import (
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/history"
	"hollymast/internal/overload"
	"hollymast/internal/persistence"
	"hollymast/internal/record"
)

// keeper writes what the module has learned to a folder: copied between two turns, encoded and written outside them.
type stateKeeper struct {
	store *persistence.Store
	*persistence.Journal
	keys          *persistence.KeyIndex // the turn's own
	historyTally  *history.Collector    // the turn's own; nil: no history
	admitted      int                   // jobs since first, not yet in the journal; the turn's own
	admittedSince control.Micros
	history       *history.Store
	unlock        func()
	interval      time.Duration
	historyClosed chan struct{} // closed once the history is written for the last time
	log           zerolog.Logger
	usualLoad     *overload.Baseline // of calls, in the last run; nil: not known
	usualLoadAge  control.Micros     // of that
	clock         persistence.Clock  // of this life
	finalState    *persistence.State // set before the gateway's end is told
	finalHistory  *history.Batch     // so too
	failed        bool
}

// journalMost bounds a journal's files: with the usual marks_for and marks_most the bound of marks comes first.
const maxJournalBytes = 256 << 20

// forever is a time that no router sees.
const forever = control.Micros(1) << 60

// openKeeper looks at the folder and has the module recall what is found. Nothing in it, and nothing about it, keeps a
// router from starting: it then runs without and says so; nil where nothing may be written. Unknown is until when what an earlier
// life sent may be owed and is not known, since the folder failed.
func openStateKeeper(config *Config, now control.Micros, module *control.Balancer, log zerolog.Logger) (keeper *stateKeeper, unknown control.Micros) {
	files := config.fileSystem
	if files == nil {
		files = persistence.OSFileSystem{}
	}
	clock := persistence.ReadClock(now)
	var unlock func()
	err := persistence.RetryTransient(openRetryPause, func() (err error) { unlock, err = persistence.Lock(config.StateDir); return err })
	if err != nil {
		log.Error().Err(err).Msg("no memory: the folder can't be used; nothing is kept")
		return nil, unknownUntil(err)
	}
	store, found := persistence.OpenStore(persistence.Dir(config.StateDir), config.owner())
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
	keeper = &stateKeeper{usualLoad: usual, usualLoadAge: age, clock: clock, store: store, unlock: unlock, interval: config.StateInterval, log: log}
	journal, entries, lines, err := persistence.JournalOptions{FileSystem: files, Sync: config.JournalSync, Retention: micros(config.KeyRetention), MaxBytes: maxJournalBytes, Clock: clock, Now: now,
		OnFailure: func(err error) {
			if err != nil {
				log.Error().Err(err).Msg("the journal can't be written: what must be known after a restart is not sent until it can")
			} else {
				log.Info().Msg("the journal is written again")
			}
		},
		OnWarning: func(line string) { log.Warn().Msg("journal: " + line) }}.Open(config.StateDir)
	for _, line := range lines {
		log.Warn().Msg("memory: " + line)
	}
	if err == nil {
		keeper.keys = journal.Recovered(entries).Apply(learned, micros(config.KeyRetention), config.MaxKeys)
	}
	module.ApplyLearned(now, learned)
	if err != nil {
		log.Error().Err(err).Msg("no memory: no journal can be read; nothing is kept")
		unlock()
		return nil, unknownUntil(err)
	}
	if journal.Incomplete() {
		unknown = now + micros(config.KeyRetention)
	}
	log.Info().Int("marks", keeper.keys.Len()).Int("entries", len(entries)).Msg("journal read")
	keeper.Journal = journal
	if config.MaxHistoryRows > 0 {
		keeper.historyTally, keeper.historyClosed = history.NewCollector(), make(chan struct{})
		keeper.history = history.NewStore(filepath.Join(config.StateDir, HistoryFile), int64(config.MaxHistoryRows))
	}
	return keeper, unknown
}

// startPause is the first between tries to open a folder.
const openRetryPause = 5 * time.Millisecond

// unknownAfter tells until when what is owed is not known, after a folder could not be opened: one that failed holds it still, and
// one that is no folder of ours never did.
func unknownUntil(err error) control.Micros {
	if persistence.IsTransient(err) {
		return forever
	}
	return 0
}

// owner names this router and what the ids in its memory hang on.
func (c *Config) owner() persistence.Owner {
	names := slices.Concat([]string{"workloads"}, c.ClassNames, []string{"tenants"}, c.TenantNames)
	return persistence.Owner{Router: c.Deployment.Number, Deployment: record.Tag(c.NameKey, strings.Join(names, "\n"))}
}

// keep writes now and again until the gateway has ended, and then once more.
func (keeper *stateKeeper) run(g *Gateway) {
	defer keeper.close()
	ticker := time.NewTicker(keeper.interval)
	defer ticker.Stop()
	copies := make(chan *persistence.State, 1)
	for {
		select {
		case <-ticker.C:
			g.afterStep(func(now control.Micros) {
				keeper.keys.Prune(now)
				select {
				case copies <- g.learnedState(now):
				default: // the disk is behind: a later copy will do
				}
			})
		case m := <-copies:
			keeper.write(m)
		case <-g.loopEnded:
			keeper.write(keeper.finalState)
			if keeper.historyTally != nil {
				<-keeper.historyClosed // in the same folder, which is still ours
			}
			return
		}
	}
}

// kept gives what is to outlast this run.
func (g *Gateway) learnedState(now control.Micros) *persistence.State {
	k := &persistence.State{Learned: g.core.LearnedState(now)}
	if g.state.clock.BootID != 0 {
		k.Clock = &g.state.clock
	}
	if g.overload != nil {
		usual := g.overload.Baseline()
		k.Overload = &usual
	}
	return k
}

// write writes one generation. A disk that fails is told once, and again when it is well.
func (keeper *stateKeeper) write(m *persistence.State) {
	err := keeper.store.Write(m)
	switch {
	case err != nil && !keeper.failed:
		keeper.log.Error().Err(err).Msg("memory can't be written: the last one stands; each further try is made in silence")
	case err == nil && keeper.failed:
		keeper.log.Info().Msg("memory is written again")
	}
	keeper.failed = err != nil
}

// close ends the journal and lets the folder go; of no keeper it does nothing.
func (keeper *stateKeeper) close() {
	if keeper != nil {
		keeper.Journal.Close()
		keeper.unlock()
	}
}
