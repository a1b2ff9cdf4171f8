package chaostest

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"hollymast/client"
	"hollymast/internal/invariant"
)

// Connections of library clients to each router: what a router accepts in all, beside those of other clients, shared out; and
// how many a single client may have.
const (
	libraryConnections    = 6400
	maxLibraryConnections = 64
)

// openLibraryClients opens the clients of the client library, where the scenario has them.
func (h *harness) openLibraryClients() error {
	if !h.scenario.usesLibrary() {
		return nil
	}
	n := h.scenario.LibraryClients
	for i := range n {
		c, err := client.New(client.Options{Routers: h.addresses, Connections: min(maxLibraryConnections, max(1, libraryConnections/n)),
			Seed: h.scenario.Seed*100_000 + uint64(i) + 1, LateResponseTimeout: lateAnswerTime})
		if err != nil {
			return err
		}
		h.libraryClients = append(h.libraryClients, c)
	}
	return nil
}

// libraryCall is a call by the client library. It logs each request as it crosses the socket.
type libraryCall struct {
	h    *harness
	call call

	mu      sync.Mutex
	records map[int]invariant.Record // of the requests that were sent, by number
	pending sync.WaitGroup           // requests that were sent and have not ended
}

// libraryEffects translates the effects of workloads.
var libraryEffects = map[string]client.Effect{effectIdempotent: client.Idempotent, effectIdempotentByKey: client.IdempotentByKey, effectNonIdempotent: client.NonIdempotent}

// performWithLibrary makes a call by the client library, and returns when all its requests have ended.
func (h *harness) performWithLibrary(ctx context.Context, c call) (inTime bool) {
	startedAt := time.Now()
	l := &libraryCall{h: h, call: c, records: map[int]invariant.Record{}}
	w := client.Workload{Effect: libraryEffects[c.workload.effect], PartialKeyScope: c.workload.scope != "" && c.workload.scope != scopeFleet, KeyWindow: c.workload.window}
	library := h.libraryClients[c.number%len(h.libraryClients)]
	_, err := library.Infer(ctx, client.Call{Model: c.function, IdempotencyKey: c.workload.keyPrefix() + strconv.Itoa(c.number), Tenant: c.tenant(), Workload: w,
		Timeout: c.timeout, BodyFor: l.sent, AttemptEnded: l.ended})
	inTime = err == nil && time.Since(startedAt) <= c.workload.latencyObjective
	l.pending.Wait()
	return inTime
}

// sent logs a request that is about to be sent, and gives its body.
func (l *libraryCall) sent(t client.Attempt) []byte {
	record := l.h.requestRecord(l.call, slices.Index(l.h.addresses, t.Router), t.Number)
	record.Kind, record.Deadline = invariant.RequestSent, l.h.log.Now()+t.Remaining.Microseconds()
	l.mu.Lock()
	l.records[t.Number] = record
	l.mu.Unlock()
	l.pending.Add(1)
	l.h.log.Add(record)
	return requestBody(record, max(time.Microsecond, t.Remaining))
}

// ended logs how a request ended.
func (l *libraryCall) ended(t client.Attempt, ending string) {
	l.mu.Lock()
	record, sent := l.records[t.Number]
	l.mu.Unlock()
	if !sent {
		return
	}
	record.Kind, record.Detail = invariant.ResponseReceived, ending
	switch ending {
	case "unsent":
		record.Kind, record.Detail = invariant.RequestNotSent, ""
	case "lost":
		record.Kind, record.Detail = invariant.RequestTimedOut, ""
	case "refused":
		record.Detail = invariant.NotAdmitted
	}
	l.h.log.Add(record)
	l.pending.Done()
}
