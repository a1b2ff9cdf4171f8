package chaostest

import (
	"cmp"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"hollymast/control"
	"hollymast/internal/persistence"
)

// stateDir returns the directory of a router's persisted state. If the run makes recordings, it is beside them, so that it is kept
// after the run.
func (h *harness) stateDir(router int) string {
	return filepath.Join(cmp.Or(h.scenario.RecordDir, h.dir), "memory-"+strconv.Itoa(router))
}

// prepareState changes the persisted state of a stopped router as the scenario specifies.
func (h *harness) prepareState(router int) error {
	dir := persistence.Dir(h.stateDir(router))
	switch h.scenario.RouterState {
	case StateJournalOnly:
		for _, name := range persistence.GenerationFiles {
			if err := os.Remove(filepath.Join(string(dir), name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return err
			}
		}
	case StateAged:
		return rewriteState(dir, func(s *control.LearnedState) { ageState(s, stateAge) })
	case StateMismatched:
		return rewriteState(dir, mismatchState)
	}
	return nil
}

// stateAge is far longer than any learned state is useful.
const stateAge = control.Micros(30 * 24 * time.Hour / time.Microsecond)

// rewriteState applies a change to each generation of a persisted state.
func rewriteState(dir persistence.Dir, change func(*control.LearnedState)) error {
	for _, name := range persistence.GenerationFiles {
		b, err := dir.Read(name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		state, err := persistence.Decode(b)
		if err != nil {
			return err
		}
		change(state.Learned)
		if b, err = persistence.Encode(state); err != nil {
			return err
		}
		if err := dir.Replace(name, b); err != nil {
			return err
		}
	}
	return nil
}

// ageState moves all times of a state into the past by a duration.
func ageState(s *control.LearnedState, by control.Micros) {
	persistence.ShiftTimes(s, -by)
	for i := range s.Servers {
		s.Servers[i].StartedAt = max(0, s.Servers[i].StartedAt-by)
	}
}

// mismatchState changes a state to one that was learned under different load: answers came three times as fast, and functions were
// loaded on other servers.
func mismatchState(s *control.LearnedState) {
	const shift = 5 // servers
	s.Answers = slices.Concat(s.Answers, s.Answers, s.Answers)
	slices.Sort(s.Answers)
	index := map[control.ServerID]int{}
	for i, server := range s.Servers {
		index[server.Server] = i
	}
	for i := range s.Functions {
		instances := s.Functions[i].Instances
		for j := range instances {
			instances[j].Server = s.Servers[(index[instances[j].Server]+shift)%len(s.Servers)].Server
		}
	}
}
