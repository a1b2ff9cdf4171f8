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
	mostTries = 4
	base      = control.Micros(50_000)    // of the backoff, doubled with each try
	longest   = control.Micros(2_000_000) // of the backoff
	least     = control.Micros(20_000)    // left of the deadline, below which a try can't be answered
	travel    = control.Micros(50_000)    // far longer than any hop on the way to a server
)

// Call is one call with all its tries. It has one deadline.
type Call struct {
	Class    Class
	Deadline control.Micros
	tries    int
	first    control.Micros // when the first try that may have run was sent; 0: none may
	bound    int            // the router that alone may be asked again; -1: any
	out      int
	over     bool
}

// Begin begins a call.
func NewCall(w Class, deadline control.Micros) *Call {
	return &Call{Class: w, Deadline: deadline, bound: -1}
}

// Tries counts those made.
func (c *Call) Attempts() int { return c.tries }

// Bound is the only router that may be asked; -1: any may.
func (c *Call) PinnedRouter() int { return c.bound }

// Sent counts a try that goes out now. False means that it must not: the deadline is too near, the call is over, or repeats of what
// may have run would no longer be known.
func (c *Call) BeginAttempt(now control.Micros) bool {
	if c.over || now+least > c.Deadline || c.tries > 0 && c.out == 0 && !c.mayRepeat(now) {
		return false
	}
	c.tries++
	c.out++
	return true
}

