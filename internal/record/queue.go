package record

import (
	"sync"

	"hollymast/internal/core"
)

// item is the beginning of a segment, or a step.
type item struct {
	header     *Header // nil: a step
	checkpoint *core.Snapshot
	number     uint64
	step       Step
}

// queueDepth is how many steps may wait for the disk: a second of a busy router.
const queueDepth = 8192

// queue hands items from the event loop to the writer goroutine. It wakes that one only when it is half full, since a wake-up for each
// step cost more than all else of the recording.
type queue struct {
	mu     sync.Mutex
	items  []item
	closed bool
	wake   chan struct{} // holds one
}

// push adds an item; it reports whether there was room.
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

// drain returns all items, and whether the queue is closed: then none follow. The queue takes over a buffer for the next ones.
func (q *queue) drain(buffer []item) (items []item, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	items, q.items = q.items, buffer[:0]
	return items, q.closed
}

func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.signal()
}
