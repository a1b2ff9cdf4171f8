package control

import "testing"

// A router on a small part of a core reads less of what has no effect, and a large message counts as several.
func TestClientRate(t *testing.T) {
	quarter, unknown := ClientRateFor(0.25), ClientRateFor(0)
	if quarter.SharedPerSecond*4 != unknown.SharedPerSecond || unknown != ClientRateFor(1) {
		t.Errorf("got %+v with a quarter of a core, %+v if the cores are not known", quarter, unknown)
	}
	const openPerClient = 32 // all of them may be cancelled, and sent again and refused, at once
	if quarter.Burst < 2*openPerClient {
		t.Errorf("the burst is %d", quarter.Burst)
	}
	for bytes, want := range map[int]int{0: 1, 100: 1, 16 << 10: 5, 32 << 10: 9} {
		if got := quarter.MessageCost(bytes); got != want {
			t.Errorf("%d bytes count as %d messages, want %d", bytes, got, want)
		}
	}
}
