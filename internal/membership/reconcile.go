package membership

import (
	"slices"

	"hollymast/control"
)

// Batch applies several changes as one: a server that one change withdraws and another lists is not withdrawn, and all servers
// withdrawn by the changes count as withdrawn together.
func (m *Model) Batch(now control.Micros, apply func()) {
	m.batching = true
	apply()
	m.batching = false
	withdrawn := slices.DeleteFunc(m.batchWithdrawn, func(server *Server) bool { return server.WithdrawnAt == 0 })
	m.batchWithdrawn = nil
	m.applyWithdrawals(now, withdrawn)
}

// reconcile updates the servers at the given addresses, whose endpoints changed in one cluster. It only visits that cluster and
// the clusters that listed the servers before, so its cost depends on the size of the change and not on that of the fleet.
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
				m.needsTick[address] = true
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
		m.applyWithdrawals(now, withdrawn)
	}
}

// merge returns the endpoint at an address, merged from the announced clusters that list it, and the names of those clusters in
// ascending order. Health is the worst of all and StartedAt the latest; the other fields are those of the first cluster.
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
			merged.Health = worseHealth(merged.Health, endpoint.Health)
			merged.StartedAt = max(merged.StartedAt, endpoint.StartedAt)
		}
		clusters = append(clusters, name)
	}
	return merged, clusters
}

// update applies the merged endpoint to a known server that at least one cluster lists.
func (m *Model) update(now control.Micros, server *Server, endpoint Endpoint, clusters []string) {
	if server.WithdrawnAt > 0 || server.Endpoint != endpoint {
		m.version++
		server.UpdatedAt = now
	}
	server.Endpoint, server.Clusters = endpoint, clusters
	server.WithdrawnAt, server.Held = 0, false
	m.recordUsability(now, server, endpoint.Health.usable())
}
