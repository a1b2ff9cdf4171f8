package membership

import (
	"cmp"
	"slices"

	"hollymast/control"
)

// Endpoints of a lower priority (a greater number) are a reserve: they are used once those above are too few. Envoy spreads
// a growing share of the requests over them. The balancer has one pool of servers, so a whole priority is activated at once
// here, and a server in reserve is listed as draining: it gets nothing new, and keeps what it has loaded for the next time.

// defaultOverprovisioning is Envoy's default, 140 %: a priority is enough by itself with down to 1/1.4 of its servers usable.
const defaultOverprovisioning = 1.4

// priorityLevel counts a cluster's endpoints of one priority.
type priorityLevel struct {
	priority      uint32
	total, usable int
}

// priorities is the state of a cluster's priorities.
type priorities struct {
	overprovisioning float64         // 0: the default
	levels           []priorityLevel // by priority
	activeThrough    uint32          // the last priority in use
	initialized      bool
	excessSince      control.Micros // since when fewer priorities would do; 0: they would not
}

// SetOverprovisioning sets a cluster's overprovisioning factor; 0: the default. It is to be called before SetEndpoints.
func (m *Model) SetOverprovisioning(name string, factor float64) {
	m.cluster(name).priorities.overprovisioning = factor
}

// updatePriorities recounts a cluster's priorities and activates the next where it is required. One that is no longer
// required is released by Tick, after the stable time: at the limit, servers that come and go would otherwise have it load
// and drain in turn.
func (m *Model) updatePriorities(now control.Micros, name string, c *cluster) {
	p := &c.priorities
	p.count(c.endpoints)
	switch required := p.required(); {
	case !p.initialized:
		p.initialized, p.activeThrough = len(p.levels) > 0, required
	case required > p.activeThrough:
		m.logf("cluster %s: servers of priority %d are activated", name, required)
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

// required returns the last priority required: usable shares add up, from the highest priority, until there is enough.
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

// markDirty marks all servers of a cluster, of which others than before are in reserve.
func (m *Model) markDirty(c *cluster) {
	m.version++
	for address := range c.endpoints {
		m.dirty[address] = true
	}
}

// releasePriorities releases priorities that were not required for the stable time, unless the source is down: it could not
// say that they are required again.
func (m *Model) releasePriorities(now control.Micros, wake *timer) {
	for _, name := range sortedKeys(m.releasing) {
		c := m.clusters[name]
		switch {
		case c == nil || c.priorities.excessSince == 0:
			delete(m.releasing, name)
		case m.sourceDownSince > 0:
		case now < c.priorities.excessSince+m.bounds.StableTime:
			wake.at(c.priorities.excessSince + m.bounds.StableTime)
		default:
			p := &c.priorities
			p.activeThrough, p.excessSince = p.required(), 0
			delete(m.releasing, name)
			m.logf("cluster %s: servers beyond priority %d are released", name, p.activeThrough)
			m.markDirty(c)
		}
	}
}

// inReserve reports whether a server is in reserve in all clusters that name it.
func (m *Model) inReserve(server *Server) bool {
	for _, name := range server.Clusters {
		c := m.clusters[name]
		if c == nil || c.endpoints[server.Address].Priority <= c.priorities.activeThrough {
			return false
		}
	}
	return len(server.Clusters) > 0
}
