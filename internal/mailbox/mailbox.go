// Package mailbox carries what connections hear to the one goroutine that takes a router's turns.
package mailbox

import (
	"sync"

	"hollymast/control"
)

// Box holds what is to be called in the next turn. Its zero value is not ready: use New.
type Box struct {
	mu    sync.Mutex
	heard []func(now control.Micros)
	wake  chan struct{}
}

// New gives an empty box.
func New() *Box { return &Box{wake: make(chan struct{}, 1)} }

// Tell has f called in the next turn.
func (b *Box) Tell(f func(now control.Micros)) {
	b.mu.Lock()
	b.heard = append(b.heard, f)
	first := len(b.heard) == 1
	b.mu.Unlock()
	if first {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
}

// Wake tells that something waits.
func (b *Box) Wake() <-chan struct{} { return b.wake }

// Take gives all that waits, in its order; what was given before makes room for what comes next.
func (b *Box) Take(before []func(control.Micros)) []func(control.Micros) {
	clear(before)
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := b.heard
	b.heard = before[:0]
	return batch
}
