package soak

import (
	"slices"
	"testing"
	"time"
)

// ledgerFixture is a ledger with one request, whose history the test case supplies.
type ledgerFixture struct {
	*ledger
	request *requestRecord
	now     time.Time
}

// newLedgerFixture returns a ledger with a request of a class, sent now.
func newLedgerFixture(semantics Semantics) *ledgerFixture {
	class := &Class{Name: "class-a", Semantics: semantics, Deadline: 2 * time.Second, Window: time.Second}
	l := newLedger(&Scenario{}, &lagMeter{})
	now := l.startedAt
	r := &requestRecord{requestParams: requestParams{class: class}, id: 1, sentAt: now, deadline: now.Add(class.Deadline)}
	l.add(r)
	return &ledgerFixture{l, r, now}
}

// attempt records that a server received the request this long after it was sent.
func (f *ledgerFixture) attempt(after time.Duration) int {
	_, attempt := f.recordAttempt(f.request.id, f.now.Add(after), "s-0")
	return attempt
}

// respond records that the client received a response this long after it sent the request.
func (f *ledgerFixture) respond(after time.Duration, kind responseKind) {
	f.recordResponse(f.request, f.now.Add(after), kind)
}

// closeConn records that the client's connection closed this long after the request was sent.
func (f *ledgerFixture) closeConn(after time.Duration, cause closeCause, wasIdle bool) {
	f.recordClose(f.request, f.now.Add(after), cause, wasIdle)
}

// The ledger reports each kind of violation, and nothing that the platform allows.
func TestLedgerViolations(t *testing.T) {
	const none Rule = ""
	for name, c := range map[string]struct {
		semantics Semantics
		history   func(f *ledgerFixture)
		want      Rule
	}{
		"served":                {Idempotent, func(f *ledgerFixture) { f.attempt(0); f.respond(time.Second, responseServed) }, none},
		"never answered":        {Idempotent, func(f *ledgerFixture) { f.attempt(0) }, RuleOneResponse},
		"answered twice":        {Idempotent, func(f *ledgerFixture) { f.attempt(0); f.respond(1, responseServed); f.respond(2, responseServed) }, RuleOneResponse},
		"answered late":         {Idempotent, func(f *ledgerFixture) { f.respond(2600*time.Millisecond, responseRejected) }, RuleOneResponse},
		"answered within grace": {Idempotent, func(f *ledgerFixture) { f.respond(2400*time.Millisecond, responseRejected) }, none},
		"served, no attempt":    {Idempotent, func(f *ledgerFixture) { f.respond(time.Second, responseServed) }, RuleRequestIntegrity},
		"sent after an answer":  {Idempotent, func(f *ledgerFixture) { f.respond(0, responseRejected); f.attempt(100 * time.Millisecond) }, RuleOneResponse},
		"sent after its client disconnected": {Idempotent, func(f *ledgerFixture) {
			f.recordAbandoned(f.request, f.now)
			f.attempt(200 * time.Millisecond)
		}, RuleOneResponse},
		"closed by the router":                    {Idempotent, func(f *ledgerFixture) { f.closeConn(time.Second, closedByRouter, true) }, RuleOneResponse},
		"crossed the close of an idle connection": {Idempotent, func(f *ledgerFixture) { f.closeConn(20*time.Millisecond, closedByStop, true) }, none},
		"closed with others in flight":            {Idempotent, func(f *ledgerFixture) { f.closeConn(20*time.Millisecond, closedByStop, false) }, RuleOneResponse},
		"killed without SIGTERM":                  {Idempotent, func(f *ledgerFixture) { f.closeConn(time.Second, closedByKill, false) }, none},
		"sent late after SIGTERM, killed":         {Idempotent, func(f *ledgerFixture) { f.closeConn(time.Second, closedByLateKill, true) }, RuleOneResponse},
		"run twice":                               {NonIdempotent, func(f *ledgerFixture) { f.attempt(0); f.attempt(1); f.respond(2, responseServed) }, RuleNoDuplicateEffect},
		"sent again, never ran": {NonIdempotent, func(f *ledgerFixture) {
			f.recordNotRun(f.request, f.attempt(0))
			f.attempt(1)
			f.respond(2, responseServed)
		}, none},
		"rejected, may have run": {NonIdempotent, func(f *ledgerFixture) {
			f.attempt(0)
			f.respond(time.Second, responseRejected)
		}, RuleNoDuplicateEffect},
		"repeated by key within its window": {IdempotentByKey, func(f *ledgerFixture) { f.attempt(0); f.attempt(time.Second); f.respond(time.Second, responseServed) }, none},
		"repeated by key after its window": {IdempotentByKey, func(f *ledgerFixture) {
			f.attempt(0)
			f.attempt(1200 * time.Millisecond)
			f.respond(1300*time.Millisecond, responseServed)
		}, RuleNoDuplicateEffect},
		"unknown": {Idempotent, func(f *ledgerFixture) {
			f.recordAttempt(2, f.now, "s-0")
			f.respond(time.Second, responseFailed)
		}, RuleRequestIntegrity},
	} {
		f := newLedgerFixture(c.semantics)
		c.history(f)
		f.checkResponses()
		var violated []Rule
		for _, v := range f.violations {
			violated = append(violated, v.Rule)
		}
		if c.want == none && len(violated) > 0 || c.want != none && !slices.Equal(violated, []Rule{c.want}) {
			t.Errorf("%s: got %v, want %q", name, f.violations, c.want)
		}
	}
}

// A response that a stall of the router delays is due stallRecoveryTime after the stall ends. Without that limit, a long stall would
// make any late response allowed.
func TestStalledResponseIsDueAfterStall(t *testing.T) {
	for respondedAfter, allowed := range map[time.Duration]bool{4200 * time.Millisecond: true, 4400 * time.Millisecond: false} {
		f := newLedgerFixture(Idempotent)
		f.stalls.add(stall{from: f.now.Add(time.Second), to: f.now.Add(4 * time.Second)})
		f.respond(respondedAfter, responseRejected)
		if f.checkResponses(); (len(f.violations) == 0) != allowed {
			t.Errorf("answered after %v: %v", respondedAfter, f.violations)
		}
	}
}
