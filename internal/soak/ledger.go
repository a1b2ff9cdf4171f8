package soak

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Rule is the description of a rule that routers must keep.
type Rule string

// The rules, as the platform's specification words them; docs/design.md numbers the first five.
const (
	RuleOneResponse       Rule = "one final answer in time, and nothing sent after it"
	RuleNoDuplicateEffect Rule = "no second effect"
	RuleDrain             Rule = "nothing new to a server that drains or is removed"
	RuleSlowStart         Rule = "no server in slow start is sent over its budget"
	RuleLoadRate          Rule = "load commands within their limit"
	RuleMalformed         Rule = "an answer or a close for malformed input within 3 s"
	RuleNoCrash           Rule = "no router ends unasked, or takes long to be ready"
	RuleRequestIntegrity  Rule = "servers get clients' requests unchanged"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule
	At     time.Duration // since the start of the run
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%.3f s %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// timingTolerance is added to every time limit, as the platform's specification allows.
const timingTolerance = 50 * time.Millisecond

// attemptOutcome says whether an attempt may have been executed.
type attemptOutcome uint8

const (
	mayHaveRun attemptOutcome = iota // until the server says otherwise
	didNotRun                        // the server sent a rejection
)

// attemptRecord is an attempt that a server received.
type attemptRecord struct {
	at      time.Time
	server  string
	outcome attemptOutcome
}

// responseKind is the kind of response that a router sent.
type responseKind uint8

const (
	responseServed responseKind = iota
	responseRejected
	responseFailed
)

// responseRecord is a response that a client received.
type responseRecord struct {
	at   time.Time
	kind responseKind
}

// requestParams are the randomly drawn parameters of a request. A retry has the same.
type requestParams struct {
	class    *Class
	timeout  time.Duration // how long the client waits for the response
	function uint64
	work     time.Duration // execution time on a server of speed 1
	key      string        // idempotency key
}

// requestRecord is the history of one request as clients and servers saw it.
type requestRecord struct {
	requestParams
	id          uint64
	body        []byte
	retry       int // how often the client has sent it before
	router      int
	sentAt      time.Time
	deadline    time.Time
	abandonedAt time.Time // when the client cancelled it or closed the connection; zero: never
	attempts    []attemptRecord
	responses   []responseRecord
	closeCause  closeCause // why its connection closed
	closedAt    time.Time  // when its connection closed before a response; zero: it did not
	connWasIdle bool       // at the close, no request was in flight that had been sent earlier than resendWindow before
}

// ledger records what happened to each request of a run and checks it against the rules. It is safe for concurrent use.
type ledger struct {
	scenario  *Scenario
	startedAt time.Time
	lag       *lagMeter
	stalls    stallLog

	mu         sync.Mutex
	requests   map[uint64]*requestRecord
	violations []Violation
}

func newLedger(s *Scenario, lag *lagMeter) *ledger {
	return &ledger{scenario: s, startedAt: time.Now(), lag: lag, requests: map[uint64]*requestRecord{}}
}

// report records a violation.
func (l *ledger) report(at time.Time, rule Rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportLocked(at, rule, format, args...)
}

// reportLocked is report for callers that hold mu.
func (l *ledger) reportLocked(at time.Time, rule Rule, format string, args ...any) {
	l.violations = append(l.violations, Violation{rule, at.Sub(l.startedAt), fmt.Sprintf(format, args...)})
}

// add records a request that is about to be sent.
func (l *ledger) add(r *requestRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.id] = r
}

// recordAttempt records an attempt that a server received, and checks whether the router was allowed to send it. It returns the
// request (nil if no client sent it) and the index of the attempt.
func (l *ledger) recordAttempt(id uint64, at time.Time, server string) (*requestRecord, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		l.reportLocked(at, RuleRequestIntegrity, "%s received request %016x, which no client sent", server, id)
		return nil, 0
	}
	l.checkAttempt(r, at, server)
	r.attempts = append(r.attempts, attemptRecord{at: at, server: server})
	return r, len(r.attempts) - 1
}

// checkAttempt checks whether a router was allowed to send an attempt, given the earlier ones. The caller holds mu.
func (l *ledger) checkAttempt(r *requestRecord, at time.Time, server string) {
	const cancelDelay = 100 * time.Millisecond // an attempt may still start this long after the client has cancelled or disconnected
	tolerance := timingTolerance + l.lag.maxBefore(at)
	if len(r.responses) > 0 && at.After(r.responses[0].at.Add(tolerance)) {
		l.reportLocked(at, RuleOneResponse, "request %016x was sent to %s %v after its answer", r.id, server, at.Sub(r.responses[0].at))
	}
	if !r.abandonedAt.IsZero() && at.After(r.abandonedAt.Add(cancelDelay+tolerance)) {
		l.reportLocked(at, RuleOneResponse, "request %016x was sent to %s %v after its client cancelled it or disconnected", r.id, server, at.Sub(r.abandonedAt))
	}
	for _, earlier := range r.attempts {
		if earlier.outcome == didNotRun {
			continue
		}
		age := at.Sub(earlier.at)
		if r.class.Semantics == NonIdempotent || r.class.Semantics == IdempotentByKey && age > r.class.Window+tolerance {
			l.reportLocked(at, RuleNoDuplicateEffect, "request %016x (%s) was sent to %s %v after %s, where it may have run", r.id, r.class.Semantics,
				server, age, earlier.server)
		}
	}
}

