package membership

import (
	"slices"

	"hollymast/control"
)

// Batch applies changes that belong together: a server that one of them withdraws and another names is not withdrawn, and
// all that they withdraw counts as one withdrawal.
func (m *Model) Batch(now control.Micros, apply func()) {
	m.batching = true
	apply()
	m.batching = false
	withdrawn := slices.DeleteFunc(m.batchWithdrawn, func(server *Server) bool { return server.WithdrawnAt == 0 })
	m.batchWithdrawn = nil
	m.judgeWithdrawals(now, withdrawn)
}

// reconcile recomputes the servers at the given addresses, whose endpoints changed in one cluster. It looks at that cluster
// and at those that named them before, so that its cost grows with the change alone.
func (m *Model) reconcile(now control.Micros, changedCluster string, addresses []string) {
	var withdrawn []*Server
	heldReturned := false
	for _, address := range addresses {
		m.dirty[address] = true
		server := m.servers[address]
		endpoint, clusters := m.merge(address, server, changedCluster)
		switch {
		case len(clusters) == 0:
			if server != nil && server.WithdrawnAt == 0 {
				server.WithdrawnAt, server.Clusters = now, nil
				m.timed[address] = true
				withdrawn = append(withdrawn, server)
			}
		case server == nil:
			m.servers[address] = &Server{Endpoint: endpoint, Clusters: clusters, FirstSeen: now, UpdatedAt: now, usable: endpoint.Health.usable()}
			m.version++
		default:
			heldReturned = heldReturned || server.Held
			m.update(now, server, endpoint, clusters)
		}
	}
	if heldReturned {
		m.shortenHold(now)
	}
	if m.batching {
		m.batchWithdrawn = append(m.batchWithdrawn, withdrawn...)
	} else {
		m.judgeWithdrawals(now, withdrawn)
	}
}

// merge returns what the announced clusters say of an address, and the names of those that list it, ascending. The first
// of them decides all but the health, which is the worst of all, and the start, which is the latest.
func (m *Model) merge(address string, server *Server, changedCluster string) (merged Endpoint, clusters []string) {
	candidates := []string{changedCluster}
	if server != nil {
		candidates = append(candidates, server.Clusters...)
		slices.Sort(candidates)
		candidates = slices.Compact(candidates)
	}
	for _, name := range candidates {
		c := m.clusters[name]
		if c == nil || !c.announced {
			continue
		}
		endpoint, listed := c.endpoints[address]
		if !listed {
			continue
		}
		if len(clusters) == 0 {
			merged = endpoint
		} else {
			merged.Health = worse(merged.Health, endpoint.Health)
			merged.StartedAt = max(merged.StartedAt, endpoint.StartedAt)
		}
		clusters = append(clusters, name)
	}
	return merged, clusters
}

// update sets what the source says of a known server that at least one cluster lists.
func (m *Model) update(now control.Micros, server *Server, endpoint Endpoint, clusters []string) {
	if server.WithdrawnAt > 0 || server.Endpoint != endpoint {
		m.version++
		server.UpdatedAt = now
	}
	server.Endpoint, server.Clusters = endpoint, clusters
	server.WithdrawnAt, server.Held = 0, false
	m.recordUsability(now, server, endpoint.Health.usable())
}
