// Package retry decides how a client behaves: whether a call may be tried again, when and where, whether a second try may run
// beside the first, which routers are left alone for a while, and when lost connections may be made anew. It is free of I/O and
// clocks; chance comes from a seeded generator that is given to it.
package retry

import (
	"math/rand/v2"

	"hollymast/control"
)

// Workload is what a client knows of the jobs that it asks for.
type Class struct {
	Effect        control.Effect
	Scope         control.Scope  // of a fingerprinted job
	Window        control.Micros // for which its group knows a fingerprinted job
	KeysPersisted bool           // routers remember marked jobs over restarts: the one that was asked may be asked again for any
	HedgeSafe     bool           // two executions at once do no harm: a slow try may be hedged
}

// Ending is how one try ended, as its client can know.
type Outcome uint8

// The endings.
const (
	Succeeded Outcome = iota
	Invalid           // the request itself is refused: it would be again
	Rejected          // not now; trying again is harmless
	NotSent           // the router never had the whole request
	Failed            // it may have run, the router says
	Lost              // it may have run: the connection broke or the time was up after the whole request was sent
)

// The bounds of a call. Four tries give nearly all that tries can give; fifty milliseconds is a few times a usual job's way.
const (
	maxAttempts  = 4
	backoffBase  = control.Micros(50_000)    // of the backoff, doubled with each try
	backoffMax   = control.Micros(2_000_000) // of the backoff
	minRemaining = control.Micros(20_000)    // left of the deadline, below which a try can't be answered
	maxTransit   = control.Micros(50_000)    // far longer than any hop on the way to a server
)

// Call is one call with all its tries. It has one deadline.
type Call struct {
	Class           Class
	Deadline        control.Micros
	attempts        int
	firstMayHaveRun control.Micros // when the first try that may have run was sent; 0: none may
	pinnedRouter    int            // the router that alone may be asked again; -1: any
	inFlight        int
	done            bool
}

// Begin begins a call.
func NewCall(class Class, deadline control.Micros) *Call {
	return &Call{Class: class, Deadline: deadline, pinnedRouter: -1}
}

// Tries counts those made.
func (c *Call) Attempts() int { return c.attempts }

// Bound is the only router that may be asked; -1: any may.
func (c *Call) PinnedRouter() int { return c.pinnedRouter }

// Sent counts a try that goes out now. False means that it must not: the deadline is too near, the call is over, or repeats of what
// may have run would no longer be known.
func (c *Call) BeginAttempt(now control.Micros) bool {
	if c.done || now+minRemaining > c.Deadline || c.attempts > 0 && c.inFlight == 0 && !c.mayRetry(now) {
		return false
	}
	c.attempts++
	c.inFlight++
	return true
}

// mayRepeat tells whether another try does no harm if the earlier ones ran.
func (c *Call) mayRetry(now control.Micros) bool {
	switch {
	case c.firstMayHaveRun == 0 || c.Class.Effect == control.Idempotent || c.pinnedRouter >= 0:
		return true
	case c.Class.Effect == control.IdempotentByKey && c.Class.Scope == control.WholeFleet:
		return now+maxTransit < c.firstMayHaveRun+c.Class.Window
	}
	return false
}

// Next is what to do after a try.
type Decision struct {
	Done        bool           // nothing: the ending stands, or other tries are still out
	RetryAt     control.Micros // else try again then
	OtherRouter bool           // at another router, if there is one
}

// After takes in how a try ended that was sent at some time to a router, with the pause that the router advised.
func (c *Call) HandleOutcome(now control.Micros, outcome Outcome, sentAt control.Micros, router int, advised control.Micros, budget *Budget, random *rand.Rand) Decision {
	c.inFlight--
	if (outcome == Failed || outcome == Lost) && (c.firstMayHaveRun == 0 || sentAt < c.firstMayHaveRun) {
		c.firstMayHaveRun = sentAt
	}
	switch {
	case outcome == Succeeded || outcome == Invalid:
		c.done = true
	case c.done || c.inFlight > 0 || c.attempts >= maxAttempts:
	case outcome == Lost && c.Class.KeysPersisted && c.Class.Effect == control.NonIdempotent:
		c.pinnedRouter = router // only it knows whether the job may run again
		return c.retry(now, Backoff(c.attempts, random), false, budget)
	case c.pinnedRouter >= 0 && outcome == NotSent: // it is not back yet
		return c.retry(now, Backoff(c.attempts, random), false, budget)
	case outcome == Rejected:
		delay := Backoff(c.attempts, random)
		if advised > 0 { // all who were pushed back together heard the same: none comes sooner, all spread over as long again
			delay = advised + control.Micros(random.Int64N(int64(advised)))
		}
		return c.retry(now, delay, true, budget)
	case outcome == NotSent && c.attempts == 1:
		return c.retry(now, 0, true, budget) // another router may be well
	case outcome == NotSent, c.mayRetry(now):
		return c.retry(now, Backoff(c.attempts, random), true, budget)
	}
	if c.inFlight == 0 {
		c.done = true
	}
	return Decision{Done: true}
}

func (c *Call) retry(now, delay control.Micros, other bool, budget *Budget) Decision {
	at := now + delay
	if at+minRemaining > c.Deadline || c.firstMayHaveRun > 0 && !c.mayRetry(at) || !budget.TryWithdraw() {
		c.done = true
		return Decision{Done: true}
	}
	return Decision{RetryAt: at, OtherRouter: other}
}

// Hedge tells whether a second try may run beside the one that is out.
func (c *Call) AllowHedge(now control.Micros, budget *Budget) bool {
	return !c.done && c.Class.HedgeSafe && c.Class.Effect == control.Idempotent && c.inFlight == 1 && c.attempts == 1 && now+minRemaining <= c.Deadline && budget.TryWithdraw()
}

// Pause is a try's backoff with full jitter: anything between nothing and a span that doubles with each try.
func Backoff(attempts int, random *rand.Rand) control.Micros {
	return control.Micros(random.Int64N(int64(min(backoffMax, backoffBase<<min(attempts-1, 10))) + 1))
}
