package control

import (
	"cmp"
	"slices"
)

// index is what could be found by asking all servers, kept so that nobody has to: a fleet may have thousands. It follows from the
// rest of the state, is built anew after a restore, and is never stored.
type index struct {
	listedAt    Micros     // when a list was last taken in: until then what it tells of was on the list
	removed     []*server  // by when they left, then by id
	ids         []ServerID // of all servers
	notReady    []ServerID // of those that drain or are gone
	inSlowStart []*server  // ready ones of which capacities has not seen yet that they have all of theirs, by id
	busy        []*server  // with executions out, by id

	questionable []*server // those that may be suspect or avoided, in any order

	maxWeight      float64    // no ready server has a larger weight
	totalWeight    float64    // of the ready servers' weights, about
	changes        []ServerID // the latest that came, went or changed their weight
	droppedChanges int        // such changes before those
}

func byID(a, b *server) int { return cmp.Compare(a.Server, b.Server) }

func byRemoval(a, b *server) int { return cmp.Or(cmp.Compare(a.lastListed, b.lastListed), byID(a, b)) }

// addServer takes up a new server at its place.
func (r *Balancer) addServer(i int, s *server) {
	r.servers, r.index.ids = slices.Insert(r.servers, i, s), slices.Insert(r.index.ids, i, s.Server)
}

// removeServer drops one that is gone. Its place among the gone is the caller's to drop.
func (r *Balancer) removeServer(s *server) {
	x := &r.index
	if i, known := r.find(s.Server); known {
		r.servers, x.ids = slices.Delete(r.servers, i, i+1), slices.Delete(x.ids, i, i+1)
	}
	if i, is := slices.BinarySearch(x.notReady, s.Server); is {
		x.notReady = slices.Delete(x.notReady, i, i+1)
	}
	if s.questionable {
		x.dropQuestionable(func(other *server) bool { return other == s })
	}
}

// markQuestionable notes that a server may be suspect or avoided.
func (x *index) markQuestionable(s *server) {
	if !s.questionable {
		s.questionable, x.questionable = true, append(x.questionable, s)
	}
}

// dropQuestionable drops those that are not any more.
func (x *index) dropQuestionable(not func(s *server) bool) {
	x.questionable = slices.DeleteFunc(x.questionable, func(s *server) bool {
		trusted := not(s)
		s.questionable = !trusted
		return trusted
	})
}

// insertSorted gives a sorted list that has the server in it.
func insertSorted(list []*server, s *server, by func(a, b *server) int) []*server {
	i, in := slices.BinarySearchFunc(list, s, by)
	if in {
		return list
	}
	return slices.Insert(list, i, s)
}

// deleteSorted gives a sorted list that has not.
func deleteSorted(list []*server, s *server, by func(a, b *server) int) []*server {
	if i, in := slices.BinarySearchFunc(list, s, by); in {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// reindexServer takes in what a list has changed about a server. Before is when the list before it was taken in.
func (r *Balancer) reindexServer(before Micros, s *server) {
	x := &r.index
	switch there := s.State != Removed; {
	case there && !s.present:
		x.removed = deleteSorted(x.removed, s, byRemoval)
	case !there && s.present:
		s.lastListed = before
		fallthrough
	case !there:
		x.removed = insertSorted(x.removed, s, byRemoval)
	}
	s.present = s.State != Removed
	i, was := slices.BinarySearch(x.notReady, s.Server)
	switch is := s.State != Ready; {
	case is && !was:
		x.notReady = slices.Insert(x.notReady, i, s.Server)
	case !is && was:
		x.notReady = slices.Delete(x.notReady, i, i+1)
	}
	weight := 0.0
	if s.State == Ready {
		weight = max(0.1, s.Weight)
	}
	if weight != s.weight {
		x.maxWeight, x.totalWeight = max(x.maxWeight, weight), x.totalWeight+weight-s.weight
		s.weight = weight
		x.noteChange(s.Server)
	}
	if s.State == Ready && r.capacity(x.listedAt, s) != 1 {
		x.inSlowStart = insertSorted(x.inSlowStart, s, byID)
	} else {
		x.inSlowStart = deleteSorted(x.inSlowStart, s, byID)
	}
}

// noteChange notes a change for the rankings.
func (x *index) noteChange(id ServerID) {
	const kept = 256 // to take in more costs a ranking as much as to look at some thousand servers
	if len(x.changes) == 2*kept {
		x.droppedChanges += kept
		x.changes = append(x.changes[:0], x.changes[kept:]...)
	}
	x.changes = append(x.changes, id)
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
func (r *Balancer) lastListed(s *server) Micros {
	if s.present {
		return r.index.listedAt
	}
	return s.lastListed
}

// rebuildIndex builds the index from the rest of the state.
func (r *Balancer) rebuildIndex() {
	r.index = index{}
	for _, s := range r.servers {
		s.weight, s.present, s.questionable, s.functions = 0, false, false, nil
		r.index.ids = append(r.index.ids, s.Server)
		if s.State != Removed {
			r.index.listedAt = max(r.index.listedAt, s.lastListed)
		}
	}
	for _, s := range r.servers {
		r.reindexServer(r.index.listedAt, s)
		if len(s.inFlight) > 0 {
			r.index.busy = append(r.index.busy, s)
		}
		if s.ejected || s.backoffUntil > 0 {
			r.index.markQuestionable(s)
		}
	}
	for _, f := range r.functionOrder {
		f.ranking = ranking{}
		for _, in := range f.instances {
			in.server.addFunction(f)
		}
	}
}

// addFunction notes that something is known of a function's copies on a server.
func (s *server) addFunction(f *function) {
	if i, known := slices.BinarySearchFunc(s.functions, f, byFunction); !known {
		s.functions = slices.Insert(s.functions, i, f)
	}
}

// removeFunction notes that nothing is any more.
func (s *server) removeFunction(f *function) {
	if i, known := slices.BinarySearchFunc(s.functions, f, byFunction); known {
		s.functions = slices.Delete(s.functions, i, i+1)
	}
}

func byFunction(a, b *function) int { return cmp.Compare(a.id, b.id) }
