// Package eventqueue passes events from the connections' goroutines to the goroutine that runs a router's event loop.
package eventqueue

import (
	"sync"
	"time"

	"hollymast/control"
)

// Queue holds the functions to be called in the next step of the event loop. It is safe for concurrent use. Its
// zero value is not ready: use New.
type Queue struct {
	mu        sync.Mutex
	endpoints []func(now control.Micros)
	events    []func(now control.Micros)
	ready     chan struct{}
	oldestAt  time.Time // when the first of the queued functions was posted
	peaks     Peaks
}

// Peaks are the largest values since they were last taken.
type Peaks struct {
	Length int           // functions handled in one step
	Wait   time.Duration // from posting a function to the step that handles it
}

// New returns an empty queue.
func New() *Queue { return &Queue{ready: make(chan struct{}, 1)} }

// Post queues f to be called in the next step, after all functions posted before.
func (q *Queue) Post(f func(now control.Micros)) { q.add(&q.events, f) }

// PostEndpoints queues f, which applies an endpoint update, to be called in the next step before all other events.
// Otherwise events received before the update would be decided by the old list.
func (q *Queue) PostEndpoints(f func(now control.Micros)) { q.add(&q.endpoints, f) }

// add appends f to one of the two lists and signals Ready if the queue was empty.
func (q *Queue) add(list *[]func(control.Micros), f func(now control.Micros)) {
	q.mu.Lock()
	*list = append(*list, f)
	first := len(q.endpoints)+len(q.events) == 1
	if first {
		q.oldestAt = time.Now()
	}
	q.mu.Unlock()
	if first {
		select {
		case q.ready <- struct{}{}:
		default:
		}
	}
}

// Ready returns a channel that receives a value when the queue is no longer empty.
func (q *Queue) Ready() <-chan struct{} { return q.ready }

// Drain empties the queue and returns its functions: endpoint updates first, each kind in the order in which it was
// posted. It reuses the array of previous, the result of the previous call.
func (q *Queue) Drain(previous []func(control.Micros)) []func(control.Micros) {
	clear(previous)
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := append(append(previous[:0], q.endpoints...), q.events...)
	if len(batch) > 0 {
		q.peaks.Length = max(q.peaks.Length, len(batch))
		q.peaks.Wait = max(q.peaks.Wait, time.Since(q.oldestAt))
	}
	clear(q.endpoints)
	clear(q.events)
	q.endpoints, q.events = q.endpoints[:0], q.events[:0]
	return batch
}

// TakePeaks returns the peaks since the previous call.
func (q *Queue) TakePeaks() Peaks {
	q.mu.Lock()
	defer q.mu.Unlock()
	peaks := q.peaks
	q.peaks = Peaks{}
	return peaks
}
