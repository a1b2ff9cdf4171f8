package retry

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
)

const second = control.Micros(1_000_000)

func chance() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// tried begins a call, makes one try and gives what follows its end.
func tried(w Workload, e Ending, now, advised control.Micros) (*Call, Next) {
	c := Begin(w, 10*second)
	c.Sent(second)
	return c, c.After(now, e, second, 0, advised, NewBudget(), chance())
}

// What may have run is tried again only where its repeat does no harm: anywhere for restartable jobs, inside the window for
// fingerprinted ones of the whole fleet, at the same router for run-once ones where that remembers.
func TestWhatMayHaveRun(t *testing.T) {
	once, restartable := Workload{Effect: control.NonIdempotent}, Workload{Effect: control.Idempotent}
	marked := Workload{Effect: control.IdempotentByKey, Window: 2 * second}
	narrow := marked
	narrow.Scope = control.OneZone
	for name, c := range map[string]struct {
		w     Workload
		now   control.Micros
		again bool
	}{"run-once": {once, 2 * second, false}, "restartable": {restartable, 2 * second, true}, "in its window": {marked, 2 * second, true},
		"past its window": {marked, 3*second - 10_000, false}, "narrow": {narrow, 2 * second, false}} {
		for _, e := range []Ending{Lost, Killed} {
			call, next := tried(c.w, e, c.now, 0)
			if next.Over == c.again {
				t.Errorf("%s, %d: %+v", name, e, next)
			}
			if c.again && c.w.Effect == control.IdempotentByKey && call.Sent(3*second) {
				t.Errorf("%s: sent once its window is over", name)
			}
		}
	}
	kept := once
	kept.Remembered = true
	call, next := tried(kept, Lost, 2*second, 0)
	if next.Over || next.Other || call.Bound() != 0 {
		t.Errorf("remembered: %+v, bound to %d", next, call.Bound())
	}
	if _, next := tried(kept, Killed, 2*second, 0); !next.Over {
		t.Errorf("the router said that it was killed: %+v", next)
	}
}

// What was pushed back or never reached a router may be tried again whatever it does, after the pause that was advised and spread
// over as long again.
func TestHarmlessTries(t *testing.T) {
	for _, e := range []Ending{PushedBack, Unsent} {
		if _, next := tried(Workload{Effect: control.NonIdempotent}, e, 2*second, 0); next.Over || !next.Other {
			t.Errorf("%d: %+v", e, next)
		}
	}
	_, next := tried(Workload{}, PushedBack, 2*second, second)
	if next.Again < 3*second || next.Again >= 4*second {
		t.Errorf("advised a second, comes after %d us", next.Again-2*second)
	}
	if _, next := tried(Workload{}, PushedBack, 2*second, 20*second); !next.Over {
		t.Error("waits past its deadline")
	}
	if _, next := tried(Workload{Effect: control.Idempotent}, Wrong, 2*second, 0); !next.Over {
		t.Error("a wrong request is sent again")
	}
}

// However calls go, no try is sent past the deadline, after an answer, beyond the bound, or where it could do harm, and retries stay
// within the budget.
func TestCallsNeverDoHarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Workload{Effect: control.Effect(rapid.IntRange(0, 2).Draw(t, "effect")), Window: control.Micros(rapid.IntRange(0, 3_000_000).Draw(t, "window")),
			Remembered: rapid.Bool().Draw(t, "remembered"), TwoAtOnce: rapid.Bool().Draw(t, "hedge")}
		b, x := NewBudget(), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		retries, calls := 0, rapid.IntRange(1, 40).Draw(t, "calls")
		for range calls {
			b.Earn()
			now := control.Micros(1)
			deadline := now + control.Micros(rapid.IntRange(0, 5_000_000).Draw(t, "patience"))
			c := Begin(w, deadline)
			finished, ran := false, control.Micros(0)
			for n := 0; ; n++ {
				if !c.Sent(now) {
					break
				}
				if now > deadline || finished || n >= mostTries {
					t.Fatalf("try %d at %d, deadline %d, finished %t", n, now, deadline, finished)
				}
				if ran > 0 && w.Effect == control.NonIdempotent && c.Bound() < 0 || ran > 0 && w.Effect == control.IdempotentByKey && now >= ran+w.Window {
					t.Fatalf("try %d at %d after one that may have run at %d", n, now, ran)
				}
				if n > 0 {
					retries++
				}
				sent := now
				now += control.Micros(rapid.IntRange(0, 2_000_000).Draw(t, "took"))
				e := Ending(rapid.IntRange(0, 5).Draw(t, "ending"))
				if (e == Killed || e == Lost) && ran == 0 {
					ran = sent
				}
				finished = finished || e == Finished
				next := c.After(now, e, sent, 0, control.Micros(rapid.IntRange(0, 1_000_000).Draw(t, "advised")), b, x)
				if next.Over {
					break
				}
				now = max(now, next.Again)
			}
		}
		if most := burst + earned*float64(calls); float64(retries) > most {
			t.Fatalf("%d retries of %d calls", retries, calls)
		}
	})
}

