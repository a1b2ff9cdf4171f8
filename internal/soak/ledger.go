package soak

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Rule names what a run found broken.
type Rule string

// The rules. The platform's pages have their wording; docs/design.md numbers the first five.
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

// Violation is one broken rule.
type Violation struct {
	Rule   Rule
	At     time.Duration // after the run's start
	Detail string
}

func (b Violation) String() string {
	return fmt.Sprintf("%.3f s %s: %s", b.At.Seconds(), b.Rule, b.Detail)
}

// slack is what every time limit of the platform has beyond its figure.
const slack = 50 * time.Millisecond

// fate is what became of an attempt at its server.
type fate uint8

const (
	mayHaveRun fate = iota // as long as nothing else is known
	didNotRun              // an answer that says so was written
)

// attemptRecord is an attempt as a server got it.
type attemptRecord struct {
	at     time.Time
	server string
	fate   fate
}

// answerKind is how a router answered.
type answerKind uint8

const (
	answeredServed answerKind = iota
	answeredRejected
	answeredFailed
)

// answerRecord is an answer as a client got it.
type answerRecord struct {
	at   time.Time
	kind answerKind
}

// requestDraft is what is drawn of a request.
type requestDraft struct {
	class    *Class
	timeout  time.Duration // for which its client waits
	function uint64
	work     time.Duration // execution time on a server of speed 1
	key      string        // idempotency key
}

// requestRecord is all that is known of a request.
type requestRecord struct {
	requestDraft
	id        uint64
	body      []byte
	retry     int // how often its client has sent it before
	router    int
	sentAt    time.Time
	deadline  time.Time
	departed  time.Time // when its client cancelled it or closed the connection; zero: it did not
	attempts  []attemptRecord
	answers   []answerRecord
	lostWith  closedBy  // why it got no answer, once its connection has closed
	closedAt  time.Time // when that connection closed; zero: it did not
	aloneThen bool      // no other request was open there then
}

// ledger holds what happened to each request of a run. Any goroutine may use it.
type ledger struct {
	scenario  *Scenario
	startedAt time.Time
	lag       *lagMeter
	stalls    stallLog

	mu       sync.Mutex
	requests map[uint64]*requestRecord
	breaks   []Violation
}

func newLedger(s *Scenario, lag *lagMeter) *ledger {
	return &ledger{scenario: s, startedAt: time.Now(), lag: lag, requests: map[uint64]*requestRecord{}}
}

// report records a broken rule.
func (l *ledger) report(at time.Time, rule Rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportLocked(at, rule, format, args...)
}

func (l *ledger) reportLocked(at time.Time, rule Rule, format string, args ...any) {
	l.breaks = append(l.breaks, Violation{rule, at.Sub(l.startedAt), fmt.Sprintf(format, args...)})
}

// add records a request that is about to be sent.
func (l *ledger) add(r *requestRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.id] = r
}

// noteAttempt records an attempt that a server got, and judges whether it may have been sent. It returns the request, or nil
// for one that no client sent, and the attempt's number.
func (l *ledger) noteAttempt(id uint64, at time.Time, server string) (*requestRecord, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		l.reportLocked(at, RuleRequestIntegrity, "%s got a request %016x that no client sent", server, id)
		return nil, 0
	}
	l.judgeAttempt(r, at, server)
	r.attempts = append(r.attempts, attemptRecord{at: at, server: server})
	return r, len(r.attempts) - 1
}

// judgeAttempt judges an attempt before it is recorded. The lock is held.
func (l *ledger) judgeAttempt(r *requestRecord, at time.Time, server string) {
	const departedFor = 100 * time.Millisecond // an attempt may still begin so long after its client has gone
	tolerance := slack + l.lag.before(at)
	if len(r.answers) > 0 && at.After(r.answers[0].at.Add(tolerance)) {
		l.reportLocked(at, RuleOneResponse, "request %016x was sent to %s %v after its answer", r.id, server, at.Sub(r.answers[0].at))
	}
	if !r.departed.IsZero() && at.After(r.departed.Add(departedFor+tolerance)) {
		l.reportLocked(at, RuleOneResponse, "request %016x was sent to %s %v after its client had gone", r.id, server, at.Sub(r.departed))
	}
	for _, earlier := range r.attempts {
		if earlier.fate == didNotRun {
			continue
		}
		age := at.Sub(earlier.at)
		if r.class.Semantics == NonIdempotent || r.class.Semantics == IdempotentByKey && age > r.class.Window+tolerance {
			l.reportLocked(at, RuleNoDuplicateEffect, "request %016x (%s) was sent to %s %v after %s, where it may have run", r.id, r.class.Semantics,
				server, age, earlier.server)
		}
	}
}

