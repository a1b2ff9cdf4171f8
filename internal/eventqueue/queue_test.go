package eventqueue

import (
	"slices"
	"testing"

	"hollymast/control"
)

func TestBoxKeepsOrderAndWakesOnce(t *testing.T) {
	b := New()
	var got []int
	for i := range 3 {
		b.Post(func(control.Micros) { got = append(got, i) })
	}
	<-b.Ready()
	batch := b.Drain(nil)
	for _, f := range batch {
		f(0)
	}
	if len(got) != 3 || got[0] != 0 || got[2] != 2 {
		t.Errorf("called %v, want 0, 1, 2", got)
	}
	if rest := b.Drain(batch); len(rest) != 0 {
		t.Errorf("%d left", len(rest))
	}
	select {
	case <-b.Ready():
		t.Error("woken for nothing")
	default:
	}
}

// A list is called before all else, however late it came.
func TestListsComeFirst(t *testing.T) {
	b := New()
	var got []string
	note := func(what string) func(control.Micros) {
		return func(control.Micros) { got = append(got, what) }
	}
	b.Post(note("answer"))
	b.PostEndpoints(note("list 1"))
	b.Post(note("request"))
	b.PostEndpoints(note("list 2"))
	batch := b.Drain(nil)
	for _, f := range batch {
		f(0)
	}
	if want := []string{"list 1", "list 2", "answer", "request"}; !slices.Equal(got, want) {
		t.Errorf("called %v, want %v", got, want)
	}
	b.PostEndpoints(note("list 3")) // what is given up to be filled again holds nothing of before
	if rest := b.Drain(batch); len(rest) != 1 {
		t.Errorf("%d left", len(rest))
	}
}
