package platform

import (
	"testing"

	"hollymast/control"
)

// What is read during a standstill, or soon after it, may have come since it began; what is read later came when it was read.
func TestPulseKnowsStandstills(t *testing.T) {
	const second = control.Micros(1_000_000)
	var u pulse
	if got := u.since(second); got != second {
		t.Errorf("not watched yet: %d", got)
	}
	u.beat(second)
	const short, long = second + stoodStill, second + stoodStill + 1
	if got := u.since(short); got != short {
		t.Errorf("between two beats: %d", got)
	}
	if got := u.since(long); got != second {
		t.Errorf("read before the beat after a standstill: %d", got)
	}
	u.beat(long)
	if got := u.since(long + 1); got != second {
		t.Errorf("read right after that beat: %d", got)
	}
	if later := u.until; u.since(later) != later {
		t.Error("a standstill counts for ever")
	}
}
