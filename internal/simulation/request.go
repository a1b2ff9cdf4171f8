package simulation

import (
	"strconv"

	"hollymast/control"
	"hollymast/internal/invariant"
	"hollymast/internal/retry"
)

// response is the end of a client's request, as the client sees it.
type response uint8

const (
	succeeded response = iota
	rejected
	failed
	notSent    // the connection was refused, since the router was down
	connReset  // the connection was reset after the request was sent
	noResponse // the client's timeout passed
)

// responseDetails are the responses in the details of records.
var responseDetails = map[response]string{succeeded: invariant.Succeeded, rejected: invariant.Rejected, failed: invariant.Failed}

// retryOutcomes maps responses to the outcomes of package retry.
var retryOutcomes = map[response]retry.Outcome{rejected: retry.Rejected, failed: retry.Failed, notSent: retry.NotSent, connReset: retry.Lost,
	noResponse: retry.Lost}

// mayHaveRun reports whether a request that ended with this response may have run.
func (r response) mayHaveRun() bool { return r == failed || r == connReset || r == noResponse }

// clientRequest is a request of a call.
type clientRequest struct {
	*activeCall
	number  int
	router  int
	sentAt  control.Micros
	timeout control.Micros // of the client
	done    bool
}

// send sends the request. If no response arrives within the client's timeout plus lateResponseTimeout, the client cancels
// it.
func (q *clientRequest) send() {
	c := q.client
	c.node.record(q.newRecord(invariant.RequestSent))
	router := c.sim.routers[q.router]
	c.node.send(router.node, c.node.randomDelay(), func() { router.receive(q) })
	c.node.After(q.timeout+lateResponseTimeout, func() {
		if !q.done {
			q.handleResponse(noResponse, 0)
			c.node.send(router.node, c.node.randomDelay(), func() { router.cancel(q) })
		}
	})
}

// newRecord returns a record of the request, with the deadline by which the client wants the response.
func (q *clientRequest) newRecord(kind invariant.Kind) invariant.Record {
	return invariant.Record{Kind: kind, Request: q.requestName(), Effect: q.operationName(), Workload: q.class.Name, Router: q.router,
		Deadline: int64(q.sentAt + q.timeout)}
}

// requestName identifies the request in the records.
func (q *clientRequest) requestName() string { return q.operationName() + "." + strconv.Itoa(q.number) }

// markedRetry reports whether the request is marked as a retry for its router.
func (q *clientRequest) markedRetry() bool { return q.retries != nil && q.number > 1 }

// abandoned reports whether the client no longer waits for a response.
func (q *clientRequest) abandoned(now control.Micros) bool {
	return now >= q.sentAt+q.timeout+lateResponseTimeout
}

// handleResponse handles the end of the request: it ends the call or retries.
func (q *clientRequest) handleResponse(r response, retryAfter control.Micros) {
	if q.done {
		return
	}
	q.done = true
	q.client.node.record(q.responseRecord(r))
	switch {
	case r == succeeded:
		q.succeed()
	case q.retries == nil:
		q.retryBlindly(r)
	default:
		q.retry(r, retryAfter)
	}
}

// responseRecord returns a record of the request's end.
func (q *clientRequest) responseRecord(r response) invariant.Record {
	kind := invariant.ResponseReceived
	switch r {
	case notSent:
		kind = invariant.RequestNotSent
	case connReset, noResponse:
		kind = invariant.RequestTimedOut
	}
	record := q.newRecord(kind)
	record.Detail = responseDetails[r]
	return record
}

// retryBlindly retries after a fixed pause, unless the request may have run and is not idempotent.
func (q *clientRequest) retryBlindly(r response) {
	if r.mayHaveRun() && q.class.Spec.Idempotency != control.Idempotent {
		q.giveUp()
		return
	}
	q.client.node.After(blindRetryInterval, func() { q.sendNext(noRouter) })
}

// retry retries or gives up as package retry decides.
func (q *clientRequest) retry(r response, retryAfter control.Micros) {
	c, now := q.client, q.client.node.Now()
	outcome := retryOutcomes[r]
	if outcome == retry.NotSent || outcome == retry.Lost {
		c.routers.RecordFailure(now, q.router)
	} else {
		c.routers.RecordSuccess(q.router)
	}
	decision := q.retries.HandleOutcome(now, retry.AttemptResult{Outcome: outcome, SentAt: q.sentAt, Router: q.router, RetryAfter: retryAfter}, c.budget,
		c.node.random)
	if decision.Done {
		q.giveUp()
		return
	}
	avoid := noRouter
	if decision.OtherRouter {
		avoid = q.router
	}
	c.node.After(decision.RetryAt-now, func() { q.sendNext(avoid) })
}
