package client

import (
	"crypto/tls"
	"time"
)

// Options configure a client.
type Options struct {
	Routers             []string      // addresses, HOST:PORT
	TLS                 *tls.Config   // nil: plain text
	Connections         int           // maximum number of connections to one router; 0: 64
	DefaultTimeout      time.Duration // for calls without a timeout whose context has no deadline; 0: 10 s
	LateResponseTimeout time.Duration // how long a response is still read after a call's deadline, when nothing is sent any more
	Seed                uint64        // of the random generator; 0: a random seed
	Hooks               Hooks
}

// Hooks are called on a client's events; any of them may be nil. They are called concurrently and must not block. The
// outcome of an attempt is "finished", "refused", "pushed back", "unsent", "killed" or "lost"; that of a call is
// "finished" or a FailureKind.
type Hooks struct {
	AttemptStarted   func(a Attempt)
	AttemptEnded     func(a Attempt, outcome string, duration time.Duration)
	CallEnded        func(outcome string, attempts int, duration time.Duration)
	ConnectionOpened func(router string)
	ConnectionLost   func(router string) // the connection broke; it was not closed by the client
}
