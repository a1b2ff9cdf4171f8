package client

import (
	"time"
)

// Effect tells what a second execution of a job would do.
type Effect uint8

// The effects, as the routers' workloads have them.
const (
	RunOnce       Effect = iota // never again once it may have run
	Restartable                 // does no harm
	Fingerprinted               // is dropped by its group for a while, where its mark is known
)

// Workload is what is known of jobs of a kind; it should say what the routers are told.
type Workload struct {
	Effect     Effect
	Narrow     bool          // a fingerprinted job's group is a part of the servers (zone or cell): another router may not reach it
	Window     time.Duration // for which a group knows a fingerprinted job
	Remembered bool          // the routers have a memory: the one that was asked may be asked again for a run-once job
	Hedge      bool          // two executions at once do no harm, and a slow try is worth a second
}

// Call is one inference.
type Call struct {
	Model    string
	Version  string
	Body     []byte // the KServe v2 request: JSON, or JSON and binary tensors
	Header   int    // length of the JSON part where binary tensors follow; 0: all is JSON
	Mark     string // names the effect, the same for all its repeats; empty: one is made
	Tenant   string
	Workload Workload
	Patience time.Duration // for all tries; 0: until the context's deadline
	// BodyOf gives the body of each try, where the request's id or its parameter timeout must tell it; nil: Body. It is called
	// once the try has a connection, just before it is sent.
	BodyOf func(Try) []byte
	Tried  func(t Try, ending string) // hears how each try ended, as Hooks.Tried does; nil: nobody
}

// Try is one sending of a call.
type Try struct {
	Mark   string // of the call
	Number int    // from 1
	Router string
	Left   time.Duration // of the call's patience
}

// Answer is a finished call.
type Answer struct {
	Status int
	Body   []byte
	Header int // length of its JSON part where binary tensors follow
	Tries  int
	Router string
}
