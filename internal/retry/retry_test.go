package retry

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
)

const second = control.Micros(1_000_000)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// afterFirst makes the first attempt of a call and returns what its outcome leads to.
func afterFirst(w Class, e Outcome, now, advised control.Micros) (*Call, Decision) {
	c := NewCall(w, 10*second)
	c.BeginAttempt(second)
	return c, c.HandleOutcome(now, AttemptResult{Outcome: e, SentAt: second, RetryAfter: advised}, NewBudget(), newRandom())
}

// What may have run is retried only where that does no harm: anywhere for idempotent requests, within the window for those
// idempotent by key in the whole fleet, at the same router for non-idempotent ones if it persists keys.
func TestRetryOfWhatMayHaveRun(t *testing.T) {
	nonIdempotent, idempotent := Class{Effect: control.NonIdempotent}, Class{Effect: control.Idempotent}
	byKey := Class{Effect: control.IdempotentByKey, Window: 2 * second}
	narrow := byKey
	narrow.Scope = control.OneZone
	for name, c := range map[string]struct {
		w     Class
		now   control.Micros
		again bool
	}{"non-idempotent": {nonIdempotent, 2 * second, false}, "idempotent": {idempotent, 2 * second, true}, "in its window": {byKey, 2 * second, true},
		"past its window": {byKey, 3*second - 10_000, false}, "narrow": {narrow, 2 * second, false}} {
		for _, e := range []Outcome{Lost, Failed} {
			call, next := afterFirst(c.w, e, c.now, 0)
			if next.Done == c.again {
				t.Errorf("%s, %d: %+v", name, e, next)
			}
			if c.again && c.w.Effect == control.IdempotentByKey && call.BeginAttempt(3*second) {
				t.Errorf("%s: sent once its window is over", name)
			}
		}
	}
	persisted := nonIdempotent
	persisted.KeysPersisted = true
	call, next := afterFirst(persisted, Lost, 2*second, 0)
	if next.Done || next.OtherRouter || call.PinnedRouter() != 0 {
		t.Errorf("persisted: %+v, pinned to %d", next, call.PinnedRouter())
	}
	if _, next := afterFirst(persisted, Failed, 2*second, 0); !next.Done {
		t.Errorf("the router said that it failed: %+v", next)
	}
}

// What was rejected or never reached a router may be retried whatever it does, after the advised pause and spread over as long
// again.
func TestRetryOfWhatDidNotRun(t *testing.T) {
	for _, e := range []Outcome{Rejected, NotSent} {
		if _, next := afterFirst(Class{Effect: control.NonIdempotent}, e, 2*second, 0); next.Done || !next.OtherRouter {
			t.Errorf("%d: %+v", e, next)
		}
	}
	_, next := afterFirst(Class{}, Rejected, 2*second, second)
	if next.RetryAt < 3*second || next.RetryAt >= 4*second {
		t.Errorf("advised a second, comes after %d us", next.RetryAt-2*second)
	}
	if _, next := afterFirst(Class{}, Rejected, 2*second, 20*second); !next.Done {
		t.Error("waits past its deadline")
	}
	if _, next := afterFirst(Class{Effect: control.Idempotent}, Invalid, 2*second, 0); !next.Done {
		t.Error("an invalid request is retried")
	}
}

// However calls go, no attempt begins past the deadline, after an answer, beyond the bound, or where it could do harm, and
// retries stay within the budget.
func TestCallsNeverDoHarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Class{Effect: control.Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")), Window: control.Micros(rapid.IntRange(0, 3_000_000).Draw(t, "window")),
			KeysPersisted: rapid.Bool().Draw(t, "persisted"), HedgeSafe: rapid.Bool().Draw(t, "hedge")}
		b, x := NewBudget(), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		retries, calls := 0, rapid.IntRange(1, 40).Draw(t, "calls")
		for range calls {
			b.Deposit()
			now := control.Micros(1)
			deadline := now + control.Micros(rapid.IntRange(0, 5_000_000).Draw(t, "deadline"))
			c := NewCall(w, deadline)
			finished, ran := false, control.Micros(0)
			for n := 0; ; n++ {
				if !c.BeginAttempt(now) {
					break
				}
				if now > deadline || finished || n >= maxAttempts {
					t.Fatalf("attempt %d at %d, deadline %d, finished %t", n, now, deadline, finished)
				}
				if ran > 0 && w.Effect == control.NonIdempotent && c.PinnedRouter() < 0 || ran > 0 && w.Effect == control.IdempotentByKey && now >= ran+w.Window {
					t.Fatalf("attempt %d at %d after one that may have run at %d", n, now, ran)
				}
				if n > 0 {
					retries++
				}
				sent := now
				now += control.Micros(rapid.IntRange(0, 2_000_000).Draw(t, "took"))
				e := Outcome(rapid.IntRange(0, 5).Draw(t, "outcome"))
				if (e == Failed || e == Lost) && ran == 0 {
					ran = sent
				}
				finished = finished || e == Succeeded
				next := c.HandleOutcome(now, AttemptResult{Outcome: e, SentAt: sent, RetryAfter: control.Micros(rapid.IntRange(0, 1_000_000).Draw(t, "advised"))}, b, x)
				if next.Done {
					break
				}
				now = max(now, next.RetryAt)
			}
		}
		if most := maxTokens + depositPerCall*float64(calls); float64(retries) > most {
			t.Fatalf("%d retries of %d calls", retries, calls)
		}
	})
}

