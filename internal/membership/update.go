package membership

import (
	"cmp"
	"slices"

	"hollymast/control"
	"hollymast/internal/fleet"
)

// updatePausePerServer, times the number of known servers, is the minimum time between two updates. Applying an update takes
// about 0.5 us per server, so a source that changes all the time uses at most a quarter of a CPU, and an update of 10 000
// servers is delayed by at most 20 ms.
const updatePausePerServer = control.Micros(2)

// TakeUpdate returns the changes of the endpoint list since the last update; the first update is the full list. Changed is
// false if nothing has changed or if the last update was too recent; in that case Tick returns when to call again.
func (m *Model) TakeUpdate(now control.Micros) (update fleet.Update, changed bool) {
	if m.version == m.takenVersion || m.takenAt > 0 && now < m.nextUpdateAt() {
		return fleet.Update{}, false
	}
	m.takenVersion, m.takenAt = m.version, now
	if m.published == nil {
		update = m.fullUpdate()
	} else {
		update = m.incrementalUpdate()
	}
	clear(m.dirty)
	return update, true
}

func (m *Model) fullUpdate() fleet.Update {
	update := fleet.Update{Full: true, Endpoints: m.List()}
	m.published = make(map[string]fleet.Endpoint, len(update.Endpoints))
	for _, endpoint := range update.Endpoints {
		m.published[endpoint.Address] = endpoint
	}
	return update
}

func (m *Model) incrementalUpdate() (update fleet.Update) {
	for _, address := range sortedKeys(m.dirty) {
		before, wasListed := m.published[address]
		current, listed := m.listed(m.servers[address])
		switch {
		case listed && current != before:
			m.published[address] = current
			update.Endpoints = append(update.Endpoints, current)
		case !listed && wasListed:
			delete(m.published, address)
			before.State = control.Removed
			update.Endpoints = append(update.Endpoints, before)
		}
	}
	return update
}

func (m *Model) nextUpdateAt() control.Micros {
	return m.takenAt + updatePausePerServer*control.Micros(len(m.servers))
}

// Version returns a number that grows with each change of the endpoint list.
func (m *Model) Version() uint64 { return m.version }

// List returns the endpoint list sorted by address. Usable servers are ready, others draining; removed servers are left out.
func (m *Model) List() []fleet.Endpoint {
	list := make([]fleet.Endpoint, 0, len(m.servers))
	for _, server := range m.servers {
		if endpoint, listed := m.listed(server); listed {
			list = append(list, endpoint)
		}
	}
	slices.SortFunc(list, func(a, b fleet.Endpoint) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// listed returns a server's entry in the endpoint list; ok is false if it has none. The server may be nil.
func (m *Model) listed(server *Server) (endpoint fleet.Endpoint, ok bool) {
	if server == nil || server.WithdrawnAt > 0 && !server.Held {
		return fleet.Endpoint{}, false
	}
	endpoint = fleet.Endpoint{Address: server.Address, State: control.Ready, Zone: server.Zone, Cell: server.Cell,
		Weight: weight(server.Endpoint), StartedAt: server.StartedAt}
	if !server.Health.usable() || server.Flapping || m.inReserve(server) {
		endpoint.State = control.Draining
	}
	return endpoint, true
}
