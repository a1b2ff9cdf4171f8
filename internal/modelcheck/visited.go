package modelcheck

import (
	"slices"
	"sync"
)

// origin is how a state was first reached.
type origin struct {
	Parent Key  `cbor:"Parent"`
	Step   Step `cbor:"Step"`
}

// less orders origins: of several of one depth the least is kept, so that traces are the same whatever the number of workers.
func (o origin) less(p origin) bool {
	order := slices.Compare(o.Parent[:], p.Parent[:])
	return order < 0 || order == 0 && o.Step.less(p.Step)
}

// shardCount is the number of parts of visitedStates: many more than workers, so that these seldom wait for each other.
const shardCount = 64

// visit is how a state was reached, and at which depth for the first time.
type visit struct {
	origin
	depth int
}

// visitedStates are all states that were reached, by key.
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

// add adds a state; isNew is false where it was there already. Of several origins at the state's first depth the least is kept.
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

// origin returns how a state was first reached; ok is false where it was not.
func (v *visitedStates) origin(key Key) (from origin, ok bool) {
	shard := &v.shards[key[0]%shardCount]
	shard.Lock()
	defer shard.Unlock()
	known, ok := shard.visits[key]
	return known.origin, ok
}
