package attempt

import (
	"testing"

	"hollymast/control"
)

// For each grace of a deployment: a list that a step need not read again is fresh enough for a first byte, and
// the last possible first byte leaves as much of the grace for a change's way to the router.
func TestEndpointsAge(t *testing.T) {
	for _, grace := range []control.Micros{250_000, 400_000, 500_000, 1_000_000} {
		oldest := control.Micros(0) // age of a list that a step chooses from without a read
		for !MustReadEndpoints(oldest, grace) {
			oldest += 1000
		}
		const asOf, listedAt = 1_000_000, 1_000_001 // of a change that the list just misses
		until := WriteDeadline(asOf, grace)
		if left := until - (asOf + oldest); left < grace/4 {
			t.Errorf("grace %d: %d us from a step to its first byte", grace, left)
		}
		if _, ok := Chosen.BeginWrite(true, until, until); !ok {
			t.Errorf("grace %d: not written in time", grace)
		}
		if _, ok := Chosen.BeginWrite(true, until+1, until); ok || until > listedAt+grace/2 {
			t.Errorf("grace %d: written %d us after the change", grace, until+1-listedAt)
		}
	}
}
