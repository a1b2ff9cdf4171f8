package persistence

import (
	"slices"
	"testing"

	"hollymast/control"
)

func TestKeyIndex(t *testing.T) {
	m := NewKeyIndex(10*minute, 3)
	m.Add(1, SentAttempt{7, 100})
	m.Add(1, SentAttempt{8, 200})
	m.Add(1, SentAttempt{7, 300})
	m.RemoveNotRun(1, 7) // the last one there
	m.RemoveNotRun(2, 7)
	if got := m.MayHaveRun(1000, 1); !slices.Equal(got, []SentAttempt{{7, 100}, {8, 200}}) {
		t.Errorf("got %v", got)
	}
	if got := m.MayHaveRun(150, 1); !slices.Equal(got, []SentAttempt{{7, 100}, {8, 0}}) { // a clock set back
		t.Errorf("got %v", got)
	}
	m.RemoveNotRun(1, 8)
	m.RemoveNotRun(1, 7)
	if got := m.MayHaveRun(1000, 1); len(got) != 0 {
		t.Errorf("got %v", got)
	}
}

func TestKeyIndexPrunes(t *testing.T) {
	m := NewKeyIndex(10*minute, 3)
	for i := range IdempotencyKey(3) {
		m.Add(i+1, SentAttempt{7, control.Micros(i)})
	}
	m.Add(1, SentAttempt{7, 5 * minute})
	m.Prune(10*minute + 1) // the first was sent again since
	if m.Len() != 2 || len(m.MayHaveRun(11*minute, 1)) != 2 || len(m.MayHaveRun(11*minute, 3)) != 1 {
		t.Errorf("%d known", m.Len())
	}
	for i := range IdempotencyKey(5) {
		m.Add(i+10, SentAttempt{7, 11 * minute})
	}
	m.Prune(11 * minute)
	if m.Len() != 3 || m.Evicted == 0 || len(m.MayHaveRun(11*minute, 14)) != 1 {
		t.Errorf("%d known, %d dropped", m.Len(), m.Evicted)
	}
	m.Prune(22 * minute)
	if m.Len() != 0 || len(m.order)-m.first != 0 {
		t.Errorf("%d known, %d in order", m.Len(), len(m.order)-m.first)
	}
}
