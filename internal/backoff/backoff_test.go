package backoff

import (
	"testing"
	"time"
)

// Waits double up to the longest, each between a half and the whole, and begin anew after an answer.
func TestWaits(t *testing.T) {
	b := New(1, 20*time.Millisecond, time.Second)
	for _, most := range []time.Duration{20, 40, 80, 160, 320, 640, 1000, 1000} {
		most *= time.Millisecond
		if w := b.Next(); w < most/2 || w > most {
			t.Errorf("waited %v of at most %v", w, most)
		}
	}
	if b.Well(); b.Next() > 20*time.Millisecond {
		t.Error("an answer changed nothing")
	}
}

// Two that lost it together ask again at different times.
func TestWaitsAreSpread(t *testing.T) {
	if New(1, time.Second, time.Second).Next() == New(2, time.Second, time.Second).Next() {
		t.Error("both wait alike")
	}
}
