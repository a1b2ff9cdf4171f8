package client

import (
	"fmt"
	"time"
)

// FailureKind says why a call failed and whether the request may have run.
type FailureKind string

// The failure kinds.
const (
	Rejected       FailureKind = "pushed back" // the router rejected it for now: it did not run, or may safely run again
	RequestFailed  FailureKind = "killed"      // the router reported a failure: the request may have run
	InvalidRequest FailureKind = "refused"     // the request is invalid
	NotSent        FailureKind = "unreached"   // no router received the whole request: it did not run
	OutcomeUnknown FailureKind = "unknown"     // no response was received: the request may have run
)

// CallError is the error of a failed call.
type CallError struct {
	Kind       FailureKind
	Status     int           // HTTP status of the last response; 0: none
	Reason     string        // the router's error text, or the client's own
	RetryAfter time.Duration // delay before a retry that the router advises; 0: none
	Attempts   int           // number of attempts made
	Err        error         // the underlying error, if there is one
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s after %d tries: %s", e.Kind, e.Attempts, e.Reason)
}

// Unwrap returns the underlying error, such as context.Canceled, or nil if there is none.
func (e *CallError) Unwrap() error { return e.Err }
