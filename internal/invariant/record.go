package invariant

// Kind is what a record is about.
type Kind uint8

// The kinds of record. Simulations hash their numbers: the order stays.
const (
	// Of clients.

	RequestSent      Kind = iota // a client has written a request whole
	ResponseReceived             // it has read the final answer, which Detail names
	RequestTimedOut              // its deadline passed without an answer
	RequestAbandoned             // it gave the request up before
	RequestNotSent               // it couldn't write the request whole

	// Of model servers.

	AttemptReceived     // a server has read a request whole
	AttemptStarted      // it runs the request
	AttemptEnded        // it has run the request to the end
	AttemptRefused      // it promised that it has not run the request
	AttemptDeduplicated // it knew the idempotency key and didn't run the request again
	LoadCommandReceived // it has read a load command
	LoadStarted         // it has begun a load
	ServerStarted       // it has started, and is in slow start
	ServerCollapsed     // it got more requests in slow start than it can bear

	// Of whoever injects faults.

	EndpointPublished // the endpoint list that routers read has changed; Detail is the server's state
	RouterDown        // a router was suspended, killed or asked to shut down
	RouterRestarted   // a router was started again; Detail is StateRestored if it restores its load commands
	RouterUp          // a router runs again
)

// StateRestored is the detail of a restart by which a router restores how many load commands it has sent.
const StateRestored = "remembers"

// The states of a server in the endpoint list.
const (
	EndpointReady    = "ready"
	EndpointDraining = "draining"
	EndpointGone     = "gone"
)

// The final answers to a request. Rejected and Failed are also in the bodies of responses.
const (
	Succeeded   = "finished"
	Rejected    = "pushed back"
	Failed      = "killed"
	NotAdmitted = "other" // it was refused before it was admitted
)

// Record is one thing seen at one end of a connection. Times are microseconds of one monotonic clock.
type Record struct {
	At       int64
	Kind     Kind
	Request  string // its identifier; retries by the client have others
	Effect   string // the operation that the request and its retries are for: to be done once
	Workload string
	Server   int
	Router   int
	Deadline int64 // of RequestSent
	Detail   string
}
