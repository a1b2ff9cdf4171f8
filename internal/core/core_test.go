package core

import (
	"fmt"
	"slices"
	"testing"

	"hollymast/control"
)

// scriptedPolicy returns the decision given for each request, and holds a request without one.
type scriptedPolicy struct {
	decisions   map[control.RequestID]control.Decision
	after       control.Decision
	maintenance control.Maintenance
	calls       []string
}

func (s *scriptedPolicy) UpdateEndpoints(control.Micros, control.UpdateKind, []control.Endpoint) {}
func (s *scriptedPolicy) Rank(_ control.Micros, r *control.Request) control.Micros               { return r.Deadline }
func (s *scriptedPolicy) Cancel(_ control.Micros, r *control.Request) {
	s.calls = append(s.calls, fmt.Sprint("left ", r.ID))
}
func (s *scriptedPolicy) HandleLoadResult(control.Micros, control.ServerID, control.FunctionID, control.Result,
	control.Micros, int) {
}
func (s *scriptedPolicy) Maintain(control.Micros) control.Maintenance { return s.maintenance }
func (s *scriptedPolicy) Route(now control.Micros, r *control.Request) control.Decision {
	s.calls = append(s.calls, fmt.Sprint("place ", r.ID))
	p, ok := s.decisions[r.ID]
	if !ok {
		return control.Decision{Action: control.Hold, Rank: r.Deadline, RecheckAt: now + 50}
	}
	return s.recordAttempt(r, p)
}
func (s *scriptedPolicy) HandleOutcome(_ control.Micros, r *control.Request, o control.Outcome) control.Decision {
	s.calls = append(s.calls, fmt.Sprint("after ", r.ID, " over ", o.RequestDone))
	r.Attempts[o.Attempt].Done = true
	return s.recordAttempt(r, s.after)
}
func (s *scriptedPolicy) recordAttempt(r *control.Request, p control.Decision) control.Decision {
	if p.Action == control.Forward {
		r.Attempts = append(r.Attempts, control.Attempt{})
	}
	return p
}

// callLog is an executor that records its calls.
type callLog struct{ calls []string }

func (w *callLog) record(format string, args ...any) {
	w.calls = append(w.calls, fmt.Sprintf(format, args...))
}
func (w *callLog) Forward(r *control.Request, attempt control.AttemptID, to control.ServerID, _ control.Micros) {
	w.record("send %d.%d to %d", r.ID, attempt, to)
}
func (w *callLog) Reject(id control.RequestID, stay control.Micros) {
	w.record("push back %d for %d", id, stay)
}
func (w *callLog) Fail(id control.RequestID) { w.record("kill %d", id) }
func (w *callLog) CancelAttempt(id control.RequestID, attempt control.AttemptID) {
	w.record("call off %d.%d", id, attempt)
}
func (w *callLog) Load(r *control.Request, o control.LoadCommand) { w.record("order for %d", r.ID) }
func (w *callLog) SubscribeEndpoints()                            { w.record("subscribe") }
func (w *callLog) LogServerEvent(event control.ServerEvent)       { w.record("note %v", event) }
func (w *callLog) SetTimer(at control.Micros)                     { w.record("alarm %d", at) }
func (w *callLog) takeCalls() (asked []string)                    { asked, w.calls = w.calls, nil; return }

func newCore(s *scriptedPolicy) (*Core, *callLog) {
	w := &callLog{}
	return New(s, w), w
}

func TestStepRoutesByRank(t *testing.T) {
	s := &scriptedPolicy{decisions: map[control.RequestID]control.Decision{
		1: {Action: control.Forward, Server: 7, LoadCommands: []control.LoadCommand{{}}},
		2: {Action: control.Reject, RetryAfter: 9},
		3: {Action: control.Fail}},
		maintenance: control.Maintenance{Next: 500, Cancellations: []control.Cancellation{{Request: 8, Attempt: 1}},
			SubscribeEndpoints: true, ServerEvents: []control.ServerEvent{{Server: 1, Kind: control.ServerReadmitted}}}}
	c, w := newCore(s)
	for id, deadline := range map[control.RequestID]control.Micros{1: 30, 2: 20, 3: 10, 4: 40} {
		if err := c.Add(100, control.Request{ID: id, Deadline: deadline}); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Add(100, control.Request{ID: 4}); err == nil {
		t.Error("an id came twice")
	}
	c.Step(100)
	want := []string{"call off 8.1", "subscribe", "note server 1 answers again", "kill 3", "push back 2 for 9", "order for 1",
		"send 1.0 to 7", "alarm 150"}
	if got := w.takeCalls(); !slices.Equal(got, want) {
		t.Errorf("got %q", got)
	}
	c.Step(120) // nothing is due: the timer stays
	if got := w.takeCalls(); len(got) != 0 || c.Requests() != 2 || c.Held() != 1 {
		t.Errorf("got %q, %d jobs, %d held", got, c.Requests(), c.Held())
	}
}

// A request that is done is kept until the outcome of its attempts in flight, and the policy is not asked again.
func TestLateOutcome(t *testing.T) {
	s := &scriptedPolicy{decisions: map[control.RequestID]control.Decision{1: {Action: control.Forward}},
		after: control.Decision{Action: control.Fail}}
	c, w := newCore(s)
	c.Add(1, control.Request{ID: 1})
	c.Step(1)
	c.Cancel(2, 1)
	c.Cancel(2, 1)
	if !c.requests[1].done || c.Requests() != 1 {
		t.Errorf("over %t, %d jobs", c.requests[1].done, c.Requests())
	}
	w.takeCalls()
	for _, id := range []control.RequestID{1, 1, 9} { // an outcome, the same again, one of an unknown request
		if c.HandleOutcome(3, id, control.Outcome{}) {
			t.Errorf("late news of job %d counted for an open job", id)
		}
	}
	want := []string{"place 1", "left 1", "after 1 over true"}
	if got := w.takeCalls(); len(got) != 0 || c.Requests() != 0 || !slices.Equal(s.calls, want) {
		t.Errorf("asked %q, %d jobs, heard %q", got, c.Requests(), s.calls)
	}
}
