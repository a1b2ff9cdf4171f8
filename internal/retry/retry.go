// Package retry implements a client's retry policy: whether, when and where a call may be retried, whether it may be
// hedged, which routers are ejected for a while, and when lost connections may be reopened. It does no I/O and reads no
// clock; all randomness comes from a seeded generator that the caller passes in.
package retry

import (
	"math/rand/v2"

	"hollymast/control"
)

// Class describes the requests of a class as far as their client knows.
type Class struct {
	Idempotency control.Idempotency
	// DedupScope and DedupWindow apply to IdempotentByKey: which servers recognize a key, and for how long.
	DedupScope    control.DedupScope
	DedupWindow   control.Micros
	KeysPersisted bool // routers recognize keys across restarts: the same router may get a request again even if it is non-idempotent
	HedgeSafe     bool // two concurrent attempts do no harm
}

// Outcome is how an attempt ended, as far as its client can tell.
type Outcome uint8

// The outcomes.
const (
	Succeeded Outcome = iota
	Invalid           // the request itself was rejected, and would be again
	Rejected          // not accepted now; a retry does no harm
	NotSent           // the router never received the whole request
	Failed            // the router reports a failure; the request may have run
	Lost              // the connection broke or the time ran out after the whole request was sent; it may have run
)

const (
	// maxAttempts limits the attempts of a call. More than four would hardly help.
	maxAttempts = 4
	// backoffBase is several times the duration of a usual request. It doubles with each attempt, up to backoffMax.
	backoffBase = control.Micros(50_000)
	backoffMax  = control.Micros(2_000_000)
	// minRemaining is the time to the deadline below which an attempt cannot be answered.
	minRemaining = control.Micros(20_000)
	// maxTransit bounds the time a request takes to a server; it is far longer than any network hop.
	maxTransit = control.Micros(50_000)
)

// Call is a call with all its attempts, which share one deadline. It is not safe for concurrent use.
type Call struct {
	Class           Class
	Deadline        control.Micros
	attempts        int
	firstMayHaveRun control.Micros // when the first attempt that may have run was sent; 0 if there is none
	pinnedRouter    int            // the only router that may be tried again; -1 if any may
	inFlight        int
	done            bool
}

// NewCall returns a call without an attempt.
func NewCall(class Class, deadline control.Micros) *Call {
	return &Call{Class: class, Deadline: deadline, pinnedRouter: -1}
}

// Attempts returns the number of attempts begun.
func (c *Call) Attempts() int { return c.attempts }

// PinnedRouter returns the only router that may be tried, or -1 if any may.
func (c *Call) PinnedRouter() int { return c.pinnedRouter }

// BeginAttempt counts an attempt that is sent now. It returns false if none may be sent: the deadline is too near, the
// call is done, or an earlier attempt may have run and a retry would no longer be recognized.
func (c *Call) BeginAttempt(now control.Micros) bool {
	isRetry := c.attempts > 0 && c.inFlight == 0
	if c.done || now+minRemaining > c.Deadline || isRetry && !c.mayRetry(now) {
		return false
	}
	c.attempts++
	c.inFlight++
	return true
}

// mayRetry reports whether another attempt does no harm even if the earlier ones ran.
func (c *Call) mayRetry(now control.Micros) bool {
	switch {
	case c.firstMayHaveRun == 0 || c.Class.Idempotency == control.Idempotent || c.pinnedRouter >= 0:
		return true
	case c.Class.Idempotency == control.IdempotentByKey && c.Class.DedupScope == control.WholeFleet:
		return now+maxTransit < c.firstMayHaveRun+c.Class.DedupWindow
	}
	return false
}

// Decision is what to do after an attempt.
type Decision struct {
	Done        bool           // no retry: the outcome is final, or other attempts are in flight
	RetryAt     control.Micros // when to retry, unless Done
	OtherRouter bool           // retry at another router, if there is one
}

// AttemptResult is how and where an attempt ended.
type AttemptResult struct {
	Outcome    Outcome
	SentAt     control.Micros
	Router     int
	RetryAfter control.Micros // the delay that the router advised; 0 if none
}

// HandleOutcome records how an attempt ended and decides what follows.
func (c *Call) HandleOutcome(now control.Micros, result AttemptResult, budget *Budget, random *rand.Rand) Decision {
	outcome := result.Outcome
	c.inFlight--
	if (outcome == Failed || outcome == Lost) && (c.firstMayHaveRun == 0 || result.SentAt < c.firstMayHaveRun) {
		c.firstMayHaveRun = result.SentAt
	}
	switch {
	case outcome == Succeeded || outcome == Invalid:
		c.done = true
	case c.done || c.inFlight > 0 || c.attempts >= maxAttempts:
	case outcome == Lost && c.Class.KeysPersisted && c.Class.Idempotency == control.NonIdempotent:
		c.pinnedRouter = result.Router // only this router can tell whether the request may run again
		return c.retry(Decision{RetryAt: now + Backoff(c.attempts, random)}, budget)
	case c.pinnedRouter >= 0 && outcome == NotSent: // the pinned router is not back yet
		return c.retry(Decision{RetryAt: now + Backoff(c.attempts, random)}, budget)
	case outcome == Rejected:
		return c.retry(Decision{RetryAt: now + rejectionPause(c.attempts, result.RetryAfter, random), OtherRouter: true}, budget)
	case outcome == NotSent && c.attempts == 1: // another router may be available
		return c.retry(Decision{RetryAt: now, OtherRouter: true}, budget)
	case outcome == NotSent, c.mayRetry(now):
		return c.retry(Decision{RetryAt: now + Backoff(c.attempts, random), OtherRouter: true}, budget)
	}
	if c.inFlight == 0 {
		c.done = true
	}
	return Decision{Done: true}
}

// rejectionPause returns the delay after a rejection. Clients that were rejected together got the same advice, so each
// waits at least the advised time plus a random time of up to the same length. The backoff is always drawn from the
// generator, even if the advice replaces it.
func rejectionPause(attempts int, advised control.Micros, random *rand.Rand) control.Micros {
	pause := Backoff(attempts, random)
	if advised > 0 {
		pause = advised + control.Micros(random.Int64N(int64(advised)))
	}
	return pause
}

// retry returns the decision if its retry is in time, does no harm and has a token; otherwise the call is done.
func (c *Call) retry(decision Decision, budget *Budget) Decision {
	at := decision.RetryAt
	if at+minRemaining > c.Deadline || c.firstMayHaveRun > 0 && !c.mayRetry(at) || !budget.TryWithdraw() {
		c.done = true
		return Decision{Done: true}
	}
	return decision
}

// AllowHedge reports whether a second attempt may run concurrently with the one in flight, and takes a token for it.
func (c *Call) AllowHedge(now control.Micros, budget *Budget) bool {
	safe := c.Class.HedgeSafe && c.Class.Idempotency == control.Idempotent
	firstInFlight := c.inFlight == 1 && c.attempts == 1
	return safe && !c.done && firstInFlight && now+minRemaining <= c.Deadline && budget.TryWithdraw()
}

// Backoff returns the delay before the next attempt, with full jitter: a random time up to a limit that doubles with
// each attempt.
func Backoff(attempts int, random *rand.Rand) control.Micros {
	limit := min(backoffMax, backoffBase<<min(attempts-1, maxDoublings))
	return control.Micros(random.Int64N(int64(limit) + 1))
}
