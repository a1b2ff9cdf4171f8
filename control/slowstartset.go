package control

import (
	"cmp"
	"slices"
)

// slowStartSet holds the ready servers in slow start, by the end of their slow start, with the sum of their ages: the
// capacity of all of them together is had without visiting each. It is the same for a set however it came about.
type slowStartSet struct {
	servers []*server // by slowStartSince, then by ID
	sum     Micros    // of slowStartSince - base
	base    Micros    // near the start times, so that the sum of thousands doesn't overflow
}

func bySlowStart(a, b *server) int {
	return cmp.Or(cmp.Compare(a.slowStartSince, b.slowStartSince), byID(a, b))
}

// set inserts a server that started at the given time, or updates its place; 0 removes it.
func (set *slowStartSet) set(s *server, startedAt Micros) {
	if s.slowStartSince == startedAt {
		return
	}
	if s.slowStartSince != 0 {
		set.servers = deleteSorted(set.servers, s, bySlowStart)
		set.sum -= s.slowStartSince - set.base
	}
	if s.slowStartSince = startedAt; startedAt == 0 {
		return
	}
	if len(set.servers) == 0 {
		set.sum, set.base = 0, startedAt
	}
	set.servers = insertSorted(set.servers, s, bySlowStart)
	set.sum += startedAt - set.base
}

// expire removes the servers that started at the given time or before.
func (set *slowStartSet) expire(until Micros) {
	n := 0
	for n < len(set.servers) && set.servers[n].slowStartSince <= until {
		s := set.servers[n]
		set.sum -= s.slowStartSince - set.base
		s.slowStartSince = 0
		n++
	}
	set.servers = slices.Delete(set.servers, 0, n)
}

// totalAge returns the sum of the servers' ages. One that starts in the future, as by another machine's clock, counts 0.
func (set *slowStartSet) totalAge(now Micros) Micros {
	started, sum := len(set.servers), set.sum
	for started > 0 && set.servers[started-1].slowStartSince > now {
		started--
		sum -= set.servers[started].slowStartSince - set.base
	}
	return Micros(started)*(now-set.base) - sum
}
