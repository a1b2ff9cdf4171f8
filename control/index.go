package control

import (
	"cmp"
	"slices"
)

// index maintains what a scan of all servers would find, so that no decision needs a scan: a fleet may have thousands
// of servers. It is derived from the rest of the state, rebuilt after a restore, and never stored.
type index struct {
	// When the endpoint list was last updated. Servers that are present count as listed until then.
	updatedAt Micros
	removed   []*server    // by the time they were last listed, then by ID
	ready     []*server    // in any order; see server.readyIndex
	readyIDs  []ServerID   // IDs of the same servers, contiguous for fast scans
	slowStart slowStartSet // may still hold servers whose slow start has ended, until totalCapacity removes them
	busy      []*server    // with attempts in flight, by ID

	// Servers that may be ejected, in backoff, or of a weight that their observed load lowers; in any order.
	impaired []*server

	readyWeight milliWeight // of all ready servers

	maxWeight      float64        // no ready server has a larger weight
	totalWeight    float64        // of all ready servers, approximately
	changes        []weightChange // latest changes, in order
	droppedChanges int            // number of earlier changes, no longer kept
}

// weightChange is a change of a server's static weight, which is 0 while the server isn't ready.
type weightChange struct {
	server   ServerID
	from, to float64
}

func byID(a, b *server) int { return cmp.Compare(a.Server, b.Server) }

func byRemoval(a, b *server) int { return cmp.Or(cmp.Compare(a.lastListed, b.lastListed), byID(a, b)) }

// removeServer drops the state of a removed server. The caller deletes it from index.removed.
func (b *Balancer) removeServer(s *server) {
	b.servers.remove(s.Server)
	if s.impaired {
		b.index.dropImpaired(func(other *server) bool { return other == s })
	}
}

// markImpaired marks a server as possibly ejected, in backoff, or of lowered weight. It stays marked at least until the
// next maintenance.
func (idx *index) markImpaired(s *server) {
	if !s.impaired {
		s.impaired, idx.impaired = true, append(idx.impaired, s)
	}
}

// markImpairedByLoad marks a server as impaired if its load may lower its weight. It must be called after each
// observation that may raise the known load.
func (idx *index) markImpairedByLoad(now Micros, s *server) {
	if !s.impaired && s.mayHaveLowWeight(now) {
		idx.markImpaired(s)
	}
}

// dropImpaired unmarks the servers for which recovered returns true.
func (idx *index) dropImpaired(recovered func(s *server) bool) {
	idx.impaired = slices.DeleteFunc(idx.impaired, func(s *server) bool {
		isRecovered := recovered(s)
		s.impaired = !isRecovered
		return isRecovered
	})
}

// impairedOrInSlowStart calls yield for each server that may be impaired or in slow start, until it returns false. All
// other ready servers are usable and have their static weight.
func (idx *index) impairedOrInSlowStart(yield func(s *server) bool) {
	for _, s := range idx.impaired {
		if !yield(s) {
			return
		}
	}
	for _, s := range idx.slowStart.servers {
		if !s.impaired && !yield(s) {
			return
		}
	}
}

// insertSorted inserts s into a sorted list, unless the list contains it already, and returns the list.
func insertSorted(list []*server, s *server, compare func(a, b *server) int) []*server {
	if n := len(list); n == 0 || compare(list[n-1], s) < 0 { // common case: in order of time
		return append(list, s)
	}
	i, found := slices.BinarySearchFunc(list, s, compare)
	if found {
		return list
	}
	return slices.Insert(list, i, s)
}

