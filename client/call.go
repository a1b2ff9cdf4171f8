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
	RunOnce       Effect = iota // harm: a request that may have run is never repeated
	Restartable                 // nothing: the request is idempotent
	Fingerprinted               // nothing for a while: servers recognize the idempotency key and drop the repetition
)

// Workload is what is known of a kind of requests. It should agree with the routers' configuration.
type Workload struct {
	Effect Effect
	// Narrow says that only a part of the servers (a zone or a cell) recognizes a Fingerprinted request: another router may
	// not reach it.
	Narrow bool
	// Window is how long servers recognize a Fingerprinted request.
	Window time.Duration
	// Remembered says that routers recognize idempotency keys across their restarts: the one that was asked may be asked
	// again for a RunOnce request.
	Remembered bool
	// Hedge says that two attempts at once do no harm, and that a slow attempt is worth a second one.
	Hedge bool
}

// class returns the workload in the terms of package retry.
func (w Workload) class() retry.Class {
	class := retry.Class{
		Effect:        effects[w.Effect],
		Window:        control.Micros(w.Window.Microseconds()),
		KeysPersisted: w.Remembered,
		HedgeSafe:     w.Hedge,
	}
	if w.Narrow {
		class.Scope = control.OneZone
	}
	return class
}

var effects = [...]control.Idempotency{
	RunOnce:       control.NonIdempotent,
	Restartable:   control.Idempotent,
	Fingerprinted: control.IdempotentByKey,
}

// Call is one inference request.
type Call struct {
	Model    string
	Version  string // empty: the server's default
	Body     []byte // the KServe v2 request: JSON, or JSON and binary tensors
	Header   int    // length of the JSON part where binary tensors follow; 0: all is JSON
	Mark     string // the idempotency key, the same for all attempts; empty: one is made
	Tenant   string
	Workload Workload
	Patience time.Duration // for all attempts together; 0: until the context's deadline
	// BodyOf returns the body of each attempt, where the request's id or its parameter timeout depends on it; nil: Body. It is
	// called once the attempt has a connection, just before it is sent.
	BodyOf func(Try) []byte
	// Tried is called when an attempt has ended, as Hooks.Tried is; nil: nobody is.
	Tried func(t Try, ending string)
}

// Try is one attempt of a call.
type Try struct {
	Mark   string // the call's idempotency key
	Number int    // from 1
	Router string
	Left   time.Duration // until the call's deadline
}

// Answer is the answer to a call.
type Answer struct {
	Status int
	Body   []byte
	Header int    // length of the JSON part where binary tensors follow
	Tries  int    // attempts made
	Router string // that answered
}