// mayRepeat tells whether another try does no harm if the earlier ones ran.
func (c *Call) mayRepeat(now control.Micros) bool {
	switch {
	case c.first == 0 || c.Class.Effect == control.Idempotent || c.bound >= 0:
		return true
	case c.Class.Effect == control.IdempotentByKey && c.Class.Scope == control.WholeFleet:
		return now+travel < c.first+c.Class.Window
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
func (c *Call) HandleOutcome(now control.Micros, e Outcome, sent control.Micros, router int, advised control.Micros, b *Budget, chance *rand.Rand) Decision {
	c.out--
	if (e == Failed || e == Lost) && (c.first == 0 || sent < c.first) {
		c.first = sent
	}
	switch {
	case e == Succeeded || e == Invalid:
		c.over = true
	case c.over || c.out > 0 || c.tries >= mostTries:
	case e == Lost && c.Class.KeysPersisted && c.Class.Effect == control.NonIdempotent:
		c.bound = router // only it knows whether the job may run again
		return c.again(now, Backoff(c.tries, chance), false, b)
	case c.bound >= 0 && e == NotSent: // it is not back yet
		return c.again(now, Backoff(c.tries, chance), false, b)
	case e == Rejected:
		pause := Backoff(c.tries, chance)
		if advised > 0 { // all who were pushed back together heard the same: none comes sooner, all spread over as long again
			pause = advised + control.Micros(chance.Int64N(int64(advised)))
		}
		return c.again(now, pause, true, b)
	case e == NotSent && c.tries == 1:
		return c.again(now, 0, true, b) // another router may be well
	case e == NotSent, c.mayRepeat(now):
		return c.again(now, Backoff(c.tries, chance), true, b)
	}
	if c.out == 0 {
		c.over = true
	}
	return Decision{Done: true}
}

func (c *Call) again(now, pause control.Micros, other bool, b *Budget) Decision {
	at := now + pause
	if at+least > c.Deadline || c.first > 0 && !c.mayRepeat(at) || !b.TryWithdraw() {
		c.over = true
		return Decision{Done: true}
	}
	return Decision{RetryAt: at, OtherRouter: other}
}

// Hedge tells whether a second try may run beside the one that is out.
func (c *Call) AllowHedge(now control.Micros, b *Budget) bool {
	return !c.over && c.Class.HedgeSafe && c.Class.Effect == control.Idempotent && c.out == 1 && c.tries == 1 && now+least <= c.Deadline && b.TryWithdraw()
}

// Pause is a try's backoff with full jitter: anything between nothing and a span that doubles with each try.
func Backoff(tries int, chance *rand.Rand) control.Micros {
	return control.Micros(chance.Int64N(int64(min(longest, base<<min(tries-1, 10))) + 1))
}

// Budget keeps retries a small part of calls, whatever goes wrong: each call earns a part of a retry. It begins with a few, so that
// a client of few calls may retry at all.
type Budget struct {
	tokens float64
}

// The budget's figures: a tenth more load is what retries may add in the worst case; ten stand for a burst.
const (
	earned = 0.1
	burst  = 10.0
)

// NewBudget gives a full one.
func NewBudget() *Budget { return &Budget{tokens: burst} }

// Earn counts a first try.
func (b *Budget) Deposit() { b.tokens = min(burst, b.tokens+earned) }

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
	rs   []router
	next int
}

type router struct {
	fails   int // in a row
	ejected int // times in a row
	until   control.Micros
	lost    []control.Micros // connections lost lately
	open    int
	permits []control.Micros // when lost connections may be made anew, ascending
}

// Bounds of ejection: three failures in a row are hardly chance; a second is a router's restart, half a minute an outage.
const (
	failsOut = 3
	outFirst = control.Micros(1_000_000)
	outMost  = control.Micros(30_000_000)
)

// Bounds of a mass loss: half of the connections, and over two, within a second, are lost together; spread is the time over which
// they come back.
const (
	massWithin = control.Micros(1_000_000)
	massLeast  = 3
	spread     = control.Micros(5_000_000)
)

// NewRouters gives n routers, of which a client begins anywhere.
func NewRouters(n, begin int) *Routers {
	return &Routers{rs: make([]router, n), next: begin % max(1, n)}
}

// Pick gives the router for a try: the next in turn that is not ejected and is not the one to avoid, if there is such; else the
// next that is not ejected, else the one whose ejection ends first.
func (r *Routers) Pick(now control.Micros, avoid int) int {
	best, soonest := -1, 0
	for k := range r.rs {
		i := (r.next + k) % len(r.rs)
		if r.rs[i].until < r.rs[soonest].until {
			soonest = i
		}
		if now < r.rs[i].until || i == avoid && len(r.rs) > 1 && best >= 0 {
			continue
		}
		if best < 0 || best == avoid {
			best = i
		}
	}
	if best < 0 {
		best = soonest
	}
	r.next = (best + 1) % len(r.rs)
	return best
}

// Well counts an answer from a router, whatever it says. One that goes on answering stands: what it lost was single connections, so
// each answer makes up for a loss. Without that a steady loss of a few in a hundred, at many calls a second, looked like a mass loss,
// and the connections that were then put off made the next one more likely.
func (r *Routers) RecordSuccess(i int) {
	x := &r.rs[i]
	x.fails, x.ejected = 0, 0
	if len(x.lost) > 0 {
		x.lost = x.lost[1:]
	}
}

// Failed counts a try that got no answer. A router that fails some times in a row is left alone, longer each time.
func (r *Routers) RecordFailure(now control.Micros, i int) {
	x := &r.rs[i]
	if x.fails++; x.fails >= failsOut && now >= x.until {
		x.until = now + min(outMost, outFirst<<min(x.ejected, 10))
		x.ejected++
		x.fails = failsOut - 1 // its next failure is enough
	}
}

// Opened counts a connection.
func (r *Routers) ConnectionOpened(i int) { r.rs[i].open++ }

// Closed counts one that this side closed, or that ended while nothing was amiss.
func (r *Routers) ConnectionClosed(i int) { r.rs[i].open = max(0, r.rs[i].open-1) }

// LostOne counts a connection that broke. If most break together each of them may be made anew only at a time of its own within the
// spread, so that all clients of a router that comes back do not meet there at once.
func (r *Routers) ConnectionLost(now control.Micros, i int, chance *rand.Rand) {
	x := &r.rs[i]
	x.open = max(0, x.open-1)
	x.lost = append(x.lost, now)
	for len(x.lost) > 0 && x.lost[0] < now-massWithin {
		x.lost = x.lost[1:]
	}
	n := len(x.lost)
	switch {
	case n < massLeast || n < x.open:
	case len(x.permits) == 0: // found out just now: it holds for those before it too
		for range n {
			x.permits = append(x.permits, now+control.Micros(chance.Int64N(int64(spread))))
		}
	default:
		x.permits = append(x.permits, now+control.Micros(chance.Int64N(int64(spread))))
	}
	slices.Sort(x.permits)
}

// MayOpen tells whether a connection to a router may be made now; else when.
func (r *Routers) MayConnect(now control.Micros, i int) (ok bool, at control.Micros) {
	x := &r.rs[i]
	if len(x.permits) == 0 {
		return true, now
	}
	if now >= x.permits[0] {
		x.permits = x.permits[1:]
		return true, now
	}
	return false, x.permits[0]
}

// Latencies keeps the last answers' times, for hedging.
type Latencies struct {
	last [64]control.Micros
	n    int
}

// Add keeps one.
func (l *Latencies) Add(t control.Micros) {
	l.last[l.n%len(l.last)] = t
	l.n++
}

// enough answers tell a tail.
const enough = 20

// HedgeAfter is after how long a try is among the slowest twentieth; 0: not known.
func (l *Latencies) HedgeDelay() control.Micros {
	if l.n < enough {
		return 0
	}
	ts := slices.Clone(l.last[:min(l.n, len(l.last))])
	slices.Sort(ts)
	return max(1, ts[len(ts)*95/100])
}