// noteNotRun records that a server has answered an attempt as one that never ran.
func (l *ledger) noteNotRun(r *requestRecord, attempt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.attempts[attempt].fate = didNotRun
}

// noteAnswer records an answer to a client.
func (l *ledger) noteAnswer(r *requestRecord, at time.Time, kind answerKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.answers = append(r.answers, answerRecord{at, kind})
	mayHave := slices.ContainsFunc(r.attempts, func(a attemptRecord) bool { return a.fate == mayHaveRun })
	if kind == answeredRejected && r.class.Semantics == NonIdempotent && mayHave {
		l.reportLocked(at, RuleNoDuplicateEffect, "request %016x was rejected as repeatable though it may have run", r.id)
	}
	if kind == answeredServed && len(r.attempts) == 0 {
		l.reportLocked(at, RuleRequestIntegrity, "request %016x was served though no server got it", r.id)
	}
}

// noteDeparted records that a request's client has cancelled it or closed its connection.
func (l *ledger) noteDeparted(r *requestRecord, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.departed.IsZero() {
		r.departed = at
	}
}

// noteClosed records that a request's connection has closed under it.
func (l *ledger) noteClosed(r *requestRecord, at time.Time, by closedBy, alone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.closedAt, r.lostWith, r.aloneThen = at, by, alone
}

// resendWindow is how long before the close of an idle connection a request may be sent that its client then sends again.
const resendWindow = 50 * time.Millisecond

// judgeAnswers judges, at the end of a run, whether each request got its one answer.
func (l *ledger) judgeAnswers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		l.judgeAnswer(r)
	}
	slices.SortStableFunc(l.breaks, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
}

// afterStall is within how long after a stall a router answers what is due: it reads what came meanwhile, and takes a step.
const afterStall = 300 * time.Millisecond

// judgeAnswer judges one request. The lock is held.
func (l *ledger) judgeAnswer(r *requestRecord) {
	const lateBy = 500 * time.Millisecond // an answer that is later counts as none
	latest := r.deadline.Add(lateBy + slack + l.lag.before(r.deadline))
	if over := l.stalls.lastEnd(r.router, r.sentAt, latest).Add(afterStall); over.After(latest) {
		latest = over // a process that is stopped can answer only then
	}
	switch n := len(r.answers); {
	case n > 1:
		l.reportLocked(r.answers[1].at, RuleOneResponse, "request %016x got %d answers", r.id, n)
	case n == 1:
		if r.answers[0].at.After(latest) && r.departed.IsZero() {
			l.reportLocked(r.answers[0].at, RuleOneResponse, "request %016x was answered %v after its deadline", r.id, r.answers[0].at.Sub(r.deadline))
		}
	case !r.departed.IsZero():
	case r.closedAt.IsZero():
		l.reportLocked(r.deadline, RuleOneResponse, "request %016x at n%d was never answered", r.id, r.router)
	case !l.excused(r):
		l.reportLocked(r.closedAt, RuleOneResponse, "request %016x at n%d: its connection closed (%s) %v after it was sent, unanswered", r.id, r.router,
			r.lostWith, r.closedAt.Sub(r.sentAt))
	}
}

// excused reports whether a request may be unanswered whose connection has closed.
func (l *ledger) excused(r *requestRecord) bool {
	crossed := r.aloneThen && r.closedAt.Sub(r.sentAt) <= resendWindow+l.lag.before(r.closedAt)
	// A router may be killed outright, and a kill after SIGTERM may find unanswered what came until lateRequest after that.
	return crossed || r.lostWith == closedByKill
}

// sentSince counts the requests that clients sent since a time.
func (l *ledger) sentSince(from time.Time) int {
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

// Counts sums up a run's requests.
type Counts struct {
	Requests int
	Served   int
	InTime   int // served within their objective
	Rejected int
	Failed   int
}

func (l *ledger) count() (c Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		c.Requests++
		if len(r.answers) == 0 {
			continue // cancelled, or lost
		}
		switch first := r.answers[0]; first.kind {
		case answeredServed:
			c.Served++
			if first.at.Before(r.sentAt.Add(r.class.Objective)) {
				c.InTime++
			}
		case answeredRejected:
			c.Rejected++
		case answeredFailed:
			c.Failed++
		}
	}
	return c
}
