// Package eventqueue carries what connections hear to the one goroutine that takes a router's turns.
package eventqueue

import (
	"sync"

	"hollymast/control"
)

// Queue holds what is to be called in the next turn. Its zero value is not ready: use New.
type Queue struct {
	mu        sync.Mutex
	endpoints []func(now control.Micros)
	events    []func(now control.Micros)
	ready     chan struct{}
}

// New gives an empty box.
func New() *Queue { return &Queue{ready: make(chan struct{}, 1)} }

// Post has f called in the next turn, after all that was told before.
func (b *Queue) Post(f func(now control.Micros)) { b.add(&b.events, f) }

// PostEndpoints has f, which takes in a list of servers, called in the next turn before all else. Guards against choices that are
// made within the turn, for what was heard before the list, from the older one.
func (b *Queue) PostEndpoints(f func(now control.Micros)) { b.add(&b.endpoints, f) }

func (b *Queue) add(to *[]func(control.Micros), f func(now control.Micros)) {
	b.mu.Lock()
	*to = append(*to, f)
	first := len(b.endpoints)+len(b.events) == 1
	b.mu.Unlock()
	if first {
		select {
		case b.ready <- struct{}{}:
		default:
		}
	}
}

// Ready tells that something waits.
func (b *Queue) Ready() <-chan struct{} { return b.ready }

// Drain gives all that waits: lists first, each kind in its order. What was given before makes room for what comes next.
func (b *Queue) Drain(before []func(control.Micros)) []func(control.Micros) {
	clear(before)
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := append(append(before[:0], b.endpoints...), b.events...)
	clear(b.endpoints)
	clear(b.events)
	b.endpoints, b.events = b.endpoints[:0], b.events[:0]
	return batch
}
