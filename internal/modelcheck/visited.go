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

// visitedStates are all states that were reached, by key.
type visitedStates struct {
	shards [shardCount]struct {
		sync.Mutex
		origins map[Key]origin
	}
}

func newVisitedStates() *visitedStates {
	v := &visitedStates{}
	for i := range v.shards {
		v.shards[i].origins = map[Key]origin{}
	}
	return v
}

// add adds a state; isNew is false where it was there already.
func (v *visitedStates) add(key Key, from origin) (isNew bool) {
	shard := &v.shards[key[0]%shardCount]
	shard.Lock()
	defer shard.Unlock()
	if _, known := shard.origins[key]; known {
		return false
	}
	shard.origins[key] = from
	return true
}

func (v *visitedStates) origin(key Key) (from origin, ok bool) {
	shard := &v.shards[key[0]%shardCount]
	shard.Lock()
	defer shard.Unlock()
	from, ok = shard.origins[key]
	return from, ok
}

// lowerOrigin replaces a state's origin by a lesser one.
func (v *visitedStates) lowerOrigin(key Key, from origin) {
	shard := &v.shards[key[0]%shardCount]
	shard.Lock()
	defer shard.Unlock()
	if from.less(shard.origins[key]) {
		shard.origins[key] = from
	}
}
