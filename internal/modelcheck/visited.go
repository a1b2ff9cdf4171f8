package modelcheck

import (
	"slices"
	"sync"
)

// origin is the predecessor of a state and the step between them. The tags are the names in stored data.
type origin struct {
	Parent Key  `cbor:"Parent"`
	Step   Step `cbor:"Step"`
}

// less orders origins. Of several origins at the same depth the least is kept, so that traces do not depend on the number
// of workers.
func (o origin) less(p origin) bool {
	order := slices.Compare(o.Parent[:], p.Parent[:])
	return order < 0 || order == 0 && o.Step.less(p.Step)
}

// shardCount is the number of shards of visitedStates: many more than workers, to avoid lock contention.
const shardCount = 64

// visit is the origin of a visited state, and the depth at which it was first reached.
type visit struct {
	origin
	depth int
}

// visitedStates is a sharded map of all states reached so far, by key.
type visitedStates struct {
	shards [shardCount]struct {
		sync.Mutex
		visits map[Key]visit
	}
}

func newVisitedStates() *visitedStates {
	v := &visitedStates{}
	for i := range v.shards {
		v.shards[i].visits = map[Key]visit{}
	}
	return v
}

// add adds a state; isNew is false if it was present. Of several origins at the state's first depth the least is kept.
func (v *visitedStates) add(key Key, from origin, depth int) (isNew bool) {
	shard := &v.shards[key[0]%shardCount]
	shard.Lock()
	defer shard.Unlock()
	known, ok := shard.visits[key]
	if !ok || known.depth == depth && from.less(known.origin) {
		shard.visits[key] = visit{from, depth}
	}
	return !ok
}

// origin returns the origin of a state; ok is false if the state was not reached.
func (v *visitedStates) origin(key Key) (from origin, ok bool) {
	shard := &v.shards[key[0]%shardCount]
	shard.Lock()
	defer shard.Unlock()
	known, ok := shard.visits[key]
	return known.origin, ok
}
