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

// Limits on the connections of library clients to each router. The total is divided among the clients, and leaves room for other
// clients below the number of connections that a router accepts.
const (
	libraryConnections    = 6400 // of all clients
	maxLibraryConnections = 64   // of one client
)

// openLibraryClients creates the clients of the client library, if the scenario has any.
func (h *harness) openLibraryClients() error {
	if !h.scenario.usesLibrary() {
		return nil
	}
	n := h.scenario.LibraryClients
	for i := range n {
		c, err := client.New(client.Options{Routers: h.addresses, Connections: min(maxLibraryConnections, max(1, libraryConnections/n)),
			Seed: h.scenario.Seed*100_000 + uint64(i) + 1, LateResponseTimeout: lateResponseTimeout})
		if err != nil {
			return err
		}
		h.libraryClients = append(h.libraryClients, c)
	}
	return nil
}

// libraryCall is a call by the client library. It logs each request when it is sent and when it has ended.
type libraryCall struct {
	harness *harness
	call    call

	mu      sync.Mutex
	records map[int]invariant.Record // of the requests that were sent, by number
	pending sync.WaitGroup           // requests that were sent and have not ended
}

// libraryEffects maps the effects of workloads to those of the client library.
var libraryEffects = map[string]client.Effect{effectIdempotent: client.Idempotent, effectIdempotentByKey: client.IdempotentByKey, effectNonIdempotent: client.NonIdempotent}

// performWithLibrary makes a call with the client library, and returns when all its requests have ended.
func (h *harness) performWithLibrary(ctx context.Context, c call) (inTime bool) {
	startedAt := time.Now()
	l := &libraryCall{harness: h, call: c, records: map[int]invariant.Record{}}
	w := client.Workload{Effect: libraryEffects[c.workload.effect], PartialKeyScope: c.workload.scope != "" && c.workload.scope != scopeFleet, KeyWindow: c.workload.window}
	library := h.libraryClients[c.number%len(h.libraryClients)]
	_, err := library.Infer(ctx, client.Call{Model: c.function, IdempotencyKey: c.workload.keyPrefix() + strconv.Itoa(c.number), Tenant: c.tenant(), Workload: w,
		Timeout: c.timeout, BodyFor: l.recordSent, AttemptEnded: l.recordEnded})
	inTime = err == nil && time.Since(startedAt) <= c.workload.latencyObjective
	l.pending.Wait()
	return inTime
}

// recordSent logs a request that is about to be sent, and returns its body.
func (l *libraryCall) recordSent(attempt client.Attempt) []byte {
	record := l.harness.requestRecord(l.call, slices.Index(l.harness.addresses, attempt.Router), attempt.Number)
	record.Kind, record.Deadline = invariant.RequestSent, l.harness.log.Now()+attempt.Remaining.Microseconds()
	l.mu.Lock()
	l.records[attempt.Number] = record
	l.mu.Unlock()
	l.pending.Add(1)
	l.harness.log.Add(record)
	return requestBody(record, max(time.Microsecond, attempt.Remaining))
}

// recordEnded logs how a request ended. The ending is one that the client library passes to AttemptEnded.
func (l *libraryCall) recordEnded(attempt client.Attempt, ending string) {
	l.mu.Lock()
	record, sent := l.records[attempt.Number]
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
	l.harness.log.Add(record)
	l.pending.Done()
}
