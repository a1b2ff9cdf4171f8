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
	first []place // lowest key first
	bound float64 // no other ready server has a lower key
	seen  int     // changes of the list taken in
	built bool
}

type place struct {
	id  ServerID
	key float64
}

// deep is how many places a ranking has. On trial with 3,200 servers they told the first two in all but 1 of 400 choices where half of
// the fleet could not be used or was in slow start without room, in all but 1 of 20 where a third could not and another third was
// shunned, and in one of three where one of ten could be used: enough, since to look at all is only slow.
const deep = 12

// add takes up a server at its place, if it is among the first.
func (k *ranking) add(id ServerID, key float64) {
	if key >= k.bound {
		return
	}
	i := len(k.first)
	for i > 0 && k.first[i-1].key > key {
		i--
	}
	if len(k.first) == deep {
		last := &k.first[deep-1]
		if i == deep {
			k.bound = key
			return
		}
		k.bound, k.first = last.key, k.first[:deep-1]
	}
	k.first = slices.Insert(k.first, i, place{id, key})
}

// key is a server's key in a function's order, for a weight.
func key(order uint64, id ServerID, weight float64) float64 {
	return -math.Log(even(order, uint64(id))) / weight
}

// rank builds a function's ranking: the one look at all servers that a function costs, so that it is a tight loop. A server's number
// is 2^64 x u, and its key -ln(u)/weight is at least (1-u)/weight: most are passed over by a comparison of integers.
func (r *Router) rank(f *function) {
	k, x := &f.ranking, &r.index
	if cap(k.first) == 0 {
		k.first = make([]place, 0, deep)
	}
	// At first only as far as three times as many servers as are kept are to be expected: else most logarithms are of keys that
	// others push out again.
	for guess := x.bound(3 * deep); ; guess = math.Inf(1) {
		*k = ranking{first: k.first[:0], bound: guess, built: true}
		r.scan(f)
		if k.bound < guess || math.IsInf(guess, 1) {
			return
		}
	}
}

func (r *Router) scan(f *function) {
	k, x := &f.ranking, &r.index
	most := x.reach(k.bound)
	for i, id := range x.ids {
		if ^mix(uint64(f.id), uint64(id)) > most || r.servers[i].weight == 0 {
			continue
		}
		k.add(id, key(uint64(f.id), id, r.servers[i].weight))
		most = x.reach(k.bound)
	}
}

// reach is how far from 2^64 the number of a server may be whose key is below a bound. It is a little more than that: what is left out
// must be left out for sure.
func (x *index) reach(bound float64) uint64 {
	const whole = 1 << 64
	if u := bound * x.heaviest * (1 + 1e-9); u < 1-1e-9 {
		return uint64(u*whole) + 1<<12
	}
	return math.MaxUint64
}

// bound is a key below which about n of the ready servers are to be expected.
func (x *index) bound(n int) float64 {
	ready := float64(len(x.ids) - len(x.unready))
	if share := float64(n) / ready; share < 1 {
		return -math.Log(1-share) * ready / x.total
	}
	return math.Inf(1)
}

// ranked gives a function's ranking with all changes of the list taken in.
func (r *Router) ranked(f *function) *ranking {
	k, x := &f.ranking, &r.index
	if !k.built || k.seen < x.dropped {
		r.rank(f)
	} else {
		most := x.reach(k.bound)
		for _, id := range x.changes[k.seen-x.dropped:] {
			if i := slices.IndexFunc(k.first, func(p place) bool { return p.id == id }); i >= 0 {
				k.first = slices.Delete(k.first, i, i+1)
			}
			if ^mix(uint64(f.id), uint64(id)) > most {
				continue
			}
			if i, known := r.find(id); known && r.servers[i].weight > 0 {
				k.add(id, key(uint64(f.id), id, r.servers[i].weight))
			}
		}
	}
	k.seen = x.dropped + len(x.changes)
	return k
}

// firstTwo gives the first two servers that a load may go to in a function's order, by its ranking alone; false where that is not
// enough to tell. The order then is that of loadTarget.
func (r *Router) firstTwo(now Micros, f *function, j *Job) ([]choice, bool) {
	if !r.onlyLowers() {
		return nil, false
	}
	k := r.ranked(f)
	two, ok := r.walk(now, f, j, k)
	if !ok && len(k.first) < deep && !math.IsInf(k.bound, 1) { // servers that left have thinned it
		r.rank(f)
		k.seen = r.index.dropped + len(r.index.changes)
		two, ok = r.walk(now, f, j, k)
	}
	return two, ok
}

