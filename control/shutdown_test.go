package control

import "testing"

// The earliest kill is delayed by the longest configured deadline, up to a bound.
func TestEarliestKill(t *testing.T) {
	for longest, want := range map[Micros]Micros{0: 700_000, 50_000: 750_000, 3_000_000: 3_700_000, 3_600_000_000: 3_700_000} {
		if got := (&Deployment{Classes: []Class{{MaxDeadline: 0}, {MaxDeadline: longest}}}).EarliestKill(); got != want {
			t.Errorf("longest deadline %d: got %d, want %d", longest, got, want)
		}
	}
	if got := (&Deployment{}).EarliestKill(); got != 700_000 {
		t.Errorf("without classes: got %d, want 700000", got)
	}
}

// A request that may have run and is not safe to repeat fails; all others are rejected.
func TestRejectedByStop(t *testing.T) {
	for _, c := range []struct {
		class                  Class
		notWritten, mayHaveRun bool
	}{
		{Class{Idempotency: NonIdempotent}, true, false},
		{Class{Idempotency: IdempotentByKey, DedupScope: OneZone}, true, false},
		{Class{Idempotency: IdempotentByKey, DedupScope: WholeFleet}, true, true},
		{Class{Idempotency: Idempotent}, true, true},
	} {
		if got := c.class.RejectedByStop(false); got != c.notWritten {
			t.Errorf("%+v, not written: %t", c.class, got)
		}
		if got := c.class.RejectedByStop(true); got != c.mayHaveRun {
			t.Errorf("%+v, may have run: %t", c.class, got)
		}
	}
}

// A held request is rejected early only if its client waits for longer than the router can answer.
func TestRejectEarlyOnStop(t *testing.T) {
	for _, c := range []struct {
		attempts             int
		deadline, lastAnswer Micros
		want                 bool
	}{{0, 101, 100, true}, {0, 100, 100, false}, {1, 101, 100, false}} {
		if got := RejectEarlyOnStop(c.attempts, c.deadline, c.lastAnswer); got != c.want {
			t.Errorf("%+v: got %t", c, got)
		}
	}
}
