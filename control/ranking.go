package control

import (
	"math"
	"slices"
)

// ranking is the beginning of a function's order of ready servers by their static keys: those that they would have with nothing
// believed of them but what the list tells for good. What else is believed lowers a server's weight and so raises its key alone:
// whoever walks in static order may stop at the first static key that can't beat what it has. It is kept for functions that were
// placed without a copy, follows from the list, and is never stored.
type ranking struct {
	entries []rankingEntry // lowest key first
	bound   float64        // no other ready server has a lower key
	seen    int            // changes of the list taken in
	built   bool
}

type rankingEntry struct {
	id  ServerID
	key float64
}

// rankingLength is how many places a ranking has. On trial with 3,200 servers they told the first two in all but 1 of 400 choices where half of
// the fleet could not be used or was in slow start without room, in all but 1 of 20 where a third could not and another third was
// shunned, and in one of three where one of ten could be used: enough, since to look at all is only slow.
const rankingLength = 12

// add takes up a server at its place, if it is among the first.
func (k *ranking) add(id ServerID, key float64) {
	if key >= k.bound {
		return
	}
	i := len(k.entries)
	for i > 0 && k.entries[i-1].key > key {
		i--
	}
	if len(k.entries) == rankingLength {
		last := &k.entries[rankingLength-1]
		if i == rankingLength {
			k.bound = key
			return
		}
		k.bound, k.entries = last.key, k.entries[:rankingLength-1]
	}
	k.entries = slices.Insert(k.entries, i, rankingEntry{id, key})
}

// rankKey is a server's key in a function's order, for a weight.
func rankKey(order uint64, id ServerID, weight float64) float64 {
	return -math.Log(uniform(order, uint64(id))) / weight
}

// buildRanking builds a function's ranking: the one look at all servers that a function costs, so that it is a tight loop. A server's number
// is 2^64 x u, and its key -ln(u)/weight is at least (1-u)/weight: most are passed over by a comparison of integers.
func (r *Balancer) buildRanking(f *function) {
	k, x := &f.ranking, &r.index
	if cap(k.entries) == 0 {
		k.entries = make([]rankingEntry, 0, rankingLength)
	}
	// At first only as far as three times as many servers as are kept are to be expected: else most logarithms are of keys that
	// others push out again.
	for guess := x.keyBound(3 * rankingLength); ; guess = math.Inf(1) {
		*k = ranking{entries: k.entries[:0], bound: guess, built: true}
		r.scanForRanking(f)
		if k.bound < guess || math.IsInf(guess, 1) {
			return
		}
	}
}

func (r *Balancer) scanForRanking(f *function) {
	k, x := &f.ranking, &r.index
	most := x.hashBound(k.bound)
	for i, id := range x.ids {
		if ^hash(uint64(f.id), uint64(id)) > most || r.servers[i].weight == 0 {
			continue
		}
		k.add(id, rankKey(uint64(f.id), id, r.servers[i].weight))
		most = x.hashBound(k.bound)
	}
}

// hashBound is how far from 2^64 the number of a server may be whose key is below a bound. It is a little more than that: what is left out
// must be left out for sure.
func (x *index) hashBound(bound float64) uint64 {
	const whole = 1 << 64
	if u := bound * x.maxWeight * (1 + 1e-9); u < 1-1e-9 {
		return uint64(u*whole) + 1<<12
	}
	return math.MaxUint64
}

// keyBound is a key below which about n of the ready servers are to be expected.
func (x *index) keyBound(n int) float64 {
	ready := float64(len(x.ids) - len(x.notReady))
	if share := float64(n) / ready; share < 1 {
		return -math.Log(1-share) * ready / x.totalWeight
	}
	return math.Inf(1)
}

// currentRanking gives a function's ranking with all changes of the list taken in.
func (r *Balancer) currentRanking(f *function) *ranking {
	k, x := &f.ranking, &r.index
	if !k.built || k.seen < x.droppedChanges {
		r.buildRanking(f)
	} else {
		most := x.hashBound(k.bound)
		for _, id := range x.changes[k.seen-x.droppedChanges:] {
			if i := slices.IndexFunc(k.entries, func(p rankingEntry) bool { return p.id == id }); i >= 0 {
				k.entries = slices.Delete(k.entries, i, i+1)
			}
			if ^hash(uint64(f.id), uint64(id)) > most {
				continue
			}
			if i, known := r.find(id); known && r.servers[i].weight > 0 {
				k.add(id, rankKey(uint64(f.id), id, r.servers[i].weight))
			}
		}
	}
	k.seen = x.droppedChanges + len(x.changes)
	return k
}

// firstTwoByRanking gives the first two servers that a load may go to in a function's order, by its ranking alone; false where that is not
// enough to tell. The order then is that of loadTarget.
func (r *Balancer) firstTwoByRanking(now Micros, f *function, j *Request) ([]candidate, bool) {
	if !r.weightsOnlyLowered() {
		return nil, false
	}
	k := r.currentRanking(f)
	two, ok := r.walkRanking(now, f, j, k)
	if !ok && len(k.entries) < rankingLength && !math.IsInf(k.bound, 1) { // servers that left have thinned it
		r.buildRanking(f)
		k.seen = r.index.droppedChanges + len(r.index.changes)
		two, ok = r.walkRanking(now, f, j, k)
	}
	return two, ok
}

