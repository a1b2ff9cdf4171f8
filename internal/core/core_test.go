package core

import (
	"fmt"
	"slices"
	"testing"

	"hollymast/control"
)

// scripted answers what its placements say for each job, and holds a job without one.
type scripted struct {
	placements map[control.JobID]control.Placement
	after      control.Placement
	upkeep     control.Upkeep
	heard      []string
}

func (s *scripted) Listed(control.Micros, control.ListKind, []control.Listing) {}
func (s *scripted) Rank(_ control.Micros, j *control.Job) control.Micros       { return j.Patience }
func (s *scripted) Left(_ control.Micros, j *control.Job) {
	s.heard = append(s.heard, fmt.Sprint("left ", j.ID))
}
func (s *scripted) Loaded(control.Micros, control.ServerID, control.FunctionID, control.Result, control.Micros, int) {
}
func (s *scripted) Wait(control.Micros) control.Upkeep { return s.upkeep }
func (s *scripted) Place(now control.Micros, j *control.Job) control.Placement {
	s.heard = append(s.heard, fmt.Sprint("place ", j.ID))
	p, ok := s.placements[j.ID]
	if !ok {
		return control.Placement{Verb: control.Hold, Rank: j.Patience, Again: now + 50}
	}
	return s.sent(j, p)
}
func (s *scripted) After(_ control.Micros, j *control.Job, o control.Outcome) control.Placement {
	s.heard = append(s.heard, fmt.Sprint("after ", j.ID, " over ", o.JobOver))
	j.Executions[o.Execution].Done = true
	return s.sent(j, s.after)
}
func (s *scripted) sent(j *control.Job, p control.Placement) control.Placement {
	if p.Verb == control.Send {
		j.Executions = append(j.Executions, control.Execution{})
	}
	return p
}

// written is an outlet that writes down what is asked of it.
type written struct{ asked []string }

func (w *written) put(format string, args ...any) {
	w.asked = append(w.asked, fmt.Sprintf(format, args...))
}
func (w *written) Send(j *control.Job, no control.ExecutionID, to control.ServerID, _ control.Micros) {
	w.put("send %d.%d to %d", j.ID, no, to)
}
func (w *written) PushBack(id control.JobID, stay control.Micros) {
	w.put("push back %d for %d", id, stay)
}
func (w *written) Kill(id control.JobID)                            { w.put("kill %d", id) }
func (w *written) CallOff(id control.JobID, no control.ExecutionID) { w.put("call off %d.%d", id, no) }
func (w *written) Order(j *control.Job, o control.Order)            { w.put("order for %d", j.ID) }
func (w *written) Subscribe()                                       { w.put("subscribe") }
func (w *written) Note(text string)                                 { w.put("note %s", text) }
func (w *written) Alarm(at control.Micros)                          { w.put("alarm %d", at) }
func (w *written) taken() (asked []string)                          { asked, w.asked = w.asked, nil; return }

func newCore(s *scripted) (*Core, *written) {
	w := &written{}
	return New(s, w), w
}

func TestTurnAsksInOrder(t *testing.T) {
	s := &scripted{placements: map[control.JobID]control.Placement{
		1: {Verb: control.Send, Server: 7, Orders: []control.Order{{}}}, 2: {Verb: control.PushBack, StayAway: 9}, 3: {Verb: control.Kill}},
		upkeep: control.Upkeep{Next: 500, Recalls: []control.Recall{{Job: 8, Execution: 1}}, Subscribe: true, Notes: []string{"n"}}}
	c, w := newCore(s)
	for id, patience := range map[control.JobID]control.Micros{1: 30, 2: 20, 3: 10, 4: 40} {
		if err := c.Arrived(100, control.Job{ID: id, Patience: patience}); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Arrived(100, control.Job{ID: 4}); err == nil {
		t.Error("an id came twice")
	}
	c.Turn(100)
	want := []string{"call off 8.1", "subscribe", "note n", "kill 3", "push back 2 for 9", "order for 1", "send 1.0 to 7", "alarm 150"}
	if got := w.taken(); !slices.Equal(got, want) {
		t.Errorf("got %q", got)
	}
	c.Turn(120) // nothing is due: the alarm stands
	if got := w.taken(); len(got) != 0 || c.Jobs() != 2 || c.Held() != 1 {
		t.Errorf("got %q, %d jobs, %d held", got, c.Jobs(), c.Held())
	}
}

// A job that is over keeps what is out in hand until its outcome came, and is asked about no more.
func TestLateNews(t *testing.T) {
	s := &scripted{placements: map[control.JobID]control.Placement{1: {Verb: control.Send}}, after: control.Placement{Verb: control.Kill}}
	c, w := newCore(s)
	c.Arrived(1, control.Job{ID: 1})
	c.Turn(1)
	c.Left(2, 1)
	c.Left(2, 1)
	if !c.jobs[1].over || c.Jobs() != 1 {
		t.Errorf("over %t, %d jobs", c.jobs[1].over, c.Jobs())
	}
	w.taken()
	for _, id := range []control.JobID{1, 1, 9} { // an answer, the same again, one to a job that there is not
		if c.Answered(3, id, control.Outcome{}) {
			t.Errorf("late news of job %d counted for an open job", id)
		}
	}
	want := []string{"place 1", "left 1", "after 1 over true"}
	if got := w.taken(); len(got) != 0 || c.Jobs() != 0 || !slices.Equal(s.heard, want) {
		t.Errorf("asked %q, %d jobs, heard %q", got, c.Jobs(), s.heard)
	}
}
