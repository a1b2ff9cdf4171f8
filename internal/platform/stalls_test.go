package platform

import (
	"testing"

	"hollymast/control"
)

// A message read during a stall, or shortly after it, may have arrived at any time since the stall began. One read
// later arrived when it was read.
func TestStallDetector(t *testing.T) {
	const second = control.Micros(1_000_000)
	var d stallDetector
	if got := d.earliestArrival(second); got != second {
		t.Errorf("before the first tick: got %d", got)
	}
	d.tick(second)
	const short, long = second + stallThreshold, second + stallThreshold + 1
	if got := d.earliestArrival(short); got != short {
		t.Errorf("between two ticks: got %d", got)
	}
	if got := d.earliestArrival(long); got != second {
		t.Errorf("read before the first tick after a stall: got %d", got)
	}
	d.tick(long)
	if got := d.earliestArrival(long + 1); got != second {
		t.Errorf("read right after that tick: got %d", got)
	}
	if later := d.ambiguousUntil; d.earliestArrival(later) != later {
		t.Error("a stall never expires")
	}
}
