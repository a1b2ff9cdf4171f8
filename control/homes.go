package control

import (
	"cmp"
	"math"
	"slices"
)

// homeSet is the part of a function's server order that contains its homes: all ready servers whose static key (see
// ranking) is below a bound. Each server is in it twice: by its key in the order that all routers share, which
// determines whether it is a home, and by its key in the order in which this router prefers the homes. A function gets
// a home set once a request for it needs a load while it has several homes. Home sets are derived from the endpoint
// list and never stored.
type homeSet struct {
	keys           []float64   // static keys in the shared order, ascending
	entries        []homeEntry // by ownKey
	bound          float64     // no ready server outside the set has a lower static key
	size           int         // servers expected below the bound when the set was built; 0: not built
	appliedChanges int         // changes of the endpoint list applied so far
}

// homeEntry is a server with its static keys.
type homeEntry struct {
	id     ServerID
	key    float64 // in the shared order
	ownKey float64 // in this router's order
}

// homeEntry returns the entry of a server with the given weight in a function's home set.
func (b *Balancer) homeEntry(f *function, id ServerID, weight float64) homeEntry {
	return homeEntry{id, rankKey(uint64(f.id), id, weight), rankKey(b.ownOrder(f), id, weight)}
}

// ownOrder returns the seed of this router's order of a function's homes.
func (b *Balancer) ownOrder(f *function) uint64 {
	return hash(uint64(f.id), uint64(b.deployment.RouterIndex)+1)
}

func byOwnKey(a, b homeEntry) int {
	return cmp.Or(cmp.Compare(a.ownKey, b.ownKey), cmp.Compare(a.id, b.id))
}

// add inserts an entry if its key is below the bound.
func (hs *homeSet) add(e homeEntry) {
	if e.key >= hs.bound {
		return
	}
	i, _ := slices.BinarySearch(hs.keys, e.key)
	hs.keys = slices.Insert(hs.keys, i, e.key)
	i, _ = slices.BinarySearchFunc(hs.entries, e, byOwnKey)
	hs.entries = slices.Insert(hs.entries, i, e)
}

// remove deletes an entry if the set contains it.
func (hs *homeSet) remove(e homeEntry) {
	if e.key >= hs.bound {
		return
	}
	if i, found := slices.BinarySearch(hs.keys, e.key); found {
		hs.keys = slices.Delete(hs.keys, i, i+1)
	}
	if i, found := slices.BinarySearchFunc(hs.entries, e, byOwnKey); found {
		hs.entries = slices.Delete(hs.entries, i, i+1)
	}
}

// buildHomes builds a function's home set by a scan of all ready servers. It chooses the bound so that about size of
// them are below it.
func (b *Balancer) buildHomes(f *function, size int) {
	hs, idx := &f.homes, &b.index
	*hs = homeSet{keys: hs.keys[:0], entries: hs.entries[:0], bound: b.keyBound(size), size: size, appliedChanges: idx.changeCount()}
	maxDistance := idx.hashBound(hs.bound)
	for i := idx.nextWithin(0, f, maxDistance); i < len(idx.ready); i = idx.nextWithin(i+1, f, maxDistance) {
		s := idx.ready[i]
		if e := b.homeEntry(f, s.Server, s.weight); e.key < hs.bound {
			hs.keys, hs.entries = append(hs.keys, e.key), append(hs.entries, e)
		}
	}
	slices.Sort(hs.keys)
	slices.SortFunc(hs.entries, byOwnKey)
}

// currentHomes returns a function's home set with all changes of the endpoint list applied. It rebuilds the set if
// there is none, or if it was built for far more or for fewer servers than are needed now.
func (b *Balancer) currentHomes(f *function, need int) *homeSet {
	const maxExcess = 16 // beyond it, fewer than one entry in 16 is a home, and a walk has to find two
	hs, idx := &f.homes, &b.index
	if hs.size == 0 || hs.appliedChanges < idx.droppedChanges || len(hs.entries) > maxExcess*need ||
		hs.size < need && !math.IsInf(hs.bound, 1) {
		b.buildHomes(f, 2*need)
		return hs
	}
	maxDistance := idx.hashBound(hs.bound)
	for _, c := range idx.changes[hs.appliedChanges-idx.droppedChanges:] {
		if ^hash(uint64(f.id), uint64(c.server)) > maxDistance {
			continue
		}
		if c.from > 0 {
			hs.remove(b.homeEntry(f, c.server, c.from))
		}
		if c.to > 0 {
			hs.add(b.homeEntry(f, c.server, c.to))
		}
	}
	hs.appliedChanges = idx.changeCount()
	return hs
}

