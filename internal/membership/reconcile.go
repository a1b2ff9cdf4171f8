package membership

import (
	"hollymast/control"
	"slices"
)

// settle works out some servers anew, of which one cluster said something else: from that one and those that named them
// before, so that its cost grows with the change alone.
func (m *Model) reconcile(now control.Micros, clusterName string, addresses []string) {
	var withdrawn []*Server
	heldReturned := false
	for _, address := range addresses {
		m.dirty[address] = true
		server := m.servers[address]
		names := []string{clusterName}
		if server != nil {
			names = append(names, server.Clusters...)
			slices.Sort(names)
			names = slices.Compact(names)
		}
		var merged Endpoint
		var naming []string
		for _, name := range names {
			c := m.clusters[name]
			if c == nil || !c.announced {
				continue
			}
			endpoint, named := c.endpoints[address]
			if !named {
				continue
			}
			if len(naming) == 0 {
				merged = endpoint
			} else { // the first cluster by name tells all but these
				merged.Health, merged.StartedAt = worse(merged.Health, endpoint.Health), max(merged.StartedAt, endpoint.StartedAt)
			}
			naming = append(naming, name)
		}
		switch {
		case server == nil && len(naming) == 0:
		case len(naming) == 0:
			if server.WithdrawnAt == 0 {
				server.WithdrawnAt, server.Clusters = now, nil
				m.timed[address] = true
				withdrawn = append(withdrawn, server)
			}
		case server == nil:
			server = &Server{Endpoint: merged, Clusters: naming, FirstSeen: now, UpdatedAt: now, usable: merged.Health.usable()}
			m.servers[address] = server
			m.version++
		default:
			if server.WithdrawnAt > 0 || server.Endpoint != merged {
				m.version++
				server.UpdatedAt = now
			}
			heldReturned = heldReturned || server.Held
			server.Endpoint, server.Clusters, server.WithdrawnAt, server.Held = merged, naming, 0, false
			m.recordUsability(now, server, merged.Health.usable())
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

// Together takes in several things that were said in one breath: servers that one of them withdraws and another names are
// not withdrawn, and what all of them withdraw counts as one.
func (m *Model) Batch(now control.Micros, apply func()) {
	m.batching = true
	apply()
	m.batching = false
	withdrawn := slices.DeleteFunc(m.batchWithdrawn, func(apply *Server) bool { return apply.WithdrawnAt == 0 })
	m.batchWithdrawn = nil
	m.judgeWithdrawals(now, withdrawn)
}
