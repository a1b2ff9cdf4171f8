package control

import (
	"cmp"
	"slices"
)

// slowStartSet holds the ready servers in slow start, by the end of their slow start, with the sum of their weighted
// ages, so that their total capacity is computed without visiting each. The sums are integers, so they depend only on
// the servers in the set, not on the order of changes.
type slowStartSet struct {
	servers []*server   // by slowStartSince, then by ID
	weight  milliWeight // of all of them
	sum     weightTime  // of their weight x (slowStartSince - base)
	base    Micros      // near the start times, so that the sum of thousands doesn't overflow
}

// weightTime is a sum of milliWeight x Micros.
type weightTime int64

// times returns a weight times a duration.
func (w milliWeight) times(d Micros) weightTime { return weightTime(w) * weightTime(d) }

func bySlowStart(a, b *server) int {
	return cmp.Or(cmp.Compare(a.slowStartSince, b.slowStartSince), byID(a, b))
}

// update inserts a server that started at the given time, or updates its place and weight; 0 removes it.
func (set *slowStartSet) update(s *server, startedAt Micros, weight milliWeight) {
	if s.slowStartSince == startedAt && s.slowStartWeight == weight {
		return
	}
	if s.slowStartSince != 0 {
		set.servers = deleteSorted(set.servers, s, bySlowStart)
		set.subtract(s)
	}
	if s.slowStartSince, s.slowStartWeight = startedAt, weight; startedAt == 0 {
		return
	}
	if len(set.servers) == 0 {
		set.sum, set.base = 0, startedAt
	}
	set.servers = insertSorted(set.servers, s, bySlowStart)
	set.weight += weight
	set.sum += weight.times(startedAt - set.base)
}

// subtract subtracts a server from the sums.
func (set *slowStartSet) subtract(s *server) {
	set.weight -= s.slowStartWeight
	set.sum -= s.slowStartWeight.times(s.slowStartSince - set.base)
}

// expire removes the servers that started at the given time or before.
func (set *slowStartSet) expire(until Micros) {
	n := 0
	for n < len(set.servers) && set.servers[n].slowStartSince <= until {
		s := set.servers[n]
		set.subtract(s)
		s.slowStartSince = 0
		n++
	}
	set.servers = slices.Delete(set.servers, 0, n)
}

// totalAge returns the sum of the servers' ages, weighted. A server with a start time in the future, by another
// machine's clock, counts as of age 0.
func (set *slowStartSet) totalAge(now Micros) weightTime {
	started, weight, sum := len(set.servers), set.weight, set.sum
	for started > 0 && set.servers[started-1].slowStartSince > now {
		started--
		s := set.servers[started]
		weight -= s.slowStartWeight
		sum -= s.slowStartWeight.times(s.slowStartSince - set.base)
	}
	return weight.times(now-set.base) - sum
}
