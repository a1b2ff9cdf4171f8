// Package mailbox carries what connections hear to the one goroutine that takes a router's turns.
package mailbox

import (
	"sync"

	"hollymast/control"
)

// Box holds what is to be called in the next turn. Its zero value is not ready: use New.
type Box struct {
	mu    sync.Mutex
	lists []func(now control.Micros)
	heard []func(now control.Micros)
	wake  chan struct{}
}

// New gives an empty box.
func New() *Box { return &Box{wake: make(chan struct{}, 1)} }

// Tell has f called in the next turn, after all that was told before.
func (b *Box) Tell(f func(now control.Micros)) { b.add(&b.heard, f) }

// TellList has f, which takes in a list of servers, called in the next turn before all else. Guards against choices that are
// made within the turn, for what was heard before the list, from the older one.
func (b *Box) TellList(f func(now control.Micros)) { b.add(&b.lists, f) }

func (b *Box) add(to *[]func(control.Micros), f func(now control.Micros)) {
	b.mu.Lock()
	*to = append(*to, f)
	first := len(b.lists)+len(b.heard) == 1
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

// Take gives all that waits: lists first, each kind in its order. What was given before makes room for what comes next.
func (b *Box) Take(before []func(control.Micros)) []func(control.Micros) {
	clear(before)
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := append(append(before[:0], b.lists...), b.heard...)
	clear(b.lists)
	clear(b.heard)
	b.lists, b.heard = b.lists[:0], b.heard[:0]
	return batch
}
