package baseline

import (
	"testing"

	"hollymast/control"
	"hollymast/internal/core"
)

const second = control.Micros(1_000_000)

func newBalancer(p Policy, idempotency control.Idempotency) core.Policy {
	b := NewFactory(p)(second, 1, control.Deployment{Tick: 4_000, MaxAttempts: 3, SlowStartDuration: 4 * second, MaxRetryAfter: second,
		Classes: []control.Class{{LatencyObjective: second, MaxDeadline: 4 * second, Idempotency: idempotency}}})
	b.UpdateEndpoints(second, control.FullUpdate, []control.Endpoint{{Server: 1, State: control.Ready}, {Server: 2, State: control.Ready}, {Server: 3, State: control.Draining},
		{Server: 4, State: control.Ready, StartedAt: second}})
	return b
}

func newRequest(id control.RequestID) *control.Request {
	return &control.Request{ID: id, Function: 7, ArrivedAt: second, Deadline: 4 * second}
}

// No policy sends to a server that is draining or in slow start, and none sends a request that cannot be answered in
// time.
func TestOnlyReadyServers(t *testing.T) {
	for p := range PolicyNames {
		b := newBalancer(Policy(p), control.Idempotent)
		for i := range 200 {
			if got := b.Route(2*second, newRequest(control.RequestID(i))); got.Action != control.Forward || got.Server > 2 {
				t.Fatalf("%s: %+v", PolicyNames[p], got)
			}
		}
		if got := b.Route(4*second-5_000, newRequest(999)); got.Action != control.Reject {
			t.Errorf("%s: %+v", PolicyNames[p], got)
		}
	}
}

// A request that may have run is retried only if it is idempotent.
func TestNothingRunsTwice(t *testing.T) {
	for idempotency, want := range map[control.Idempotency]control.Action{control.Idempotent: control.Forward, control.IdempotentByKey: control.Reject, control.NonIdempotent: control.Fail} {
		b, r := newBalancer(LeastRequests, idempotency), newRequest(1)
		decision := b.Route(2*second, r)
		if got := b.HandleOutcome(2*second, r, control.Outcome{Server: decision.Server, Result: control.ConnectionReset}); got.Action != want {
			t.Errorf("%d: %+v", idempotency, got)
		}
	}
}

// Each policy distributes requests by its own rule.
func TestChoices(t *testing.T) {
	count := func(p Policy) (counts [5]int) {
		b := newBalancer(p, control.Idempotent)
		for i := range 100 {
			counts[b.Route(2*second, newRequest(control.RequestID(i))).Server]++
		}
		return counts
	}
	if counts := count(LeastRequests); counts[1] != 50 {
		t.Errorf("least: %v", counts)
	}
	if counts := count(LoadedFirst); counts[1] != 100 && counts[2] != 100 {
		t.Errorf("first-miss: %v", counts)
	}
	if counts := count(BoundedHash); max(counts[1], counts[2]) > 64 || max(counts[1], counts[2]) < 51 {
		t.Errorf("bounded-hash: %v", counts)
	}
	if counts := count(TwoChoices); max(counts[1], counts[2]) > 60 {
		t.Errorf("two-choices: %v", counts)
	}
}
