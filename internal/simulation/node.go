package simulation

import (
	"math/rand/v2"
	"slices"

	"hollymast/control"
	"hollymast/internal/invariant"
)

// node is a process in simulated time. Nodes share no state and communicate only by messages.
type node struct {
	engine       *engine
	id           int
	shard        *shard
	lastSequence uint64 // of the events that it has scheduled
	random       *rand.Rand
	records      []invariant.Record
}

// newNode adds a node. Nodes are assigned to shards in turn, which balances the work: nodes of the same kind have a
// similar load and are added one after the other.
func (e *engine) newNode(seed uint64) *node {
	n := &node{engine: e, id: len(e.nodes), shard: e.shards[len(e.nodes)%len(e.shards)]}
	n.random = rand.New(rand.NewPCG(seed, uint64(n.id)+1))
	e.nodes = append(e.nodes, n)
	return n
}

// Now returns the node's time.
func (n *node) Now() control.Micros { return n.shard.now }

// After calls f at the node itself after a delay.
func (n *node) After(d control.Micros, f func()) { n.at(n.Now()+max(0, d), f) }

// at calls f at the node at a time. Other than by the node's own events, it may be called only before the engine runs.
func (n *node) at(t control.Micros, f func()) {
	n.shard.queue.push(n.newEvent(t, n, f))
}

// send calls f at another node after a delay, which is raised to the engine's minimum delay.
func (n *node) send(to *node, delay control.Micros, f func()) {
	e := n.newEvent(n.Now()+max(n.engine.minDelay, delay), to, f)
	if to.shard == n.shard {
		n.shard.queue.push(e)
		return
	}
	i := slices.Index(n.engine.shards, to.shard)
	n.shard.outbox[i] = append(n.shard.outbox[i], e)
}

func (n *node) newEvent(at control.Micros, to *node, f func()) event {
	n.lastSequence++
	return event{at: at, to: to.id, from: n.id, sequence: n.lastSequence, run: f}
}

// record records what happened at this node's end of a connection.
func (n *node) record(r invariant.Record) {
	r.At = int64(n.Now())
	n.records = append(n.records, r)
}