func (r *Balancer) walkRanking(now Micros, f *function, j *Request, k *ranking) ([]candidate, bool) {
	two := r.candidates[:0]
	for _, p := range k.entries {
		if len(two) == 2 && p.key >= two[1].key {
			break
		}
		i, _ := r.find(p.id)
		s := r.servers[i]
		if !r.usableUnchanged(now, s, j) {
			continue
		}
		c := candidate{s, p.key, r.weight(now, s)}
		if c.weight != s.weight {
			c.key = rankKey(uint64(f.id), p.id, c.weight)
		}
		if len(two) == 2 && c.key >= two[1].key {
			continue
		}
		if len(two) == 2 {
			two = two[:1]
		}
		if two = append(two, c); len(two) == 2 && two[1].key < two[0].key {
			two[0], two[1] = two[1], two[0]
		}
	}
	r.candidates = two
	return two, math.IsInf(k.bound, 1) || len(two) == 2 && k.bound >= two[1].key
}

// weightsOnlyLowered tells whether what is believed of a server can but lower its weight: a capacity could be more than all of it, and a power
// no number.
func (r *Balancer) weightsOnlyLowered() bool {
	return r.deployment.SlowStartInitial <= 1 && r.deployment.SlowStartDuration > 0 && r.index.maxWeight < math.Inf(1)
}

// nearestHomes gives servers that a load may go to, the function's homes and the first two among them, in any order, and the number of homes.
// One of several routers looks at first only as far as to expect a little more than it needs.
func (r *Balancer) nearestHomes(now Micros, f *function, j *Request) ([]candidate, int) {
	if r.deployment.Routers > 1 && r.weightsOnlyLowered() && !r.restrictedToGroup(j) {
		usable := r.usableCount(now, j)
		homes := r.homeCount(f, usable)
		need := max(homes, min(2, usable))
		ready := len(r.index.ids) - len(r.index.notReady)
		likely := (need + need/4 + 2*rankingLength) * ready / max(1, usable)
		for _, n := range []int{likely, 4 * likely} { // slow start brings keys up to some times higher
			if cs := r.candidatesWithin(now, f, j, r.index.keyBound(n)); len(cs) >= need {
				return cs, homes
			}
		}
	}
	cs := r.candidatesWithin(now, f, j, math.Inf(1))
	return cs, r.homeCount(f, len(cs))
}

// candidatesWithin gives all servers that a load may go to whose key is below a bound.
func (r *Balancer) candidatesWithin(now Micros, f *function, j *Request, bound float64) []candidate {
	cs, x := r.candidates[:0], &r.index
	most := x.hashBound(bound)
	for i, id := range x.ids {
		if ^hash(uint64(f.id), uint64(id)) > most {
			continue
		}
		s := r.servers[i]
		if s.weight == 0 || !r.usableUnchanged(now, s, j) {
			continue
		}
		weight := r.weight(now, s)
		if k := rankKey(uint64(f.id), id, weight); !(k >= bound) { // also where it is no number
			cs = append(cs, candidate{s, k, weight})
		}
	}
	r.candidates = cs
	return cs
}

// restrictedToGroup tells whether the earlier executions of a job keep it from some of the servers.
func (r *Balancer) restrictedToGroup(j *Request) bool {
	w := r.deployment.Classes[j.Class]
	return w.Effect == IdempotentByKey && w.Scope != WholeFleet && slices.ContainsFunc(j.Attempts, func(e Attempt) bool { return e.MayHaveRun })
}

// usableCount counts the servers that a job of no group may go to: all that are ready but some of those in doubt or in slow start.
func (r *Balancer) usableCount(now Micros, j *Request) int {
	x := &r.index
	n := len(x.ids) - len(x.notReady)
	for _, s := range x.questionable {
		if s.State == Ready && !r.usableUnchanged(now, s, j) {
			n--
		}
	}
	for _, s := range x.inSlowStart {
		if !s.questionable && !r.usableUnchanged(now, s, j) {
			n--
		}
	}
	return n
}

// usableUnchanged is usable, and leaves nothing behind: which servers are asked depends on the ranking, and one that was restored has none.
func (r *Balancer) usableUnchanged(now Micros, s *server, j *Request) bool {
	sent := s.slowStartSends
	usable := r.usable(now, s, j)
	s.slowStartSends = sent
	return usable
}

// weight is a server's weight in the order for loads: what the list tells, less for what is believed.
func (r *Balancer) weight(now Micros, s *server) float64 {
	weight := max(0.1, s.Weight) * r.capacity(now, s)
	if r.freshFor <= rareAnswers && r.deployment.Routers == 1 { // what we see of a server is new and tells how free it is
		free := max(0.05, min(1-s.report.Utilization, s.freeShare()))
		weight *= free * free / (1 + max(0, s.report.PendingLoads))
	} else if s.freeShare() < 0.25 || r.overloaded(now, s) {
		weight *= 0.01 // last, in the same order
	}
	return max(0.001, weight)
}

// partitionLowest brings the n choices with the lowest keys to the front, in any order.
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
		switch { // what is between j and i equals the pivot
		case n <= j+1:
			cs = cs[:j+1]
		case n >= i:
			cs, n = cs[i:], n-i
		default:
			return
		}
	}
}
