package membership

import (
	"cmp"
	"hollymast/control"
	"hollymast/internal/fleet"
	"slices"
)

// pausePer is the pause between two tellings of the list, for each server on it: to tell one takes some 0.5 us a server, so a
// source that changes all the time costs at most a quarter of a processor, and 10 000 servers wait no longer than 20 ms.
const updatePausePerServer = control.Micros(2)

// News gives what differs from the list as it was last given, the first time all of it, unless that was a moment ago; Tick then
// tells when to ask again.
func (m *Model) TakeUpdate(now control.Micros) (update fleet.Update, changed bool) {
	if m.version == m.takenVersion || m.takenAt > 0 && now < m.nextUpdateAt() {
		return fleet.Update{}, false
	}
	m.takenVersion, m.takenAt = m.version, now
	update = m.changedEndpoints()
	clear(m.dirty)
	return update, true
}

func (m *Model) changedEndpoints() (list fleet.Update) {
	if m.published == nil {
		m.published = map[string]fleet.Endpoint{}
		list = fleet.Update{Full: true, Endpoints: m.List()}
		for _, e := range list.Endpoints {
			m.published[e.Address] = e
		}
		return list
	}
	for _, address := range sortedKeys(m.dirty) {
		was, known := m.published[address]
		is, listed := m.listed(m.servers[address])
		switch {
		case listed && is != was:
			m.published[address] = is
			list.Endpoints = append(list.Endpoints, is)
		case !listed && known:
			delete(m.published, address)
			was.State = control.Removed
			list.Endpoints = append(list.Endpoints, was)
		}
	}
	return list
}

func (m *Model) nextUpdateAt() control.Micros {
	return m.takenAt + updatePausePerServer*control.Micros(len(m.servers))
}

// Version counts the changes of the list.
func (m *Model) Version() uint64 { return m.version }

// List gives the servers as the module is to be told, by address: those that are usable as ready, those that are not as
// draining, and none that are gone.
func (m *Model) List() []fleet.Endpoint {
	list := make([]fleet.Endpoint, 0, len(m.servers))
	for _, f := range m.servers {
		if e, listed := m.listed(f); listed {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b fleet.Endpoint) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// entry gives a server as the module is to be told, where it is on the list.
func (m *Model) listed(server *Server) (endpoint fleet.Endpoint, ok bool) {
	if server == nil || server.WithdrawnAt > 0 && !server.Held {
		return fleet.Endpoint{}, false
	}
	endpoint = fleet.Endpoint{Address: server.Address, State: control.Ready, Zone: server.Zone, Cell: server.Cell, Weight: weight(server.Endpoint), StartedAt: server.StartedAt}
	if !server.Health.usable() || server.Flapping || m.inReserve(server) {
		endpoint.State = control.Draining
	}
	return endpoint, true
}
