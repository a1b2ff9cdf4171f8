package record

import (
	"sync"

	"hollymast/internal/core"
)

// item is a segment's beginning, or a turn.
type item struct {
	header     *Header
	checkpoint *core.Snapshot
	number     uint64
	step       Step
}

// depth is how many turns may wait for the disk: a second of a busy router.
const queueDepth = 8192

// queue hands items from the turn to the goroutine that writes. It wakes that one seldom: a wake-up for each turn cost
// more than all else of the recording.
type queue struct {
	mu     sync.Mutex
	items  []item
	closed bool
	wake   chan struct{}
}

// push gives false where the queue is full.
func (q *queue) push(it item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= queueDepth {
		return false
	}
	if q.items = append(q.items, it); len(q.items) == queueDepth/2 {
		q.signal()
	}
	return true
}

func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// take gives all items and whether more may come.
func (q *queue) drain(room []item) (items []item, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	items, q.items = q.items, room[:0]
	return items, q.closed
}

func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.signal()
}
