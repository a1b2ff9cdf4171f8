package persistence

import (
	"slices"
	"testing"

	"hollymast/control"
)

func TestKeyIndex(t *testing.T) {
	index := NewKeyIndex(10*minute, 3)
	index.Add(1, SentAttempt{7, 100})
	index.Add(1, SentAttempt{8, 200})
	index.Add(1, SentAttempt{7, 300})
	index.RemoveNotRun(1, 7) // removes the last attempt at this server
	index.RemoveNotRun(2, 7)
	if got := index.MayHaveRun(1000, 1); !slices.Equal(got, []SentAttempt{{7, 100}, {8, 200}}) {
		t.Errorf("got %v", got)
	}
	if got := index.MayHaveRun(150, 1); !slices.Equal(got, []SentAttempt{{7, 100}, {8, 0}}) { // as after the clock was set back
		t.Errorf("got %v", got)
	}
	index.RemoveNotRun(1, 8)
	index.RemoveNotRun(1, 7)
	if got := index.MayHaveRun(1000, 1); len(got) != 0 {
		t.Errorf("got %v", got)
	}
}

func TestKeyIndexPrunes(t *testing.T) {
	index := NewKeyIndex(10*minute, 3)
	for i := range IdempotencyKey(3) {
		index.Add(i+1, SentAttempt{7, control.Micros(i)})
	}
	index.Add(1, SentAttempt{7, 5 * minute})
	index.Prune(10*minute + 1) // key 1 is kept, since it was sent again later
	if index.Len() != 2 || len(index.MayHaveRun(11*minute, 1)) != 2 || len(index.MayHaveRun(11*minute, 3)) != 1 {
		t.Errorf("%d keys", index.Len())
	}
	for i := range IdempotencyKey(5) {
		index.Add(i+10, SentAttempt{7, 11 * minute})
	}
	index.Prune(11 * minute)
	if index.Len() != 3 || index.Evicted == 0 || len(index.MayHaveRun(11*minute, 14)) != 1 {
		t.Errorf("%d keys, %d evicted", index.Len(), index.Evicted)
	}
	index.Prune(22 * minute)
	if index.Len() != 0 || len(index.order)-index.head != 0 {
		t.Errorf("%d keys, %d in order", index.Len(), len(index.order)-index.head)
	}
}
