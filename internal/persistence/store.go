package persistence

import (
	"errors"
	"fmt"
	"io/fs"
)

// GenerationFiles are the file names of the two generations. Each write replaces the older one.
var GenerationFiles = [2]string{"memory-a", "memory-b"}

// Store writes generations of a state. It is not safe for concurrent use.
type Store struct {
	files          FileStore
	owner          Owner
	generation     uint64
	LastWriteBytes int // size of the last generation written
}

// OpenResult is what OpenStore found in a directory.
type OpenResult struct {
	State    *State   // nil: no usable state
	Warnings []string // for operators
	Writable bool     // whether the store may write to the directory
}

// OpenStore reads both generations and returns the newest that is intact and belongs to the owner. It returns no error, since a gateway
// starts whatever is in the directory. If a file was written by a newer version or by another gateway, the directory isn't Writable.
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

// readGeneration reads one file and merges it into the result.
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
		result.Warnings = append(result.Warnings, fmt.Sprintf("%s: %v: left unchanged, no state is saved", name, err))
	case err != nil:
		result.Warnings = append(result.Warnings, fmt.Sprintf("%s: %v: ignored", name, err))
	case state.Owner.Router != s.owner.Router:
		result.Writable = false
		result.Warnings = append(result.Warnings, fmt.Sprintf("%s belongs to router %d: left unchanged, no state is saved", name, state.Owner.Router))
	case state.Owner != s.owner:
		result.Warnings = append(result.Warnings, name+" was written for other workloads, tenants or name_key: ignored")
		s.generation = max(s.generation, state.Generation)
	case result.State == nil || state.Generation > result.State.Generation:
		result.State = state
	}
}

// Write sets the state's owner and generation and writes it over the older of the two files.
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
