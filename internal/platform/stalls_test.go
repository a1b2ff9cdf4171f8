package platform

import (
	"testing"

	"hollymast/control"
)

// What is read during a stall, or soon after it, may have come since it began; what is read later came when it was read.
func TestPulseKnowsStandstills(t *testing.T) {
	const second = control.Micros(1_000_000)
	var u stallDetector
	if got := u.earliestArrival(second); got != second {
		t.Errorf("not watched yet: %d", got)
	}
	u.tick(second)
	const short, long = second + stallThreshold, second + stallThreshold + 1
	if got := u.earliestArrival(short); got != short {
		t.Errorf("between two beats: %d", got)
	}
	if got := u.earliestArrival(long); got != second {
		t.Errorf("read before the beat after a standstill: %d", got)
	}
	u.tick(long)
	if got := u.earliestArrival(long + 1); got != second {
		t.Errorf("read right after that beat: %d", got)
	}
	if later := u.until; u.earliestArrival(later) != later {
		t.Error("a standstill counts for ever")
	}
}
