package attempt

import (
	"testing"

	"hollymast/control"
)

// An id is remembered for at least rememberFor and at most twice that, and their number is bounded.
func TestRecentRequests(t *testing.T) {
	const start = control.Micros(1_800_000_000_000_000)
	for _, addedAfter := range []control.Micros{0, rememberFor / 2, rememberFor - 1, rememberFor} {
		added := start + addedAfter
		for after, want := range map[control.Micros]bool{0: true, rememberFor: true, 2 * rememberFor: false} {
			var r RecentRequests
			r.Add(start, 1)
			r.Add(added, 2)
			if r.Contains(added, 3) {
				t.Error("an id that was never added is remembered")
			}
			if got := r.Contains(added+after, 2); got != want {
				t.Errorf("added after %d us, asked %d us later: %t, want %t", addedAfter, after, got, want)
			}
		}
	}
	var r RecentRequests
	for id := range control.RequestID(10 * maxRemembered) {
		r.Add(start, id)
		if remembered := len(r.younger) + len(r.older); remembered > 2*maxRemembered {
			t.Fatalf("%d ids are remembered", remembered)
		}
	}
	if !r.Contains(start, 10*maxRemembered-1) {
		t.Error("the latest id is forgotten")
	}
}
