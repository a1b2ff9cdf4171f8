package overload

import (
	"testing"
)

// The traffic of an overload does not become part of the baseline.
func TestOverloadIsNotLearned(t *testing.T) {
	c, now := newCalmController(t)
	before := c.baseline.firstAttempts
	simulate(c, now, 60_000*ms, traffic{300, 600, 50})
	if c.Kind() == None || c.baseline.firstAttempts > before*1.2 {
		t.Errorf("%s, baseline %g, before %g", c.Kind(), c.baseline.firstAttempts, before)
	}
}

// A stored overload continues after a restart if it is recent, and is dropped if it is old. The baseline is restored in
// either case.
func TestRestore(t *testing.T) {
	c, now := newCalmController(t)
	c.RecordStall(now, 2000*ms)
	fresh := NewController(1, nil, nil, 2_000_000, 1)
	fresh.Restore(1, c.Baseline(), maxRestoreAge)
	if fresh.Kind() != None {
		t.Error("an old overload continues")
	}
	fresh.Restore(1, c.Baseline(), maxRestoreAge/10)
	if fresh.Kind() != AfterStall || fresh.baseline.firstAttempts == 0 {
		t.Errorf("%s, baseline %g", fresh.Kind(), fresh.baseline.firstAttempts)
	}
}
