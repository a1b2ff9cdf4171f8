package modelcheck

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"hollymast/internal/core"
)

// frontier holds the states of one depth, in memory and spilled to files.
type frontier struct {
	states  []*State
	files   []string
	inFiles int // number of states in files
}

func (f *frontier) count() int { return len(f.states) + f.inFiles }

// forEach calls do with each state until it returns false. It returns an error if a file cannot be read.
func (f *frontier) forEach(do func(*State) bool) error {
	for _, s := range f.states {
		if !do(s) {
			return nil
		}
	}
	for _, name := range f.files {
		if more, err := readStates(name, do); err != nil || !more {
			return err
		}
	}
	return nil
}

// readStates calls do with each state of a file until do returns false; more is then false.
func readStates(name string, do func(*State) bool) (more bool, err error) {
	file, err := os.Open(name)
	if err != nil {
		return false, err
	}
	defer file.Close()
	decoder := cbor.NewDecoder(file)
	for {
		var stored storedState
		if err := decoder.Decode(&stored); errors.Is(err, io.EOF) {
			return true, nil
		} else if err != nil {
			return false, fmt.Errorf("%s: %w", name, err)
		}
		s, err := stored.restore()
		if err != nil {
			return false, fmt.Errorf("%s: %w", name, err)
		}
		if !do(s) {
			return false, nil
		}
	}
}

func (f *frontier) removeFiles() {
	for _, name := range f.files {
		os.Remove(name)
	}
}

// frontierWriter collects the states of the next depth, and spills those beyond maxInMemory to a file.
type frontierWriter struct {
	frontier    frontier
	maxInMemory int // 0: all
	dir         string
	depth       int
	file        *os.File
	encoder     *cbor.Encoder
}

func (w *frontierWriter) add(s *State) error {
	if w.maxInMemory == 0 || w.dir == "" || len(w.frontier.states) < w.maxInMemory {
		w.frontier.states = append(w.frontier.states, s)
		return nil
	}
	if w.file == nil {
		var err error
		if w.file, err = os.Create(filepath.Join(w.dir, fmt.Sprintf("depth-%d", w.depth))); err != nil {
			return err
		}
		w.encoder = cbor.NewEncoder(w.file)
		w.frontier.files = append(w.frontier.files, w.file.Name())
	}
	w.frontier.inFiles++
	return w.encoder.Encode(newStoredState(s))
}

func (w *frontierWriter) close() error {
	if w.file == nil {
		return nil
	}
	return w.file.Close()
}

// storedState is the stored form of a state: the state and the cores of its routers, which the encoding of State omits.
// The tags are the names in stored data.
type storedState struct {
	State *State           `cbor:"World"`
	Cores []*core.Snapshot `cbor:"Cores"`
}

func newStoredState(s *State) storedState {
	stored := storedState{State: s}
	for _, r := range s.Routers {
		stored.Cores = append(stored.Cores, r.core)
	}
	return stored
}

// errMissingRouter is returned for a stored state without the core of a router.
var errMissingRouter = errors.New("stored state is incomplete: the core of a router is missing")

func (stored storedState) restore() (*State, error) {
	if stored.State == nil || len(stored.Cores) != len(stored.State.Routers) {
		return nil, errMissingRouter
	}
	for i, snapshot := range stored.Cores {
		router, err := core.Restore(snapshot, nil)
		if err != nil {
			return nil, err
		}
		if err := stored.State.storeRouter(i, router); err != nil {
			return nil, err
		}
	}
	return stored.State, nil
}
