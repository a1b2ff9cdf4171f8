package platform

// Reasons why connections close, counted for the state log line.

// clientClose is the reason why a client connection closed.
type clientClose uint32

// The close reasons. The first reason set for a connection is kept.
const (
	clientCloseUnset clientClose = iota
	clientCloseByClient
	clientCloseIdle
	clientCloseSlow
	clientCloseMalformed
	clientCloseForRoom
	clientCloseUnread
	clientCloseOverLimit
	clientCloseShutdown
	clientClosePanic
)

var clientCloseTexts = [...]string{
	clientCloseUnset:     "client, reason not given",
	clientCloseByClient:  "client closed or broke it",
	clientCloseIdle:      "client idle",
	clientCloseSlow:      "client too slow",
	clientCloseMalformed: "client broke the protocol",
	clientCloseForRoom:   "client idle, to make room",
	clientCloseUnread:    "client, too many responses unread",
	clientCloseOverLimit: "client over the limit",
	clientCloseShutdown:  "client, shutdown",
	clientClosePanic:     "client, panic",
}

func (c clientClose) String() string { return clientCloseTexts[c] }

// setCloseReason sets the reason why the connection closes, unless one is set already.
func (c *clientConn) setCloseReason(reason clientClose) {
	c.closeReason.CompareAndSwap(uint32(clientCloseUnset), uint32(reason))
}

// serverClose is the reason why a server connection closed.
type serverClose uint8

// The close reasons. The first reason set for a connection is kept.
const (
	serverCloseUnset serverClose = iota
	serverCloseUnreachable
	serverCloseLocalDialFailure
	serverCloseByServer
	serverCloseUnreadable
	serverCloseReadFault
	serverCloseIdle
	serverCloseForRoom
	serverCloseEndpointChange
	serverCloseAbandoned
	serverCloseUnsolicited
)

var serverCloseTexts = [...]string{
	serverCloseUnset:            "server, reason not given",
	serverCloseUnreachable:      "server not reachable",
	serverCloseLocalDialFailure: "server, dial failed here or was cancelled",
	serverCloseByServer:         "server closed or broke it",
	serverCloseUnreadable:       "server's answer unreadable",
	serverCloseReadFault:        "server, read failed here",
	serverCloseIdle:             "server idle",
	serverCloseForRoom:          "server idle, to make room",
	serverCloseEndpointChange:   "server drains, left or restarted",
	serverCloseAbandoned:        "server, an answer was not awaited",
	serverCloseUnsolicited:      "server, too many answers that nobody awaits",
}

func (c serverClose) String() string { return serverCloseTexts[c] }

// setCloseReason sets the reason why the connection closes, unless one is set already. It is called on the event
// loop.
func (sc *serverConn) setCloseReason(reason serverClose) {
	if sc.closeReason == serverCloseUnset {
		sc.closeReason = reason
	}
}
