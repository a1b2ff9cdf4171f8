package record

import (
	"sync"

	"hollymast/internal/core"
)

// queueItem is either the header and checkpoint of a new segment, or a step.
type queueItem struct {
	header     *Header // nil if the item is a step
	checkpoint *core.Snapshot
	number     uint64
	step       Step
}

// queueDepth is how many items may wait for the disk: about a second of a busy router's steps.
const queueDepth = 8192

// queue passes items from the event loop to the writer goroutine. It wakes that goroutine only when the queue is half full, because a
// wake-up for each step would cost more than the rest of the recording. Otherwise the goroutine takes the items every flushInterval.
type queue struct {
	mu     sync.Mutex
	items  []queueItem
	closed bool
	wake   chan struct{} // buffer of one
}

// push adds an item and reports whether there was room for it.
func (q *queue) push(it queueItem) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= queueDepth {
		return false
	}
	if q.items = append(q.items, it); len(q.items) == queueDepth/2 {
		q.wakeWriter()
	}
	return true
}

func (q *queue) wakeWriter() {
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

// drain removes and returns all items, and reports whether the queue is closed, so that no more follow. The queue uses buffer for the next
// items.
func (q *queue) drain(buffer []queueItem) (items []queueItem, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	items, q.items = q.items, buffer[:0]
	return items, q.closed
}

func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.wakeWriter()
}
