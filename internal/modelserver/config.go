// Package modelserver is a model server as plain state, driven by a clock that it is given: lanes, cores, memory, loads from a shared
// store, slow start, rejections, retries recognized within their window, and scripted faults. Package fakeserver runs it on sockets,
// package simulation in simulated time. It is free of I/O; one goroutine (or one lock) at a time may use a server.
package modelserver

import "hollymast/control"

// Clock is a server's time.
type Clock interface {
	Now() control.Micros
	// After has f called after a span, never within this call.
	After(d control.Micros, f func())
}

// Source is where functions' bytes come from. Done is called in the server's own time, never within this call.
type Source interface {
	Fetch(done func())
}

// Config is what a server is able to do. Times are in microseconds.
type Config struct {
	Number             int            // in the log
	MaxReplicas        int            // that fit into its memory
	Lanes              int            // requests that one replica runs at once
	Cores              int            // requests that it runs at once; others wait
	ExecutionTime      control.Micros // of one request, on average
	QueueLimit         int            // requests that wait before it rejects
	LoadTime           control.Micros // beside the fetch
	MaxConcurrentLoads int            // at once; as many more may wait
	LoadCommandsOnly   bool           // a request whose function is not loaded is rejected
	DedupWindow        control.Micros // for which an idempotency key is known
	NoDedupPrefix      string         // idempotency keys that begin so are not known: a retry runs again
	KeepAlive          control.Micros // for which a replica stays after its last use
	SlowStartDuration  control.Micros
	SlowStartInitial   float64 // share of its capacity that it starts with
	OverloadWindow     control.Micros
	OverloadRate       float64 // requests a second at full capacity times the overload factor: more, in slow start, and it crashes
	Seed               uint64
}

// Faults are the ways in which a server fails just now. Shares are of 1.
type Faults struct {
	Unresponsive  bool    // takes all, does nothing, answers nothing
	LostResponses float64 // share of requests that run and are never answered
	ResetBefore   float64 // share of requests whose connection breaks before they run
	ResetAfter    float64 // share of requests whose connection breaks after they ran
	Slowdown      float64 // multiplies the execution time; below 1: as usual
	Overloaded    bool    // rejects all
}
