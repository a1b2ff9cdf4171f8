package overload

import (
	"testing"

	"hollymast/control"
)

const ms = control.Micros(1000)

// traffic is the load that simulate generates, per second.
type traffic struct{ firstAttempts, retries, answers int }

// admitted counts the requests that a controller admitted.
type admitted struct{ firstAttempts, retries int }

// simulate generates traffic of one tenant for a duration, and returns the time at its end and the admitted requests.
func simulate(c *Controller, now, duration control.Micros, rates traffic) (end control.Micros, got admitted) {
	due := func(perSecond int, step control.Micros) bool {
		return perSecond > 0 && step%(1000/control.Micros(perSecond)) == 0
	}
	for step := range duration / ms {
		at := now + step*ms
		if due(rates.firstAttempts, step) && c.Admit(at, Request{}).Admitted {
			got.firstAttempts++
		}
		if due(rates.retries, step) && c.Admit(at, Request{IsRetry: true}).Admitted {
			got.retries++
		}
		if due(rates.answers, step) {
			c.RecordAnswer(at)
		}
	}
	return now + duration, got
}

// newCalmController returns a controller after ten seconds of usual traffic.
func newCalmController(t *testing.T) (*Controller, control.Micros) {
	t.Helper()
	c := NewController(1, []float64{2000, 2000}, []float64{2, 1}, 2_000_000, 1)
	now, got := simulate(c, 1, 10_000*ms, traffic{100, 2, 100})
	if c.Kind() != None || got.firstAttempts != 1000 {
		t.Fatalf("%s, %d of 1000 admitted", c.Kind(), got.firstAttempts)
	}
	return c, now
}

// A retry storm is detected within a second, is limited to what the servers can handle, and ends when its retries do.
func TestRetryStorm(t *testing.T) {
	c, now := newCalmController(t)
	now, _ = simulate(c, now, 1000*ms, traffic{100, 500, 0})
	if c.Kind() != RetryStorm {
		t.Fatalf("%s", c.Kind())
	}
	now, got := simulate(c, now, 5000*ms, traffic{100, 500, 100})
	if got.firstAttempts < 400 || got.retries > 100 {
		t.Errorf("%d of 500 first attempts and %d of 2500 retries admitted", got.firstAttempts, got.retries)
	}
	if _, got = simulate(c, now, 4000*ms, traffic{100, 2, 100}); c.Kind() != None || got.firstAttempts < 350 {
		t.Errorf("%s, %d of 400 admitted", c.Kind(), got.firstAttempts)
	}
	if n := len(c.LogLines()); n < 2 {
		t.Errorf("%d log lines", n)
	}
}

// Growing demand, however large, is not an overload, and all of it is admitted.
func TestGrowingDemandIsAdmitted(t *testing.T) {
	c, now := newCalmController(t)
	for _, rate := range []int{200, 500, 1000} {
		var got admitted
		if now, got = simulate(c, now, 2000*ms, traffic{rate, 10, rate}); c.Kind() != None || got.firstAttempts != 2*rate {
			t.Errorf("%d a second: %s, %d admitted", rate, c.Kind(), got.firstAttempts)
		}
	}
}

// A long stall counts as an overload, a short one doesn't.
func TestStall(t *testing.T) {
	c, now := newCalmController(t)
	c.RecordStall(now, 100*ms)
	if c.Kind() != None {
		t.Error("a stall that is too short for clients to notice is an overload")
	}
	c.RecordStall(now, 2000*ms)
	if c.Kind() != AfterStall {
		t.Errorf("%s", c.Kind())
	}
}

// Many connections that are opened at once, compared with the usual number, are an overload.
func TestConnectionStorm(t *testing.T) {
	c, now := newCalmController(t)
	for i := range control.Micros(20_000) {
		if i%1000 == 0 {
			c.RecordConnection(now + i*ms)
		}
	}
	now += 20_000 * ms
	for i := range control.Micros(1000) {
		if i%5 == 0 {
			c.RecordConnection(now + i*ms)
		}
	}
	c.RecordConnection(now + 1100*ms)
	if c.Kind() != ConnectionStorm {
		t.Errorf("%s", c.Kind())
	}
}
