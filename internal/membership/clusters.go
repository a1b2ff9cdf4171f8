package membership

import (
	"fmt"
	"hollymast/control"
	"slices"
)

// cluster is what a source says of one cluster.
type cluster struct {
	announced  bool // else only its endpoints came so far
	endpoints  map[string]Endpoint
	priorities priorities
}

// Clusters takes in all clusters that there are. One that is left out is withdrawn with its endpoints, which are forgotten
// only if it stays so: it may come back as it was.
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

// AddCluster takes in that there is a cluster; its endpoints may have come before.
func (m *Model) AddCluster(now control.Micros, name string) {
	c := m.cluster(name)
	if c.announced {
		return
	}
	c.announced = true
	m.orphanEndpoints -= len(c.endpoints)
	m.reconcile(now, name, sortedKeys(c.endpoints))
}

// RemoveCluster takes in that there is no such cluster any more.
func (m *Model) RemoveCluster(now control.Micros, name string) {
	c := m.clusters[name]
	if c == nil || !c.announced {
		return
	}
	delete(m.clusters, name)
	m.reconcile(now, name, sortedKeys(c.endpoints))
}

// Endpoints takes in all endpoints of a cluster. An address named twice counts once, with its worse health. The error
// tells that there are more of clusters not yet named than are kept; nothing of this call is then taken.
func (m *Model) SetEndpoints(now control.Micros, name string, list []Endpoint) error {
	c := m.clusters[name]
	if c == nil || !c.announced {
		before := 0
		if c != nil {
			before = len(c.endpoints)
		}
		if m.orphanEndpoints-before+len(list) > m.bounds.MaxOrphans {
			return fmt.Errorf("cluster %s is not known, and there are too many endpoints of such clusters", name)
		}
	}
	c = m.cluster(name)
	old := c.endpoints
	c.endpoints = make(map[string]Endpoint, len(list))
	for _, e := range list {
		if was, twice := c.endpoints[e.Address]; twice {
			e.Health = worse(was.Health, e.Health)
		}
		c.endpoints[e.Address] = e
	}
	m.updatePriorities(now, name, c)
	if !c.announced {
		m.orphanEndpoints += len(c.endpoints) - len(old)
		return nil
	}
	var touched []string
	for a := range old {
		if _, still := c.endpoints[a]; !still {
			touched = append(touched, a)
		}
	}
	for a, e := range c.endpoints {
		if was, known := old[a]; !known || was != e {
			touched = append(touched, a)
		}
	}
	slices.Sort(touched)
	m.reconcile(now, name, touched)
	return nil
}

// Forget drops the endpoints of a cluster that never came.
func (m *Model) ForgetCluster(name string) {
	if c := m.clusters[name]; c != nil && !c.announced {
		m.orphanEndpoints -= len(c.endpoints)
		delete(m.clusters, name)
	}
}

func (m *Model) cluster(name string) *cluster {
	c := m.clusters[name]
	if c == nil {
		c = &cluster{endpoints: map[string]Endpoint{}}
		m.clusters[name] = c
	}
	return c
}
