// Package invariant judges the five rules from what crossed the sockets: records taken by clients and model servers at
// their ends of the wire. It knows neither the gateway nor its core, and takes no router's word for anything.
package invariant

// Kind is what a record tells.
type Kind uint8

// The records of clients, of model servers, and of whoever runs the day.
const (
	RequestSent      Kind = iota // a client has written a job whole
	ResponseReceived             // it has read the final answer; Word tells which
	RequestTimedOut              // its patience ended without one
	RequestAbandoned             // it left of its own will before
	RequestNotSent               // it could not write the job whole

	AttemptReceived     // a server has read an execution whole
	AttemptStarted      // it runs it
	AttemptEnded        // it ran it to the end
	AttemptRefused      // it promised that it did not run it
	AttemptDeduplicated // it knew the repeat and did not run it again
	LoadCommandReceived // it has read an order to load
	LoadStarted         // it began a load
	ServerStarted       // the server started, cold
	ServerCollapsed     // it was pushed over

	EndpointPublished // the list that routers read was written with the server's state in Word: ready, draining or gone
	RouterDown        // a router was frozen, killed or told to end
	RouterRestarted   // it is started anew, after it had ended; Word is Remembers where it has a memory of what it ordered
	RouterUp          // it runs again
)

// Remembers is the word of a router with a memory.
const StateRestored = "remembers"

// The final answers.
const (
	Succeeded   = "finished"
	Rejected    = "pushed back"
	Failed      = "killed"
	NotAdmitted = "other" // a refusal before the job was taken
)

// Record is one thing seen at one end of a wire. Times are microseconds of one monotonic clock.
type Record struct {
	At       int64
	Kind     Kind
	Request  string // one try of a client
	Effect   string // what its tries mean to do, once
	Workload string
	Server   int
	Router   int
	Deadline int64 // of Asked: when the client's patience ends
	Detail   string
}
