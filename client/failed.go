package client

import (
	"fmt"
	"time"
)

// Kind is why a call came to nothing.
type Kind string

// The kinds.
const (
	PushedBack Kind = "pushed back" // not now; it did not run, or may run again without harm
	Killed     Kind = "killed"      // it may have run
	Wrong      Kind = "refused"     // the request is wrong
	Unreached  Kind = "unreached"   // no router had it: it did not run
	Unknown    Kind = "unknown"     // it may have run: no answer came
)

// Failed is the one outcome of a call that was not finished.
type Failed struct {
	Kind   Kind
	Status int           // of the last answer; 0: none
	Why    string        // in the router's words, or ours
	After  time.Duration // the router's advice on when to ask again; 0: none
	Tries  int
	Err    error // beneath, where there is one
}

func (f *Failed) Error() string {
	return fmt.Sprintf("%s after %d tries: %s", f.Kind, f.Tries, f.Why)
}

func (f *Failed) Unwrap() error { return f.Err }
