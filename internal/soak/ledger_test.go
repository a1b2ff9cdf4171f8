package soak

import (
	"slices"
	"testing"
	"time"
)

// judged is a ledger with one request, which a test makes history for.
type judged struct {
	*ledger
	request *requestRecord
	now     time.Time
}

// newJudged returns a ledger with a request of a class, sent now.
func newJudged(semantics Semantics) *judged {
	class := &Class{Name: "class-a", Semantics: semantics, Deadline: 2 * time.Second, Window: time.Second}
	l := newLedger(&Scenario{}, &lagMeter{})
	now := l.startedAt
	r := &requestRecord{requestDraft: requestDraft{class: class}, id: 1, sentAt: now, deadline: now.Add(class.Deadline)}
	l.add(r)
	return &judged{l, r, now}
}

// attempt has a server get the request after a time.
func (j *judged) attempt(after time.Duration) int {
	_, attempt := j.noteAttempt(j.request.id, j.now.Add(after), "s-0")
	return attempt
}

// answer has the client get an answer after a time.
func (j *judged) answer(after time.Duration, kind answerKind) {
	j.noteAnswer(j.request, j.now.Add(after), kind)
}

// closed has the client's connection close after a time.
func (j *judged) closed(after time.Duration, by closedBy, alone bool) {
	j.noteClosed(j.request, j.now.Add(after), by, alone)
}

// A run falls for each kind of break, and for nothing that the platform allows.
func TestLedgerJudges(t *testing.T) {
	const none Rule = ""
	for name, c := range map[string]struct {
		semantics Semantics
		happens   func(j *judged)
		want      Rule
	}{
		"served":               {Idempotent, func(j *judged) { j.attempt(0); j.answer(time.Second, answeredServed) }, none},
		"never answered":       {Idempotent, func(j *judged) { j.attempt(0) }, RuleOneResponse},
		"answered twice":       {Idempotent, func(j *judged) { j.attempt(0); j.answer(1, answeredServed); j.answer(2, answeredServed) }, RuleOneResponse},
		"answered late":        {Idempotent, func(j *judged) { j.answer(2600*time.Millisecond, answeredRejected) }, RuleOneResponse},
		"answered a bit late":  {Idempotent, func(j *judged) { j.answer(2400*time.Millisecond, answeredRejected) }, none},
		"served by nobody":     {Idempotent, func(j *judged) { j.answer(time.Second, answeredServed) }, RuleRequestIntegrity},
		"sent after an answer": {Idempotent, func(j *judged) { j.answer(0, answeredRejected); j.attempt(100 * time.Millisecond) }, RuleOneResponse},
		"sent after its client had gone": {Idempotent, func(j *judged) {
			j.noteDeparted(j.request, j.now)
			j.attempt(200 * time.Millisecond)
		}, RuleOneResponse},
		"closed under it":       {Idempotent, func(j *judged) { j.closed(time.Second, closedByRouter, true) }, RuleOneResponse},
		"crossed a close":       {Idempotent, func(j *judged) { j.closed(20*time.Millisecond, closedByStop, true) }, none},
		"closed, others open":   {Idempotent, func(j *judged) { j.closed(20*time.Millisecond, closedByStop, false) }, RuleOneResponse},
		"killed outright":       {Idempotent, func(j *judged) { j.closed(time.Second, closedByKill, false) }, none},
		"late, killed":          {Idempotent, func(j *judged) { j.closed(time.Second, closedLateStop, true) }, RuleOneResponse},
		"run twice":             {NonIdempotent, func(j *judged) { j.attempt(0); j.attempt(1); j.answer(2, answeredServed) }, RuleNoDuplicateEffect},
		"sent again, never ran": {NonIdempotent, func(j *judged) { j.noteNotRun(j.request, j.attempt(0)); j.attempt(1); j.answer(2, answeredServed) }, none},
		"rejected, may have run": {NonIdempotent, func(j *judged) {
			j.attempt(0)
			j.answer(time.Second, answeredRejected)
		}, RuleNoDuplicateEffect},
		"by key, in its window": {IdempotentByKey, func(j *judged) { j.attempt(0); j.attempt(time.Second); j.answer(time.Second, answeredServed) }, none},
		"by key, after its window": {IdempotentByKey, func(j *judged) {
			j.attempt(0)
			j.attempt(1200 * time.Millisecond)
			j.answer(1300*time.Millisecond, answeredServed)
		}, RuleNoDuplicateEffect},
		"unknown": {Idempotent, func(j *judged) {
			j.noteAttempt(2, j.now, "s-0")
			j.answer(time.Second, answeredFailed)
		}, RuleRequestIntegrity},
	} {
		j := newJudged(c.semantics)
		c.happens(j)
		j.judgeAnswers()
		var broken []Rule
		for _, b := range j.breaks {
			broken = append(broken, b.Rule)
		}
		if c.want == none && len(broken) > 0 || c.want != none && !slices.Equal(broken, []Rule{c.want}) {
			t.Errorf("%s: got %v, want %q", name, j.breaks, c.want)
		}
	}
}

// What a stall of the router keeps it from answering is due soon after, and no longer excused by the stall's length.
func TestStallExcusesUntilItsEnd(t *testing.T) {
	for answered, passed := range map[time.Duration]bool{4200 * time.Millisecond: true, 4400 * time.Millisecond: false} {
		j := newJudged(Idempotent)
		j.stalls.add(stall{from: j.now.Add(time.Second), to: j.now.Add(4 * time.Second)})
		j.answer(answered, answeredRejected)
		if j.judgeAnswers(); (len(j.breaks) == 0) != passed {
			t.Errorf("answered after %v: %v", answered, j.breaks)
		}
	}
}
