package overload

import (
	"testing"

	"hollymast/control"
)

const ms = control.Micros(1000)

// stretch plays some time: so many first tries, repeats and answers a second, and gives how many of each were let in.
func stretch(w *Controller, now, length control.Micros, first, repeat, answered int, a Request) (end control.Micros, firsts, repeats int) {
	at := func(n int, step control.Micros) bool { return n > 0 && step%(1000/control.Micros(n)) == 0 }
	for step := control.Micros(0); step < length/ms; step++ {
		t := now + step*ms
		a.IsRetry = false
		if at(first, step) && w.Admit(t, a).Admitted {
			firsts++
		}
		a.IsRetry = true
		if at(repeat, step) && w.Admit(t, a).Admitted {
			repeats++
		}
		if at(answered, step) {
			w.RecordAnswer(t)
		}
	}
	return now + length, firsts, repeats
}

func calm(t *testing.T) (*Controller, control.Micros) {
	t.Helper()
	w := NewController(1, []float64{2000, 2000}, []float64{2, 1}, 2_000_000, 1)
	now, firsts, _ := stretch(w, 1, 10_000*ms, 100, 2, 100, Request{})
	if w.Kind() != None || firsts != 1000 {
		t.Fatalf("%s, %d of 1000 let in", w.Kind(), firsts)
	}
	return w, now
}

// A wave of repeats is a storm within a second, is damped to what servers bear, and ends once it is over.
func TestRetryWave(t *testing.T) {
	w, now := calm(t)
	now, _, _ = stretch(w, now, 1000*ms, 100, 500, 0, Request{})
	if w.Kind() != RetryStorm {
		t.Fatalf("%s", w.Kind())
	}
	now, firsts, repeats := stretch(w, now, 5000*ms, 100, 500, 100, Request{})
	if firsts < 400 || repeats > 100 {
		t.Errorf("%d of 500 first tries and %d of 2500 repeats let in", firsts, repeats)
	}
	if _, firsts, _ = stretch(w, now, 4000*ms, 100, 2, 100, Request{}); w.Kind() != None || firsts < 350 {
		t.Errorf("%s, %d of 400 let in", w.Kind(), firsts)
	}
	if n := len(w.LogLines()); n < 2 {
		t.Errorf("%d notes", n)
	}
}

// Demand that rises is no storm, however much, and nothing of it is refused.
func TestRealDemandIsNotDamped(t *testing.T) {
	w, now := calm(t)
	for _, rate := range []int{200, 500, 1000} {
		var firsts int
		if now, firsts, _ = stretch(w, now, 2000*ms, rate, 10, rate, Request{}); w.Kind() != None || firsts != 2*rate {
			t.Errorf("%d a second: %s, %d let in", rate, w.Kind(), firsts)
		}
	}
}

// While one tenant storms the others lose nothing.
func TestOneTenantStorms(t *testing.T) {
	w, now := calm(t)
	kept, asked := 0, 0
	for step := control.Micros(0); step < 5000; step++ {
		at := now + step*ms
		w.Admit(at, Request{Tenant: 1, IsRetry: true})
		if step%10 == 0 {
			asked++
			if w.Admit(at, Request{Tenant: 0}).Admitted {
				kept++
			}
			w.RecordAnswer(at)
		}
	}
	if w.Kind() != TenantStorm || kept < asked*97/100 {
		t.Errorf("%s, %d of %d of the calm tenant's let in", w.Kind(), kept, asked)
	}
}

// A tenant that asks for far more than its share while capacity is short has its share, though all its calls look like first tries;
// the others lose nothing, and it is let off once it is calm. Without shortage nobody's share counts.
func TestTenantBeyondItsShare(t *testing.T) {
	w, now := calm(t)
	w.quotas = []float64{200, 20}
	play := func(length control.Micros, loud, refused bool) (of [2]int) {
		for step := control.Micros(0); step < length/ms; step++ {
			at := now + step*ms
			if loud && step%2 == 0 && w.Admit(at, Request{Tenant: 1}).Admitted {
				if of[1]++; refused && step%4 == 0 {
					w.RecordRejection(at, 2000*ms, 0)
				} else {
					w.RecordAnswer(at)
				}
			}
			if step%10 == 0 && w.Admit(at, Request{Tenant: 0}).Admitted {
				of[0]++
				w.RecordAnswer(at)
			}
		}
		now += length
		return of
	}
	if of := play(3000*ms, true, false); of != [2]int{300, 1500} {
		t.Errorf("nothing is refused by the module: %v let in", of)
	}
	play(2000*ms, true, true)
	if of := play(4000*ms, true, true); w.Kind() != TenantStorm || of[0] != 400 || of[1] > 130 || of[1] < 80 {
		t.Errorf("%s: %v let in", w.Kind(), of)
	}
	play(10_000*ms, false, false)
	if w.Kind() != None || w.tenants[1].overQuota {
		t.Errorf("%s goes on", w.Kind())
	}
}

// Refused calls are told times that spread out, within what clients heed.
func TestReturnsSpread(t *testing.T) {
	w, now := calm(t)
	now, _, _ = stretch(w, now, 1000*ms, 100, 500, 0, Request{})
	parts := map[control.Micros]int{}
	n := 0
	for i := range control.Micros(400) {
		v := w.Admit(now+i, Request{IsRetry: true})
		if v.Admitted {
			continue
		}
		if n++; v.RetryAfter <= 0 || v.RetryAfter > 2_000_000 || v.Reason == None {
			t.Fatalf("%+v", v)
		}
		parts[v.RetryAfter/100_000]++
	}
	most := 0
	for _, c := range parts {
		most = max(most, c)
	}
	if n < 300 || most > n/4 || len(parts) < 10 {
		t.Errorf("%d refused, %d within one tenth of a second, %d tenths", n, most, len(parts))
	}
}

