package persistence

import (
	"hollymast/control"
)

// Mark is a client's mark of a job and its function, hidden as record.Tag does; 0 is none.
type IdempotencyKey uint64

// Sent is one execution that may have run.
type SentAttempt struct {
	Server control.ServerID
	At     control.Micros // when it was chosen, no later than it was sent
}

// sent is one with the latest time at which it can have been: that it is remembered from.
type indexedAttempt struct {
	SentAttempt
	latestAt control.Micros
}

// Marks knows of which marked jobs executions may have run, so that a client's repeat is judged with what this router and
// its earlier lives sent. It is free of I/O and clocks.
type KeyIndex struct {
	retention control.Micros
	maxKeys   int
	attempts  map[IdempotencyKey][]indexedAttempt
	order     []IdempotencyKey // by their first sending
	first     int              // of order: those before are forgotten
	Dropped   int              // marks forgotten before their time, for want of room
}

// NewMarks gives an index that remembers each mark for a time after its last sending, and no more than a number of them.
func NewKeyIndex(keep control.Micros, most int) *KeyIndex {
	return &KeyIndex{retention: keep, maxKeys: most, attempts: map[IdempotencyKey][]indexedAttempt{}}
}

// Sent notes an execution.
func (m *KeyIndex) Add(mark IdempotencyKey, s SentAttempt) { m.add(mark, s, s.At) }

func (m *KeyIndex) add(mark IdempotencyKey, s SentAttempt, latest control.Micros) {
	was, known := m.attempts[mark]
	if !known {
		m.order = append(m.order, mark)
	}
	m.attempts[mark] = append(was, indexedAttempt{s, latest})
}

// Unrun notes the proof that an execution did not run. Of several to one server the last one is meant: they come one
// after another.
func (m *KeyIndex) RemoveNotRun(mark IdempotencyKey, server control.ServerID) {
	was := m.attempts[mark]
	for i := len(was) - 1; i >= 0; i-- {
		if was[i].Server == server {
			m.attempts[mark] = append(was[:i:i], was[i+1:]...)
			return
		}
	}
}

// MayHaveRun gives the executions that may have run, first to last. One of a time still to come is of a clock set back:
// how long ago it was can't be told, so it counts as beyond every window.
func (m *KeyIndex) MayHaveRun(now control.Micros, mark IdempotencyKey) []SentAttempt {
	var out []SentAttempt
	for _, s := range m.attempts[mark] {
		if s.At > now {
			s.At = 0
		}
		out = append(out, s.SentAttempt)
	}
	return out
}

// Len counts the marks known.
func (m *KeyIndex) Len() int { return len(m.attempts) }

// Tidy forgets what is older than it is to be kept, a part with each call, and the oldest beyond the number.
func (m *KeyIndex) Prune(now control.Micros) {
	const batch = 4096 // a call a second forgets more marks than a router takes jobs
	for range min(batch, len(m.order)-m.first) {
		mark := m.order[m.first]
		was := m.attempts[mark]
		if n := len(was); n > 0 && now < was[n-1].latestAt+m.retention {
			if len(m.attempts) <= m.maxKeys {
				if now >= was[0].latestAt+m.retention { // sent again since: it goes to the end
					m.order = append(m.order, mark)
					m.first++
					continue
				}
				break
			}
			m.Dropped++
		}
		delete(m.attempts, mark)
		m.first++
	}
	if m.first > len(m.order)/2 {
		m.order = append(m.order[:0:0], m.order[m.first:]...)
		m.first = 0
	}
}
