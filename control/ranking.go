package control

import (
	"math"
	"slices"
)

// ranking holds the first servers of a function's order of ready servers by static key: the key that follows from the
// endpoint list alone. Whatever else is known of a server can only lower its weight and so raise its key, so a walk in
// static order may stop at the first static key that is not below the keys of the candidates found so far. A function
// gets a ranking when it is routed while it has no replica. Rankings are derived from the endpoint list and never
// stored.
type ranking struct {
	entries        []rankingEntry // lowest key first
	bound          float64        // no ready server outside entries has a lower key
	appliedChanges int            // changes of the endpoint list applied so far
	built          bool
}

type rankingEntry struct {
	id  ServerID
	key float64
}

// rankingLength is how many entries a ranking has. If they don't determine the first two candidates, the fallback is a
// scan of all servers, which makes the same choice but is slow. Of 3,200 servers, 12 entries suffice in all but 1 of 400
// choices while half of the servers are unusable, in all but 1 of 20 while a third is unusable and another third
// overloaded, but only in 1 of 3 while nine servers in ten are unusable.
const rankingLength = 12

// add inserts a server in order if its key is below the bound, and lowers the bound when the ranking overflows.
func (rk *ranking) add(id ServerID, key float64) {
	if key >= rk.bound {
		return
	}
	i := len(rk.entries)
	for i > 0 && (rk.entries[i-1].key > key || rk.entries[i-1].key == key && rk.entries[i-1].id > id) {
		i--
	}
	if len(rk.entries) == rankingLength {
		last := &rk.entries[rankingLength-1]
		if i == rankingLength {
			rk.bound = key
			return
		}
		rk.bound, rk.entries = last.key, rk.entries[:rankingLength-1]
	}
	rk.entries = slices.Insert(rk.entries, i, rankingEntry{id, key})
}

// rankKey returns a server's key in a function's order, given its weight.
func rankKey(order uint64, id ServerID, weight float64) float64 {
	return -math.Log(uniform(order, uint64(id))) / weight
}

// buildRanking builds a function's ranking. It is normally the only scan of all servers for a function, and avoids most
// logarithms: with a hash of 2^64 x u, a server's key -ln(u)/weight is at least (1-u)/weight, so an integer comparison
// excludes most servers.
func (b *Balancer) buildRanking(f *function) {
	rk := &f.ranking
	if cap(rk.entries) == 0 {
		rk.entries = make([]rankingEntry, 0, rankingLength)
	}
	// The first pass uses a bound below which three times the needed number of servers is expected. Without it, most
	// logarithms would be computed for keys that are displaced again.
	for bound := b.keyBound(3 * rankingLength); ; bound = math.Inf(1) {
		*rk = ranking{entries: rk.entries[:0], bound: bound, built: true}
		b.scanForRanking(f)
		if rk.bound < bound || math.IsInf(bound, 1) {
			return
		}
	}
}

// scanForRanking scans all ready servers for the lowest keys below the ranking's bound.
func (b *Balancer) scanForRanking(f *function) {
	rk, idx := &f.ranking, &b.index
	maxDistance := idx.hashBound(rk.bound)
	for i := idx.nextWithin(0, f, maxDistance); i < len(idx.ready); i = idx.nextWithin(i+1, f, maxDistance) {
		s := idx.ready[i]
		rk.add(s.Server, rankKey(uint64(f.id), s.Server, s.weight))
		maxDistance = idx.hashBound(rk.bound)
	}
}

// nextWithin returns the position, from i on, of the next ready server whose hash in a function's order may be at most
// maxDistance below 2^64. It computes only those steps of the hash that determine the upper bits.
func (idx *index) nextWithin(i int, f *function, maxDistance uint64) int {
	seed, lowest := uint64(f.id)*hashFactor, ^maxDistance>>33<<33
	for k, id := range idx.readyIDs[i:] {
		if mix(seed^uint64(id)) >= lowest {
			return i + k
		}
	}
	return len(idx.ready)
}

// hashBound returns how far below 2^64 the hash of a server may be if its key is below bound. It is rounded up a
// little, so that no server with a key below the bound is skipped.
func (idx *index) hashBound(bound float64) uint64 {
	const hashRange = 1 << 64
	if u := bound * idx.maxWeight * (1 + 1e-9); u < 1-1e-9 {
		return uint64(u*hashRange) + 1<<12
	}
	return math.MaxUint64
}

