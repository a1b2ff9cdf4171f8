// Package backoff decides how long to wait before a further try to reach one that many ask: doubled each time, half of it by
// chance, so that many routers that lost it in one moment don't come back in one.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff is one asker's waits.
type Backoff struct {
	first, longest time.Duration
	next           time.Duration
	chance         *rand.Rand
}

// New gives a backoff with its own chance, from its first wait to its longest.
func New(seed uint64, first, longest time.Duration) *Backoff {
	return &Backoff{first: first, longest: longest, next: first, chance: rand.New(rand.NewPCG(seed, 1))}
}

// Next gives the next wait.
func (b *Backoff) Next() time.Duration { return b.NextWithin(b.longest) }

// NextWithin gives the next wait where this one may last no longer than a limit. Part of it is up to chance all the same.
func (b *Backoff) NextWithin(limit time.Duration) time.Duration {
	span := min(b.next, limit)
	b.next = min(2*b.next, b.longest)
	return span/2 + time.Duration(b.chance.Int64N(int64(span/2)+1))
}

// Well forgets earlier failures: there was an answer.
func (b *Backoff) Well() { b.next = b.first }
