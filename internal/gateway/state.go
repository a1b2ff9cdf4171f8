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

// stateKeeper persists what the router has learned in a folder. The state is copied between two steps of the event
// loop, and encoded and written outside of them. docs/persistence.md describes the folder.
type stateKeeper struct {
	*persistence.Journal
	store    *persistence.Store
	history  *history.Store
	unlock   func()
	interval time.Duration
	log      zerolog.Logger
	clock    persistence.Clock // read when this incarnation started
	failed   bool              // the last write failed

	overloadBaseline    *overload.Baseline // from the last incarnation; nil: not known
	overloadBaselineAge control.Micros

	// Owned by the event loop.
	keys                  *persistence.KeyIndex
	historyCollector      *history.Collector // nil: no history is kept
	unjournaledAdmissions int                // requests admitted since unjournaledSince, not yet in the journal
	unjournaledSince      control.Micros

	// Set by the event loop before loopEnded is closed.
	finalState   *persistence.State
	finalHistory *history.Batch

	historyClosed chan struct{} // closed after the last write of the history
}

// maxJournalBytes limits the total size of the journal's files. With the default configuration, the limit on keys is
// reached first.
const maxJournalBytes = 256 << 20

// openRetryPause is the pause before the first retry of opening the folder.
const openRetryPause = 5 * time.Millisecond

// farFuture is later than any time at which a router runs.
const farFuture = control.Micros(1) << 60

// openStateKeeper opens the folder for learned state and applies its contents to the balancer. If the folder is
// unusable, the router still starts: it logs the problem, keeper is nil, and nothing is stored. Until keysUnknownUntil,
// attempts started by an earlier incarnation may be running although they could not be read from the folder.
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
		log.Error().Err(err).Msg("learned state: the folder can't be used, nothing is stored")
		return nil, unknownUntil(err)
	}
	store, loaded := persistence.OpenStore(persistence.Dir(config.StateDir), config.stateOwner())
	for _, line := range loaded.Warnings {
		log.Warn().Msg("learned state: " + line)
	}
	keeper = &stateKeeper{store: store, unlock: unlock, interval: config.StateInterval, log: log, clock: clock}
	learned := keeper.restore(loaded.State, now)
	if !loaded.Writable {
		unlock()
		return nil, 0
	}
	entries, err := keeper.openJournal(config, now)
	if err == nil {
		keeper.keys = keeper.Recovered(entries).Apply(learned, micros(config.KeyRetention), config.MaxKeys)
	}
	balancer.ApplyLearned(now, learned)
	if err != nil {
		log.Error().Err(err).Msg("learned state: the journal can't be read, nothing is stored")
		unlock()
		return nil, unknownUntil(err)
	}
	if keeper.Incomplete() {
		keysUnknownUntil = now + micros(config.KeyRetention)
	}
	log.Info().Int("marks", keeper.keys.Len()).Int("entries", len(entries)).Msg("journal read")
	if config.MaxHistoryRows > 0 {
		keeper.historyCollector, keeper.historyClosed = history.NewCollector(), make(chan struct{})
		keeper.history = history.NewStore(filepath.Join(config.StateDir, HistoryFile), int64(config.MaxHistoryRows))
	}
	return keeper, keysUnknownUntil
}

// restore returns the state that an earlier incarnation saved, with its times converted to this incarnation's clock.
// saved may be nil.
func (keeper *stateKeeper) restore(saved *persistence.State, now control.Micros) *control.LearnedState {
	if saved == nil {
		return &control.LearnedState{}
	}
	learned := saved.Learned
	keeper.overloadBaseline, keeper.overloadBaselineAge = saved.Overload, max(0, now-learned.SavedAt)
	if saved.ConvertTimes(keeper.clock, now); learned.SavedAt > 0 {
		keeper.overloadBaselineAge = now - learned.SavedAt // measured by the boot-time clock
	}
	keeper.log.Info().Uint64("generation", saved.Generation).Int64("age_us", int64(keeper.overloadBaselineAge)).
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
				log.Error().Err(err).Msg("journal can't be written: attempts that must survive a restart wait until it can")
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

// unknownUntil returns until when earlier attempts are unknown after the folder could not be opened. After a transient
// error the folder may still hold them, so they stay unknown. Any other error means that it never was a state folder
// and holds none.
func unknownUntil(err error) control.Micros {
	if persistence.IsTransient(err) {
		return farFuture
	}
	return 0
}

// stateOwner identifies this router and the part of its configuration that the ids in the learned state depend on.
func (c *Config) stateOwner() persistence.Owner {
	names := slices.Concat([]string{"workloads"}, c.ClassNames, []string{"tenants"}, c.TenantNames)
	return persistence.Owner{Router: c.Deployment.RouterIndex, Deployment: record.KeyedHash(c.NameKey, strings.Join(names, "\n"))}
}

// run writes the learned state periodically until the last step, and then once more.
func (keeper *stateKeeper) run(g *Gateway) {
	defer keeper.close()
	ticker := time.NewTicker(keeper.interval)
	defer ticker.Stop()
	states := make(chan *persistence.State, 1)
	for {
		select {
		case <-ticker.C:
			g.afterStep(func(now control.Micros) {
				keeper.keys.Prune(now)
				select {
				case states <- g.learnedState(now):
				default: // the previous copy is still being written: skip this one
				}
			})
		case state := <-states:
			keeper.write(state)
		case <-g.loopEnded:
			keeper.write(keeper.finalState)
			if keeper.historyCollector != nil {
				<-keeper.historyClosed // the history is in the same folder, which must stay locked until it is written
			}
			return
		}
	}
}

// learnedState returns a copy of the state that is kept for the next incarnation.
func (g *Gateway) learnedState(now control.Micros) *persistence.State {
	state := &persistence.State{Learned: g.core.LearnedState(now)}
	if g.state.clock.BootID != 0 {
		state.Clock = &g.state.clock
	}
	if g.overload != nil {
		baseline := g.overload.Baseline()
		state.Overload = &baseline
	}
	return state
}

// write writes the state as the next generation of the state files. It logs the first of consecutive failures and the
// recovery.
func (keeper *stateKeeper) write(state *persistence.State) {
	err := keeper.store.Write(state)
	switch {
	case err != nil && !keeper.failed:
		keeper.log.Error().Err(err).Msg("learned state can't be written: the previous file is kept; retrying, further failures are not logged")
	case err == nil && keeper.failed:
		keeper.log.Info().Msg("learned state is written again")
	}
	keeper.failed = err != nil
}

// close closes the journal and unlocks the folder. It does nothing if keeper is nil.
func (keeper *stateKeeper) close() {
	if keeper != nil {
		keeper.Journal.Close()
		keeper.unlock()
	}
}
