package persistence

import (
	"errors"

	"hollymast/control"
	"hollymast/internal/overload"
)

// Owner identifies the gateway that wrote a file.
type Owner struct {
	Router     int    `cbor:"Router"`
	Deployment uint64 `cbor:"Deployment"` // hash of the names that the ids in the file refer to
}

// State is the content of a state file.
type State struct {
	Owner      Owner                 `cbor:"Owner"`
	Generation uint64                `cbor:"Generation"` // increases by one with each write
	Learned    *control.LearnedState `cbor:"Module"`
	Overload   *overload.Baseline    `cbor:"Storm,omitempty"` // usual load and the overload under way; nil: not watched
	Clock      *Clock                `cbor:"Clock,omitempty"` // of the incarnation that wrote the file; nil: unknown
}

// Errors of Decode and ReadJournal.
var (
	ErrNewerVersion = errors.New("written by a newer version")
	ErrCorrupt      = errors.New("damaged or cut short")
)
