package control

import (
	"cmp"
	"slices"
)

// index keeps what a scan of all servers would find, so that no decision needs one: a fleet may have thousands. It
// is derived from the rest of the state, rebuilt after a restore, and never stored.
type index struct {
	// When an endpoint list was last applied: servers that are present were listed until then.
	listedAt Micros
	removed  []*server  // by the time they were last listed, then by ID
	ids      []ServerID // of all servers
	notReady []ServerID // of draining and removed servers
	// Ready servers, by ID, that totalCapacity has not yet seen at full capacity.
	inSlowStart []*server
	busy        []*server // with attempts in flight, by ID

	questionable []*server // may be ejected or backed off; in any order

	maxWeight      float64    // no ready server has a larger weight
	totalWeight    float64    // of all ready servers, approximately
	changes        []ServerID // the latest servers that were added, removed or changed their weight
	droppedChanges int        // number of changes before those
}

func byID(a, b *server) int { return cmp.Compare(a.Server, b.Server) }

func byRemoval(a, b *server) int { return cmp.Or(cmp.Compare(a.lastListed, b.lastListed), byID(a, b)) }

// addServer inserts a new server at index i.
func (r *Balancer) addServer(i int, s *server) {
	r.servers, r.index.ids = slices.Insert(r.servers, i, s), slices.Insert(r.index.ids, i, s.Server)
}

// removeServer forgets a removed server. The caller deletes it from index.removed.
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

// markQuestionable notes that a server may be ejected or backed off.
func (x *index) markQuestionable(s *server) {
	if !s.questionable {
		s.questionable, x.questionable = true, append(x.questionable, s)
	}
}

// dropQuestionable drops the servers for which not is true: they are no longer ejected or backed off.
func (x *index) dropQuestionable(not func(s *server) bool) {
	x.questionable = slices.DeleteFunc(x.questionable, func(s *server) bool {
		trusted := not(s)
		s.questionable = !trusted
		return trusted
	})
}

// insertSorted returns a sorted list with s inserted, if it isn't in it already.
func insertSorted(list []*server, s *server, by func(a, b *server) int) []*server {
	i, in := slices.BinarySearchFunc(list, s, by)
	if in {
		return list
	}
	return slices.Insert(list, i, s)
}

// deleteSorted returns a sorted list without s.
func deleteSorted(list []*server, s *server, by func(a, b *server) int) []*server {
	if i, in := slices.BinarySearchFunc(list, s, by); in {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// reindexServer applies what an endpoint list has changed about a server; before is when the previous list was
// applied.
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

// noteChange records a change that rankings have to apply.
func (x *index) noteChange(id ServerID) {
	const kept = 256 // applying more costs a ranking as much as scanning a few thousand servers
	if len(x.changes) == 2*kept {
		x.droppedChanges += kept
		x.changes = append(x.changes[:0], x.changes[kept:]...)
	}
	x.changes = append(x.changes, id)
}

// seek returns the index of the first ID not below id. The search starts at from, which must not be beyond that
// index; the closer it is, the cheaper the search.
func seek(ids []ServerID, from int, id ServerID) int {
	step := 1
	for from+step <= len(ids) && ids[from+step-1] < id {
		from, step = from+step, step*2
	}
	i, _ := slices.BinarySearch(ids[from:min(len(ids), from+step-1)], id)
	return from + i
}

// lastListed returns when a server was last on the endpoint list.
func (r *Balancer) lastListed(s *server) Micros {
	if s.present {
		return r.index.listedAt
	}
	return s.lastListed
}

// rebuildIndex derives the index from the rest of the state.
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

// addFunction notes that a function has an instance on the server.
func (s *server) addFunction(f *function) {
	if i, known := slices.BinarySearchFunc(s.functions, f, byFunction); !known {
		s.functions = slices.Insert(s.functions, i, f)
	}
}

// removeFunction notes that a function has no instance on the server any more.
func (s *server) removeFunction(f *function) {
	if i, known := slices.BinarySearchFunc(s.functions, f, byFunction); known {
		s.functions = slices.Delete(s.functions, i, i+1)
	}
}

func byFunction(a, b *function) int { return cmp.Compare(a.id, b.id) }
