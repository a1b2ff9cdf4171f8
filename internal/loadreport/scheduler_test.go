package loadreport

import (
	"testing"
)

// A report is due a whole interval after it was requested, then at regular times; a stall is not made up for; an interval out of bounds is
// brought within them, and nothing is due where nothing is requested.
func TestScheduler(t *testing.T) {
	s := &Scheduler{}
	s.StreamOpened()
	if s.NextAt() != 0 {
		t.Error("due before anything was requested")
	}
	s.SetRequest(1000, Request{AllClusters: true, Interval: 1})
	if s.NextAt() != 1000+minInterval {
		t.Errorf("due at %d", s.NextAt())
	}
	s.NextReport(1000+minInterval+5, Report{})
	if s.NextAt() != 1000+2*minInterval {
		t.Errorf("the second is due at %d", s.NextAt())
	}
	s.NextReport(1000+7*minInterval+5, Report{})
	if s.NextAt() != 1000+8*minInterval {
		t.Errorf("after a stall due at %d", s.NextAt())
	}
	s.SetRequest(0, Request{AllClusters: true})
	if s.NextAt() != 0 {
		t.Error("due although nothing is requested any more")
	}
}
