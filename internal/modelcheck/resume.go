package modelcheck

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/renameio/v2"
)

// savedExploration is an exploration between two depths. Its stored form keeps earlier names.
type savedExploration struct {
	Config   Config        `cbor:"Setup"`
	Progress Progress      `cbor:"Progress"`
	Keys     []Key         `cbor:"Keys"`
	Origins  []origin      `cbor:"From"` // by key
	Frontier []storedState `cbor:"Frontier"`
}

// resumeFileName is the file in an exploration's folder.
const resumeFileName = "resume.cbor"

// save writes all that is needed to go on.
func (r *run) save() error {
	saved := savedExploration{Config: r.Config, Progress: r.result.Progress}
	for i := range r.visited.shards {
		for key, visit := range r.visited.shards[i].visits {
			saved.Keys = append(saved.Keys, key)
			saved.Origins = append(saved.Origins, visit.origin)
		}
	}
	err := r.frontier.forEach(func(s *State) bool {
		saved.Frontier = append(saved.Frontier, newStoredState(s))
		return true
	})
	if err != nil {
		return err
	}
	b, err := cbor.Marshal(saved)
	if err != nil {
		return err
	}
	return renameio.WriteFile(filepath.Join(r.Dir, resumeFileName), b, 0o600)
}

// resume goes on from what was saved, if anything was. It is an error if that is of another world.
func (r *run) resume() error {
	b, err := os.ReadFile(filepath.Join(r.Dir, resumeFileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	var saved savedExploration
	if err := cbor.Unmarshal(b, &saved); err != nil {
		return err
	}
	ours, err := cbor.Marshal(r.Config)
	if err != nil {
		return err
	}
	if theirs, err := cbor.Marshal(saved.Config); err != nil || string(ours) != string(theirs) {
		return fmt.Errorf("%s holds an exploration of another world", r.Dir)
	}
	const beforeAnyNew = 0 // the depths that follow are greater, so no saved origin is replaced
	for i, key := range saved.Keys {
		r.visited.add(key, saved.Origins[i], beforeAnyNew)
	}
	r.frontier.states = nil
	for _, stored := range saved.Frontier {
		s, err := stored.restore()
		if err != nil {
			return err
		}
		r.frontier.states = append(r.frontier.states, s)
	}
	r.result.Progress = saved.Progress
	return nil
}
