package control

import (
	"reflect"
	"testing"
)

// A trace reports the condition that determined the decision, and a view of each server.
func TestTraceGivesReason(t *testing.T) {
	for want, c := range map[Reason]struct {
		action Action
		change func(b *Balancer, req *Request)
	}{
		"the fullest instance with room":  {Forward, func(b *Balancer, req *Request) { addReplica(b, 1, 0) }},
		"no replica is loaded or loading": {Forward, func(b *Balancer, req *Request) {}},
		"an attempt is in flight":         {NoAction, func(b *Balancer, req *Request) { req.Attempts = []Attempt{{}} }},
		"it had all its attempts": {Reject, func(b *Balancer, req *Request) {
			req.Attempts = []Attempt{{Done: true}, {Done: true}, {Done: true}}
		}},
		"it can't end before its deadline": {Reject, func(b *Balancer, req *Request) { req.Deadline = testNow + 1000 }},
		"an earlier attempt may have run": {Fail, func(b *Balancer, req *Request) {
			b.deployment.Classes[0].Idempotency = NonIdempotent
			req.Attempts = []Attempt{{Done: true, MayHaveRun: true}}
		}},
		"it waits for a replica": {Hold, func(b *Balancer, req *Request) {
			for s := range b.servers.all {
				s.State = Draining
			}
		}},
	} {
		b, req := newTestBalancer(testDeployment(), 2), newRequest(1)
		c.change(b, req)
		var got *Explanation
		b.SetTrace(&Trace{OnDecision: func(e Explanation) { got = &e }})
		d := b.Route(testNow, req)
		if got == nil || got.Reason != want || got.Decision.Action != c.action || d.Action != c.action ||
			len(got.Servers) != 2 {
			t.Errorf("%s: got %+v, decision %+v", want, got, d)
		}
	}
}

func TestTraceGivesServerViews(t *testing.T) {
	b := newTestBalancer(testDeployment(), 5)
	addReplica(b, 1, 1)
	b.servers.at(1).State = Draining
	b.servers.at(2).ejected, b.servers.at(2).probeAt = true, testNow+1
	b.servers.at(3).backoffUntil = testNow + 1
	b.servers.at(4).StartedAt = testNow - 1
	b.servers.at(4).slowStartSends = []Micros{testNow - 1} // its whole budget, as no server has answered
	var got Explanation
	b.SetTrace(&Trace{OnDecision: func(e Explanation) { got = e }})
	b.Route(testNow, newRequest(1))
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
		b := newTestBalancer(testDeployment(), 3)
		if i == 1 {
			b.SetTrace(&Trace{OnDecision: func(Explanation) {}, OnReplicaCheck: func(ReplicaCheck) {}})
		}
		for n := range RequestID(60) {
			req := newRequest(n)
			req.Function = FunctionID(n % 3)
			decisions[i] = append(decisions[i], b.Route(testNow+Micros(n)*1000, req))
			if n%10 == 9 {
				b.Maintain(testNow + Micros(n)*1000)
			}
		}
		states[i] = b.Snapshot()
	}
	if !reflect.DeepEqual(states[0], states[1]) || !reflect.DeepEqual(decisions[0], decisions[1]) {
		t.Error("the trace changed decisions or state")
	}
}

// BenchmarkRoute measures one decision among 80 full replicas, without a trace. Support for traces must not add to its
// cost.
func BenchmarkRoute(b *testing.B) {
	balancer := newTestBalancer(testDeployment(), 80)
	for i := range 80 {
		addReplica(balancer, i+1, 100)
	}
	req := newRequest(1)
	req.Deadline = testNow + 1<<50
	for i := Micros(0); b.Loop(); i++ {
		if d := balancer.Route(testNow+i%1000, req); d.Action != Hold {
			b.Fatalf("got %+v", d)
		}
	}
}
