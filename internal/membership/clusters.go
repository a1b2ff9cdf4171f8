package membership

import (
	"fmt"
	"slices"

	"hollymast/control"
)

// cluster is what a source says of one cluster.
type cluster struct {
	announced  bool // false: only its endpoints have come so far
	endpoints  map[string]Endpoint
	priorities priorities
}

// SetClusters sets all clusters that there are. One that is left out is withdrawn with its endpoints.
func (m *Model) SetClusters(now control.Micros, names []string) {
	present := make(map[string]bool, len(names))
	for _, name := range names {
		present[name] = true
	}
	m.Batch(now, func() {
		for _, name := range sortedKeys(m.clusters) {
			if !present[name] {
				m.RemoveCluster(now, name)
			}
		}
		for _, name := range names {
			m.AddCluster(now, name)
		}
	})
}

// AddCluster announces a cluster; its endpoints may have come before.
func (m *Model) AddCluster(now control.Micros, name string) {
	c := m.cluster(name)
	if c.announced {
		return
	}
	c.announced = true
	m.orphanEndpoints -= len(c.endpoints)
	m.reconcile(now, name, sortedKeys(c.endpoints))
}

// RemoveCluster withdraws a cluster with its endpoints.
func (m *Model) RemoveCluster(now control.Micros, name string) {
	c := m.clusters[name]
	if c == nil || !c.announced {
		return
	}
	delete(m.clusters, name)
	m.reconcile(now, name, sortedKeys(c.endpoints))
}

// SetEndpoints sets all endpoints of a cluster. An address listed twice counts once, with its worse health. Endpoints of a
// cluster that was not announced are kept in case it is, since sources may send them first; the error says that there are
// more of those than the bounds allow, and that the call changed nothing.
func (m *Model) SetEndpoints(now control.Micros, name string, list []Endpoint) error {
	if err := m.checkOrphans(name, len(list)); err != nil {
		return err
	}
	c := m.cluster(name)
	old := c.endpoints
	c.endpoints = make(map[string]Endpoint, len(list))
	for _, endpoint := range list {
		if other, twice := c.endpoints[endpoint.Address]; twice {
			endpoint.Health = worse(other.Health, endpoint.Health)
		}
		c.endpoints[endpoint.Address] = endpoint
	}
	m.updatePriorities(now, name, c)
	if !c.announced {
		m.orphanEndpoints += len(c.endpoints) - len(old)
		return nil
	}
	m.reconcile(now, name, changedAddresses(old, c.endpoints))
	return nil
}

// checkOrphans guards against a source that names endpoints of ever new clusters.
func (m *Model) checkOrphans(name string, endpoints int) error {
	before := 0
	if c := m.clusters[name]; c != nil {
		if c.announced {
			return nil
		}
		before = len(c.endpoints)
	}
	if m.orphanEndpoints-before+endpoints > m.bounds.MaxOrphans {
		return fmt.Errorf("cluster %s is not known, and there are too many endpoints of such clusters", name)
	}
	return nil
}

// changedAddresses returns the addresses that were added, removed or changed, ascending.
func changedAddresses(old, current map[string]Endpoint) []string {
	var changed []string
	for address := range old {
		if _, still := current[address]; !still {
			changed = append(changed, address)
		}
	}
	for address, endpoint := range current {
		if before, known := old[address]; !known || before != endpoint {
			changed = append(changed, address)
		}
	}
	slices.Sort(changed)
	return changed
}

// DropUnannouncedCluster drops the endpoints of a cluster that was never announced.
func (m *Model) DropUnannouncedCluster(name string) {
	if c := m.clusters[name]; c != nil && !c.announced {
		m.orphanEndpoints -= len(c.endpoints)
		delete(m.clusters, name)
	}
}

// cluster returns a cluster by its name, a new one where there is none.
func (m *Model) cluster(name string) *cluster {
	c := m.clusters[name]
	if c == nil {
		c = &cluster{endpoints: map[string]Endpoint{}}
		m.clusters[name] = c
	}
	return c
}
