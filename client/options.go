package client

import (
	"crypto/tls"
	"time"
)

// Options configure a client.
type Options struct {
	Routers             []string      // addresses, HOST:PORT
	TLS                 *tls.Config   // nil: plain text
	Connections         int           // to one router at most; 0: 64
	DefaultTimeout      time.Duration // of calls that set none and whose context has no deadline; 0: 10 s
	LateResponseTimeout time.Duration // how long an answer is still read after a call's deadline; nothing is sent then
	Seed                uint64        // of all randomness; 0: a random one
	Hooks               Hooks
}

// Hooks are called at a client's events; any may be nil. They are called concurrently and must not block. Endings are
// "finished", "refused", "pushed back", "unsent", "killed" and "lost"; kinds are "finished" and those of Failed.
type Hooks struct {
	AttemptStarted   func(t Attempt)                                    // an attempt begins
	AttemptEnded     func(t Attempt, ending string, took time.Duration) // an attempt has ended
	CallEnded        func(kind string, tries int, took time.Duration)   // a call has its outcome
	ConnectionOpened func(router string)
	ConnectionLost   func(router string) // a connection broke
}
