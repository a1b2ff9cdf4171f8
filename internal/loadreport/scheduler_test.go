package loadreport

import (
	"testing"
)

// A report is due a whole time after it was asked for, then at steady times; a stall is not made up for; absurd times are
// brought within bounds, and nothing is due where nothing is asked.
func TestPace(t *testing.T) {
	p := &Scheduler{}
	p.StreamOpened()
	if p.NextAt() != 0 {
		t.Error("due before anything was asked")
	}
	p.SetRequest(1000, Request{AllClusters: true, Interval: 1})
	if p.NextAt() != 1000+minInterval {
		t.Errorf("due at %d", p.NextAt())
	}
	p.NextReport(1000+minInterval+5, Report{})
	if p.NextAt() != 1000+2*minInterval {
		t.Errorf("the second is due at %d", p.NextAt())
	}
	p.NextReport(1000+7*minInterval+5, Report{})
	if p.NextAt() != 1000+8*minInterval {
		t.Errorf("after a stall due at %d", p.NextAt())
	}
	p.SetRequest(0, Request{AllClusters: true})
	if p.NextAt() != 0 {
		t.Error("due although nothing is asked any more")
	}
}
