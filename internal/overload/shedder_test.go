package overload

import (
	"testing"

	"hollymast/control"
)

// simulatePriorities plays 200 requests a second of each of two priorities, for 40 functions, beside the retries and answers of the
// rates, and returns how many of the low and the high priority were admitted.
func simulatePriorities(c *Controller, now control.Micros, seconds, retries, answers int) (end control.Micros, low, high int) {
	for step := range control.Micros(seconds) * 1000 {
		at := now + step*ms
		if step%5 == 0 && c.Admit(at, Request{Function: control.FunctionID(step % 40), Priority: 1}).Admitted {
			low++
		}
		if step%5 == 1 && c.Admit(at, Request{Function: control.FunctionID(step % 40), Priority: 2}).Admitted {
			high++
		}
		if retries > 0 && step%(1000/control.Micros(retries)) == 0 {
			c.Admit(at, Request{IsRetry: true})
		}
		if answers > 0 && step%(1000/control.Micros(answers)) == 0 {
			c.RecordAnswer(at)
		}
	}
	return now + control.Micros(seconds)*1000*ms, low, high
}

// While too much of what is admitted stays unanswered the low priority is held back, but for a part; the high one never is. The low one is
// admitted again once answers come, and all of it after the overload.
func TestLowPriorityIsShed(t *testing.T) {
	const (
		retrying = 500 // retries a second
		calm     = 0
	)
	c, now := newCalmController(t)
	now, _, _ = simulatePriorities(c, now, 3, retrying, 100)
	now, low, high := simulatePriorities(c, now, 10, retrying, 100)
	if high != 2000 || low < 100 || low > 1000 {
		t.Errorf("few answers: %d low and %d high of 2000 each admitted", low, high)
	}
	now, _, _ = simulatePriorities(c, now, 6, retrying, 500)
	now, low, _ = simulatePriorities(c, now, 1, retrying, 500)
	if c.shedder.level > 0 || low != 200 {
		t.Errorf("answers again: %d low of 200 admitted, level %g", low, c.shedder.level)
	}
	now, _, _ = simulatePriorities(c, now, 10, retrying, 100)
	now, _, _ = simulatePriorities(c, now, 4, calm, 400)
	_, low, _ = simulatePriorities(c, now, 1, calm, 400)
	if c.Kind() != None || low != 200 {
		t.Errorf("afterwards: %s, %d low of 200 admitted", c.Kind(), low)
	}
}

// The choice depends on the function and the time alone, so an immediate retry meets the same answer, and each function is admitted at
// times.
func TestShedFunctionsRotate(t *testing.T) {
	s := newShedder([]float64{1, 3, 1})
	s.level = 1
	for f := range control.FunctionID(50) {
		shed := 0
		for rotation := range control.Micros(100) {
			begin := rotation * rotationPeriod
			sheds := s.sheds(begin, 1, f)
			if sheds != s.sheds(begin+rotationPeriod-1, 1, f) || s.sheds(begin, 3, f) {
				t.Fatal("not the same within a rotation, or the highest priority is held back")
			}
			if sheds {
				shed++
			}
		}
		if shed < 55 || shed > 92 { // three quarters are meant
			t.Errorf("function %d is held back in %d rotations of 100", f, shed)
		}
	}
}
