// Package modelserver simulates a model server as plain state, driven by a clock that it is given: lanes, cores, memory, loads
// from a shared store, slow start, rejections, deduplication of retries by idempotency key, and injected faults. Package
// fakeserver runs it on sockets, package simulation in simulated time. It does no I/O. A server is not safe for concurrent use:
// callers serialize access.
package modelserver

import "hollymast/control"

// Clock tells the time and runs timers.
type Clock interface {
	Now() control.Micros
	// After calls f after a delay, never within this call.
	After(d control.Micros, f func())
}

// Source is the store that functions are fetched from. It calls done under the server's clock (and lock, if there is one), never
// within the call of Fetch.
type Source interface {
	Fetch(done func())
}

// Config describes a server's capacity and behaviour. Times are in microseconds.
type Config struct {
	Number             int            // identifies the server in the log
	MaxReplicas        int            // that fit into memory
	Lanes              int            // requests that one replica runs at once
	Cores              int            // requests that the server runs at once; others wait
	ExecutionTime      control.Micros // mean time to run one request
	QueueLimit         int            // requests that may wait; further ones are rejected
	LoadTime           control.Micros // time to load a function after it has been fetched
	MaxConcurrentLoads int            // twice this many loads may be pending; further ones are rejected
	LoadCommandsOnly   bool           // requests for functions that are not loaded are rejected
	DedupWindow        control.Micros // how long an idempotency key is remembered
	NoDedupPrefix      string         // idempotency keys with this prefix are not remembered, so retries run again; empty: all are remembered
	KeepAlive          control.Micros // a replica is not evicted until this long after its last use
	SlowStartDuration  control.Micros
	SlowStartInitial   float64 // share of the full capacity at the start of slow start
	OverloadWindow     control.Micros
	// OverloadRate is the rate of requests per second at full capacity, times the overload factor. A server in slow start crashes if it
	// gets more than its current share of that rate within the OverloadWindow.
	OverloadRate float64
	Seed         uint64
}

// Faults are the faults injected into a server. Shares are between 0 and 1.
type Faults struct {
	Unresponsive  bool    // accepts requests but neither executes nor answers them
	LostResponses float64 // share of requests that run and are never answered
	ResetBefore   float64 // share of requests whose connection is reset before they run
	ResetAfter    float64 // share of requests whose connection is reset after they ran
	Slowdown      float64 // factor of the execution time; no effect below 1
	Overloaded    bool    // rejects all requests
}
