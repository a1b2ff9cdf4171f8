package membership

import (
	"cmp"
	"slices"

	"hollymast/control"
)

// Endpoints of a lower priority (a greater number) are a reserve, used when too few endpoints of the higher priorities are
// usable. Envoy shifts a growing share of the requests to them. The balancer has a single pool of servers, so here a priority is
// activated as a whole, and a server in reserve is listed as draining: it gets no new requests, and what it has loaded stays
// loaded until it is needed again.

// defaultOverprovisioning is Envoy's default, 140 %: a priority suffices alone while at least 1/1.4 of its servers are usable.
const defaultOverprovisioning = 1.4

// priorityLevel holds the endpoint counts of one priority of a cluster.
type priorityLevel struct {
	priority      uint32
	total, usable int
}

// priorities is the state of a cluster's priorities.
type priorities struct {
	overprovisioning float64         // 0: defaultOverprovisioning
	levels           []priorityLevel // sorted by priority
	activeThrough    uint32          // the last priority in use
	initialized      bool
	excessSince      control.Micros // since when fewer priorities have been sufficient; 0: they are not
}

// SetOverprovisioning sets a cluster's overprovisioning factor; 0: the default. Call it before SetEndpoints, which applies it.
func (m *Model) SetOverprovisioning(name string, factor float64) {
	m.cluster(name).priorities.overprovisioning = factor
}

// updatePriorities recounts a cluster's endpoints by priority and activates lower priorities if they are required. Tick releases
// a priority that has not been required for StableTime. Without that delay, a few servers that come and go near the threshold
// would make a whole priority load and drain again and again.
func (m *Model) updatePriorities(now control.Micros, name string, c *cluster) {
	p := &c.priorities
	p.count(c.endpoints)
	switch required := p.required(); {
	case !p.initialized:
		p.initialized, p.activeThrough = len(p.levels) > 0, required
	case required > p.activeThrough:
		m.logf("cluster %s: priorities up to %d are activated", name, required)
		p.activeThrough, p.excessSince = required, 0
		m.markDirty(c)
	case required == p.activeThrough:
		p.excessSince = 0
	case p.excessSince == 0:
		p.excessSince = now
		m.releasing[name] = true
	}
}

func (p *priorities) count(endpoints map[string]Endpoint) {
	byPriority := map[uint32]priorityLevel{}
	for _, endpoint := range endpoints {
		level := byPriority[endpoint.Priority]
		level.priority = endpoint.Priority
		level.total++
		if endpoint.Health.usable() {
			level.usable++
		}
		byPriority[endpoint.Priority] = level
	}
	p.levels = p.levels[:0]
	for _, level := range byPriority {
		p.levels = append(p.levels, level)
	}
	slices.SortFunc(p.levels, func(a, b priorityLevel) int { return cmp.Compare(a.priority, b.priority) })
}

// required returns the last priority that is required. It adds up the usable shares of the priorities, times the
// overprovisioning factor, from the highest priority down until the sum reaches 1.
func (p *priorities) required() (last uint32) {
	factor := p.overprovisioning
	if factor == 0 {
		factor = defaultOverprovisioning
	}
	available := 0.0
	for _, level := range p.levels {
		last = level.priority
		if available += factor * float64(level.usable) / float64(level.total); available >= 1 {
			return last
		}
	}
	return last
}

// markDirty marks all servers of a cluster as possibly changed, after a change of its active priorities.
func (m *Model) markDirty(c *cluster) {
	m.version++
	for address := range c.endpoints {
		m.dirty[address] = true
	}
}

// releasePriorities releases priorities that have not been required for StableTime. It releases none while the source is down,
// since the source could not report that they are required again.
func (m *Model) releasePriorities(now control.Micros, wake *timer) {
	for _, name := range sortedKeys(m.releasing) {
		c := m.clusters[name]
		switch {
		case c == nil || c.priorities.excessSince == 0:
			delete(m.releasing, name)
		case m.sourceDownSince > 0:
		case now < c.priorities.excessSince+m.bounds.StableTime:
			wake.schedule(c.priorities.excessSince + m.bounds.StableTime)
		default:
			p := &c.priorities
			p.activeThrough, p.excessSince = p.required(), 0
			delete(m.releasing, name)
			m.logf("cluster %s: priorities after %d are released", name, p.activeThrough)
			m.markDirty(c)
		}
	}
}

// inReserve reports whether a server is in reserve in every cluster that lists it.
func (m *Model) inReserve(server *Server) bool {
	for _, name := range server.Clusters {
		c := m.clusters[name]
		if c == nil || c.endpoints[server.Address].Priority <= c.priorities.activeThrough {
			return false
		}
	}
	return len(server.Clusters) > 0
}
