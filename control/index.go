package control

import (
	"cmp"
	"math"
	"slices"
)

// index is what could be found by asking all servers, kept so that nobody has to: a fleet may have thousands. It follows from the
// rest of the state, is built anew after a restore, and is never stored.
type index struct {
	listed  Micros     // when a list was last taken in: until then what it tells of was on the list
	gone    []*server  // by when they left, then by id
	ids     []ServerID // of all servers
	unready []ServerID // of those that drain or are gone
	cold    []*server  // ready ones of which capacities has not seen yet that they have all of theirs, by id
	flying  []*server  // with executions out, by id

	doubted []*server // those that may be suspect or avoided, in any order

	heaviest float64    // no ready server has a larger weight
	total    float64    // of the ready servers' weights, about
	changes  []ServerID // the latest that came, went or changed their weight
	dropped  int        // such changes before those
}

func byID(a, b *server) int { return cmp.Compare(a.Server, b.Server) }

func byLeft(a, b *server) int { return cmp.Or(cmp.Compare(a.left, b.left), byID(a, b)) }

// know takes up a new server at its place.
func (r *Router) know(i int, s *server) {
	r.servers, r.index.ids = slices.Insert(r.servers, i, s), slices.Insert(r.index.ids, i, s.Server)
}

// unknow drops one that is gone. Its place among the gone is the caller's to drop.
func (r *Router) unknow(s *server) {
	x := &r.index
	if i, known := r.find(s.Server); known {
		r.servers, x.ids = slices.Delete(r.servers, i, i+1), slices.Delete(x.ids, i, i+1)
	}
	if i, is := slices.BinarySearch(x.unready, s.Server); is {
		x.unready = slices.Delete(x.unready, i, i+1)
	}
	if s.doubted {
		x.trust(func(other *server) bool { return other == s })
	}
}

// doubt notes that a server may be suspect or avoided.
func (x *index) doubt(s *server) {
	if !s.doubted {
		s.doubted, x.doubted = true, append(x.doubted, s)
	}
}

// trust drops those that are not any more.
func (x *index) trust(not func(s *server) bool) {
	x.doubted = slices.DeleteFunc(x.doubted, func(s *server) bool {
		trusted := not(s)
		s.doubted = !trusted
		return trusted
	})
}

// with gives a sorted list that has the server in it.
func with(list []*server, s *server, by func(a, b *server) int) []*server {
	i, in := slices.BinarySearchFunc(list, s, by)
	if in {
		return list
	}
	return slices.Insert(list, i, s)
}

// without gives a sorted list that has not.
func without(list []*server, s *server, by func(a, b *server) int) []*server {
	if i, in := slices.BinarySearchFunc(list, s, by); in {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// settle takes in what a list has changed about a server. Before is when the list before it was taken in.
func (r *Router) settle(before Micros, s *server) {
	x := &r.index
	switch there := s.State != Gone; {
	case there && !s.there:
		x.gone = without(x.gone, s, byLeft)
	case !there && s.there:
		s.left = before
		fallthrough
	case !there:
		x.gone = with(x.gone, s, byLeft)
	}
	s.there = s.State != Gone
	i, was := slices.BinarySearch(x.unready, s.Server)
	switch is := s.State != Ready; {
	case is && !was:
		x.unready = slices.Insert(x.unready, i, s.Server)
	case !is && was:
		x.unready = slices.Delete(x.unready, i, i+1)
	}
	weight := 0.0
	if s.State == Ready {
		weight = max(0.1, s.Power)
	}
	if weight != s.weight {
		x.heaviest, x.total = max(x.heaviest, weight), x.total+weight-s.weight
		s.weight = weight
		x.changed(s.Server)
	}
	if s.State == Ready && r.capacity(x.listed, s) != 1 {
		x.cold = with(x.cold, s, byID)
	} else {
		x.cold = without(x.cold, s, byID)
	}
}

// changed notes a change for the rankings.
func (x *index) changed(id ServerID) {
	const kept = 256 // to take in more costs a ranking as much as to look at some thousand servers
	if len(x.changes) == 2*kept {
		x.dropped += kept
		x.changes = append(x.changes[:0], x.changes[kept:]...)
	}
	x.changes = append(x.changes, id)
}

// capacities sums up the capacity of all ready servers, in the order of their ids and rounded at each: the sum decides, and must not
// depend on who is known to be cold. Each has all of its own but those of cold. It costs as many steps as those are, times a logarithm.
func (r *Router) capacities(now Micros) float64 {
	x := &r.index
	sum, counted, i, unready := 0.0, 0, 0, 0
	x.cold = slices.DeleteFunc(x.cold, func(s *server) bool {
		has := r.capacity(now, s)
		if has == 1 {
			return true
		}
		i, unready = seek(x.ids, i, s.Server), seek(x.unready, unready, s.Server)
		sum = addOnes(sum, i-unready-counted) + has
		counted = i - unready + 1
		return false
	})
	return addOnes(sum, len(x.ids)-len(x.unready)-counted)
}

// addOnes adds 1 to a positive sum n times and gives just what doing so one by one gives: only the step to the next power of two and
// beyond it may round.
func addOnes(sum float64, n int) float64 {
	for n > 0 {
		const fraction = 52 // bits of it in a float64: without them and one exponent up is the next power of two
		next := math.Float64frombits((math.Float64bits(sum)>>fraction + 1) << fraction)
		exact := max(1, min(n, int(next-sum)))
		sum += float64(exact)
		n -= exact
	}
	return sum
}

// seek finds the place of the first id not below one, from a place on that is not behind it; the nearer the cheaper.
func seek(ids []ServerID, from int, id ServerID) int {
	step := 1
	for from+step <= len(ids) && ids[from+step-1] < id {
		from, step = from+step, step*2
	}
	i, _ := slices.BinarySearch(ids[from:min(len(ids), from+step-1)], id)
	return from + i
}

// lastListed tells when a server was last on the list.
func (r *Router) lastListed(s *server) Micros {
	if s.there {
		return r.index.listed
	}
	return s.left
}

// reindex builds the index from the rest of the state.
func (r *Router) reindex() {
	r.index = index{}
	for _, s := range r.servers {
		s.weight, s.there, s.doubted, s.holds = 0, false, false, nil
		r.index.ids = append(r.index.ids, s.Server)
		if s.State != Gone {
			r.index.listed = max(r.index.listed, s.left)
		}
	}
	for _, s := range r.servers {
		r.settle(r.index.listed, s)
		if len(s.flights) > 0 {
			r.index.flying = append(r.index.flying, s)
		}
		if s.suspect || s.avoidUntil > 0 {
			r.index.doubt(s)
		}
	}
	for _, f := range r.order {
		f.ranking = ranking{}
		for _, in := range f.instances {
			in.server.hold(f)
		}
	}
}

// hold notes that something is known of a function's copies on a server.
func (s *server) hold(f *function) {
	if i, known := slices.BinarySearchFunc(s.holds, f, byFunction); !known {
		s.holds = slices.Insert(s.holds, i, f)
	}
}

// drop notes that nothing is any more.
func (s *server) drop(f *function) {
	if i, known := slices.BinarySearchFunc(s.holds, f, byFunction); known {
		s.holds = slices.Delete(s.holds, i, i+1)
	}
}

func byFunction(a, b *function) int { return cmp.Compare(a.id, b.id) }
