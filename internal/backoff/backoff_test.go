package backoff

import (
	"testing"
	"time"
)

// Waits double up to the longest, each between half and all of it, and start over after a success.
func TestWaits(t *testing.T) {
	b := New(1, 20*time.Millisecond, time.Second)
	for _, longest := range []time.Duration{20, 40, 80, 160, 320, 640, 1000, 1000} {
		longest *= time.Millisecond
		if w := b.Next(); w < longest/2 || w > longest {
			t.Errorf("waited %v of at most %v", w, longest)
		}
	}
	if b.Reset(); b.Next() > 20*time.Millisecond {
		t.Error("Reset changed nothing")
	}
}

// Two clients that lost the server together retry at different times.
func TestWaitsAreSpread(t *testing.T) {
	if New(1, time.Second, time.Second).Next() == New(2, time.Second, time.Second).Next() {
		t.Error("both wait equally long")
	}
}

// A limited wait still differs from client to client, and later waits keep growing.
func TestNextWithinKeepsJitterAndGrowth(t *testing.T) {
	const limit = 100 * time.Millisecond
	seen := map[time.Duration]bool{}
	for seed := range uint64(20) {
		b := New(seed, 10*time.Millisecond, time.Second)
		for range 10 {
			b.Next()
		}
		wait := b.NextWithin(limit)
		if wait < limit/2 || wait > limit {
			t.Errorf("%s", wait)
		}
		seen[wait] = true
		if wait := b.Next(); wait < time.Second/2 {
			t.Errorf("afterwards %s", wait)
		}
	}
	if len(seen) < 15 {
		t.Errorf("%d different waits of 20 clients", len(seen))
	}
}
