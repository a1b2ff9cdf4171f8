// Package retry decides how a client behaves: whether a call may be tried again, when and where, whether a second try may run
// beside the first, which routers are left alone for a while, and when lost connections may be made anew. It is free of I/O and
// clocks; chance comes from a seeded generator that is given to it.
package retry

import (
	"math/rand/v2"
	"slices"

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

// Budget keeps retries a small part of calls, whatever goes wrong: each call earns a part of a retry. It begins with a few, so that
// a client of few calls may retry at all.
type Budget struct {
	tokens float64
}

// The budget's figures: a tenth more load is what retries may add in the worst case; ten stand for a burst.
const (
	depositPerCall = 0.1
	maxTokens      = 10.0
)

// NewBudget gives a full one.
func NewBudget() *Budget { return &Budget{tokens: maxTokens} }

// Earn counts a first try.
func (b *Budget) Deposit() { b.tokens = min(maxTokens, b.tokens+depositPerCall) }

// Spend takes a retry's worth, if there is one.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Routers are those that a client may ask, and what it has seen of them.
type Routers struct {
	routers []router
	next    int
}

type router struct {
	failures     int // in a row
	ejections    int // times in a row
	ejectedUntil control.Micros
	recentLosses []control.Micros // connections lost lately
	connections  int
	reconnectAt  []control.Micros // when lost connections may be made anew, ascending
}

// Bounds of ejection: three failures in a row are hardly chance; a second is a router's restart, half a minute an outage.
const (
	ejectionThreshold = 3
	ejectionBase      = control.Micros(1_000_000)
	ejectionMax       = control.Micros(30_000_000)
)

// Bounds of a mass loss: half of the connections, and over two, within a second, are lost together; spread is the time over which
// they come back.
const (
	massLossWindow  = control.Micros(1_000_000)
	massLossMin     = 3
	reconnectSpread = control.Micros(5_000_000)
)

// NewRouters gives n routers, of which a client begins anywhere.
func NewRouters(n, begin int) *Routers {
	return &Routers{routers: make([]router, n), next: begin % max(1, n)}
}

// Pick gives the router for a try: the next in turn that is not ejected and is not the one to avoid, if there is such; else the
// next that is not ejected, else the one whose ejection ends first.
func (r *Routers) Pick(now control.Micros, avoid int) int {
	best, firstBack := -1, 0
	for k := range r.routers {
		i := (r.next + k) % len(r.routers)
		if r.routers[i].ejectedUntil < r.routers[firstBack].ejectedUntil {
			firstBack = i
		}
		if now < r.routers[i].ejectedUntil || i == avoid && len(r.routers) > 1 && best >= 0 {
			continue
		}
		if best < 0 || best == avoid {
			best = i
		}
	}
	if best < 0 {
		best = firstBack
	}
	r.next = (best + 1) % len(r.routers)
	return best
}

// Well counts an answer from a router, whatever it says. One that goes on answering stands: what it lost was single connections, so
// each answer makes up for a loss. Without that a steady loss of a few in a hundred, at many calls a second, looked like a mass loss,
// and the connections that were then put off made the next one more likely.
func (r *Routers) RecordSuccess(i int) {
	x := &r.routers[i]
	x.failures, x.ejections = 0, 0
	if len(x.recentLosses) > 0 {
		x.recentLosses = x.recentLosses[1:]
	}
}

// Failed counts a try that got no answer. A router that fails some times in a row is left alone, longer each time.
func (r *Routers) RecordFailure(now control.Micros, i int) {
	x := &r.routers[i]
	if x.failures++; x.failures >= ejectionThreshold && now >= x.ejectedUntil {
		x.ejectedUntil = now + min(ejectionMax, ejectionBase<<min(x.ejections, 10))
		x.ejections++
		x.failures = ejectionThreshold - 1 // its next failure is enough
	}
}

// Opened counts a connection.
func (r *Routers) ConnectionOpened(i int) { r.routers[i].connections++ }

// Closed counts one that this side closed, or that ended while nothing was amiss.
func (r *Routers) ConnectionClosed(i int) {
	r.routers[i].connections = max(0, r.routers[i].connections-1)
}

// LostOne counts a connection that broke. If most break together each of them may be made anew only at a time of its own within the
// spread, so that all clients of a router that comes back do not meet there at once.
func (r *Routers) ConnectionLost(now control.Micros, i int, random *rand.Rand) {
	x := &r.routers[i]
	x.connections = max(0, x.connections-1)
	x.recentLosses = append(x.recentLosses, now)
	for len(x.recentLosses) > 0 && x.recentLosses[0] < now-massLossWindow {
		x.recentLosses = x.recentLosses[1:]
	}
	n := len(x.recentLosses)
	switch {
	case n < massLossMin || n < x.connections:
	case len(x.reconnectAt) == 0: // found out just now: it holds for those before it too
		for range n {
			x.reconnectAt = append(x.reconnectAt, now+control.Micros(random.Int64N(int64(reconnectSpread))))
		}
	default:
		x.reconnectAt = append(x.reconnectAt, now+control.Micros(random.Int64N(int64(reconnectSpread))))
	}
	slices.Sort(x.reconnectAt)
}

// MayOpen tells whether a connection to a router may be made now; else when.
func (r *Routers) MayConnect(now control.Micros, i int) (ok bool, at control.Micros) {
	x := &r.routers[i]
	if len(x.reconnectAt) == 0 {
		return true, now
	}
	if now >= x.reconnectAt[0] {
		x.reconnectAt = x.reconnectAt[1:]
		return true, now
	}
	return false, x.reconnectAt[0]
}

// Latencies keeps the last answers' times, for hedging.
type Latencies struct {
	last  [64]control.Micros
	count int
}

// Add keeps one.
func (l *Latencies) Add(t control.Micros) {
	l.last[l.count%len(l.last)] = t
	l.count++
}

// enough answers tell a tail.
const minSamples = 20

// HedgeAfter is after how long a try is among the slowest twentieth; 0: not known.
func (l *Latencies) HedgeDelay() control.Micros {
	if l.count < minSamples {
		return 0
	}
	ts := slices.Clone(l.last[:min(l.count, len(l.last))])
	slices.Sort(ts)
	return max(1, ts[len(ts)*95/100])
}
