package persistence

import (
	"errors"
	"fmt"
	"io/fs"
)

// Files are the two generations' names; each writing replaces the older.
var GenerationFiles = [2]string{"memory-a", "memory-b"}

// Store writes generations. It is not safe for use by several goroutines.
type Store struct {
	disk         FileStore
	owner        Owner
	generation   uint64
	WrittenBytes int // of the last writing
}

// Found tells what was found in a folder.
type OpenResult struct {
	State    *State   // nil: nothing that may be used
	Warnings []string // what is to be said to operators
	Writable bool     // whether the folder may be written to
}

// Look reads both generations and decides which counts: the newest that is whole and ours. Nothing in the folder is an
// error: a router starts in any case. Files of a newer version or of another router are left alone, and nothing is
// written beside them.
func OpenStore(disk FileStore, owner Owner) (*Store, OpenResult) {
	s := &Store{disk: disk, owner: owner}
	found := OpenResult{Writable: true}
	for _, name := range GenerationFiles {
		var b []byte
		err := RetryTransient(initialRetryDelay, func() (err error) { b, err = disk.Read(name); return err })
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		var k *State
		if err == nil {
			k, err = Decode(b)
		}
		switch {
		case errors.Is(err, ErrNewer):
			found.Writable = false
			found.Warnings = append(found.Warnings, fmt.Sprintf("%s: %v: it is left alone and nothing is kept", name, err))
		case err != nil:
			found.Warnings = append(found.Warnings, fmt.Sprintf("%s: %v: it is passed over", name, err))
		case k.Owner.Router != owner.Router:
			found.Writable = false
			found.Warnings = append(found.Warnings, fmt.Sprintf("%s is of router %d: it is left alone and nothing is kept", name, k.Owner.Router))
		case k.Owner != owner:
			found.Warnings = append(found.Warnings, name+" is of other workloads, tenants or name_key: it is passed over")
			s.generation = max(s.generation, k.Generation)
		case found.State == nil || k.Generation > found.State.Generation:
			found.State = k
		}
	}
	if found.State != nil {
		s.generation = max(s.generation, found.State.Generation)
	}
	if !found.Writable {
		found.State = nil
	}
	return s, found
}

// Write writes the next generation over the older one.
func (s *Store) Write(k *State) error {
	s.generation++
	k.Owner, k.Generation = s.owner, s.generation
	b, err := Encode(k)
	if err != nil {
		return err
	}
	s.WrittenBytes = len(b)
	return s.disk.Replace(GenerationFiles[s.generation%2], b)
}
