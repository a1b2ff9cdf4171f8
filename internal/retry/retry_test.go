package retry

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
)

const second = control.Micros(1_000_000)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// afterFirstAttempt makes the first attempt of a call and returns the decision on its outcome.
func afterFirstAttempt(class Class, outcome Outcome, now, advised control.Micros) (*Call, Decision) {
	c := NewCall(class, 10*second)
	c.BeginAttempt(second)
	return c, c.HandleOutcome(now, AttemptResult{Outcome: outcome, SentAt: second, RetryAfter: advised}, NewBudget(), newRandom())
}

// A request that may have run is retried only where that does no harm: anywhere if it is idempotent, within the window
// if it is idempotent by key in the whole fleet, and at the same router if it is non-idempotent and routers persist
// keys.
func TestRetryOfWhatMayHaveRun(t *testing.T) {
	nonIdempotent, idempotent := Class{Idempotency: control.NonIdempotent}, Class{Idempotency: control.Idempotent}
	byKey := Class{Idempotency: control.IdempotentByKey, DedupWindow: 2 * second}
	byKeyInZone := byKey
	byKeyInZone.DedupScope = control.OneZone
	for name, c := range map[string]struct {
		class   Class
		now     control.Micros
		retried bool
	}{"non-idempotent": {nonIdempotent, 2 * second, false}, "idempotent": {idempotent, 2 * second, true}, "in its window": {byKey, 2 * second, true},
		"past its window": {byKey, 3*second - 10_000, false}, "by key in one zone": {byKeyInZone, 2 * second, false}} {
		for _, outcome := range []Outcome{Lost, Failed} {
			call, next := afterFirstAttempt(c.class, outcome, c.now, 0)
			if next.Done == c.retried {
				t.Errorf("%s, %d: %+v", name, outcome, next)
			}
			if c.retried && c.class.Idempotency == control.IdempotentByKey && call.BeginAttempt(3*second) {
				t.Errorf("%s: sent after its window has ended", name)
			}
		}
	}
	persisted := nonIdempotent
	persisted.KeysPersisted = true
	call, next := afterFirstAttempt(persisted, Lost, 2*second, 0)
	if next.Done || next.OtherRouter || call.PinnedRouter() != 0 {
		t.Errorf("persisted: %+v, pinned to %d", next, call.PinnedRouter())
	}
	if _, next := afterFirstAttempt(persisted, Failed, 2*second, 0); !next.Done {
		t.Errorf("retried although the router reported a failure: %+v", next)
	}
}

// A request that was rejected or never reached a router may be retried even if it is non-idempotent, after the advised
// delay plus a random time of up to the same length.
func TestRetryOfWhatDidNotRun(t *testing.T) {
	for _, outcome := range []Outcome{Rejected, NotSent} {
		if _, next := afterFirstAttempt(Class{Idempotency: control.NonIdempotent}, outcome, 2*second, 0); next.Done || !next.OtherRouter {
			t.Errorf("%d: %+v", outcome, next)
		}
	}
	_, next := afterFirstAttempt(Class{}, Rejected, 2*second, second)
	if next.RetryAt < 3*second || next.RetryAt >= 4*second {
		t.Errorf("advised a second, retried after %d us", next.RetryAt-2*second)
	}
	if _, next := afterFirstAttempt(Class{}, Rejected, 2*second, 20*second); !next.Done {
		t.Error("waits past its deadline")
	}
	if _, next := afterFirstAttempt(Class{Idempotency: control.Idempotent}, Invalid, 2*second, 0); !next.Done {
		t.Error("an invalid request is retried")
	}
}

// Whatever happens to calls, no attempt begins after the deadline, after a success, beyond the limit on attempts or
// where it could do harm, and retries stay within the budget.
func TestCallsNeverDoHarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		class := Class{Idempotency: control.Idempotency(rapid.IntRange(0, 2).Draw(t, "idempotency")), DedupWindow: control.Micros(rapid.IntRange(0, 3_000_000).Draw(t, "dedup window")),
			KeysPersisted: rapid.Bool().Draw(t, "persisted"), HedgeSafe: rapid.Bool().Draw(t, "hedge")}
		budget, random := NewBudget(), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		retries, calls := 0, rapid.IntRange(1, 40).Draw(t, "calls")
		for range calls {
			budget.Deposit()
			now := control.Micros(1)
			deadline := now + control.Micros(rapid.IntRange(0, 5_000_000).Draw(t, "deadline"))
			c := NewCall(class, deadline)
			finished, mayHaveRunAt := false, control.Micros(0)
			for n := 0; ; n++ {
				if !c.BeginAttempt(now) {
					break
				}
				if now > deadline || finished || n >= maxAttempts {
					t.Fatalf("attempt %d at %d, deadline %d, finished %t", n, now, deadline, finished)
				}
				if mayHaveRunAt > 0 && class.Idempotency == control.NonIdempotent && c.PinnedRouter() < 0 || mayHaveRunAt > 0 && class.Idempotency == control.IdempotentByKey && now >= mayHaveRunAt+class.DedupWindow {
					t.Fatalf("attempt %d at %d after one that may have run at %d", n, now, mayHaveRunAt)
				}
				if n > 0 {
					retries++
				}
				sent := now
				now += control.Micros(rapid.IntRange(0, 2_000_000).Draw(t, "took"))
				outcome := Outcome(rapid.IntRange(0, 5).Draw(t, "outcome"))
				if (outcome == Failed || outcome == Lost) && mayHaveRunAt == 0 {
					mayHaveRunAt = sent
				}
				finished = finished || outcome == Succeeded
				next := c.HandleOutcome(now, AttemptResult{Outcome: outcome, SentAt: sent, RetryAfter: control.Micros(rapid.IntRange(0, 1_000_000).Draw(t, "advised"))}, budget, random)
				if next.Done {
					break
				}
				now = max(now, next.RetryAt)
			}
		}
		if allowed := maxTokens + depositPerCall*float64(calls); float64(retries) > allowed {
			t.Fatalf("%d retries of %d calls", retries, calls)
		}
	})
}

