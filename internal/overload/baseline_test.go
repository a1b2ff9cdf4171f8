package overload

import (
	"testing"
)

// An overload's traffic does not become the baseline.
func TestOverloadIsNotLearned(t *testing.T) {
	c, now := newCalmController(t)
	before := c.baseline.firstAttempts
	simulate(c, now, 60_000*ms, traffic{300, 600, 50})
	if c.Kind() == None || c.baseline.firstAttempts > before*1.2 {
		t.Errorf("%s, baseline %g, before %g", c.Kind(), c.baseline.firstAttempts, before)
	}
}

// A router that starts soon after an overload was stored goes on with it; an old one is forgotten. The baseline is restored either way.
func TestRestore(t *testing.T) {
	c, now := newCalmController(t)
	c.RecordStall(now, 2000*ms)
	fresh := NewController(1, nil, nil, 2_000_000, 1)
	fresh.Restore(1, c.Baseline(), maxRestoreAge)
	if fresh.Kind() != None {
		t.Error("an old overload goes on")
	}
	fresh.Restore(1, c.Baseline(), maxRestoreAge/10)
	if fresh.Kind() != AfterStall || fresh.baseline.firstAttempts == 0 {
		t.Errorf("%s, baseline %g", fresh.Kind(), fresh.baseline.firstAttempts)
	}
}