// deleteSorted returns a sorted list without s.
func deleteSorted(list []*server, s *server, compare func(a, b *server) int) []*server {
	if i, found := slices.BinarySearchFunc(list, s, compare); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// reindexServer updates the index for a server that an endpoint update may have changed. previousListing is when the
// update before it was applied.
func (b *Balancer) reindexServer(previousListing Micros, s *server) {
	idx := &b.index
	switch listed := s.State != Removed; {
	case listed && s.inRemoved:
		idx.removed, s.inRemoved = deleteSorted(idx.removed, s, byRemoval), false
	case !listed && s.present:
		s.lastListed = previousListing
		fallthrough
	case !listed:
		idx.removed, s.inRemoved = insertSorted(idx.removed, s, byRemoval), true
	}
	s.present = s.State != Removed
	weight := 0.0
	if s.State == Ready {
		weight = max(0.1, s.Weight)
	}
	idx.setReady(s)
	if weight != s.weight {
		idx.maxWeight, idx.totalWeight = max(idx.maxWeight, weight), idx.totalWeight+weight-s.weight
		idx.readyWeight += toMilliWeight(weight) - toMilliWeight(s.weight)
		idx.recordChange(weightChange{s.Server, s.weight, weight})
		s.weight = weight
	}
	if s.State == Ready && b.capacity(idx.updatedAt, s) != 1 {
		idx.slowStart.update(s, s.StartedAt, milliWeightOf(s))
	} else {
		idx.slowStart.update(s, 0, 0)
	}
}

// setReady adds a server to the list of ready servers, or removes it, depending on its state.
func (idx *index) setReady(s *server) {
	switch i := s.readyIndex; {
	case s.State == Ready && i < 0:
		s.readyIndex = len(idx.ready)
		idx.ready, idx.readyIDs = append(idx.ready, s), append(idx.readyIDs, s.Server)
	case s.State != Ready && i >= 0:
		last := len(idx.ready) - 1
		idx.ready[i], idx.readyIDs[i] = idx.ready[last], idx.readyIDs[last]
		idx.ready[i].readyIndex, s.readyIndex = i, -1
		idx.ready[last] = nil
		idx.ready, idx.readyIDs = idx.ready[:last], idx.readyIDs[:last]
	}
}

// recordChange records a weight change, for rankings and home sets to apply later.
func (idx *index) recordChange(c weightChange) {
	const maxKept = 256 // for a ranking, applying more changes costs as much as scanning a few thousand servers
	if len(idx.changes) == 2*maxKept {
		idx.droppedChanges += maxKept
		idx.changes = append(idx.changes[:0], idx.changes[maxKept:]...)
	}
	idx.changes = append(idx.changes, c)
}

// changeCount returns the number of changes ever recorded.
func (idx *index) changeCount() int { return idx.droppedChanges + len(idx.changes) }

// lastListed returns when a server was last on the endpoint list.
func (b *Balancer) lastListed(s *server) Micros {
	if s.present {
		return b.index.updatedAt
	}
	return s.lastListed
}

// rebuildIndex derives the index from the rest of the state.
func (b *Balancer) rebuildIndex() {
	b.index = index{}
	for s := range b.servers.all {
		s.weight, s.present, s.inRemoved, s.impaired, s.functions, s.readyIndex = 0, false, false, false, nil, -1
		s.slowStartSince, s.slowStartWeight = 0, 0
		if s.State != Removed {
			b.index.updatedAt = max(b.index.updatedAt, s.lastListed)
		}
	}
	for s := range b.servers.all {
		b.reindexServer(b.index.updatedAt, s)
		if len(s.inFlight) > 0 {
			b.index.busy = append(b.index.busy, s)
		}
		b.index.markImpaired(s) // the next maintenance unmarks those that aren't impaired
	}
	for _, f := range b.functionOrder {
		f.ranking, f.homes = ranking{}, homeSet{}
		for _, inst := range f.instances {
			inst.server.addFunction(f)
		}
	}
}

// addFunction records that a function has an instance on the server.
func (s *server) addFunction(f *function) {
	if i, found := slices.BinarySearchFunc(s.functions, f, byFunction); !found {
		s.functions = slices.Insert(s.functions, i, f)
	}
}

// removeFunction records that a function no longer has an instance on the server.
func (s *server) removeFunction(f *function) {
	if i, found := slices.BinarySearchFunc(s.functions, f, byFunction); found {
		s.functions = slices.Delete(s.functions, i, i+1)
	}
}

func byFunction(a, b *function) int { return cmp.Compare(a.id, b.id) }
