package attempt

import (
	"testing"

	"hollymast/control"
)

// For each grace period: a list that a step need not refresh leaves enough time until the write deadline, and the write
// deadline leaves half the grace period for a change to reach the router.
func TestEndpointsAge(t *testing.T) {
	for _, grace := range []control.Micros{250_000, 400_000, 500_000, 1_000_000} {
		oldest := control.Micros(0) // age of a list that a step uses without a read
		for !MustReadEndpoints(oldest, grace) {
			oldest += 1000
		}
		const asOf, listedAt = 1_000_000, 1_000_001 // listedAt: time of a change that the list just misses
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
