package control

import (
	"reflect"
	"testing"
)

// A trace tells which condition ended a choice, and what was believed of each server before it.
func TestTraceTellsWhy(t *testing.T) {
	for want, c := range map[string]struct {
		verb   Action
		change func(r *Balancer, j *Request)
	}{
		"the fullest instance with room": {Forward, func(r *Balancer, j *Request) { stands(r, 1, 0) }},
		"no copy stands or comes":        {Forward, func(r *Balancer, j *Request) {}},
		"an execution is out":            {NoAction, func(r *Balancer, j *Request) { j.Attempts = []Attempt{{}} }},
		"it had all its executions": {Reject, func(r *Balancer, j *Request) {
			j.Attempts = []Attempt{{Done: true}, {Done: true}, {Done: true}}
		}},
		"it can't end within its client's patience": {Reject, func(r *Balancer, j *Request) { j.Deadline = at + 1000 }},
		"an earlier execution may have run": {Fail, func(r *Balancer, j *Request) {
			r.deployment.Classes[0].Effect = NonIdempotent
			j.Attempts = []Attempt{{Done: true, MayHaveRun: true}}
		}},
		"it waits for a copy": {Hold, func(r *Balancer, j *Request) {
			for _, s := range r.servers {
				s.State = Draining
			}
		}},
	} {
		r, j := fleet(deployment(), 2), newJob(1)
		c.change(r, j)
		var got *Explanation
		r.SetTrace(&Trace{OnDecision: func(w Explanation) { got = &w }})
		p := r.Route(at, j)
		if got == nil || got.Reason != want || got.Decision.Action != c.verb || p.Action != c.verb || len(got.Servers) != 2 {
			t.Errorf("%s: got %+v, placed %+v", want, got, p)
		}
	}
}

func TestTraceTellsBeliefs(t *testing.T) {
	r := fleet(deployment(), 5)
	stands(r, 1, 1)
	r.servers[1].State = Draining
	r.servers[2].ejected, r.servers[2].probeAt = true, at+1
	r.servers[3].backoffUntil = at + 1
	r.servers[4].StartedAt = at - 1
	r.servers[4].slowStartSends = make([]Micros, 0)
	var got Explanation
	r.SetTrace(&Trace{OnDecision: func(w Explanation) { got = w }})
	r.Route(at, newJob(1))
	for i, want := range []string{"", "drains or is gone", "is suspect, and no trial is due", "refused lately", "is cold, and its budget is used up"} {
		if b := got.Servers[i]; b.Unusable != want || b.Known != (i == 0) {
			t.Errorf("server %d: got %+v, want %q", i+1, b, want)
		}
	}
	if b := got.Servers[0]; !b.Loaded || b.Replicas != 1 || b.InFlight != 1 || b.Slots < 2 {
		t.Errorf("got %+v", b)
	}
}

// A traced router decides and knows the same as one without.
func TestTraceChangesNothing(t *testing.T) {
	var states [2]*Snapshot
	var placed [2][]Decision
	for i := range states {
		r := fleet(deployment(), 3)
		if i == 1 {
			r.SetTrace(&Trace{OnDecision: func(Explanation) {}, OnReplicaCheck: func(ReplicaCheck) {}})
		}
		for n := range RequestID(60) {
			j := newJob(n)
			j.Function = FunctionID(n % 3)
			placed[i] = append(placed[i], r.Route(at+Micros(n)*1000, j))
			if n%10 == 9 {
				r.Maintain(at + Micros(n)*1000)
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
	j.Deadline = at + 1<<50
	for i := Micros(0); b.Loop(); i++ {
		if p := r.Route(at+i%1000, j); p.Action != Hold {
			b.Fatalf("got %+v", p)
		}
	}
}