// Who heeds the pause is let in, marked or not as a repeat; who comes sooner hears the same time again.
func TestHeededPauses(t *testing.T) {
	w, now := calm(t)
	now, _, _ = stretch(w, now, 1000*ms, 100, 500, 0, Request{})
	stay := w.RecordRejection(now, 1000*ms, 5)
	if v := w.Admit(now+stay/2, Request{IsRetry: true, KeyHash: 5}); v.Admitted || v.RetryAfter != stay-stay/2 {
		t.Errorf("came too soon: %+v of %d", v, stay)
	}
	if v := w.Admit(now+stay/2, Request{KeyHash: 5}); v.Admitted {
		t.Error("a repeat that is called none is let in")
	}
	if v := w.Admit(now+stay, Request{IsRetry: true, KeyHash: 5}); !v.Admitted {
		t.Errorf("came in time: %+v", v)
	}
}

// A router that stood still, and one that is started while a storm is on, take it for one; a reconnect rush is told.
func TestWokenRestartedAndRush(t *testing.T) {
	w, now := calm(t)
	w.RecordStall(now, 100*ms)
	if w.Kind() != None {
		t.Error("a stop that nobody notices is a storm")
	}
	w.RecordStall(now, 2000*ms)
	if w.Kind() != AfterStall {
		t.Errorf("%s", w.Kind())
	}
	fresh := NewController(1, nil, nil, 2_000_000, 1)
	fresh.Restore(1, w.Baseline(), maxRestoreAge)
	if fresh.Kind() != None {
		t.Error("an old storm goes on")
	}
	fresh.Restore(1, w.Baseline(), maxRestoreAge/10)
	if fresh.Kind() != AfterStall || fresh.baselineAttempts == 0 {
		t.Errorf("%s, usual %g", fresh.Kind(), fresh.baselineAttempts)
	}
	w, now = calm(t)
	for i := range control.Micros(20_000) {
		if i%1000 == 0 {
			w.RecordConnection(now + i*ms)
		}
	}
	now += 20_000 * ms
	for i := range control.Micros(1000) {
		if i%5 == 0 {
			w.RecordConnection(now + i*ms)
		}
	}
	w.RecordConnection(now + 1100*ms)
	if w.Kind() != ConnectionStorm {
		t.Errorf("%s", w.Kind())
	}
}

// A storm does not become usual.
func TestStormsAreNotLearned(t *testing.T) {
	w, now := calm(t)
	before := w.baselineAttempts
	stretch(w, now, 60_000*ms, 300, 600, 50, Request{})
	if w.Kind() == None || w.baselineAttempts > before*1.2 {
		t.Errorf("%s, usual %g, before %g", w.Kind(), w.baselineAttempts, before)
	}
}

// In a storm in which what is let in is not answered the least important work gives way, by function and turn, and keeps a part; the
// most important is never held back. Once what is let in is answered it comes back, and after the storm all of it at once.
func TestLeastImportantGivesWay(t *testing.T) {
	w, now := calm(t)
	var let [3]int
	play := func(seconds int, repeats bool, answered int) {
		let = [3]int{}
		for step := range control.Micros(seconds) * 1000 {
			at := now + step*ms
			if step%5 == 0 && w.Admit(at, Request{Function: control.FunctionID(step % 40), Importance: 1}).Admitted {
				let[1]++
			}
			if step%5 == 1 && w.Admit(at, Request{Function: control.FunctionID(step % 40), Importance: 2}).Admitted {
				let[2]++
			}
			if repeats && step%2 == 0 {
				w.Admit(at, Request{IsRetry: true})
			}
			if answered > 0 && step%(1000/control.Micros(answered)) == 0 {
				w.RecordAnswer(at)
			}
		}
		now += control.Micros(seconds) * 1000 * ms
	}
	play(3, true, 100)
	if play(10, true, 100); let[2] != 2000 || let[1] < 100 || let[1] > 1000 {
		t.Errorf("pressed: %v let in of 2000 each", let)
	}
	play(6, true, 500)
	if play(1, true, 500); w.shedder.level > 0 || let[1] != 200 {
		t.Errorf("answered again: %v of 200 let in, the gate stands at %g", let, w.shedder.level)
	}
	play(10, true, 100)
	play(4, false, 400)
	if play(1, false, 400); w.Kind() != None || let[1] != 200 {
		t.Errorf("after it: %s, %v of 200 let in", w.Kind(), let)
	}
}

// What is held back hangs on the function and the turn alone, so a call that comes again at once meets the same answer, and every
// function has turns in which it is let in.
func TestFunctionsAreHeldBackInTurns(t *testing.T) {
	g := newShedder([]float64{1, 3, 1})
	g.level = 1
	for f := control.FunctionID(0); f < 50; f++ {
		held := 0
		for turn := range control.Micros(100) {
			one := g.sheds(turn*rotationPeriod, 1, f)
			if one != g.sheds(turn*rotationPeriod+rotationPeriod-1, 1, f) || g.sheds(turn*rotationPeriod, 3, f) {
				t.Fatal("not the same within a turn, or the most important is held back")
			}
			if one {
				held++
			}
		}
		if held < 55 || held > 92 { // three quarters are meant
			t.Errorf("function %d is held back in %d turns of 100", f, held)
		}
	}
}