// Connections that are lost together are reopened over five seconds, each at a random time; a single one is reopened at
// once.
func TestReconnectsSpread(t *testing.T) {
	const n = 200
	r, random := NewRouters(1, 0), newRandom()
	for range n {
		r.ConnectionOpened(0)
	}
	r.ConnectionLost(second, 0, random)
	if ok, _ := r.MayConnect(second, 0); !ok {
		t.Error("a single lost connection has to wait")
	}
	for range n - 1 {
		r.ConnectionLost(10*second, 0, random)
	}
	opened, maxPerTick := 0, 0
	last := control.Micros(0)
	for now := 10 * second; now < 16*second; now += second / 10 {
		inTick := 0
		for {
			ok, _ := r.MayConnect(now, 0)
			if !ok || len(r.routers[0].reconnectAt) == 0 && opened+inTick >= 100 {
				break
			}
			inTick++
		}
		if opened += inTick; inTick > 0 {
			last = now
		}
		maxPerTick = max(maxPerTick, inTick)
	}
	if opened < 95 || maxPerTick > 15 || last < 14*second {
		t.Errorf("%d reopened, at most %d in a tenth of a second, the last after %d us", opened, maxPerTick, last-10*second)
	}
}

// A router that loses one connection in thirty and answers on the others has no mass loss: each may be reopened at
// once.
func TestSingleLossesAreNoMassLoss(t *testing.T) {
	r, random := NewRouters(1, 0), rand.New(rand.NewPCG(1, 1))
	for range 20 {
		r.ConnectionOpened(0)
	}
	for i := range 3000 {
		now := second + control.Micros(i)*1000
		if i%30 > 0 {
			r.RecordSuccess(0)
			continue
		}
		r.ConnectionLost(now, 0, random)
		if ok, _ := r.MayConnect(now, 0); !ok {
			t.Fatalf("after %d answers a connection has to wait", i)
		}
		r.ConnectionOpened(0)
	}
}

// A router that fails three times in a row is ejected, for longer each time. If all are ejected, the one whose ejection
// ends first is picked.
func TestEjection(t *testing.T) {
	r := NewRouters(2, 0)
	for range ejectionThreshold {
		r.RecordFailure(second, 0)
	}
	for range 4 {
		if r.Pick(second, -1) != 1 {
			t.Error("an ejected router is picked")
		}
	}
	now := second + ejectionBase
	if r.Pick(now, 1) != 0 {
		t.Error("a router is not picked after its ejection")
	}
	r.RecordFailure(now, 0)
	if r.routers[0].ejectedUntil != now+2*ejectionBase {
		t.Errorf("ejected for %d us", r.routers[0].ejectedUntil-now)
	}
	for range ejectionThreshold {
		r.RecordFailure(now, 1)
	}
	if r.Pick(now, -1) != 1 {
		t.Error("not the router whose ejection ends first")
	}
	r.RecordSuccess(0)
	if r.Pick(now+3*ejectionBase, 1) != 0 {
		t.Error("the router to avoid is picked although another is available")
	}
}

// Only idempotent requests that may run twice concurrently are hedged, and a hedge takes a token.
func TestHedges(t *testing.T) {
	budget := NewBudget()
	for _, c := range []struct {
		class Class
		want  bool
	}{{Class{Idempotency: control.Idempotent, HedgeSafe: true}, true}, {Class{Idempotency: control.Idempotent}, false}, {Class{Idempotency: control.NonIdempotent, HedgeSafe: true}, false}} {
		call := NewCall(c.class, 10*second)
		call.BeginAttempt(second)
		if got := call.AllowHedge(second, budget); got != c.want {
			t.Errorf("%+v: %t", c.class, got)
		}
	}
	if budget.tokens != maxTokens-1 {
		t.Errorf("%g tokens", budget.tokens)
	}
}
