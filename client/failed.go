package client

import (
	"fmt"
	"time"
)

// FailureKind is why a call failed.
type FailureKind string

// The kinds.
const (
	Rejected       FailureKind = "pushed back" // rejected for now: it did not run, or may run again without harm
	RequestFailed  FailureKind = "killed"      // it may have run, the router says
	InvalidRequest FailureKind = "refused"     // the request is invalid
	NotSent        FailureKind = "unreached"   // no router had it: it did not run
	OutcomeUnknown FailureKind = "unknown"     // it may have run: no answer came
)

// CallError is the error of a call.
type CallError struct {
	Kind       FailureKind
	Status     int           // HTTP status of the last answer; 0: none
	Reason     string        // the router's text, or the client's own
	RetryAfter time.Duration // the pause that the router advises; 0: none
	Attempts   int           // attempts made
	Err        error         // the underlying error, if there is one
}

// Error describes the failure.
func (f *CallError) Error() string {
	return fmt.Sprintf("%s after %d tries: %s", f.Kind, f.Attempts, f.Reason)
}

// Unwrap returns the underlying error, such as context.Canceled; nil: there is none.
func (f *CallError) Unwrap() error { return f.Err }
