package xds

import (
	"testing"
)

func TestBackoff(t *testing.T) {
	b := NewBackoff(1)
	for i := range 20 {
		span := min(maxBackoff, firstBackoff<<min(i, 10))
		if w := b.Next(); w < span/2 || w > span {
			t.Errorf("attempt %d: the wait of %s is not between half of %s and all of it", i, w, span)
		}
	}
	b.Reset()
	if w := b.Next(); w > firstBackoff {
		t.Errorf("after the reset: %s", w)
	}
}