// Connections that are lost together are made again over five seconds, each at a time of its own; single ones at once.
func TestReconnectsSpread(t *testing.T) {
	const n = 200
	r, x := NewRouters(1, 0), newRandom()
	for range n {
		r.ConnectionOpened(0)
	}
	r.ConnectionLost(second, 0, x)
	if ok, _ := r.MayConnect(second, 0); !ok {
		t.Error("one lost connection waits")
	}
	for range n - 1 {
		r.ConnectionLost(10*second, 0, x)
	}
	made, most := 0, 0
	last := control.Micros(0)
	for now := 10 * second; now < 16*second; now += second / 10 {
		in := 0
		for {
			ok, _ := r.MayConnect(now, 0)
			if !ok || len(r.routers[0].reconnectAt) == 0 && made+in >= 100 {
				break
			}
			in++
		}
		if made += in; in > 0 {
			last = now
		}
		most = max(most, in)
	}
	if made < 95 || most > 15 || last < 14*second {
		t.Errorf("%d made again, %d at most in a tenth of a second, the last after %d us", made, most, last-10*second)
	}
}

// A router that loses a connection in thirty while it answers the others has no mass loss: all may be made again at once.
func TestSingleLossesAreNoMassLoss(t *testing.T) {
	r, x := NewRouters(1, 0), rand.New(rand.NewPCG(1, 1))
	for range 20 {
		r.ConnectionOpened(0)
	}
	for i := range 3000 {
		now := second + control.Micros(i)*1000
		if i%30 > 0 {
			r.RecordSuccess(0)
			continue
		}
		r.ConnectionLost(now, 0, x)
		if ok, _ := r.MayConnect(now, 0); !ok {
			t.Fatalf("after %d answers a connection has to wait", i)
		}
		r.ConnectionOpened(0)
	}
}

// A router that fails three times in a row is ejected, for longer each time; where all are, the first to be back is asked.
func TestEjection(t *testing.T) {
	r := NewRouters(2, 0)
	for range ejectionThreshold {
		r.RecordFailure(second, 0)
	}
	for range 4 {
		if r.Pick(second, -1) != 1 {
			t.Error("an ejected router is asked")
		}
	}
	now := second + ejectionBase
	if r.Pick(now, 1) != 0 {
		t.Error("it is not asked again")
	}
	r.RecordFailure(now, 0)
	if r.routers[0].ejectedUntil != now+2*ejectionBase {
		t.Errorf("ejected for %d us", r.routers[0].ejectedUntil-now)
	}
	for range ejectionThreshold {
		r.RecordFailure(now, 1)
	}
	if r.Pick(now, -1) != 1 {
		t.Error("not the first to be back")
	}
	r.RecordSuccess(0)
	if r.Pick(now+3*ejectionBase, 1) != 0 {
		t.Error("an avoided router is asked although another is up")
	}
}

// A hedge is for idempotent requests that may run twice at once, and takes a token.
func TestHedges(t *testing.T) {
	b := NewBudget()
	for _, c := range []struct {
		w    Class
		want bool
	}{{Class{Effect: control.Idempotent, HedgeSafe: true}, true}, {Class{Effect: control.Idempotent}, false}, {Class{Effect: control.NonIdempotent, HedgeSafe: true}, false}} {
		call := NewCall(c.w, 10*second)
		call.BeginAttempt(second)
		if got := call.AllowHedge(second, b); got != c.want {
			t.Errorf("%+v: %t", c.w, got)
		}
	}
	if b.tokens != maxTokens-1 {
		t.Errorf("%g tokens", b.tokens)
	}
}
