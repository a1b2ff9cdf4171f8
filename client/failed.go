package client

import (
	"fmt"
	"time"
)

// Kind is why a call failed.
type Kind string

// The kinds.
const (
	PushedBack Kind = "pushed back" // rejected for now: it did not run, or may run again without harm
	Killed     Kind = "killed"      // it may have run, the router says
	Wrong      Kind = "refused"     // the request is invalid
	Unreached  Kind = "unreached"   // no router had it: it did not run
	Unknown    Kind = "unknown"     // it may have run: no answer came
)

// Failed is the error of a call.
type Failed struct {
	Kind   Kind
	Status int           // HTTP status of the last answer; 0: none
	Why    string        // the router's text, or the client's own
	After  time.Duration // the pause that the router advises; 0: none
	Tries  int           // attempts made
	Err    error         // the underlying error, if there is one
}

// Error describes the failure.
func (f *Failed) Error() string {
	return fmt.Sprintf("%s after %d tries: %s", f.Kind, f.Tries, f.Why)
}

// Unwrap returns the underlying error, such as context.Canceled; nil: there is none.
func (f *Failed) Unwrap() error { return f.Err }
