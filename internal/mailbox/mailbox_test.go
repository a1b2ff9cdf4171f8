package mailbox

import (
	"testing"

	"hollymast/control"
)

func TestBoxKeepsOrderAndWakesOnce(t *testing.T) {
	b := New()
	var got []int
	for i := range 3 {
		b.Tell(func(control.Micros) { got = append(got, i) })
	}
	<-b.Wake()
	batch := b.Take(nil)
	for _, f := range batch {
		f(0)
	}
	if len(got) != 3 || got[0] != 0 || got[2] != 2 {
		t.Errorf("called %v, want 0, 1, 2", got)
	}
	if rest := b.Take(batch); len(rest) != 0 {
		t.Errorf("%d left", len(rest))
	}
	select {
	case <-b.Wake():
		t.Error("woken for nothing")
	default:
	}
}
