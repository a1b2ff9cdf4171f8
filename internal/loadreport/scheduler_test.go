package loadreport

import (
	"testing"
)

// The first report is due one interval after the request, later ones at multiples of the interval. Reports missed in a stall are not made up
// for. An interval out of bounds is clamped, and nothing is due if nothing is requested.
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
		t.Errorf("the second report is due at %d", s.NextAt())
	}
	s.NextReport(1000+7*minInterval+5, Report{})
	if s.NextAt() != 1000+8*minInterval {
		t.Errorf("after a stall the next report is due at %d", s.NextAt())
	}
	s.SetRequest(0, Request{AllClusters: true})
	if s.NextAt() != 0 {
		t.Error("due although nothing is requested any more")
	}
}
