package simulation

import (
	"math/rand/v2"
	"slices"

	"hollymast/control"
	"hollymast/internal/invariant"
)

// node is one party in simulated time. It shares no state with others, which reach it by messages alone.
type node struct {
	engine       *engine
	id           int
	shard        *shard
	lastSequence uint64 // of events that come from it
	random       *rand.Rand
	records      []invariant.Record
}

// newNode adds a node. Nodes are dealt to shards in turn, since nodes of a kind, which have similar work, follow each other.
func (e *engine) newNode(seed uint64) *node {
	n := &node{engine: e, id: len(e.nodes), shard: e.shards[len(e.nodes)%len(e.shards)]}
	n.random = rand.New(rand.NewPCG(seed, uint64(n.id)+1))
	e.nodes = append(e.nodes, n)
	return n
}

// Now is the node's time.
func (n *node) Now() control.Micros { return n.shard.now }

// After has something happen to the node itself.
func (n *node) After(d control.Micros, f func()) { n.at(n.Now()+max(0, d), f) }

// at is After with a time; before the engine runs it may be called from outside.
func (n *node) at(t control.Micros, f func()) {
	n.shard.queue.push(n.newEvent(t, n, f))
}

// send has something happen to another node after a delay, which is never below the engine's least.
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

// record logs something at this node's end of a connection.
func (n *node) record(r invariant.Record) {
	r.At = int64(n.Now())
	n.records = append(n.records, r)
}
