package overload

import (
	"hollymast/control"
	"testing"
)

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
