package xds

import (
	"slices"

	"hollymast/control"
)

// updateAssignments applies the endpoints of services. Those of a service that no cluster names are kept in case one comes.
func (c *Client) updateAssignments(now control.Micros, assignments []assignment) error {
	byService := make(map[string][]string, len(c.serviceNames))
	for name, service := range c.serviceNames {
		byService[service] = append(byService[service], name)
	}
	var err error
	c.members.Batch(now, func() { err = c.applyAssignments(now, assignments, byService) })
	if err != nil {
		return err
	}
	if len(c.awaitedClusters) == 0 {
		c.releaseClusters(now)
	}
	return nil
}

func (c *Client) applyAssignments(now control.Micros, assignments []assignment, byService map[string][]string) error {
	for _, a := range assignments {
		names := byService[a.name]
		slices.Sort(names)
		if len(names) == 0 {
			if slices.Contains(c.leavingClusters, a.name) {
				continue // the cluster is removed as a whole, once those that replace it have endpoints
			}
			names = []string{a.name}
		}
		for _, name := range names {
			if c.inlined[name] {
				continue
			}
			c.members.SetOverprovisioning(name, a.overprovisioning)
			if err := c.members.SetEndpoints(now, name, a.endpoints); err != nil {
				return err
			}
			delete(c.awaitedClusters, name)
		}
	}
	return nil
}
