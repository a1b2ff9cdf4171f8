package client

import (
	"time"

	"hollymast/control"
	"hollymast/internal/retry"
)

// Effect says what it would do to run a request a second time.
type Effect uint8

// The effects, as the routers' configuration names them.
const (
	NonIdempotent   Effect = iota // harm: a request that may have run is never repeated
	Idempotent                    // nothing: the request is idempotent
	IdempotentByKey               // nothing for a while: servers recognize the idempotency key and drop the repetition
)

// Workload is what is known of a kind of requests. It should agree with the routers' configuration.
type Workload struct {
	Effect Effect
	// PartialKeyScope says that only a part of the servers (a zone or a cell) recognizes a Fingerprinted request: another router may
	// not reach it.
	PartialKeyScope bool
	// KeyWindow is how long servers recognize a Fingerprinted request.
	KeyWindow time.Duration
	// KeysPersisted says that routers recognize idempotency keys across their restarts: the one that was asked may be asked
	// again for a RunOnce request.
	KeysPersisted bool
	// Hedge says that two attempts at once do no harm, and that a slow attempt is worth a second one.
	Hedge bool
}

// class returns the workload in the terms of package retry.
func (w Workload) class() retry.Class {
	class := retry.Class{
		Effect:        effects[w.Effect],
		Window:        control.Micros(w.KeyWindow.Microseconds()),
		KeysPersisted: w.KeysPersisted,
		HedgeSafe:     w.Hedge,
	}
	if w.PartialKeyScope {
		class.Scope = control.OneZone
	}
	return class
}

var effects = [...]control.Idempotency{
	NonIdempotent:   control.NonIdempotent,
	Idempotent:      control.Idempotent,
	IdempotentByKey: control.IdempotentByKey,
}

// Call is one inference request.
type Call struct {
	Model          string
	Version        string // empty: the server's default
	Body           []byte // the KServe v2 request: JSON, or JSON and binary tensors
	JSONLength     int    // length of the JSON part where binary tensors follow; 0: all is JSON
	IdempotencyKey string // the idempotency key, the same for all attempts; empty: one is made
	Tenant         string
	Workload       Workload
	Timeout        time.Duration // for all attempts together; 0: until the context's deadline
	// BodyFor returns the body of each attempt, where the request's id or its parameter timeout depends on it; nil: Body. It is
	// called once the attempt has a connection, just before it is sent.
	BodyFor func(Attempt) []byte
	// AttemptEnded is called when an attempt has ended, as Hooks.Tried is; nil: nobody is.
	AttemptEnded func(t Attempt, ending string)
}

// Attempt is one attempt of a call.
type Attempt struct {
	IdempotencyKey string // the call's idempotency key
	Number         int    // from 1
	Router         string
	Remaining      time.Duration // until the call's deadline
}

// Response is the answer to a call.
type Response struct {
	Status     int
	Body       []byte
	JSONLength int    // length of the JSON part where binary tensors follow
	Attempts   int    // attempts made
	Router     string // that answered
}
