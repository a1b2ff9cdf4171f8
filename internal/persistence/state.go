// Package persistence keeps what a router learned, and what it owes, where a folder outlasts it: a file of learned figures in
// two generations, and a journal of what was sent that a later life must still count.
package persistence

import (
	"errors"

	"hollymast/control"
	"hollymast/internal/overload"
)

// Owner tells whose memory a file is.
type Owner struct {
	Router     int    `cbor:"Router"`
	Deployment uint64 `cbor:"Deployment"` // of what the ids in it hang on
}

// Kept is a file's content.
type State struct {
	Owner      Owner                 `cbor:"Owner"`
	Generation uint64                `cbor:"Generation"` // one more with each writing
	Learned    *control.LearnedState `cbor:"Module"`
	Overload   *overload.Baseline    `cbor:"Storm,omitempty"` // what is usual of calls, and the storm that was on; nil: not watched
	Clock      *Clock                `cbor:"Clock,omitempty"` // of the life that wrote it; nil: not known
}

// Errors of Decode.
var (
	ErrNewer   = errors.New("written by a newer version")
	ErrDamaged = errors.New("damaged or cut short")
)
