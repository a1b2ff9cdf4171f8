package persistence

import (
	"errors"
	"fmt"
	"io/fs"
)

// GenerationFiles are the names of the two generations. Each write replaces the older.
var GenerationFiles = [2]string{"memory-a", "memory-b"}

// Store writes generations of a state. It is not safe for use by several goroutines.
type Store struct {
	files          FileStore
	owner          Owner
	generation     uint64
	LastWriteBytes int // size of the last write
}

// OpenResult is what was found in a directory.
type OpenResult struct {
	State    *State   // nil: none that may be used
	Warnings []string // for operators
	Writable bool     // whether the directory may be written to
}

// OpenStore reads both generations and takes the newest that is intact and of this owner. Nothing in the directory is an error, since
// a gateway starts in any case. Files of a newer version or of another gateway are left alone, and nothing is written beside them.
func OpenStore(files FileStore, owner Owner) (*Store, OpenResult) {
	s := &Store{files: files, owner: owner}
	result := OpenResult{Writable: true}
	for _, name := range GenerationFiles {
		s.readGeneration(name, &result)
	}
	if result.State != nil {
		s.generation = max(s.generation, result.State.Generation)
	}
	if !result.Writable {
		result.State = nil
	}
	return s, result
}

// readGeneration reads a file and adds what it holds to the result.
func (s *Store) readGeneration(name string, result *OpenResult) {
	var b []byte
	err := RetryTransient(initialRetryDelay, func() (err error) { b, err = s.files.Read(name); return err })
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var state *State
	if err == nil {
		state, err = Decode(b)
	}
	switch {
	case errors.Is(err, ErrNewerVersion):
		result.Writable = false
		result.Warnings = append(result.Warnings, fmt.Sprintf("%s: %v: left unchanged, nothing is stored", name, err))
	case err != nil:
		result.Warnings = append(result.Warnings, fmt.Sprintf("%s: %v: ignored", name, err))
	case state.Owner.Router != s.owner.Router:
		result.Writable = false
		result.Warnings = append(result.Warnings, fmt.Sprintf("%s is of router %d: left unchanged, nothing is stored", name, state.Owner.Router))
	case state.Owner != s.owner:
		result.Warnings = append(result.Warnings, name+" is of other workloads, tenants or name_key: ignored")
		s.generation = max(s.generation, state.Generation)
	case result.State == nil || state.Generation > result.State.Generation:
		result.State = state
	}
}

// Write writes the next generation over the older one. It sets the state's owner and generation.
func (s *Store) Write(state *State) error {
	s.generation++
	state.Owner, state.Generation = s.owner, s.generation
	b, err := Encode(state)
	if err != nil {
		return err
	}
	s.LastWriteBytes = len(b)
	return s.files.Replace(GenerationFiles[s.generation%2], b)
}