// recordNotRun records that a server told the router that it did not execute an attempt.
func (l *ledger) recordNotRun(r *requestRecord, attempt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.attempts[attempt].outcome = didNotRun
}

// recordResponse records a response that a client received, and checks it against the attempts.
func (l *ledger) recordResponse(r *requestRecord, at time.Time, kind responseKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.responses = append(r.responses, responseRecord{at, kind})
	mayBeExecuted := slices.ContainsFunc(r.attempts, func(a attemptRecord) bool { return a.outcome == mayHaveRun })
	if kind == responseRejected && r.class.Semantics == NonIdempotent && mayBeExecuted {
		l.reportLocked(at, RuleNoDuplicateEffect, "request %016x was rejected, which invites a retry, although it may have run", r.id)
	}
	if kind == responseServed && len(r.attempts) == 0 {
		l.reportLocked(at, RuleRequestIntegrity, "request %016x was served although no server received it", r.id)
	}
}

// recordAbandoned records that the client cancelled a request or closed its connection.
func (l *ledger) recordAbandoned(r *requestRecord, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.abandonedAt.IsZero() {
		r.abandonedAt = at
	}
}

// recordClose records that the connection of a request closed before its response.
func (l *ledger) recordClose(r *requestRecord, at time.Time, cause closeCause, wasIdle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.closedAt, r.closeCause, r.connWasIdle = at, cause, wasIdle
}

// resendWindow is how soon after a request was sent its connection must close for the client to resend the request on its own,
// provided that the connection was otherwise idle.
const resendWindow = 50 * time.Millisecond

// checkResponses checks, at the end of a run, whether each request got exactly one response in time.
func (l *ledger) checkResponses() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		l.checkResponse(r)
	}
	slices.SortStableFunc(l.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
}

// stallRecoveryTime is how long after a stall a router may take to send overdue responses: it first reads what arrived meanwhile
// and completes a step of its event loop.
const stallRecoveryTime = 300 * time.Millisecond

// checkResponse checks the responses to one request. The caller holds mu.
func (l *ledger) checkResponse(r *requestRecord) {
	const responseGrace = 500 * time.Millisecond // a response later than this after the deadline counts as missing
	latest := r.deadline.Add(responseGrace + timingTolerance + l.lag.maxBefore(r.deadline))
	if afterStall := l.stalls.lastEnd(r.router, r.sentAt, latest).Add(stallRecoveryTime); afterStall.After(latest) {
		latest = afterStall // a suspended process cannot respond earlier
	}
	switch n := len(r.responses); {
	case n > 1:
		l.reportLocked(r.responses[1].at, RuleOneResponse, "request %016x got %d answers", r.id, n)
	case n == 1:
		if r.responses[0].at.After(latest) && r.abandonedAt.IsZero() {
			l.reportLocked(r.responses[0].at, RuleOneResponse, "request %016x was answered %v after its deadline", r.id, r.responses[0].at.Sub(r.deadline))
		}
	case !r.abandonedAt.IsZero():
	case r.closedAt.IsZero():
		l.reportLocked(r.deadline, RuleOneResponse, "request %016x at n%d was never answered", r.id, r.router)
	case !l.mayBeUnanswered(r):
		l.reportLocked(r.closedAt, RuleOneResponse, "request %016x at n%d: its connection closed (%s) %v after it was sent, unanswered", r.id, r.router,
			r.closeCause, r.closedAt.Sub(r.sentAt))
	}
}

// mayBeUnanswered reports whether a request may go without a response, given how its connection closed.
func (l *ledger) mayBeUnanswered(r *requestRecord) bool {
	crossedClose := r.connWasIdle && r.closedAt.Sub(r.sentAt) <= resendWindow+l.lag.maxBefore(r.closedAt)
	// A router may be killed without warning. If the kill follows SIGTERM, closedByKill covers only requests sent up to
	// lateRequestWindow after the SIGTERM.
	return crossedClose || r.closeCause == closedByKill
}

// requestsSince returns how many requests clients have sent since a time.
func (l *ledger) requestsSince(from time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.requests {
		if r.sentAt.After(from) {
			n++
		}
	}
	return n
}

// Counts are the totals of a run's requests.
type Counts struct {
	Requests int
	Served   int
	InTime   int // served within the objective of their class
	Rejected int
	Failed   int
}

// count returns the totals of the requests recorded so far.
func (l *ledger) count() (c Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		c.Requests++
		if len(r.responses) == 0 {
			continue // cancelled or lost
		}
		switch first := r.responses[0]; first.kind {
		case responseServed:
			c.Served++
			if first.at.Before(r.sentAt.Add(r.class.Objective)) {
				c.InTime++
			}
		case responseRejected:
			c.Rejected++
		case responseFailed:
			c.Failed++
		}
	}
	return c
}
