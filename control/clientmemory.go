package control

// This file decides how much memory requests and responses of clients may take.

// ClientMemory limits the bytes that a router holds for its clients: requests without a final response, and responses that
// their clients have not read. Up to half of Total each client may use what it needs. Beyond that a client may hold PerClient at
// most, so that all of them together stay within Total, and clients that hold little are not affected by those that hold much.
type ClientMemory struct {
	Total     int64 // 0: no limit
	PerClient int64
}

const (
	// clientMemoryPart is the part of the router's memory that is held for clients. The collector needs as much again, and
	// the rest is for connections, the endpoint list, functions and the program itself.
	clientMemoryPart = 4
	// requestOverhead is what a request takes besides its message, in bytes.
	requestOverhead = 1 << 10
)

// ClientMemoryFor returns the limits for a router with the given memory, in bytes, that serves up to the given number of clients.
// Without a limit on memory there is none here.
func ClientMemoryFor(memory int64, clients int) ClientMemory {
	total := memory / clientMemoryPart
	return ClientMemory{Total: total, PerClient: total / 2 / int64(max(1, clients))}
}

// RequestBytes returns how many bytes a request with a message of the given size counts for.
func (ClientMemory) RequestBytes(message int) int64 { return int64(message) + requestOverhead }

// Admits reports whether a request of the given size may be held for a client.
func (m ClientMemory) Admits(heldForAll, heldForClient, more int64) bool {
	return m.Total == 0 || heldForAll+more <= m.Total/2 || heldForClient+more <= m.PerClient
}

// AdmitsResponse reports whether a response of the given size may be held for a client that has not read others. Since the
// request has run, its response is held as long as there is any memory for it.
func (m ClientMemory) AdmitsResponse(heldForAll, unreadByClient, more int64) bool {
	return m.Total == 0 || heldForAll+more <= m.Total || unreadByClient+more <= m.PerClient
}
