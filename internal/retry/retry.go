// Package retry decides how a client behaves: whether a call may be retried, when and where, whether it may be hedged, which
// routers are ejected for a while, and when lost connections may be made again. It is free of I/O and clocks; all randomness
// comes from a seeded generator that the caller hands in.
package retry

import (
	"math/rand/v2"

	"hollymast/control"
)

// Class is what a client knows of its requests.
type Class struct {
	Effect control.Idempotency
	// Scope and Window are those of IdempotentByKey: the servers that recognize a key, and for how long.
	Scope         control.DedupScope
	Window        control.Micros
	KeysPersisted bool // a router recognizes keys across its restarts: it may get the same request again, whatever its effect
	HedgeSafe     bool // two attempts at once do no harm
}

// Outcome is how an attempt ended, as far as its client can know.
type Outcome uint8

// The outcomes.
const (
	Succeeded Outcome = iota
	Invalid           // the request itself was rejected, and would be again
	Rejected          // not now; a retry does no harm
	NotSent           // the router never had the whole request
	Failed            // it may have run, the router says
	Lost              // it may have run: the connection broke, or the time was up, after the whole request was sent
)

const (
	// maxAttempts bounds the attempts of a call. Four give nearly all that retries can give.
	maxAttempts = 4
	// backoffBase is some times as long as a usual request takes. It doubles with each attempt, up to backoffMax.
	backoffBase = control.Micros(50_000)
	backoffMax  = control.Micros(2_000_000)
	// minRemaining is the time to the deadline below which an attempt can't be answered.
	minRemaining = control.Micros(20_000)
	// maxTransit is far longer than any hop on the way to a server.
	maxTransit = control.Micros(50_000)
)

// Call is a call with all its attempts. They share one deadline. It is not safe for concurrent use.
type Call struct {
	Class           Class
	Deadline        control.Micros
	attempts        int
	firstMayHaveRun control.Micros // when the first attempt that may have run was sent; 0: none may have
	pinnedRouter    int            // the only router that may be asked again; -1: any may
	inFlight        int
	done            bool
}

// NewCall returns a call without an attempt.
func NewCall(class Class, deadline control.Micros) *Call {
	return &Call{Class: class, Deadline: deadline, pinnedRouter: -1}
}

// Attempts returns the number of attempts begun.
func (c *Call) Attempts() int { return c.attempts }

// PinnedRouter returns the only router that may be asked; -1: any may.
func (c *Call) PinnedRouter() int { return c.pinnedRouter }

// BeginAttempt counts an attempt that is sent now. It returns false where none may be: the deadline is too near, the call is
// done, or a repetition of what may have run would not be recognized any more.
func (c *Call) BeginAttempt(now control.Micros) bool {
	isRetry := c.attempts > 0 && c.inFlight == 0
	if c.done || now+minRemaining > c.Deadline || isRetry && !c.mayRetry(now) {
		return false
	}
	c.attempts++
	c.inFlight++
	return true
}

// mayRetry reports whether a further attempt does no harm if the earlier ones ran.
func (c *Call) mayRetry(now control.Micros) bool {
	switch {
	case c.firstMayHaveRun == 0 || c.Class.Effect == control.Idempotent || c.pinnedRouter >= 0:
		return true
	case c.Class.Effect == control.IdempotentByKey && c.Class.Scope == control.WholeFleet:
		return now+maxTransit < c.firstMayHaveRun+c.Class.Window
	}
	return false
}

// Decision is what to do after an attempt.
type Decision struct {
	Done        bool           // nothing: the outcome stands, or other attempts are in flight
	RetryAt     control.Micros // otherwise retry then
	OtherRouter bool           // at another router, if there is one
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome    Outcome
	SentAt     control.Micros
	Router     int
	RetryAfter control.Micros // the pause that the router advised; 0: none
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
	case outcome == Lost && c.Class.KeysPersisted && c.Class.Effect == control.NonIdempotent:
		c.pinnedRouter = result.Router // it alone knows whether the request may run again
		return c.retry(Decision{RetryAt: now + Backoff(c.attempts, random)}, budget)
	case c.pinnedRouter >= 0 && outcome == NotSent: // the pinned router is not back yet
		return c.retry(Decision{RetryAt: now + Backoff(c.attempts, random)}, budget)
	case outcome == Rejected:
		return c.retry(Decision{RetryAt: now + rejectionPause(c.attempts, result.RetryAfter, random), OtherRouter: true}, budget)
	case outcome == NotSent && c.attempts == 1: // another router may be up
		return c.retry(Decision{RetryAt: now, OtherRouter: true}, budget)
	case outcome == NotSent, c.mayRetry(now):
		return c.retry(Decision{RetryAt: now + Backoff(c.attempts, random), OtherRouter: true}, budget)
	}
	if c.inFlight == 0 {
		c.done = true
	}
	return Decision{Done: true}
}

// rejectionPause returns the pause after a rejection. All who were rejected together got the same advice: none comes sooner
// than advised, and they spread over as long again. The backoff is drawn in any case, so that what later draws give doesn't
// depend on the advice.
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

// AllowHedge reports whether a second attempt may run beside the one in flight. It takes a token for it.
func (c *Call) AllowHedge(now control.Micros, budget *Budget) bool {
	safe := c.Class.HedgeSafe && c.Class.Effect == control.Idempotent
	firstInFlight := c.inFlight == 1 && c.attempts == 1
	return safe && !c.done && firstInFlight && now+minRemaining <= c.Deadline && budget.TryWithdraw()
}

// Backoff returns the pause before the next attempt with full jitter: a random time up to a limit that doubles with each
// attempt.
func Backoff(attempts int, random *rand.Rand) control.Micros {
	limit := min(backoffMax, backoffBase<<min(attempts-1, maxDoublings))
	return control.Micros(random.Int64N(int64(limit) + 1))
}