// keyBound returns a key below which about n ready servers are expected.
func (b *Balancer) keyBound(n int) float64 {
	ready := float64(len(b.index.ready))
	if share := float64(n) / ready; share < 1 {
		return -math.Log(1-share) * ready / b.index.totalWeight
	}
	return math.Inf(1)
}

// currentRanking returns a function's ranking with all changes of the endpoint list applied.
func (b *Balancer) currentRanking(f *function) *ranking {
	rk, idx := &f.ranking, &b.index
	if !rk.built || rk.appliedChanges < idx.droppedChanges {
		b.buildRanking(f)
	} else {
		maxDistance := idx.hashBound(rk.bound)
		for _, c := range idx.changes[rk.appliedChanges-idx.droppedChanges:] {
			id := c.server
			if i := slices.IndexFunc(rk.entries, func(e rankingEntry) bool { return e.id == id }); i >= 0 {
				rk.entries = slices.Delete(rk.entries, i, i+1)
			}
			if ^hash(uint64(f.id), uint64(id)) > maxDistance {
				continue
			}
			if s := b.servers.find(id); s != nil && s.weight > 0 {
				rk.add(id, rankKey(uint64(f.id), id, s.weight))
			}
		}
	}
	rk.appliedChanges = idx.changeCount()
	return rk
}

// firstTwoByRanking returns the first two servers that a load may go to, in loadTarget's order, from the
// function's ranking alone. The result is false if the ranking doesn't determine them.
func (b *Balancer) firstTwoByRanking(now Micros, f *function, req *Request) ([]candidate, bool) {
	if !b.weightsOnlyLowered() {
		return nil, false
	}
	rk := b.currentRanking(f)
	firstTwo, ok := b.walkRanking(now, f, req, rk)
	// Servers that left the endpoint list have shortened the ranking.
	if !ok && len(rk.entries) < rankingLength && !math.IsInf(rk.bound, 1) {
		b.buildRanking(f)
		rk.appliedChanges = b.index.changeCount()
		firstTwo, ok = b.walkRanking(now, f, req, rk)
	}
	return firstTwo, ok
}

// walkRanking returns the first two candidates among a ranking's entries. The result is false if the entries don't
// determine them.
func (b *Balancer) walkRanking(now Micros, f *function, req *Request, rk *ranking) ([]candidate, bool) {
	firstTwo := b.candidates[:0]
	for _, e := range rk.entries {
		if len(firstTwo) == 2 && e.key >= firstTwo[1].key {
			break
		}
		s := b.servers.find(e.id)
		if !b.usableReadOnly(now, s, req) {
			continue
		}
		c := candidate{s, e.key, b.weight(now, s)}
		if c.weight != s.weight {
			c.key = rankKey(uint64(f.id), e.id, c.weight)
		}
		firstTwo = insertFirstTwo(firstTwo, c)
	}
	b.candidates = firstTwo
	return firstTwo, math.IsInf(rk.bound, 1) || len(firstTwo) == 2 && rk.bound >= firstTwo[1].key
}

// weightsOnlyLowered reports whether slow start can only lower a server's weight, as rankings and home sets require. An
// initial capacity above 1 would raise it, and an infinite weight can make a bound NaN.
func (b *Balancer) weightsOnlyLowered() bool {
	return b.deployment.SlowStartInitial <= 1 && b.deployment.SlowStartDuration > 0 && b.index.maxWeight < math.Inf(1)
}

// nearestHomes returns candidates for a load, in any order, and the function's number of homes. All homes and the first
// two candidates are among them. With several routers it first looks only as far as it expects to find slightly more
// servers than it needs.
func (b *Balancer) nearestHomes(now Micros, f *function, req *Request) ([]candidate, int) {
	if b.deployment.Routers > 1 && b.weightsOnlyLowered() && !b.restrictedToGroup(req) {
		usable := b.usableCount(now, req)
		homes := b.homeCount(f, usable)
		need := max(homes, min(2, usable))
		likely := b.expectedScanLength(need, usable)
		for _, n := range []int{likely, 4 * likely} { // slow start can make a key a few times as large
			if cs := b.candidatesWithin(now, f, req, b.keyBound(n)); len(cs) >= need {
				return cs, homes
			}
		}
	}
	cs := b.allCandidates(now, f, req)
	return cs, b.homeCount(f, len(cs))
}

