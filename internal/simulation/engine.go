package simulation

import (
	"container/heap"
	"math/rand/v2"
	"sync"

	"hollymast/control"
	"hollymast/internal/invariant"
)

// event is something that happens to one node. Events of a node are ordered by time, then by the node that they come from, then by
// that node's count: nothing of it hangs on which thread ran what first, so a tie ends alike whatever the number of threads.
type event struct {
	at       control.Micros
	to, from int
	count    uint64
	do       func()
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
	return e.count < o.count
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].before(&q[j]) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// node is one thing that lives in simulated time and shares no state with others: it hears of them by messages alone.
type node struct {
	e      *engine
	id     int
	shard  *shard
	count  uint64
	chance *rand.Rand
	log    []invariant.Record
}

// shard is the part of the nodes that one thread runs, with what is still to happen to them.
type shard struct {
	queue queue
	now   control.Micros
	out   [][]event // to other shards, by their number
	ran   int
}

// engine runs nodes in windows no longer than the least time that a message takes: within one, nothing that a node does can reach
// another, so shards run side by side.
type engine struct {
	least  control.Micros
	nodes  []*node
	shards []*shard
}

func newEngine(threads int, least control.Micros) *engine {
	e := &engine{least: least}
	for range threads {
		e.shards = append(e.shards, &shard{out: make([][]event, threads)})
	}
	return e
}

// node adds one. They are dealt to shards in turn, since nodes of a kind, which are alike in work, follow each other.
func (e *engine) node(seed uint64) *node {
	n := &node{e: e, id: len(e.nodes), shard: e.shards[len(e.nodes)%len(e.shards)]}
	n.chance = rand.New(rand.NewPCG(seed, uint64(n.id)+1))
	e.nodes = append(e.nodes, n)
	return n
}

// Now is the node's time.
func (n *node) Now() control.Micros { return n.shard.now }

// After has something happen to the node itself.
func (n *node) After(d control.Micros, f func()) { n.at(n.Now()+max(0, d), f) }

// at is After with a time; before the run it may be called from outside.
func (n *node) at(t control.Micros, f func()) {
	n.count++
	heap.Push(&n.shard.queue, event{t, n.id, n.id, n.count, f})
}

// send has something happen to another node after a way's time, which is never below the engine's least.
func (n *node) send(to *node, way control.Micros, f func()) {
	n.count++
	x := event{n.Now() + max(n.e.least, way), to.id, n.id, n.count, f}
	if to.shard == n.shard {
		heap.Push(&n.shard.queue, x)
		return
	}
	for i, s := range n.e.shards {
		if s == to.shard {
			n.shard.out[i] = append(n.shard.out[i], x)
		}
	}
}

// record notes something at this node's end of a wire.
func (n *node) record(r invariant.Record) {
	r.At = int64(n.Now())
	n.log = append(n.log, r)
}

// window runs what happens to a shard's nodes before a time.
func (s *shard) window(end control.Micros) {
	for len(s.queue) > 0 && s.queue[0].at < end {
		x := heap.Pop(&s.queue).(event)
		s.now = x.at
		s.ran++
		x.do()
	}
}

// run plays until a time, or until nothing is left to happen.
func (e *engine) run(until control.Micros) (events int) {
	ends := make([]chan control.Micros, len(e.shards))
	var wg, threads sync.WaitGroup
	for i := 1; i < len(e.shards); i++ {
		ends[i] = make(chan control.Micros)
		threads.Go(func() {
			for end := range ends[i] {
				e.shards[i].window(end)
				wg.Done()
			}
		})
	}
	for {
		first, any := until, false
		for _, s := range e.shards {
			if len(s.queue) > 0 && s.queue[0].at < first {
				first, any = s.queue[0].at, true
			}
		}
		if !any {
			break
		}
		end := min(until, first+e.least)
		wg.Add(len(e.shards) - 1)
		for i := 1; i < len(e.shards); i++ {
			ends[i] <- end
		}
		e.shards[0].window(end)
		wg.Wait()
		for _, s := range e.shards {
			for i, xs := range s.out {
				for _, x := range xs {
					heap.Push(&e.shards[i].queue, x)
				}
				clear(xs)
				s.out[i] = xs[:0]
			}
		}
	}
	for i := 1; i < len(e.shards); i++ {
		close(ends[i])
	}
	threads.Wait()
	for _, s := range e.shards {
		events += s.ran
	}
	return events
}