func (r *Router) walk(now Micros, f *function, j *Job, k *ranking) ([]choice, bool) {
	two := r.choices[:0]
	for _, p := range k.first {
		if len(two) == 2 && p.key >= two[1].key {
			break
		}
		i, _ := r.find(p.id)
		s := r.servers[i]
		if !r.open(now, s, j) {
			continue
		}
		c := choice{s, p.key, r.weight(now, s)}
		if c.weight != s.weight {
			c.key = key(uint64(f.id), p.id, c.weight)
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
	r.choices = two
	return two, math.IsInf(k.bound, 1) || len(two) == 2 && k.bound >= two[1].key
}

// onlyLowers tells whether what is believed of a server can but lower its weight: a capacity could be more than all of it, and a power
// no number.
func (r *Router) onlyLowers() bool {
	return r.told.ColdFrom <= 1 && r.told.Cold > 0 && r.index.heaviest < math.Inf(1)
}

// nearest gives servers that a load may go to, the function's homes and the first two among them, in any order, and the number of homes.
// One of several routers looks at first only as far as to expect a little more than it needs.
func (r *Router) nearest(now Micros, f *function, j *Job) ([]choice, int) {
	if r.told.Routers > 1 && r.onlyLowers() && !r.grouped(j) {
		usable := r.usables(now, j)
		homes := r.homes(f, usable)
		need := max(homes, min(2, usable))
		ready := len(r.index.ids) - len(r.index.unready)
		likely := (need + need/4 + 2*deep) * ready / max(1, usable)
		for _, n := range []int{likely, 4 * likely} { // slow start brings keys up to some times higher
			if cs := r.within(now, f, j, r.index.bound(n)); len(cs) >= need {
				return cs, homes
			}
		}
	}
	cs := r.within(now, f, j, math.Inf(1))
	return cs, r.homes(f, len(cs))
}

// within gives all servers that a load may go to whose key is below a bound.
func (r *Router) within(now Micros, f *function, j *Job, bound float64) []choice {
	cs, x := r.choices[:0], &r.index
	most := x.reach(bound)
	for i, id := range x.ids {
		if ^mix(uint64(f.id), uint64(id)) > most {
			continue
		}
		s := r.servers[i]
		if s.weight == 0 || !r.open(now, s, j) {
			continue
		}
		weight := r.weight(now, s)
		if k := key(uint64(f.id), id, weight); !(k >= bound) { // also where it is no number
			cs = append(cs, choice{s, k, weight})
		}
	}
	r.choices = cs
	return cs
}

// grouped tells whether the earlier executions of a job keep it from some of the servers.
func (r *Router) grouped(j *Job) bool {
	w := r.told.Workloads[j.Workload]
	return w.Effect == Fingerprinted && w.Scope != WholeFleet && slices.ContainsFunc(j.Executions, func(e Execution) bool { return e.MayRun })
}

// usables counts the servers that a job of no group may go to: all that are ready but some of those in doubt or in slow start.
func (r *Router) usables(now Micros, j *Job) int {
	x := &r.index
	n := len(x.ids) - len(x.unready)
	for _, s := range x.doubted {
		if s.State == Ready && !r.open(now, s, j) {
			n--
		}
	}
	for _, s := range x.cold {
		if !s.doubted && !r.open(now, s, j) {
			n--
		}
	}
	return n
}

// open is usable, and leaves nothing behind: which servers are asked depends on the ranking, and one that was restored has none.
func (r *Router) open(now Micros, s *server, j *Job) bool {
	sent := s.sent
	usable := r.usable(now, s, j)
	s.sent = sent
	return usable
}

// weight is a server's weight in the order for loads: what the list tells, less for what is believed.
func (r *Router) weight(now Micros, s *server) float64 {
	weight := max(0.1, s.Power) * r.capacity(now, s)
	if r.fresh <= seldom && r.told.Routers == 1 { // what we see of a server is new and tells how free it is
		free := max(0.05, min(1-s.report.Util, s.room()))
		weight *= free * free / (1 + max(0, s.report.Loads))
	} else if s.room() < 0.25 || r.shunned(now, s) {
		weight *= 0.01 // last, in the same order
	}
	return max(0.001, weight)
}

// lowest brings the n choices with the lowest keys to the front, in any order.
func lowest(cs []choice, n int) {
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
