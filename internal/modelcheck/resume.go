package modelcheck

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/renameio/v2"
)

// savedExploration is the stored form of an exploration between two depths. The tags are the names in stored data.
type savedExploration struct {
	Config   Config        `cbor:"Setup"`
	Progress Progress      `cbor:"Progress"`
	Keys     []Key         `cbor:"Keys"`
	Origins  []origin      `cbor:"From"` // parallel to Keys
	Frontier []storedState `cbor:"Frontier"`
}

// resumeFileName is the file in Exploration.Dir from which an exploration resumes.
const resumeFileName = "resume.cbor"

// save writes the file from which the exploration can be resumed.
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

// resume loads the saved exploration, if there is one. It returns an error if it was saved with another config.
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
		return fmt.Errorf("%s holds an exploration with another configuration", r.Dir)
	}
	const savedDepth = 0 // lower than any depth still to be explored, so that no saved origin is replaced
	for i, key := range saved.Keys {
		r.visited.add(key, saved.Origins[i], savedDepth)
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
