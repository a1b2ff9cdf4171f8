package persistence

import (
	"errors"
	"io/fs"
	"testing"

	"hollymast/control"
)

var testOwner = Owner{Router: 1, Deployment: 7}

// testItems is how many servers and functions a test state holds. It is small because a test truncates the file at every byte.
const testItems = 4

// testState returns a state in which every value is the version, so that a mixture of two versions can be detected.
func testState(version int) *State {
	learned := &control.LearnedState{SavedAt: control.Micros(version), StartedAt: 1, QuotaDebt: []control.Micros{control.Micros(version)}}
	for i := range testItems {
		learned.Servers = append(learned.Servers, control.LearnedServer{Server: control.ServerID(i + 1), StartedAt: control.Micros(version)})
		learned.Functions = append(learned.Functions, control.LearnedFunction{ID: control.FunctionID(i), Lanes: 2,
			Instances: []control.LearnedInstance{{Server: 1, Replicas: 1, LastUsed: control.Micros(version)}}})
	}
	return &State{Owner: testOwner, Learned: learned}
}

// stateVersion returns the version of a test state, and whether all its values are of that version.
func stateVersion(state *State) (version int, ok bool) {
	value := state.Learned.SavedAt
	ok = len(state.Learned.Servers) == testItems && len(state.Learned.Functions) == testItems && state.Learned.QuotaDebt[0] == value
	for i := range state.Learned.Servers {
		ok = ok && state.Learned.Servers[i].StartedAt == value && state.Learned.Functions[i].Instances[0].LastUsed == value
	}
	return int(value), ok
}

// tornStore simulates a write that is interrupted on a file system that may reorder unsynced writes.
type tornStore struct {
	files map[string][]byte
	tear  func(old, new []byte) []byte // returns what is left of the file being replaced; nil: the write succeeds
}

func (d *tornStore) Read(name string) ([]byte, error) {
	if b, ok := d.files[name]; ok {
		return b, nil
	}
	return nil, fs.ErrNotExist
}

func (d *tornStore) Replace(name string, b []byte) error {
	if d.tear == nil {
		d.files[name] = b
		return nil
	}
	if d.files[name] = d.tear(d.files[name], b); d.files[name] == nil {
		delete(d.files, name)
	}
	return errors.New("power failure")
}

// Whatever an interrupted write leaves of its file, the last intact generation is found.
func TestTornWrites(t *testing.T) {
	full, err := Encode(testState(4))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(full) + 1 {
		for name, left := range map[string]func(old, new []byte) []byte{
			"old":    func(old, _ []byte) []byte { return old },
			"gone":   func(_, _ []byte) []byte { return nil },
			"prefix": func(_, new []byte) []byte { return new[:min(cut, len(new))] },
			"zeros after": func(_, new []byte) []byte {
				return append(new[:min(cut, len(new)):min(cut, len(new))], make([]byte, max(0, len(new)-cut))...)
			},
			"zeros before": func(_, new []byte) []byte { c := min(cut, len(new)); return append(make([]byte, c), new[c:]...) },
			"new, then old": func(old, new []byte) []byte {
				return append(new[:min(cut, len(new)):min(cut, len(new))], old[min(cut, len(old)):]...)
			},
			"old, then new": func(old, new []byte) []byte {
				return append(old[:min(cut, len(old)):min(cut, len(old))], new[min(cut, len(new)):]...)
			},
			"more than whole": func(_, new []byte) []byte { return append(new[:len(new):len(new)], make([]byte, 1+cut)...) },
		} {
			store := &tornStore{files: map[string][]byte{}}
			s, _ := OpenStore(store, testOwner)
			for version := 1; version <= 3; version++ {
				if err := s.Write(testState(version)); err != nil {
					t.Fatal(err)
				}
			}
			store.tear = left
			s.Write(testState(4))
			_, result := OpenStore(store, testOwner)
			if result.State == nil {
				t.Fatalf("%s at %d: nothing found", name, cut)
			}
			if version, ok := stateVersion(result.State); !ok || version < 3 {
				t.Fatalf("%s at %d: got version %d, intact %t", name, cut, version, ok)
			}
		}
	}
}

// Files of a newer version or of another router are neither used nor overwritten.
func TestForeignFilesAreLeftAlone(t *testing.T) {
	newerVersion := withChecksum(Version+1, []byte{0xa0})
	otherRouter, err := Encode(&State{Owner: Owner{Router: 2, Deployment: 7}, Generation: 9, Learned: &control.LearnedState{}})
	if err != nil {
		t.Fatal(err)
	}
	valid, err := Encode(&State{Owner: testOwner, Generation: 3, Learned: &control.LearnedState{}})
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range map[string][]byte{"newer": newerVersion, "another router's": otherRouter} {
		store := &tornStore{files: map[string][]byte{GenerationFiles[0]: b, GenerationFiles[1]: valid}}
		if _, result := OpenStore(store, testOwner); result.State != nil || result.Writable || len(result.Warnings) != 1 {
			t.Errorf("%s: got %+v", name, result)
		}
	}
}

// The state of another deployment is not used, and is overwritten.
func TestOtherDeploymentStartsEmpty(t *testing.T) {
	store := &tornStore{files: map[string][]byte{}}
	s, _ := OpenStore(store, Owner{Router: 1, Deployment: 8})
	s.Write(testState(1))
	s.Write(testState(2))
	s, result := OpenStore(store, testOwner)
	if result.State != nil || !result.Writable || len(result.Warnings) != 2 {
		t.Errorf("got %+v", result)
	}
	s.Write(testState(3))
	if _, result = OpenStore(store, testOwner); result.State == nil || result.State.Learned.SavedAt != 3 || result.State.Generation != 3 {
		t.Errorf("got %+v", result)
	}
}