// expectedScanLength returns how many ready servers, lowest static keys first, are expected to include slightly more
// than n usable ones.
func (b *Balancer) expectedScanLength(n, usable int) int {
	return (n + n/4 + 2*rankingLength) * len(b.index.ready) / max(1, usable)
}

// candidatesWithin returns all candidates for a load whose key is below bound, in any order.
func (b *Balancer) candidatesWithin(now Micros, f *function, req *Request, bound float64) []candidate {
	if math.IsInf(bound, 1) {
		return b.allCandidates(now, f, req)
	}
	cs, idx := b.candidates[:0], &b.index
	maxDistance := idx.hashBound(bound)
	for i := idx.nextWithin(0, f, maxDistance); i < len(idx.ready); i = idx.nextWithin(i+1, f, maxDistance) {
		s := idx.ready[i]
		if !b.usableReadOnly(now, s, req) {
			continue
		}
		weight := b.weight(now, s)
		if key := rankKey(uint64(f.id), s.Server, weight); key < bound {
			cs = append(cs, candidate{s, key, weight})
		}
	}
	b.candidates = cs
	return cs
}

// allCandidates returns all candidates for a load, in any order. It scans all servers.
func (b *Balancer) allCandidates(now Micros, f *function, req *Request) []candidate {
	cs := b.candidates[:0]
	for s := range b.servers.all {
		if s.weight == 0 || !b.usableReadOnly(now, s, req) {
			continue
		}
		weight := b.weight(now, s)
		cs = append(cs, candidate{s, rankKey(uint64(f.id), s.Server, weight), weight})
	}
	b.candidates = cs
	return cs
}

// restrictedToGroup reports whether a request's earlier attempts confine it to a zone or cell.
func (b *Balancer) restrictedToGroup(req *Request) bool {
	class := b.deployment.Classes[req.Class]
	return class.Idempotency == IdempotentByKey && class.DedupScope != WholeFleet &&
		slices.ContainsFunc(req.Attempts, func(a Attempt) bool { return a.MayHaveRun })
}

// usableCount counts the servers that a request that isn't restricted to a group may go to: all ready ones except
// some that are impaired or in slow start.
func (b *Balancer) usableCount(now Micros, req *Request) int {
	idx := &b.index
	n := len(b.index.ready)
	for s := range idx.impairedOrInSlowStart {
		if s.State == Ready && !b.usableReadOnly(now, s, req) {
			n--
		}
	}
	return n
}

// usableReadOnly is usable without side effects. Which servers are checked depends on the ranking, and a restored
// Balancer starts without one: a side effect would make its decisions differ.
func (b *Balancer) usableReadOnly(now Micros, s *server, req *Request) bool {
	sends := s.slowStartSends
	usable := b.usable(now, s, req)
	s.slowStartSends = sends
	return usable
}

// weight returns a server's weight in the order of candidates for a load: its listed weight, reduced for slow start and
// by what is known of its load.
func (b *Balancer) weight(now Micros, s *server) float64 {
	weight := max(0.1, s.Weight) * b.capacity(now, s)
	if b.observationTTL <= rareAnswerInterval && b.deployment.Routers == 1 {
		// Observations of a server are recent enough to tell how free it is.
		free := max(0.05, min(1-s.report.Utilization, s.freeShare()))
		weight *= free * free / (1 + max(0, s.report.PendingLoads))
	} else if s.crowded() || b.overloaded(now, s) {
		weight *= 0.01 // moves such servers to the end, in their usual order
	}
	return max(0.001, weight)
}

// partitionLowest moves the n candidates with the lowest keys to the front, in any order.
func partitionLowest(cs []candidate, n int) {
	for n > 0 && n < len(cs) {
		pivot := cs[len(cs)/2].key
		i, j := 0, len(cs)-1
		for i <= j {
			for cs[i].key < pivot {
				i++
			}
			for cs[j].key > pivot {
				j--
			}
			if i <= j {
				cs[i], cs[j] = cs[j], cs[i]
				i, j = i+1, j-1
			}
		}
		switch { // everything between j and i equals the pivot
		case n <= j+1:
			cs = cs[:j+1]
		case n >= i:
			cs, n = cs[i:], n-i
		default:
			return
		}
	}
}
