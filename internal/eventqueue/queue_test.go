package eventqueue

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"hollymast/control"
)

func TestQueueKeepsOrderAndSignalsOnce(t *testing.T) {
	q := New()
	var got []int
	for i := range 3 {
		q.Post(func(control.Micros) { got = append(got, i) })
	}
	<-q.Ready()
	batch := q.Drain(nil)
	for _, f := range batch {
		f(0)
	}
	if len(got) != 3 || got[0] != 0 || got[2] != 2 {
		t.Errorf("called %v, want 0, 1, 2", got)
	}
	if rest := q.Drain(batch); len(rest) != 0 {
		t.Errorf("%d left", len(rest))
	}
	select {
	case <-q.Ready():
		t.Error("signalled while empty")
	default:
	}
}

// An endpoint update is called before all other events, however late it was posted.
func TestEndpointListsComeFirst(t *testing.T) {
	q := New()
	var got []string
	record := func(name string) func(control.Micros) {
		return func(control.Micros) { got = append(got, name) }
	}
	q.Post(record("answer"))
	q.PostEndpoints(record("list 1"))
	q.Post(record("request"))
	q.PostEndpoints(record("list 2"))
	batch := q.Drain(nil)
	for _, f := range batch {
		f(0)
	}
	if want := []string{"list 1", "list 2", "answer", "request"}; !slices.Equal(got, want) {
		t.Errorf("called %v, want %v", got, want)
	}
	q.PostEndpoints(record("list 3")) // the reused array holds no earlier functions
	if rest := q.Drain(batch); len(rest) != 1 {
		t.Errorf("%d left", len(rest))
	}
}

// The peaks are the longest batch and the longest wait of an event, and start anew once they have been taken.
func TestPeaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New()
		q.Post(func(control.Micros) {})
		time.Sleep(time.Second)
		q.PostEndpoints(func(control.Micros) {})
		time.Sleep(time.Second)
		batch := q.Drain(nil)
		q.Post(func(control.Micros) {})
		q.Drain(batch)
		if got, want := q.TakePeaks(), (Peaks{Length: 2, Wait: 2 * time.Second}); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
		if got := q.TakePeaks(); got != (Peaks{}) {
			t.Errorf("got %+v after the peaks were taken", got)
		}
	})
}
