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
const defaultOverprovisioning = 1.4

// level is the endpoints of one priority in one cluster.
type priorityLevel struct {
	priority      uint32
	total, usable int
}

// reserve is what is decided of a cluster's levels.
type priorities struct {
	overprovisioning float64         // 0: as usual
	levels           []priorityLevel // by priority
	activeThrough    uint32          // the last priority that is in use
	initialized      bool
	excessSince      control.Micros // since when less would be enough; 0: it would not
}

// Spare tells how many times as many servers as needed each level of a cluster has; 0: as usual. It is to be told before the
// endpoints.
func (m *Model) SetOverprovisioning(name string, times float64) {
	m.cluster(name).priorities.overprovisioning = times
}

// weigh counts a cluster's levels anew and decides which are in use: another is called in at once, and let go when the ones
// above were enough for a calm time, since servers that come and go at the edge would have it loaded for nothing.
func (m *Model) updatePriorities(now control.Micros, name string, c *cluster) {
	r := &c.priorities
	byPriority := map[uint32]priorityLevel{}
	for _, e := range c.endpoints {
		l := byPriority[e.Priority]
		l.priority = e.Priority
		if l.total++; e.Health.usable() {
			l.usable++
		}
		byPriority[e.Priority] = l
	}
	r.levels = r.levels[:0]
	for _, l := range byPriority {
		r.levels = append(r.levels, l)
	}
	slices.SortFunc(r.levels, func(a, b priorityLevel) int { return int(int64(a.priority) - int64(b.priority)) })
	switch required := r.required(); {
	case !r.initialized:
		r.initialized, r.activeThrough = len(r.levels) > 0, required
	case required > r.activeThrough:
		m.logf("cluster %s: servers of priority %d are called in", name, required)
		r.activeThrough, r.excessSince = required, 0
		m.markDirty(c)
	case required == r.activeThrough:
		r.excessSince = 0
	case r.excessSince == 0:
		r.excessSince = now
		m.releasing[name] = true
	}
}

// levelsChanged notes that other servers of a cluster are in reserve.
func (m *Model) markDirty(c *cluster) {
	m.version++
	for a := range c.endpoints {
		m.dirty[a] = true
	}
}

// need is the last priority needed: levels are added up until there is enough.
func (r *priorities) required() (last uint32) {
	times := r.overprovisioning
	if times == 0 {
		times = defaultOverprovisioning
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
func (m *Model) releasePriorities(now control.Micros, wakeAt func(at control.Micros)) {
	for _, name := range sortedKeys(m.releasing) {
		c := m.clusters[name]
		switch {
		case c == nil || c.priorities.excessSince == 0:
			delete(m.releasing, name)
		case m.sourceDownSince > 0: // nobody could say otherwise
		case now < c.priorities.excessSince+m.bounds.StableTime:
			wakeAt(c.priorities.excessSince + m.bounds.StableTime)
		default:
			r := &c.priorities
			r.activeThrough, r.excessSince = r.required(), 0
			delete(m.releasing, name)
			m.logf("cluster %s: servers beyond priority %d are let go", name, r.activeThrough)
			m.markDirty(c)
		}
	}
}

// inReserve tells whether a server is in reserve in all clusters that name it.
func (m *Model) inReserve(server *Server) bool {
	for _, name := range server.Clusters {
		if c := m.clusters[name]; c == nil || c.endpoints[server.Address].Priority <= c.priorities.activeThrough {
			return false
		}
	}
	return len(server.Clusters) > 0
}
