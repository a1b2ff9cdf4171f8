package simulation

import (
	"container/heap"

	"hollymast/control"
)

// event is something that happens to one node. The events of a node are ordered by time, then by the node that scheduled
// them, then by that node's sequence number. None of these depends on the scheduling of threads, so that simultaneous
// events have the same order with any number of threads.
type event struct {
	at       control.Micros
	to, from int // ids of nodes
	sequence uint64
	run      func()
}

func (e *event) before(o *event) bool {
	switch {
	case e.at != o.at:
		return e.at < o.at
	case e.to != o.to:
		return e.to < o.to
	case e.from != o.from:
		return e.from < o.from
	}
	return e.sequence < o.sequence
}

// eventQueue is a heap: the first event is at index 0.
type eventQueue []event

func (q *eventQueue) push(e event) { heap.Push(q, e) }
func (q *eventQueue) pop() event   { return heap.Pop(q).(event) }

// Len is part of heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q eventQueue) Less(i, j int) bool { return q[i].before(&q[j]) }

// Swap is part of heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is part of heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{} // releases the function to the garbage collector
	*q = old[:len(old)-1]
	return e
}
