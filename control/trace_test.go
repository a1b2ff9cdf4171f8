package control

import (
	"reflect"
	"testing"
)

// A trace tells which condition ended a choice, and what was believed of each server before it.
func TestTraceTellsWhy(t *testing.T) {
	for want, c := range map[string]struct {
		verb   Verb
		change func(r *Router, j *Job)
	}{
		"the fullest instance with room": {Send, func(r *Router, j *Job) { stands(r, 1, 0) }},
		"no copy stands or comes":        {Send, func(r *Router, j *Job) {}},
		"an execution is out":            {Nothing, func(r *Router, j *Job) { j.Executions = []Execution{{}} }},
		"it had all its executions": {PushBack, func(r *Router, j *Job) {
			j.Executions = []Execution{{Done: true}, {Done: true}, {Done: true}}
		}},
		"it can't end within its client's patience": {PushBack, func(r *Router, j *Job) { j.Patience = at + 1000 }},
		"an earlier execution may have run": {Kill, func(r *Router, j *Job) {
			r.told.Workloads[0].Effect = RunOnce
			j.Executions = []Execution{{Done: true, MayRun: true}}
		}},
		"it waits for a copy": {Hold, func(r *Router, j *Job) {
			for _, s := range r.servers {
				s.State = Draining
			}
		}},
	} {
		r, j := fleet(deployment(), 2), newJob(1)
		c.change(r, j)
		var got *Why
		r.Trace(&Trace{Placed: func(w Why) { got = &w }})
		p := r.Place(at, j)
		if got == nil || got.Ended != want || got.Placement.Verb != c.verb || p.Verb != c.verb || len(got.Servers) != 2 {
			t.Errorf("%s: got %+v, placed %+v", want, got, p)
		}
	}
}

func TestTraceTellsBeliefs(t *testing.T) {
	r := fleet(deployment(), 5)
	stands(r, 1, 1)
	r.servers[1].State = Draining
	r.servers[2].suspect, r.servers[2].trialAt = true, at+1
	r.servers[3].avoidUntil = at + 1
	r.servers[4].Born = at - 1
	r.servers[4].sent = make([]Micros, 0)
	var got Why
	r.Trace(&Trace{Placed: func(w Why) { got = w }})
	r.Place(at, newJob(1))
	for i, want := range []string{"", "drains or is gone", "is suspect, and no trial is due", "refused lately", "is cold, and its budget is used up"} {
		if b := got.Servers[i]; b.Barred != want || b.Here != (i == 0) {
			t.Errorf("server %d: got %+v, want %q", i+1, b, want)
		}
	}
	if b := got.Servers[0]; !b.Warm || b.Copies != 1 || b.Out != 1 || b.Slots < 2 {
		t.Errorf("got %+v", b)
	}
}

// A traced router decides and knows the same as one without.
func TestTraceChangesNothing(t *testing.T) {
	var states [2]*Snapshot
	var placed [2][]Placement
	for i := range states {
		r := fleet(deployment(), 3)
		if i == 1 {
			r.Trace(&Trace{Placed: func(Why) {}, Checked: func(Check) {}})
		}
		for n := range JobID(60) {
			j := newJob(n)
			j.Function = FunctionID(n % 3)
			placed[i] = append(placed[i], r.Place(at+Micros(n)*1000, j))
			if n%10 == 9 {
				r.Wait(at + Micros(n)*1000)
			}
		}
		states[i] = r.Snapshot()
	}
	if !reflect.DeepEqual(states[0], states[1]) || !reflect.DeepEqual(placed[0], placed[1]) {
		t.Error("the trace changed decisions or state")
	}
}

// BenchmarkPlace is one choice among 80 full copies; its cost must be the same as before there were traces.
func BenchmarkPlace(b *testing.B) {
	r := fleet(deployment(), 80)
	for i := range 80 {
		stands(r, i+1, 100)
	}
	j := newJob(1)
	j.Patience = at + 1<<50
	for i := Micros(0); b.Loop(); i++ {
		if p := r.Place(at+i%1000, j); p.Verb != Hold {
			b.Fatalf("got %+v", p)
		}
	}
}
