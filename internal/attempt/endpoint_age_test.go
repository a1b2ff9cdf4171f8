package attempt

import (
	"testing"

	"hollymast/control"
)

// For each grace that has been told: a list that a turn need not read again is fresh enough to be written from, and what is
// written last leaves as much of the grace for a change's way here.
func TestListAge(t *testing.T) {
	for _, grace := range []control.Micros{250_000, 400_000, 500_000, 1_000_000} {
		oldest := control.Micros(0) // that a turn chooses from without a look
		for !MustReadEndpoints(oldest, grace) {
			oldest += 1000
		}
		const asOf, told = 1_000_000, 1_000_001 // a change that the list just misses
		until := WriteUntil(asOf, grace)
		if left := until - (asOf + oldest); left < grace/4 {
			t.Errorf("grace %d: %d us from a turn to its first byte", grace, left)
		}
		if _, ok := Chosen.Write(true, until, until); !ok {
			t.Errorf("grace %d: not written in time", grace)
		}
		if _, ok := Chosen.Write(true, until+1, until); ok || until > told+grace/2 {
			t.Errorf("grace %d: written %d us after the change", grace, until+1-told)
		}
	}
}
