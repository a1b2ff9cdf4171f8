package core

import (
	"fmt"
	"slices"
	"testing"

	"hollymast/control"
)

// scriptedPolicy returns the decision configured for a request, and holds requests that have none.
type scriptedPolicy struct {
	decisions   map[control.RequestID]control.Decision
	onOutcome   control.Decision
	maintenance control.Maintenance
	calls       []string
}

func (s *scriptedPolicy) UpdateEndpoints(control.Micros, control.UpdateKind, []control.Endpoint) {}
func (s *scriptedPolicy) Rank(_ control.Micros, r *control.Request) control.Micros               { return r.Deadline }
func (s *scriptedPolicy) Cancel(_ control.Micros, r *control.Request) {
	s.calls = append(s.calls, fmt.Sprint("cancel ", r.ID))
}
func (s *scriptedPolicy) HandleLoadResult(control.Micros, control.ServerID, control.FunctionID, control.Result,
	control.Micros, int) {
}
func (s *scriptedPolicy) Maintain(control.Micros) control.Maintenance { return s.maintenance }
func (s *scriptedPolicy) Route(now control.Micros, r *control.Request) control.Decision {
	s.calls = append(s.calls, fmt.Sprint("route ", r.ID))
	decision, ok := s.decisions[r.ID]
	if !ok {
		return control.Decision{Action: control.Hold, Rank: r.Deadline, RecheckAt: now + 50}
	}
	return s.recordAttempt(r, decision)
}
func (s *scriptedPolicy) HandleOutcome(_ control.Micros, r *control.Request, o control.Outcome) control.Decision {
	s.calls = append(s.calls, fmt.Sprint("outcome ", r.ID, " done ", o.RequestDone))
	r.Attempts[o.Attempt].Done = true
	return s.recordAttempt(r, s.onOutcome)
}
func (s *scriptedPolicy) recordAttempt(r *control.Request, decision control.Decision) control.Decision {
	if decision.Action == control.Forward {
		r.Attempts = append(r.Attempts, control.Attempt{})
	}
	return decision
}

// callLog is an executor that records its calls.
type callLog struct{ calls []string }

func (l *callLog) record(format string, args ...any) {
	l.calls = append(l.calls, fmt.Sprintf(format, args...))
}
func (l *callLog) Forward(r *control.Request, attempt control.AttemptID, to control.ServerID, _ control.Micros) {
	l.record("forward %d.%d to %d", r.ID, attempt, to)
}
func (l *callLog) Reject(id control.RequestID, retryAfter control.Micros, _ control.Reason) {
	l.record("reject %d for %d", id, retryAfter)
}
func (l *callLog) Fail(id control.RequestID, _ control.Reason) { l.record("fail %d", id) }
func (l *callLog) CancelAttempt(id control.RequestID, attempt control.AttemptID) {
	l.record("cancel attempt %d.%d", id, attempt)
}
func (l *callLog) Load(r *control.Request, o control.LoadCommand) { l.record("load for %d", r.ID) }
func (l *callLog) SubscribeEndpoints()                            { l.record("subscribe") }
func (l *callLog) LogServerEvent(event control.ServerEvent)       { l.record("log %v", event) }
func (l *callLog) SetTimer(at control.Micros)                     { l.record("timer %d", at) }
func (l *callLog) takeCalls() (calls []string)                    { calls, l.calls = l.calls, nil; return }

func newCore(policy *scriptedPolicy) (*Core, *callLog) {
	log := &callLog{}
	return New(policy, log), log
}

func TestStepRoutesByRank(t *testing.T) {
	policy := &scriptedPolicy{decisions: map[control.RequestID]control.Decision{
		1: {Action: control.Forward, Server: 7, LoadCommands: []control.LoadCommand{{}}},
		2: {Action: control.Reject, RetryAfter: 9},
		3: {Action: control.Fail}},
		maintenance: control.Maintenance{Next: 500, Cancellations: []control.Cancellation{{Request: 8, Attempt: 1}},
			SubscribeEndpoints: true, ServerEvents: []control.ServerEvent{{Server: 1, Kind: control.ServerReadmitted}}}}
	c, log := newCore(policy)
	for id, deadline := range map[control.RequestID]control.Micros{1: 30, 2: 20, 3: 10, 4: 40} {
		if err := c.Add(100, control.Request{ID: id, Deadline: deadline}); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Add(100, control.Request{ID: 4}); err == nil {
		t.Error("a duplicate id was accepted")
	}
	c.Step(100)
	want := []string{"cancel attempt 8.1", "subscribe", "log server 1 answers again", "fail 3", "reject 2 for 9", "load for 1",
		"forward 1.0 to 7", "timer 150"}
	if got := log.takeCalls(); !slices.Equal(got, want) {
		t.Errorf("got %q", got)
	}
	c.Step(120) // nothing is due, so the timer is not set again
	if got := log.takeCalls(); len(got) != 0 || c.Requests() != 2 || c.Held() != 1 {
		t.Errorf("got %q, %d requests, %d held", got, c.Requests(), c.Held())
	}
}

// A request that has its final response is kept until its attempts in flight have ended, and the policy is not asked
// about it again.
func TestLateOutcome(t *testing.T) {
	policy := &scriptedPolicy{decisions: map[control.RequestID]control.Decision{1: {Action: control.Forward}},
		onOutcome: control.Decision{Action: control.Fail}}
	c, log := newCore(policy)
	c.Add(1, control.Request{ID: 1})
	c.Step(1)
	c.Cancel(2, 1)
	c.Cancel(2, 1)
	if !c.requests[1].done || c.Requests() != 1 {
		t.Errorf("done %t, %d requests", c.requests[1].done, c.Requests())
	}
	log.takeCalls()
	for _, id := range []control.RequestID{1, 1, 9} { // an outcome, its duplicate, and one of an unknown request
		if c.HandleOutcome(3, id, control.Outcome{}) {
			t.Errorf("the late outcome of request %d was accepted as if it had no final response", id)
		}
	}
	want := []string{"route 1", "cancel 1", "outcome 1 done true"}
	if got := log.takeCalls(); len(got) != 0 || c.Requests() != 0 || !slices.Equal(policy.calls, want) {
		t.Errorf("executor %q, %d requests, policy %q", got, c.Requests(), policy.calls)
	}
}
