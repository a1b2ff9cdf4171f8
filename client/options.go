package client

import (
	"crypto/tls"
	"time"
)

// Options are how a client is made.
type Options struct {
	Routers     []string      // addresses, HOST:PORT
	TLS         *tls.Config   // nil: in plain text
	Connections int           // to one router at most; 0: 64
	Patience    time.Duration // of calls that say none and whose context has no deadline; 0: 10 s
	Late        time.Duration // for which an answer is still read after a call's patience; nothing is sent then
	Seed        uint64        // of its chance; 0: drawn
	Hooks       Hooks
}

// Hooks hear what a client does; nil ones hear nothing. They are called by many goroutines and must not wait.
type Hooks struct {
	Try       func(t Try)
	Tried     func(t Try, ending string, took time.Duration)
	Done      func(kind string, tries int, took time.Duration)
	Connected func(router string)
	Lost      func(router string)
}