// Connections that are lost together are made anew over five seconds, each at a time of its own; single ones at once.
func TestReconnectsSpread(t *testing.T) {
	const n = 200
	r, x := NewRouters(1, 0), chance()
	for range n {
		r.Opened(0)
	}
	r.LostOne(second, 0, x)
	if ok, _ := r.MayOpen(second, 0); !ok {
		t.Error("one lost connection waits")
	}
	for range n - 1 {
		r.LostOne(10*second, 0, x)
	}
	made, most := 0, 0
	last := control.Micros(0)
	for now := 10 * second; now < 16*second; now += second / 10 {
		in := 0
		for {
			ok, _ := r.MayOpen(now, 0)
			if !ok || len(r.rs[0].permits) == 0 && made+in >= 100 {
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
		t.Errorf("%d made anew, %d at most in a tenth of a second, the last after %d us", made, most, last-10*second)
	}
}

// A router that loses a connection in thirty while it answers the others has lost none together: all may be made anew at once.
func TestSingleLossesAreNoMassLoss(t *testing.T) {
	r, x := NewRouters(1, 0), rand.New(rand.NewPCG(1, 1))
	for range 20 {
		r.Opened(0)
	}
	for i := range 3000 {
		now := second + control.Micros(i)*1000
		if i%30 > 0 {
			r.Well(0)
			continue
		}
		r.LostOne(now, 0, x)
		if ok, _ := r.MayOpen(now, 0); !ok {
			t.Fatalf("after %d answers a connection has to wait", i)
		}
		r.Opened(0)
	}
}

// A router that fails three times in a row is left alone, longer each time; where all are, the one that is soonest back is asked.
func TestEjection(t *testing.T) {
	r := NewRouters(2, 0)
	for range failsOut {
		r.Failed(second, 0)
	}
	for range 4 {
		if r.Pick(second, -1) != 1 {
			t.Error("an ejected router is asked")
		}
	}
	now := second + outFirst
	if r.Pick(now, 1) != 0 {
		t.Error("it is not asked again")
	}
	r.Failed(now, 0)
	if r.rs[0].until != now+2*outFirst {
		t.Errorf("ejected for %d us", r.rs[0].until-now)
	}
	for range failsOut {
		r.Failed(now, 1)
	}
	if r.Pick(now, -1) != 1 {
		t.Error("not the one that is soonest back")
	}
	r.Well(0)
	if r.Pick(now+3*outFirst, 1) != 0 {
		t.Error("an avoided router is asked although another is well")
	}
}

// A hedge is for restartable jobs that may run twice at once, and costs a retry's worth.
func TestHedges(t *testing.T) {
	b := NewBudget()
	for _, c := range []struct {
		w    Workload
		want bool
	}{{Workload{Effect: control.Idempotent, TwoAtOnce: true}, true}, {Workload{Effect: control.Idempotent}, false}, {Workload{Effect: control.NonIdempotent, TwoAtOnce: true}, false}} {
		call := Begin(c.w, 10*second)
		call.Sent(second)
		if got := call.Hedge(second, b); got != c.want {
			t.Errorf("%+v: %t", c.w, got)
		}
	}
	if b.tokens != burst-1 {
		t.Errorf("%g tokens", b.tokens)
	}
}
