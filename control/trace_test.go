package control

import (
	"reflect"
	"testing"
)

// A trace gives the condition that decided, and a view of each server.
func TestTraceGivesReason(t *testing.T) {
	for want, c := range map[Reason]struct {
		action Action
		change func(r *Balancer, req *Request)
	}{
		"the fullest instance with room":  {Forward, func(r *Balancer, req *Request) { stands(r, 1, 0) }},
		"no replica is loaded or loading": {Forward, func(r *Balancer, req *Request) {}},
		"an attempt is in flight":         {NoAction, func(r *Balancer, req *Request) { req.Attempts = []Attempt{{}} }},
		"it had all its attempts": {Reject, func(r *Balancer, req *Request) {
			req.Attempts = []Attempt{{Done: true}, {Done: true}, {Done: true}}
		}},
		"it can't end before its deadline": {Reject, func(r *Balancer, req *Request) { req.Deadline = at + 1000 }},
		"an earlier attempt may have run": {Fail, func(r *Balancer, req *Request) {
			r.deployment.Classes[0].Idempotency = NonIdempotent
			req.Attempts = []Attempt{{Done: true, MayHaveRun: true}}
		}},
		"it waits for a replica": {Hold, func(r *Balancer, req *Request) {
			for s := range r.servers.all {
				s.State = Draining
			}
		}},
	} {
		r, req := fleet(deployment(), 2), newJob(1)
		c.change(r, req)
		var got *Explanation
		r.SetTrace(&Trace{OnDecision: func(e Explanation) { got = &e }})
		d := r.Route(at, req)
		if got == nil || got.Reason != want || got.Decision.Action != c.action || d.Action != c.action ||
			len(got.Servers) != 2 {
			t.Errorf("%s: got %+v, placed %+v", want, got, d)
		}
	}
}

func TestTraceGivesServerViews(t *testing.T) {
	r := fleet(deployment(), 5)
	stands(r, 1, 1)
	r.servers.at(1).State = Draining
	r.servers.at(2).ejected, r.servers.at(2).probeAt = true, at+1
	r.servers.at(3).backoffUntil = at + 1
	r.servers.at(4).StartedAt = at - 1
	r.servers.at(4).slowStartSends = []Micros{at - 1} // all that it gets where nothing has answered
	var got Explanation
	r.SetTrace(&Trace{OnDecision: func(e Explanation) { got = e }})
	r.Route(at, newJob(1))
	for i, want := range []UnusableReason{
		"",
		"draining or removed",
		"ejected, and no probe request is due",
		"rejected a request or failed lately",
		"in slow start, and its budget is used up",
	} {
		if view := got.Servers[i]; view.Unusable != want || view.HasInstance != (i == 0) {
			t.Errorf("server %d: got %+v, want %q", i+1, view, want)
		}
	}
	if view := got.Servers[0]; !view.Loaded || view.Replicas != 1 || view.InFlight != 1 || view.Slots < 2 {
		t.Errorf("got %+v", view)
	}
}

// A balancer with a trace makes the same decisions and has the same state as one without.
func TestTraceChangesNothing(t *testing.T) {
	var states [2]*Snapshot
	var decisions [2][]Decision
	for i := range states {
		r := fleet(deployment(), 3)
		if i == 1 {
			r.SetTrace(&Trace{OnDecision: func(Explanation) {}, OnReplicaCheck: func(ReplicaCheck) {}})
		}
		for n := range RequestID(60) {
			req := newJob(n)
			req.Function = FunctionID(n % 3)
			decisions[i] = append(decisions[i], r.Route(at+Micros(n)*1000, req))
			if n%10 == 9 {
				r.Maintain(at + Micros(n)*1000)
			}
		}
		states[i] = r.Snapshot()
	}
	if !reflect.DeepEqual(states[0], states[1]) || !reflect.DeepEqual(decisions[0], decisions[1]) {
		t.Error("the trace changed decisions or state")
	}
}

// BenchmarkRoute measures one decision among 80 full replicas, without a trace. Its cost must be the same as before there
// were traces.
func BenchmarkRoute(b *testing.B) {
	r := fleet(deployment(), 80)
	for i := range 80 {
		stands(r, i+1, 100)
	}
	req := newJob(1)
	req.Deadline = at + 1<<50
	for i := Micros(0); b.Loop(); i++ {
		if d := r.Route(at+i%1000, req); d.Action != Hold {
			b.Fatalf("got %+v", d)
		}
	}
}
