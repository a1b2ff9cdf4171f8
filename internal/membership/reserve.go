package membership

import (
	"slices"

	"hollymast/control"
)

// Endpoints of a lower priority (a greater number) are a reserve: they are used once those above are too few. Envoy spreads a
// growing share over them; the module has one pool of servers, so here a whole level is called in at once, and what is in
// reserve is told as draining: nothing new goes to it, and what it has loaded stays there for the next time.

// spare is how many times as many servers a level has as it needs, where its source does not say (Envoy's overprovisioning
// factor, whose default is 140 %): down to 1/1.4 of them usable it is enough by itself.
const spare = 1.4

// level is the endpoints of one priority in one cluster.
type level struct {
	priority      uint32
	total, usable int
}

// reserve is what is decided of a cluster's levels.
type reserve struct {
	spare  float64 // 0: as usual
	levels []level // by priority
	upTo   uint32  // the last priority that is in use
	begun  bool
	fewer  control.Micros // since when less would be enough; 0: it would not
}

// Spare tells how many times as many servers as needed each level of a cluster has; 0: as usual. It is to be told before the
// endpoints.
func (m *Model) SetOverprovisioning(name string, times float64) {
	m.cluster(name).reserve.spare = times
}

// weigh counts a cluster's levels anew and decides which are in use: another is called in at once, and let go when the ones
// above were enough for a calm time, since servers that come and go at the edge would have it loaded for nothing.
func (m *Model) weigh(now control.Micros, name string, c *cluster) {
	r := &c.reserve
	by := map[uint32]level{}
	for _, e := range c.endpoints {
		l := by[e.Priority]
		l.priority = e.Priority
		if l.total++; e.Health.usable() {
			l.usable++
		}
		by[e.Priority] = l
	}
	r.levels = r.levels[:0]
	for _, l := range by {
		r.levels = append(r.levels, l)
	}
	slices.SortFunc(r.levels, func(a, b level) int { return int(int64(a.priority) - int64(b.priority)) })
	switch need := r.need(); {
	case !r.begun:
		r.begun, r.upTo = len(r.levels) > 0, need
	case need > r.upTo:
		m.note("cluster %s: servers of priority %d are called in", name, need)
		r.upTo, r.fewer = need, 0
		m.levelsChanged(c)
	case need == r.upTo:
		r.fewer = 0
	case r.fewer == 0:
		r.fewer = now
		m.calming[name] = true
	}
}

// levelsChanged notes that other servers of a cluster are in reserve.
func (m *Model) levelsChanged(c *cluster) {
	m.version++
	for a := range c.endpoints {
		m.stale[a] = true
	}
}

// need is the last priority needed: levels are added up until there is enough.
func (r *reserve) need() (last uint32) {
	times := r.spare
	if times == 0 {
		times = spare
	}
	enough := 0.0
	for _, l := range r.levels {
		last = l.priority
		if enough += times * float64(l.usable) / float64(l.total); enough >= 1 {
			return last
		}
	}
	return last
}

// relieve lets levels go that were not needed for a calm time.
func (m *Model) relieve(now control.Micros, wake func(at control.Micros)) {
	for _, name := range sorted(m.calming) {
		c := m.clusters[name]
		switch {
		case c == nil || c.reserve.fewer == 0:
			delete(m.calming, name)
		case m.broken > 0: // nobody could say otherwise
		case now < c.reserve.fewer+m.bounds.StableTime:
			wake(c.reserve.fewer + m.bounds.StableTime)
		default:
			r := &c.reserve
			r.upTo, r.fewer = r.need(), 0
			delete(m.calming, name)
			m.note("cluster %s: servers beyond priority %d are let go", name, r.upTo)
			m.levelsChanged(c)
		}
	}
}

// inReserve tells whether a server is in reserve in all clusters that name it.
func (m *Model) inReserve(f *Server) bool {
	for _, name := range f.Clusters {
		if c := m.clusters[name]; c == nil || c.endpoints[f.Address].Priority <= c.reserve.upTo {
			return false
		}
	}
	return len(f.Clusters) > 0
}