// prefersHomeSet reports whether a home set is worth its cost for a function with several homes. A scan of all servers
// costs no more if the walk would be long, because a small fleet has few homes for the function, or if many servers
// have a key that differs from their static one.
func (b *Balancer) prefersHomeSet(f *function) bool {
	// As fractions of the ready servers. Beyond either of them a scan of all servers is as fast as the home set.
	const maxWalk, maxDeviating = 1. / 8, 1. / 8
	ready := len(b.index.ready)
	homes := b.homeCount(f, ready)
	walk := 2 * float64(2*b.expectedScanLength(homes, ready)) / float64(homes)
	deviating := len(b.index.impaired) + len(b.index.slowStart.servers)
	return walk <= maxWalk*float64(ready) && float64(deviating) <= maxDeviating*float64(ready)
}

// firstTwoHomes returns the first two servers that a load may go to, in loadTarget's order, from the home set of a
// function with several homes. The result is false if the set doesn't determine them. The cost doesn't depend on the
// number of servers, except for those that are impaired or in slow start.
func (b *Balancer) firstTwoHomes(now Micros, f *function, req *Request) ([]candidate, bool) {
	if !b.weightsOnlyLowered() || b.restrictedToGroup(req) {
		return nil, false
	}
	usable := b.usableCount(now, req)
	homes := b.homeCount(f, usable)
	if homes < 2 {
		return b.firstTwoByRanking(now, f, req)
	}
	need := b.expectedScanLength(homes, usable)
	hs := b.currentHomes(f, need)
	b.findDeviations(now, f, req)
	if b.countBelow(hs, hs.bound) < homes && hs.size < 4*need {
		b.buildHomes(f, 8*need) // slow start can make a key a few times as large
		b.findDeviations(now, f, req)
	}
	if b.countBelow(hs, hs.bound) < homes {
		return nil, false
	}
	return b.walkHomes(now, f, req, homes), true
}

// walkHomes returns the first two homes. All homes must be in the home set. It walks the entries in static order and,
// as in walkRanking, stops at the first static key that is not below those of the two candidates.
func (b *Balancer) walkHomes(now Micros, f *function, req *Request, homes int) []candidate {
	hs, firstTwo := &f.homes, b.candidates[:0]
	for _, e := range hs.entries {
		if len(firstTwo) == 2 && e.ownKey >= firstTwo[1].key {
			break
		}
		s := b.servers.find(e.id)
		if !b.usableReadOnly(now, s, req) {
			continue
		}
		c, key := candidate{s, e.ownKey, b.weight(now, s)}, e.key
		if c.weight != s.weight {
			c.key, key = rankKey(b.ownOrder(f), e.id, c.weight), rankKey(uint64(f.id), e.id, c.weight)
		}
		if isHome := b.countBelow(hs, key) < homes; isHome {
			firstTwo = insertFirstTwo(firstTwo, c)
		}
	}
	b.candidates = firstTwo
	return firstTwo
}

// insertFirstTwo inserts a candidate by key into a list that keeps the first two.
func insertFirstTwo(firstTwo []candidate, c candidate) []candidate {
	if len(firstTwo) == 2 {
		if c.key >= firstTwo[1].key {
			return firstTwo
		}
		firstTwo = firstTwo[:1]
	}
	if firstTwo = append(firstTwo, c); len(firstTwo) == 2 && firstTwo[1].key < firstTwo[0].key {
		firstTwo[0], firstTwo[1] = firstTwo[1], firstTwo[0]
	}
	return firstTwo
}

// deviation holds the two keys of a server whose current key in a function's order differs from its static one.
type deviation struct {
	static  float64
	current float64 // infinite for a server that can't be used
}

// findDeviations sets b.deviations to the deviations of the servers in a function's home set.
func (b *Balancer) findDeviations(now Micros, f *function, req *Request) {
	b.deviations = b.deviations[:0]
	maxDistance := b.index.hashBound(f.homes.bound)
	for s := range b.index.impairedOrInSlowStart {
		if ^hash(uint64(f.id), uint64(s.Server)) > maxDistance || s.weight == 0 {
			continue
		}
		d := deviation{rankKey(uint64(f.id), s.Server, s.weight), math.Inf(1)}
		if d.static >= f.homes.bound {
			continue
		}
		if b.usableReadOnly(now, s, req) {
			d.current = rankKey(uint64(f.id), s.Server, b.weight(now, s))
		}
		if d.current != d.static {
			b.deviations = append(b.deviations, d)
		}
	}
}

// countBelow returns how many usable servers have a current key below the given one. Above the home set's bound it may
// miss some, but still returns no less than at the bound.
func (b *Balancer) countBelow(hs *homeSet, key float64) int {
	n, _ := slices.BinarySearch(hs.keys, key)
	for _, d := range b.deviations {
		if d.static < key {
			n--
		}
		if d.current < key {
			n++
		}
	}
	return n
}
