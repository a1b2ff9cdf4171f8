package invariant

// Kind is the kind of a record.
type Kind uint8

// The kinds of records. Simulations hash their numbers, so the order must not change.
const (
	// Recorded by clients.

	RequestSent      Kind = iota // the client wrote a complete request
	ResponseReceived             // the client read the final answer, which is in Detail
	RequestTimedOut              // the request's deadline passed without an answer
	RequestAbandoned             // the client gave up the request before its deadline
	RequestNotSent               // the client couldn't write the complete request

	// Recorded by model servers.

	AttemptReceived     // the server read a complete request
	AttemptStarted      // the server started to run the request
	AttemptEnded        // the server finished running the request
	AttemptRefused      // the server answered that it had not run the request
	AttemptDeduplicated // the server knew the idempotency key and didn't run the request again
	LoadCommandReceived // the server read a load command
	LoadStarted         // the server started a load
	ServerStarted       // the server started and is in slow start
	ServerCollapsed     // the server got more requests in slow start than it can handle, and failed

	// Recorded by the fault injection.

	EndpointPublished // the endpoint list that routers read was changed; Detail is the server's state
	RouterDown        // a router was suspended, killed or asked to shut down
	RouterRestarted   // a router was started again; Detail is StateRestored if it restored the number of its load commands
	RouterUp          // a router is running again
)

// StateRestored is the Detail of RouterRestarted if the router restored from its state how many load commands it had sent.
const StateRestored = "remembers"

// The states of a server in the endpoint list.
const (
	EndpointReady    = "ready"
	EndpointDraining = "draining"
	EndpointGone     = "gone"
)

// The final answers to a request. Rejected and Failed also appear in the bodies of responses.
const (
	Succeeded   = "finished"
	Rejected    = "pushed back"
	Failed      = "killed"
	NotAdmitted = "other" // the request was refused before it was admitted
)

// Record is one event observed at one end of a connection. Times are in microseconds of one monotonic clock.
type Record struct {
	At       int64
	Kind     Kind
	Request  string // identifies the request; each retry by the client has its own
	Effect   string // identifies the operation that a request and its retries are for, which should be done once
	Workload string
	Server   int
	Router   int
	Deadline int64 // only of RequestSent
	Detail   string
}
