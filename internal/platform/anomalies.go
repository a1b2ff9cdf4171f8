package platform

// anomaly is a kind of unexpected event that the state log line counts.
type anomaly uint8

// The kinds of anomaly. badMessage and corruptAnswer are also counted by what was wrong.
const (
	acceptFailed anomaly = iota
	badMessage
	clientTooSlow
	clientRejected
	idleClientClosed
	requestRejected
	requestEndedByShutdown
	requestArrivedEarlier
	processStalled
	responseLate
	noServerConnection
	outOfDescriptors
	temporaryDialFailure
	corruptAnswer
	panicReadingClient
	panicReadingServer
)

var anomalyTexts = [...]string{
	acceptFailed:           "accept failed",
	badMessage:             "bad message",
	clientTooSlow:          "client closed: no whole message in time",
	clientRejected:         "client rejected: too many connections",
	idleClientClosed:       "idle client closed to make room",
	requestRejected:        "request rejected: too many open on a connection",
	requestEndedByShutdown: "request ended by the shutdown",
	requestArrivedEarlier:  "request may have arrived long before it was read",
	processStalled:         "the process was stalled",
	responseLate:           "response later than its client's deadline",
	noServerConnection:     "no connection to a server",
	outOfDescriptors:       "out of descriptors for a server",
	temporaryDialFailure:   "temporary dial failure",
	corruptAnswer:          "corrupt answer",
	panicReadingClient:     "panic reading a client",
	panicReadingServer:     "panic reading a server",
}

func (a anomaly) String() string { return anomalyTexts[a] }

// anomalyCounts counts anomalies between two state log lines. All are logged in one line, so that a flood of faults
// does not flood the log. It is safe for concurrent use.
type anomalyCounts struct{ counter[anomalyDetail] }

// anomalyDetail is an anomaly together with what was wrong: one of a few fixed texts, or empty if the kind says it
// all.
type anomalyDetail struct {
	kind   anomaly
	detail string
}

func (d anomalyDetail) String() string {
	if d.detail == "" {
		return d.kind.String()
	}
	return d.kind.String() + ": " + d.detail
}

// add counts an anomaly.
func (c *anomalyCounts) add(kind anomaly) { c.addDetail(kind, "") }

// addDetail counts an anomaly together with what was wrong.
func (c *anomalyCounts) addDetail(kind anomaly, detail string) {
	c.counter.add(anomalyDetail{kind, detail})
}
