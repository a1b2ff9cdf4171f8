// Package backoff computes the delays between attempts to reach a server that many clients use: exponential backoff
// with half of each delay random, so that routers that lost the server at the same moment do not all return at the same
// moment.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff is the state of one client's waits. It is not safe for concurrent use.
type Backoff struct {
	first, longest time.Duration
	next           time.Duration
	random         *rand.Rand
}

// New returns a Backoff with its own random source, whose waits double from first up to longest.
func New(seed uint64, first, longest time.Duration) *Backoff {
	return &Backoff{first: first, longest: longest, next: first, random: rand.New(rand.NewPCG(seed, 1))}
}

// Next returns the next wait.
func (b *Backoff) Next() time.Duration { return b.NextWithin(b.longest) }

// NextWithin returns the next wait, at most limit. Half of a limited wait is random too.
func (b *Backoff) NextWithin(limit time.Duration) time.Duration {
	wait := min(b.next, limit)
	b.next = min(2*b.next, b.longest)
	return wait/2 + time.Duration(b.random.Int64N(int64(wait/2)+1))
}

// Reset resets the wait to the first after a success.
func (b *Backoff) Reset() { b.next = b.first }
