package simulation

import (
	"strconv"

	"hollymast/control"
	"hollymast/internal/invariant"
	"hollymast/internal/retry"
)

// response is how a client's request ended.
type response uint8

const (
	succeeded response = iota
	rejected
	failed
	notSent    // its router was down
	connReset  // its connection broke after it was sent
	noResponse // its client's timeout passed
)

// responseWords are the records' words for responses.
var responseWords = map[response]string{succeeded: invariant.Succeeded, rejected: invariant.Rejected, failed: invariant.Failed}

// retryOutcomes are what responses mean to package retry.
var retryOutcomes = map[response]retry.Outcome{rejected: retry.Rejected, failed: retry.Failed, notSent: retry.NotSent, connReset: retry.Lost,
	noResponse: retry.Lost}

// mayHaveRun reports whether a request that ended so may have had its effect.
func (r response) mayHaveRun() bool { return r == failed || r == connReset || r == noResponse }

// clientRequest is one request of a call.
type clientRequest struct {
	*call
	number  int
	router  int
	sentAt  control.Micros
	timeout control.Micros // of its client
	done    bool
}

func (q *clientRequest) send() {
	c := q.client
	c.node.record(q.record(invariant.RequestSent))
	router := c.world.routers[q.router]
	c.node.send(router.node, c.node.delay(), func() { router.receive(q) })
	c.node.After(q.timeout+lateAnswerTimeout, func() {
		if !q.done {
			q.handleResponse(noResponse, 0)
			c.node.send(router.node, c.node.delay(), func() { router.cancel(q) })
		}
	})
}

// record is a record of the request; it has the deadline by which its client wants the answer.
func (q *clientRequest) record(kind invariant.Kind) invariant.Record {
	return invariant.Record{Kind: kind, Request: q.name(), Effect: q.effectName(), Workload: q.class.Name, Router: q.router,
		Deadline: int64(q.sentAt + q.timeout)}
}

// name is the request's in the records.
func (q *clientRequest) name() string { return q.effectName() + "." + strconv.Itoa(q.number) }

// markedRetry reports whether the request tells its router that it is a retry.
func (q *clientRequest) markedRetry() bool { return q.retries != nil && q.number > 1 }

// abandoned reports whether its client no longer reads an answer.
func (q *clientRequest) abandoned(now control.Micros) bool {
	return now >= q.sentAt+q.timeout+lateAnswerTimeout
}

// handleResponse takes in how the request ended, and goes on with its call.
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

func (q *clientRequest) responseRecord(r response) invariant.Record {
	kind := invariant.ResponseReceived
	switch r {
	case notSent:
		kind = invariant.RequestNotSent
	case connReset, noResponse:
		kind = invariant.RequestTimedOut
	}
	record := q.record(kind)
	record.Detail = responseWords[r]
	return record
}

// retryBlindly retries whatever does no harm twice.
func (q *clientRequest) retryBlindly(r response) {
	if r.mayHaveRun() && q.class.Spec.Idempotency != control.Idempotent {
		q.giveUp()
		return
	}
	q.client.node.After(blindRetryPause, func() { q.attempt(noRouter) })
}

// retry does as package retry decides.
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
	c.node.After(decision.RetryAt-now, func() { q.attempt(avoid) })
}
