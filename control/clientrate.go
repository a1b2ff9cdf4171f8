package control

// This file decides how fast a router reads the messages of one client.

// ClientRate limits the messages without effect that a router reads: health checks, cancellations, messages that break the
// protocol, and requests that are not served. Each costs processor time and brings nothing, and a client can send a hundred
// thousand of them a second. Requests that are served cost nothing here: quotas and servers bound them.
//
// A client may send Burst of them at once and PerSecond for good. What all clients send beyond that is read at SharedPerSecond
// in all, so that it takes the same small part of the processor however many clients send it.
type ClientRate struct {
	Burst           int
	PerSecond       float64 // for each client
	SharedPerSecond float64 // for all clients together
}

const (
	// clientBurst is several times the number of requests that a client may have open, all of which may fail or be cancelled.
	clientBurst = 128
	// clientRate is several times what a well-behaved client cancels or is refused in a second.
	clientRate = 100
	// sharedClientRatePerCore costs a few hundredths of a core.
	sharedClientRatePerCore = 4000
	// bytesPerMessage is the size up to which the cost of a message does not depend on its size.
	bytesPerMessage = 4 << 10
)

// ClientRateFor returns the limits for a router that may use a number of cores; 0 means that this is not known.
func ClientRateFor(cores float64) ClientRate {
	if cores <= 0 {
		cores = 1
	}
	return ClientRate{Burst: clientBurst, PerSecond: clientRate, SharedPerSecond: cores * sharedClientRatePerCore}
}

// MessageCost returns how many messages a message of the given size counts for.
func (ClientRate) MessageCost(bytes int) int { return 1 + bytes/bytesPerMessage }
