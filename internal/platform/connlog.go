package platform

// Why connections close, counted for the state log line.

// clientClose is why a client connection closed.
type clientClose uint32

// The reasons. The first that is set counts.
const (
	clientCloseUnset clientClose = iota
	clientEnded
	clientIdle
	clientSlow
	clientMalformed
	clientForRoom
	clientOverLimit
	clientShutdown
	clientReadFault
)

var clientCloseTexts = [...]string{
	clientCloseUnset: "client, reason not given",
	clientEnded:      "client closed or broke it",
	clientIdle:       "client idle",
	clientSlow:       "client too slow",
	clientMalformed:  "client broke the protocol",
	clientForRoom:    "client idle, to make room",
	clientOverLimit:  "client over the limit",
	clientShutdown:   "client, shutdown",
	clientReadFault:  "client, panic",
}

func (c clientClose) String() string { return clientCloseTexts[c] }

// closesBecause sets why the connection closes, unless a reason is set already.
func (c *clientConn) closesBecause(reason clientClose) {
	c.closeReason.CompareAndSwap(uint32(clientCloseUnset), uint32(reason))
}

// serverClose is why a server connection closed.
type serverClose uint8

// The reasons. The first that is set counts.
const (
	serverCloseUnset serverClose = iota
	serverNotReachable
	serverDialLocal
	serverEnded
	serverUnreadable
	serverReadFault
	serverIdle
	serverForRoom
	serverUpdated
	serverAbandoned
)

var serverCloseTexts = [...]string{
	serverCloseUnset:   "server, reason not given",
	serverNotReachable: "server not reachable",
	serverDialLocal:    "server, dial failed here or was cancelled",
	serverEnded:        "server closed or broke it",
	serverUnreadable:   "server's answer unreadable",
	serverReadFault:    "server, read failed here",
	serverIdle:         "server idle",
	serverForRoom:      "server idle, to make room",
	serverUpdated:      "server drains, left or restarted",
	serverAbandoned:    "server, an answer was not awaited",
}

func (c serverClose) String() string { return serverCloseTexts[c] }

// closesBecause sets why the connection closes, unless a reason is set already. The event loop calls it.
func (sc *serverConn) closesBecause(reason serverClose) {
	if sc.closeReason == serverCloseUnset {
		sc.closeReason = reason
	}
}
