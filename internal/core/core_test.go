package core

import (
	"fmt"
	"slices"
	"testing"

	"hollymast/control"
)

// scripted answers what its placements say for each job, and holds a job without one.
type scripted struct {
	placements map[control.RequestID]control.Decision
	after      control.Decision
	upkeep     control.Maintenance
	heard      []string
}

func (s *scripted) UpdateEndpoints(control.Micros, control.UpdateKind, []control.Endpoint) {}
func (s *scripted) Rank(_ control.Micros, j *control.Request) control.Micros               { return j.Deadline }
func (s *scripted) Cancel(_ control.Micros, j *control.Request) {
	s.heard = append(s.heard, fmt.Sprint("left ", j.ID))
}
func (s *scripted) HandleLoadResult(control.Micros, control.ServerID, control.FunctionID, control.Result, control.Micros, int) {
}
func (s *scripted) Maintain(control.Micros) control.Maintenance { return s.upkeep }
func (s *scripted) Route(now control.Micros, j *control.Request) control.Decision {
	s.heard = append(s.heard, fmt.Sprint("place ", j.ID))
	p, ok := s.placements[j.ID]
	if !ok {
		return control.Decision{Action: control.Hold, Rank: j.Deadline, RecheckAt: now + 50}
	}
	return s.sent(j, p)
}
func (s *scripted) HandleOutcome(_ control.Micros, j *control.Request, o control.Outcome) control.Decision {
	s.heard = append(s.heard, fmt.Sprint("after ", j.ID, " over ", o.RequestDone))
	j.Attempts[o.Attempt].Done = true
	return s.sent(j, s.after)
}
func (s *scripted) sent(j *control.Request, p control.Decision) control.Decision {
	if p.Action == control.Forward {
		j.Attempts = append(j.Attempts, control.Attempt{})
	}
	return p
}

// written is an outlet that writes down what is asked of it.
type written struct{ asked []string }

func (w *written) put(format string, args ...any) {
	w.asked = append(w.asked, fmt.Sprintf(format, args...))
}
func (w *written) Forward(j *control.Request, no control.AttemptID, to control.ServerID, _ control.Micros) {
	w.put("send %d.%d to %d", j.ID, no, to)
}
func (w *written) Reject(id control.RequestID, stay control.Micros) {
	w.put("push back %d for %d", id, stay)
}
func (w *written) Fail(id control.RequestID) { w.put("kill %d", id) }
func (w *written) CancelAttempt(id control.RequestID, no control.AttemptID) {
	w.put("call off %d.%d", id, no)
}
func (w *written) Load(j *control.Request, o control.LoadCommand) { w.put("order for %d", j.ID) }
func (w *written) SubscribeEndpoints()                            { w.put("subscribe") }
func (w *written) Log(text string)                                { w.put("note %s", text) }
func (w *written) SetTimer(at control.Micros)                     { w.put("alarm %d", at) }
func (w *written) taken() (asked []string)                        { asked, w.asked = w.asked, nil; return }

func newCore(s *scripted) (*Core, *written) {
	w := &written{}
	return New(s, w), w
}

func TestTurnAsksInOrder(t *testing.T) {
	s := &scripted{placements: map[control.RequestID]control.Decision{
		1: {Action: control.Forward, Server: 7, LoadCommands: []control.LoadCommand{{}}}, 2: {Action: control.Reject, RetryAfter: 9}, 3: {Action: control.Fail}},
		upkeep: control.Maintenance{Next: 500, Cancellations: []control.Cancellation{{Request: 8, Attempt: 1}}, SubscribeEndpoints: true, LogLines: []string{"n"}}}
	c, w := newCore(s)
	for id, patience := range map[control.RequestID]control.Micros{1: 30, 2: 20, 3: 10, 4: 40} {
		if err := c.Add(100, control.Request{ID: id, Deadline: patience}); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Add(100, control.Request{ID: 4}); err == nil {
		t.Error("an id came twice")
	}
	c.Step(100)
	want := []string{"call off 8.1", "subscribe", "note n", "kill 3", "push back 2 for 9", "order for 1", "send 1.0 to 7", "alarm 150"}
	if got := w.taken(); !slices.Equal(got, want) {
		t.Errorf("got %q", got)
	}
	c.Step(120) // nothing is due: the alarm stands
	if got := w.taken(); len(got) != 0 || c.Requests() != 2 || c.Held() != 1 {
		t.Errorf("got %q, %d jobs, %d held", got, c.Requests(), c.Held())
	}
}

// A job that is over keeps what is out in hand until its outcome came, and is asked about no more.
func TestLateNews(t *testing.T) {
	s := &scripted{placements: map[control.RequestID]control.Decision{1: {Action: control.Forward}}, after: control.Decision{Action: control.Fail}}
	c, w := newCore(s)
	c.Add(1, control.Request{ID: 1})
	c.Step(1)
	c.Cancel(2, 1)
	c.Cancel(2, 1)
	if !c.requests[1].done || c.Requests() != 1 {
		t.Errorf("over %t, %d jobs", c.requests[1].done, c.Requests())
	}
	w.taken()
	for _, id := range []control.RequestID{1, 1, 9} { // an answer, the same again, one to a job that there is not
		if c.HandleOutcome(3, id, control.Outcome{}) {
			t.Errorf("late news of job %d counted for an open job", id)
		}
	}
	want := []string{"place 1", "left 1", "after 1 over true"}
	if got := w.taken(); len(got) != 0 || c.Requests() != 0 || !slices.Equal(s.heard, want) {
		t.Errorf("asked %q, %d jobs, heard %q", got, c.Requests(), s.heard)
	}
}
