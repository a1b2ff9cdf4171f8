package gateway

import (
	"time"

	"hollymast/control"
	"hollymast/internal/persistence"
)

// A client may send a request again under its idempotency key while the first one is still open: its connection broke, which need
// not have reached this router. What was sent is in the index of keys; what still waits for a server is in openByKey.

// Limits of the index of keys of a gateway that stores no state. A client comes back within seconds.
const (
	unstoredKeyRetention = time.Minute
	maxUnstoredKeys      = 100_000
)

// reasonRepeated is the error text of a request that came again under its key before it was sent to a server.
const reasonRepeated = "the job came again under its key"

// newUnstoredKeys returns the index of keys of a gateway that stores no state.
func newUnstoredKeys() *persistence.KeyIndex {
	return persistence.NewKeyIndex(micros(unstoredKeyRetention), maxUnstoredKeys)
}

// replaceWaiting ends the open request with a key, if it is at no server: a repeat takes its place. The first client gets no
// rejection, since the repeat may run.
func (g *Gateway) replaceWaiting(now control.Micros, key persistence.IdempotencyKey) {
	first := g.openByKey[key]
	if first == nil || first.answer.Decided || first.answer.InFlight > 0 {
		return
	}
	g.core.Cancel(now, first.id)
	g.finish(first, answerFailed, failure(reasonRepeated))
}

// addOpen records that a request with a key is open.
func (g *Gateway) addOpen(req *request) {
	if req.journalKey != 0 {
		g.openByKey[req.journalKey] = req
	}
}

// removeOpen records that a request is no longer open.
func (g *Gateway) removeOpen(req *request) {
	if g.openByKey[req.journalKey] == req {
		delete(g.openByKey, req.journalKey)
	}
}
