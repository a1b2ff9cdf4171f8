package overload

import (
	"testing"

	"hollymast/control"
)

// The retry delays of rejected requests are spread out, within the longest delay that clients respect.
func TestRetryDelaysAreSpread(t *testing.T) {
	c, now := newCalmController(t)
	now, _ = simulate(c, now, 1000*ms, traffic{100, 500, 0})
	byTenth := map[control.Micros]int{} // of a second
	rejected := 0
	for i := range control.Micros(400) {
		d := c.Admit(now+i, Request{IsRetry: true})
		if d.Admitted {
			continue
		}
		if rejected++; d.RetryAfter <= 0 || d.RetryAfter > 2_000_000 || d.Reason == None {
			t.Fatalf("%+v", d)
		}
		byTenth[d.RetryAfter/100_000]++
	}
	most := 0
	for _, n := range byTenth {
		most = max(most, n)
	}
	if rejected < 300 || most > rejected/4 || len(byTenth) < 10 {
		t.Errorf("%d rejected, %d within one tenth of a second, %d tenths", rejected, most, len(byTenth))
	}
}

// A retry after its delay is admitted; one that comes too early, marked as a retry or not, is given the same time
// again.
func TestRetryDelayIsHonoured(t *testing.T) {
	c, now := newCalmController(t)
	now, _ = simulate(c, now, 1000*ms, traffic{100, 500, 0})
	const key = 5
	delay := c.RecordRejection(now, 1000*ms, key)
	if d := c.Admit(now+delay/2, Request{IsRetry: true, KeyHash: key}); d.Admitted || d.RetryAfter != delay-delay/2 {
		t.Errorf("too early: %+v, delay %d us", d, delay)
	}
	if d := c.Admit(now+delay/2, Request{KeyHash: key}); d.Admitted {
		t.Error("a retry that is not marked as one is admitted too early")
	}
	if d := c.Admit(now+delay, Request{IsRetry: true, KeyHash: key}); !d.Admitted {
		t.Errorf("in time: %+v", d)
	}
}
