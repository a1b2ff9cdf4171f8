package baseline

import (
	"testing"

	"hollymast/control"
	"hollymast/internal/core"
)

const second = control.Micros(1_000_000)

func newBalancer(p Policy, effect control.Idempotency) core.Policy {
	d := NewFactory(p)(second, 1, control.Deployment{Tick: 4_000, MaxAttempts: 3, SlowStartDuration: 4 * second, MaxRetryAfter: second,
		Classes: []control.Class{{LatencyObjective: second, MaxDeadline: 4 * second, Idempotency: effect}}})
	d.UpdateEndpoints(second, control.FullUpdate, []control.Endpoint{{Server: 1, State: control.Ready}, {Server: 2, State: control.Ready}, {Server: 3, State: control.Draining},
		{Server: 4, State: control.Ready, StartedAt: second}})
	return d
}

func newRequest(id control.RequestID) *control.Request {
	return &control.Request{ID: id, Function: 7, ArrivedAt: second, Deadline: 4 * second}
}

// No policy sends to a server that drains or is in slow start, and none sends a request that can't end in time.
func TestOnlyReadyServers(t *testing.T) {
	for p := range PolicyNames {
		d := newBalancer(Policy(p), control.Idempotent)
		for i := range 200 {
			if got := d.Route(2*second, newRequest(control.RequestID(i))); got.Action != control.Forward || got.Server > 2 {
				t.Fatalf("%s: %+v", PolicyNames[p], got)
			}
		}
		if got := d.Route(4*second-5_000, newRequest(999)); got.Action != control.Reject {
			t.Errorf("%s: %+v", PolicyNames[p], got)
		}
	}
}

// What may have run is sent again only if it is idempotent.
func TestNothingRunsTwice(t *testing.T) {
	for effect, want := range map[control.Idempotency]control.Action{control.Idempotent: control.Forward, control.IdempotentByKey: control.Reject, control.NonIdempotent: control.Fail} {
		d, j := newBalancer(LeastRequests, effect), newRequest(1)
		p := d.Route(2*second, j)
		if got := d.HandleOutcome(2*second, j, control.Outcome{Server: p.Server, Result: control.ConnectionReset}); got.Action != want {
			t.Errorf("%d: %+v", effect, got)
		}
	}
}

// Each policy chooses by its own rule.
func TestChoices(t *testing.T) {
	count := func(p Policy) (of [5]int) {
		d := newBalancer(p, control.Idempotent)
		for i := range 100 {
			of[d.Route(2*second, newRequest(control.RequestID(i))).Server]++
		}
		return of
	}
	if of := count(LeastRequests); of[1] != 50 {
		t.Errorf("least: %v", of)
	}
	if of := count(LoadedFirst); of[1] != 100 && of[2] != 100 {
		t.Errorf("first-miss: %v", of)
	}
	if of := count(BoundedHash); max(of[1], of[2]) > 64 || max(of[1], of[2]) < 51 {
		t.Errorf("bounded-hash: %v", of)
	}
	if of := count(TwoChoices); max(of[1], of[2]) > 60 {
		t.Errorf("two-choices: %v", of)
	}
}
