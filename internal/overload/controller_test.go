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
