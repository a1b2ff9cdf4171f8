package membership

import (
	"cmp"
	"slices"

	"hollymast/control"
	"hollymast/internal/fleet"
)

// updatePausePerServer is the pause between two updates, for each server known. To apply one takes some 0.5 us a server: a
// source that changes all the time costs at most a quarter of a processor, and an update of 10 000 servers waits no longer
// than 20 ms.
const updatePausePerServer = control.Micros(2)

// TakeUpdate returns what has changed in the endpoint list since the last update, at first all of it. Changed is false where
// nothing has, or where the last update was too short a time ago: Tick then returns when to call again.
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

// List returns the endpoint list by address: usable servers as ready, others as draining, and none that were removed.
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

// listed returns a server's endpoint as the balancer gets it, where the server is on the list. The server may be nil.
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
