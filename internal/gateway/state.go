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

// stateKeeper writes what the router has learned to a folder: copied between two steps, encoded and written outside
// them. docs/persistence.md describes the folder.
type stateKeeper struct {
	*persistence.Journal
	store    *persistence.Store
	history  *history.Store
	unlock   func()
	interval time.Duration
	log      zerolog.Logger
	clock    persistence.Clock // of this incarnation
	failed   bool              // the last write did

	usualLoad    *overload.Baseline // of the last incarnation; nil: not known
	usualLoadAge control.Micros

	// Owned by the event loop.
	keys          *persistence.KeyIndex
	historyTally  *history.Collector // nil: no history is kept
	admitted      int                // requests since admittedSince that the journal does not know of
	admittedSince control.Micros

	// Set by the event loop before loopEnded is closed.
	finalState   *persistence.State
	finalHistory *history.Batch

	historyClosed chan struct{} // closed after the last write of the history
}

// maxJournalBytes bounds the journal's files. With the default configuration, the limit on keys comes first.
const maxJournalBytes = 256 << 20

// openRetryPause is the first pause before opening the folder is retried.
const openRetryPause = 5 * time.Millisecond

// forever is a time that no router reaches.
const forever = control.Micros(1) << 60

// openStateKeeper opens the folder of learned state and applies what it holds to the balancer. Whatever is wrong with the
// folder, the router starts: it then runs without one, logs that, and keeper is nil. keysUnknownUntil is until when
// attempts that an earlier incarnation began may be running and are not known, because the folder failed.
func openStateKeeper(
	config *Config, now control.Micros, balancer *control.Balancer, log zerolog.Logger,
) (keeper *stateKeeper, keysUnknownUntil control.Micros) {
	clock := persistence.ReadClock(now)
	var unlock func()
	err := persistence.RetryTransient(openRetryPause, func() (err error) {
		unlock, err = persistence.Lock(config.StateDir)
		return err
	})
	if err != nil {
		log.Error().Err(err).Msg("no learned state: the folder can't be used, nothing is stored")
		return nil, unknownUntil(err)
	}
	store, found := persistence.OpenStore(persistence.Dir(config.StateDir), config.owner())
	for _, line := range found.Warnings {
		log.Warn().Msg("learned state: " + line)
	}
	keeper = &stateKeeper{store: store, unlock: unlock, interval: config.StateInterval, log: log, clock: clock}
	learned := keeper.restore(found.State, now)
	if !found.Writable {
		unlock()
		return nil, 0
	}
	entries, err := keeper.openJournal(config, now)
	if err == nil {
		keeper.keys = keeper.Recovered(entries).Apply(learned, micros(config.KeyRetention), config.MaxKeys)
	}
	balancer.ApplyLearned(now, learned)
	if err != nil {
		log.Error().Err(err).Msg("no learned state: the journal can't be read, nothing is stored")
		unlock()
		return nil, unknownUntil(err)
	}
	if keeper.Incomplete() {
		keysUnknownUntil = now + micros(config.KeyRetention)
	}
	log.Info().Int("marks", keeper.keys.Len()).Int("entries", len(entries)).Msg("journal read")
	if config.MaxHistoryRows > 0 {
		keeper.historyTally, keeper.historyClosed = history.NewCollector(), make(chan struct{})
		keeper.history = history.NewStore(filepath.Join(config.StateDir, HistoryFile), int64(config.MaxHistoryRows))
	}
	return keeper, keysUnknownUntil
}

// restore returns what an earlier incarnation has learned, in this one's time; saved may be nil.
func (keeper *stateKeeper) restore(saved *persistence.State, now control.Micros) *control.LearnedState {
	if saved == nil {
		return &control.LearnedState{}
	}
	learned := saved.Learned
	keeper.usualLoad, keeper.usualLoadAge = saved.Overload, max(0, now-learned.SavedAt)
	if saved.ConvertTimes(keeper.clock, now); learned.SavedAt > 0 {
		keeper.usualLoadAge = now - learned.SavedAt // by the clock that counts from boot
	}
	keeper.log.Info().Uint64("generation", saved.Generation).Int64("age_us", int64(keeper.usualLoadAge)).
		Int("functions", len(learned.Functions)).Int("servers", len(learned.Servers)).Msg("learned state restored")
	return learned
}

// openJournal opens the journal and returns its entries.
func (keeper *stateKeeper) openJournal(config *Config, now control.Micros) ([]persistence.Entry, error) {
	log := keeper.log
	options := persistence.JournalOptions{
		FileSystem: config.fileSystem, Sync: config.JournalSync, Retention: micros(config.KeyRetention),
		MaxBytes: maxJournalBytes, Clock: keeper.clock, Now: now,
		OnStatusChange: func(err error) {
			if err != nil {
				log.Error().Err(err).Msg("journal can't be written: attempts that a restart must know of wait until it can")
			} else {
				log.Info().Msg("journal is written again")
			}
		},
		OnWarning: func(line string) { log.Warn().Msg("journal: " + line) },
	}
	if options.FileSystem == nil {
		options.FileSystem = persistence.OSFileSystem{}
	}
	journal, entries, warnings, err := options.Open(config.StateDir)
	for _, line := range warnings {
		log.Warn().Msg("learned state: " + line)
	}
	keeper.Journal = journal
	return entries, err
}

// unknownUntil returns until when earlier attempts are not known, after a folder could not be opened: one that failed
// still holds them, and one that never was such a folder holds none.
func unknownUntil(err error) control.Micros {
	if persistence.IsTransient(err) {
		return forever
	}
	return 0
}

// owner names this router, and the configuration that the ids in its learned state depend on.
func (c *Config) owner() persistence.Owner {
	names := slices.Concat([]string{"workloads"}, c.ClassNames, []string{"tenants"}, c.TenantNames)
	return persistence.Owner{Router: c.Deployment.RouterIndex, Deployment: record.KeyedHash(c.NameKey, strings.Join(names, "\n"))}
}

// run writes the learned state at an interval until the last step, and then once more.
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
		case state := <-copies:
			keeper.write(state)
		case <-g.loopEnded:
			keeper.write(keeper.finalState)
			if keeper.historyTally != nil {
				<-keeper.historyClosed // it is in the same folder, which is still locked
			}
			return
		}
	}
}

// learnedState returns a copy of what is to outlast this incarnation.
func (g *Gateway) learnedState(now control.Micros) *persistence.State {
	state := &persistence.State{Learned: g.core.LearnedState(now)}
	if g.state.clock.BootID != 0 {
		state.Clock = &g.state.clock
	}
	if g.overload != nil {
		usual := g.overload.Baseline()
		state.Overload = &usual
	}
	return state
}

// write writes one generation. It logs when a disk begins to fail and when it works again, not each failure.
func (keeper *stateKeeper) write(state *persistence.State) {
	err := keeper.store.Write(state)
	switch {
	case err != nil && !keeper.failed:
		keeper.log.Error().Err(err).Msg("learned state can't be written: the last one stays, retried, further failures are not logged")
	case err == nil && keeper.failed:
		keeper.log.Info().Msg("learned state is written again")
	}
	keeper.failed = err != nil
}

// close closes the journal and unlocks the folder; a nil keeper has none.
func (keeper *stateKeeper) close() {
	if keeper != nil {
		keeper.Journal.Close()
		keeper.unlock()
	}
}
