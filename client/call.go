package client

import (
	"time"

	"hollymast/control"
	"hollymast/internal/retry"
)

// Effect says whether running a request a second time does harm.
type Effect uint8

// The effects. The routers' configuration calls them run-once, restartable and fingerprinted.
const (
	NonIdempotent   Effect = iota // a second run does harm: a request that may have run is never retried
	Idempotent                    // a second run does no harm
	IdempotentByKey               // servers recognize the idempotency key for some time and drop a duplicate
)

// Workload describes the requests of one class. It should agree with the routers' configuration.
type Workload struct {
	Effect Effect
	// PartialKeyScope says that only a part of the servers (a zone or a cell) recognizes the key of an IdempotentByKey
	// request. Another router may not reach that part.
	PartialKeyScope bool
	// KeyWindow is how long servers recognize the key of an IdempotentByKey request.
	KeyWindow time.Duration
	// KeysPersisted says that routers recognize idempotency keys across restarts, so that a NonIdempotent request may be
	// sent again to the router that had it.
	KeysPersisted bool
	// Hedge says that two concurrent attempts do no harm, and enables a second attempt if the first one is slow.
	Hedge bool
}

// retryClass converts the workload into a class of package retry.
func (w Workload) retryClass() retry.Class {
	class := retry.Class{
		Idempotency:   controlEffects[w.Effect],
		DedupWindow:   control.Micros(w.KeyWindow.Microseconds()),
		KeysPersisted: w.KeysPersisted,
		HedgeSafe:     w.Hedge,
	}
	if w.PartialKeyScope {
		class.DedupScope = control.OneZone
	}
	return class
}

var controlEffects = [...]control.Idempotency{
	NonIdempotent:   control.NonIdempotent,
	Idempotent:      control.Idempotent,
	IdempotentByKey: control.IdempotentByKey,
}

// Call is one inference request.
type Call struct {
	Model          string
	Version        string // empty: the server's default
	Body           []byte // the KServe v2 request: JSON, or JSON and binary tensors
	JSONLength     int    // length of the JSON part if binary tensors follow; 0: the whole body is JSON
	IdempotencyKey string // the same for all attempts; empty: one is generated
	Tenant         string
	Workload       Workload
	Timeout        time.Duration // for all attempts together; 0: until the context's deadline
	// BodyFor returns the body of an attempt, for requests whose id or timeout parameter depends on the attempt; nil: Body
	// is sent. It is called once the attempt has a connection, just before the request is sent.
	BodyFor func(Attempt) []byte
	// AttemptEnded is called when an attempt has ended, like Hooks.AttemptEnded; it may be nil.
	AttemptEnded func(a Attempt, outcome string)
}

// Attempt is one attempt of a call.
type Attempt struct {
	IdempotencyKey string // of the call
	Number         int    // from 1
	Router         string
	Remaining      time.Duration // until the call's deadline
}

// Response is the response to a call.
type Response struct {
	Status     int
	Body       []byte
	JSONLength int    // length of the JSON part if binary tensors follow; 0: the whole body is JSON
	Attempts   int    // number of attempts made
	Router     string // address of the router that responded
}
